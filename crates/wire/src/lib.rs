//! Frames between our own processes.
//!
//! A frame is one byte of format version, a `postcard` message, and a keyed BLAKE3 tag over both.
//! The same frame travels as one UDP datagram or, with its length before it, over TCP. Everything
//! that is not a frame of this version under the shared key is refused before the message is
//! decoded; the caller counts it and drops it. Sizes are capped before memory is taken.
//!
//! The tag proves that a holder of the key wrote the frame; it does not hide the content and does
//! not stop a replay. Messages are made so that a replayed one changes nothing: facts only
//! supersede older ones, and requests are idempotent. Encryption is left to the network.

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// The format's version, the first byte of each frame.
const FORMAT_VERSION: u8 = 1;
/// Length of the tag, in bytes.
const TAG_BYTES: usize = 16;
/// Version byte and tag.
pub const OVERHEAD_BYTES: usize = 1 + TAG_BYTES;
/// The largest datagram: it fits an Ethernet frame with room for tunnels.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;
/// The largest frame over TCP: a value of the platform's service and some room.
pub const STREAM_FRAME_MAX_BYTES: usize = 4 << 20;
/// Length of the length before a frame over TCP, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The key that all our processes share.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Derives the key from the operators' secret.
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

/// Why bytes are not a frame, or a message cannot become one.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FrameError {
    /// a frame has {size_bytes} bytes, {allowed_bytes} are allowed
    TooLarge {
        /// Its size.
        size_bytes: usize,
        /// The cap.
        allowed_bytes: usize,
    },
    /// a frame of {size_bytes} bytes is too short
    TooShort {
        /// Its size.
        size_bytes: usize,
    },
    /// a frame has format version {found}, this process speaks 1
    Version {
        /// The version found.
        found: u8,
    },
    /// a frame's tag does not fit the shared key
    Tag,
    /// a frame's message cannot be read: {message}
    Message {
        /// What the codec said.
        message: String,
    },
}

impl std::error::Error for FrameError {}

/// Writes a message as a frame of at most `allowed_bytes`.
///
/// # Errors
/// When the frame would be larger, or the message cannot be encoded.
pub fn seal(
    key: &SharedKey,
    message: &impl Serialize,
    allowed_bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let unwritable = |error: postcard::Error| FrameError::Message { message: error.to_string() };
    let mut frame = postcard::to_extend(message, vec![FORMAT_VERSION]).map_err(unwritable)?;
    let tag = key.tag(&frame);
    frame.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    if frame.len() > allowed_bytes {
        return Err(FrameError::TooLarge { size_bytes: frame.len(), allowed_bytes });
    }
    Ok(frame)
}

/// Reads a frame of at most `allowed_bytes`.
///
/// # Errors
/// When the bytes are not a frame of this version under this key.
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

/// Compares in constant time, so that a forger learns nothing from how long it takes.
fn same_tag(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}

/// Writes a frame's length as it stands before the frame over TCP.
pub fn length_prefix(frame: &[u8]) -> [u8; LENGTH_BYTES] {
    (frame.len() as u32).to_be_bytes()
}

/// Reads a length and checks it against the cap before any memory is taken.
///
/// # Errors
/// When the announced frame is too large.
pub fn parse_length_prefix(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let size_bytes = u32::from_be_bytes(prefix) as usize;
    if size_bytes > STREAM_FRAME_MAX_BYTES {
        return Err(FrameError::TooLarge { size_bytes, allowed_bytes: STREAM_FRAME_MAX_BYTES });
    }
    Ok(size_bytes)
}
