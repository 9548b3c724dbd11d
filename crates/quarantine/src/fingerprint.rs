//! Identification of requests by their content.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a fingerprint: long enough that no two requests collide by chance, and that no caller
/// can construct a request which collides with another's.
const FINGERPRINT_BYTES: usize = 16;

/// A digest of a request's content. It does not depend on the request's id, its deadline or the
/// node that received it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // Without the length, moving bytes from the end of one part to the start of the next
            // would give the same digest.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
