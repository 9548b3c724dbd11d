//! Requests that end the targets that run them.
//!
//! A [`Fingerprint`] names what a request asks, so that it is known again when it comes under another
//! id or at another node. A [`Life`] names one start of a target, so that its end counts once.
//! [`BrokenOff`] holds requests whose connection broke until it is known whether their target ended.

mod broken;
mod fingerprint;
mod life;

pub use broken::{BrokenOff, Fate};
pub use fingerprint::Fingerprint;
pub use life::Life;
