//! Bounded reading of the bodies of requests and answers.
//!
//! A body may be larger than its sender states, come in parts of one byte, or never end. Each body
//! has a limit of bytes and parts, and all bodies that are being read have a limit together: a
//! process that uses more memory than its instance has is killed.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::rc::Rc;

/// Bytes of each body that do not count towards their common limit, so that large bodies
/// keep no small one from being read. Usual bodies have some kilobytes; 300 bodies of this size
/// take a tenth of the memory of the smallest instances.
const SMALL_BODY_BYTES: usize = 32 << 10;
/// The least mean size of a body's parts, at its size limit: a part takes as much processor time as
/// many bytes.
const PART_MIN_BYTES: usize = 64;

/// The reason why a body was not read to its end.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum ReadError {
    /// {0}
    Broken(String),
    /// {0}
    OverLimit(String),
    /// the large bodies that are being read have over {max_bytes} bytes together
    OutOfMemory {
        /// Their limit.
        max_bytes: usize,
    },
}

/// The memory of all large bodies of one kind that are being read.
#[derive(Clone, Debug)]
pub(crate) struct ReadMemory {
    held_bytes: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl ReadMemory {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { held_bytes: Rc::default(), max_bytes }
    }

    /// Begins to read a body.
    pub(crate) fn begin(&self) -> HeldBytes {
        HeldBytes { large_bytes: 0, memory: Some(self.clone()), read_bytes: 0 }
    }
}

/// What one body takes of the memory, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    large_bytes: usize,
    /// The memory; none for a body that counts towards no common limit.
    memory: Option<ReadMemory>,
    read_bytes: usize,
}

impl HeldBytes {
    /// Begins to read a body that counts towards no common limit.
    pub(crate) const fn unlimited() -> Self {
        Self { large_bytes: 0, memory: None, read_bytes: 0 }
    }

    /// Takes memory for more bytes.
    ///
    /// # Errors
    /// If all large bodies have too many bytes together.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ReadError> {
        self.read_bytes += bytes;
        let Some(memory) = &self.memory else { return Ok(()) };
        let large_bytes = self.read_bytes.saturating_sub(SMALL_BODY_BYTES);
        let all_bytes = memory.held_bytes.get() + large_bytes - self.large_bytes;
        if large_bytes > 0 && all_bytes > memory.max_bytes {
            return Err(ReadError::OutOfMemory { max_bytes: memory.max_bytes });
        }
        memory.held_bytes.set(all_bytes);
        self.large_bytes = large_bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.held_bytes.set(memory.held_bytes.get() - self.large_bytes);
        }
    }
}

/// Reads a complete body of at most `max_bytes`.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Bytes, ReadError> {
    let over_limit = || ReadError::OverLimit(format!("a body of over {max_bytes} bytes"));
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(over_limit());
    }
    let parts_max = max_bytes / PART_MIN_BYTES;
    let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
    let (mut bytes, mut parts) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        bytes += data.len();
        parts += 1;
        if bytes > max_bytes {
            return Err(over_limit());
        }
        if parts > parts_max {
            return Err(ReadError::OverLimit(format!("a body of over {parts_max} parts")));
        }
        held.grow(data.len())?;
        if bytes == data.len() {
            first = data;
        } else {
            // Parts share a buffer with the encoding around them; copied, they take their own size.
            joined.extend_from_slice(&std::mem::take(&mut first));
            joined.extend_from_slice(&data);
        }
    }
    Ok(if joined.is_empty() { first } else { joined.freeze() })
}
