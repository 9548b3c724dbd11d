//! What makes two requests the same one.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a fingerprint: two requests of a fleet's life do not meet by chance, nor can a caller make
/// one that meets another's.
const FINGERPRINT_BYTES: usize = 16;

/// The digest of what a request asks of a target, whatever its id, its deadline and the node that it
/// came to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Takes the digest of a request.
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // With its length before it, no part can end in what another begins with.
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
