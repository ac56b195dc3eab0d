//! The body of a response while it is read, in blocks: a piece of it may be one byte long, and an allocation
//! for each would take many times the memory of the bytes.

use bytes::Bytes;
use bytes::BytesMut;

/// Sizes of the first block and of the largest.
const FIRST_BLOCK_BYTES: usize = 4 * 1024;
const LARGEST_BLOCK_BYTES: usize = 64 * 1024;

/// Bytes in blocks, each of which is filled before the next is allocated. A buffer that grows by copying
/// would leave its smaller predecessors behind as unused memory.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    blocks: Vec<BytesMut>,
    len: usize,
    allocated: usize,
}

impl BodyBuffer {
    /// Appends a copy of `piece`, which is a part of the larger buffer of its connection and would keep
    /// that.
    pub(crate) fn push(&mut self, mut piece: &[u8]) {
        self.len += piece.len();
        if let Some(last) = self.blocks.last_mut() {
            let (fits, rest) = piece.split_at(piece.len().min(last.capacity() - last.len()));
            last.extend_from_slice(fits);
            piece = rest;
        }
        if piece.is_empty() {
            return;
        }
        let size = self
            .allocated
            .clamp(FIRST_BLOCK_BYTES, LARGEST_BLOCK_BYTES)
            .max(piece.len());
        let mut block = BytesMut::with_capacity(size);
        block.extend_from_slice(piece);
        self.allocated += block.capacity();
        self.blocks.push(block);
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the memory of all blocks, in bytes.
    pub(crate) fn allocated(&self) -> usize {
        self.allocated
    }

    /// Returns the bytes, in as much memory as they need.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from(self.into_vec())
    }

    /// Returns the bytes, in as much memory as they need.
    pub(crate) fn into_vec(self) -> Vec<u8> {
        self.blocks.concat()
    }
}
