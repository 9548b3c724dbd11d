//! Digests of keys, which are stored in place of the keys.

use displaydoc::Display;
use std::fmt;
use std::str::FromStr;

/// Bytes of a digest: enough that no caller can construct a key with the digest of another.
const DIGEST_BYTES: usize = 16;
/// Context string that separates these digests from all others of the same hash.
const CONTEXT: &str = "catkinmast caller key v1";
/// Hexadecimal digits of the short form.
const SHORT_DIGITS: usize = 8;

/// The first 16 bytes of the BLAKE3 digest of a key, with a context of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// a key's digest is not 16 bytes in hexadecimal
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct ParseDigestError;

impl std::error::Error for ParseDigestError {}

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(key);
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }

    /// Returns the first digits of the digest, which identify a key in logs and errors.
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(SHORT_DIGITS);
        text
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let mut digest = [0; DIGEST_BYTES];
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return Err(ParseDigestError);
            }
            *byte = u8::from_str_radix(digits, 16).unwrap_or_default();
        }
        Ok(Self(digest))
    }
}
