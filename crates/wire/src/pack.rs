//! Compresses large messages between nodes. The entries of targets differ in a few characters, and a
//! list of them is the largest message of all.

use displaydoc::Display;

/// Size limit of what is unpacked: twice the largest answer. The length stands in the message, and
/// memory is allocated by it.
const UNPACKED_MAX_BYTES: usize = 8 << 20;
const LENGTH_BYTES: usize = 4;

/// the packed message cannot be read: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct PackError(String);

impl std::error::Error for PackError {}

/// Packs a message.
pub fn pack(message: &[u8]) -> Vec<u8> {
    lz4_flex::block::compress_prepend_size(message)
}

/// Unpacks a message.
///
/// # Errors
/// If the bytes were not packed by [`pack`], or would take too much memory.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, PackError> {
    let length = packed.first_chunk::<LENGTH_BYTES>().map(|bytes| u32::from_le_bytes(*bytes));
    match length {
        Some(length) if length as usize <= UNPACKED_MAX_BYTES => {}
        length => {
            let problem = format!("the length {length:?} is missing or over {UNPACKED_MAX_BYTES}");
            return Err(PackError(problem));
        }
    }
    lz4_flex::block::decompress_size_prepended(packed).map_err(|error| PackError(error.to_string()))
}
