//! Compresses the keys that nodes send to each other. The entries of targets differ in a few
//! characters, and a list of them is the largest message of all.

use crate::item::StoredItem;
use displaydoc::Display;

/// Size limit of what is unpacked: several times a page of keys. The length stands in the message,
/// and memory is allocated by it.
const UNPACKED_MAX_BYTES: usize = 8 << 20;
const LENGTH_BYTES: usize = 4;

/// the packed keys cannot be read: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct PackError(String);

impl std::error::Error for PackError {}

/// Packs keys.
pub fn pack(items: &[StoredItem]) -> Vec<u8> {
    // Writing to memory fails for types without a known length only.
    let encoded = postcard::to_stdvec(items).unwrap_or_default();
    lz4_flex::block::compress_prepend_size(&encoded)
}

/// Unpacks keys.
///
/// # Errors
/// If the bytes were not packed by [`pack`], or would take too much memory.
pub fn unpack(packed: &[u8]) -> Result<Vec<StoredItem>, PackError> {
    let length = packed.first_chunk::<LENGTH_BYTES>().map(|bytes| u32::from_le_bytes(*bytes));
    match length {
        Some(length) if length as usize <= UNPACKED_MAX_BYTES => {}
        length => {
            let problem = format!("the length {length:?} is missing or over {UNPACKED_MAX_BYTES}");
            return Err(PackError(problem));
        }
    }
    let encoded = lz4_flex::block::decompress_size_prepended(packed)
        .map_err(|error| PackError(error.to_string()))?;
    postcard::from_bytes(&encoded).map_err(|error| PackError(error.to_string()))
}
