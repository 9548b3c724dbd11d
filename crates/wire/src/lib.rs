//! The frame format between processes of this service.
//!
//! A frame consists of a format version (one byte), a `postcard` message, and a keyed BLAKE3 tag
//! over both. It is sent as one UDP datagram, or over TCP with its length in front. Bytes that are
//! not a frame of this version under the shared key are refused before the message is decoded; the
//! caller counts and drops them. Sizes are checked before memory is allocated.
//!
//! The tag proves that a holder of the key wrote the frame. It neither hides the content nor
//! prevents a replay. A replayed message changes little: facts only supersede older ones, and
//! requests are idempotent. A fact that is replayed after the tombstone of its subject was removed
//! shows the subject again until it is found gone once more. Encryption is left to the network.

mod pack;

pub use pack::{PackError, pack, unpack};

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Version of the frame format, the first byte of each frame.
const FORMAT_VERSION: u8 = 1;
/// Length of the tag.
const TAG_BYTES: usize = 16;
/// Bytes that a frame adds to its message: the version and the tag.
pub const OVERHEAD_BYTES: usize = 1 + TAG_BYTES;
/// Maximum size of a datagram: it fits in an Ethernet frame, with space for tunnel headers.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;
/// Maximum size of a frame over TCP, with a margin over the largest value of the platform's
/// key-value service (a megabyte).
pub const STREAM_FRAME_MAX_BYTES: usize = 4 << 20;
/// Length of the length prefix of a frame over TCP.
pub const LENGTH_BYTES: usize = 4;

/// The key that all processes of the service share.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Derives the key from a secret that the operators set.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key("catkinmast 2026-12-02 frames between nodes", secret.as_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

/// The error of reading or writing a frame.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FrameError {
    /// frame of {size_bytes} bytes exceeds the limit of {allowed_bytes} bytes
    TooLarge {
        /// Size of the frame.
        size_bytes: usize,
        /// Maximum size.
        allowed_bytes: usize,
    },
    /// frame of {size_bytes} bytes is too short
    TooShort {
        /// Size of the frame.
        size_bytes: usize,
    },
    /// frame has format version {found}, expected 1
    Version {
        /// Format version of the frame.
        found: u8,
    },
    /// frame tag does not match the shared key
    Tag,
    /// message of a frame cannot be encoded or decoded: {message}
    Message {
        /// Error message of the codec.
        message: String,
    },
}

impl std::error::Error for FrameError {}

/// Encodes a message as a frame of at most `allowed_bytes`.
///
/// # Errors
/// Fails if the frame would be larger, or if the message cannot be encoded.
pub fn seal(
    key: &SharedKey,
    message: &impl Serialize,
    allowed_bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let encode_error = |error: postcard::Error| FrameError::Message { message: error.to_string() };
    let mut frame = postcard::to_extend(message, vec![FORMAT_VERSION]).map_err(encode_error)?;
    let tag = key.tag(&frame);
    frame.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    if frame.len() > allowed_bytes {
        return Err(FrameError::TooLarge { size_bytes: frame.len(), allowed_bytes });
    }
    Ok(frame)
}

/// Verifies and decodes a frame of at most `allowed_bytes`.
///
/// # Errors
/// Fails if the bytes are not a frame of this version under this key.
pub fn open<M: DeserializeOwned>(
    key: &SharedKey,
    frame: &[u8],
    allowed_bytes: usize,
) -> Result<M, FrameError> {
    let size_bytes = frame.len();
    if size_bytes > allowed_bytes {
        return Err(FrameError::TooLarge { size_bytes, allowed_bytes });
    }
    if size_bytes < OVERHEAD_BYTES {
        return Err(FrameError::TooShort { size_bytes });
    }
    let (signed, tag) = frame.split_at(size_bytes - TAG_BYTES);
    if signed[0] != FORMAT_VERSION {
        return Err(FrameError::Version { found: signed[0] });
    }
    if !same_tag(&key.tag(signed).as_bytes()[..TAG_BYTES], tag) {
        return Err(FrameError::Tag);
    }
    postcard::from_bytes(&signed[1..])
        .map_err(|error| FrameError::Message { message: error.to_string() })
}

/// Compares tags in constant time, so that the time taken reveals nothing to a forger.
fn same_tag(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}

/// Encodes the length prefix of a frame over TCP.
pub fn length_prefix(frame: &[u8]) -> [u8; LENGTH_BYTES] {
    (frame.len() as u32).to_be_bytes()
}

/// Decodes a length prefix, and checks the length before memory is allocated.
///
/// # Errors
/// Fails if the length is larger than [`STREAM_FRAME_MAX_BYTES`].
pub fn parse_length_prefix(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let size_bytes = u32::from_be_bytes(prefix) as usize;
    if size_bytes > STREAM_FRAME_MAX_BYTES {
        return Err(FrameError::TooLarge { size_bytes, allowed_bytes: STREAM_FRAME_MAX_BYTES });
    }
    Ok(size_bytes)
}
