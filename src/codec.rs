//! The binary encoding of messages between daisyquay processes and of their files.

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::error::DecodeError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Limit on the bytes that one decoded value may claim, so that a corrupt length does not cause a
/// huge allocation.
pub(crate) const DECODE_LIMIT: usize = 256 * 1024 * 1024;

/// Limit on the size of decompressed data, in bytes, for the same reason.
const DECOMPRESSED_LIMIT: usize = 64 * 1024 * 1024;

type BoundedConfig =
    Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<DECODE_LIMIT>>;

fn bounded_config() -> BoundedConfig {
    bincode::config::standard().with_limit::<DECODE_LIMIT>()
}

/// Encodes a value in the positional binary encoding.
///
/// # Panics
///
/// The type can't be represented in the encoding. Only types of this crate are passed, and tests
/// encode each of them.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("types of this crate can be encoded")
}

/// Decodes a value that [`encode`] wrote; ignores bytes after it.
///
/// # Errors
///
/// The bytes are truncated, claim more than [`DECODE_LIMIT`] bytes or don't encode a `T`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, bounded_config()).map(|(value, _)| value)
}

/// Compresses data, at little processor time rather than to the smallest size.
pub(crate) fn compress(data: &[u8]) -> Vec<u8> {
    lz4_flex::block::compress_prepend_size(data)
}

/// Decompresses what [`compress`] returned; `None` if it is damaged or exceeds
/// [`DECOMPRESSED_LIMIT`].
pub(crate) fn decompress(data: &[u8]) -> Option<Vec<u8>> {
    let (size, compressed) = lz4_flex::block::uncompressed_size(data).ok()?;
    if size > DECOMPRESSED_LIMIT {
        return None;
    }
    lz4_flex::block::decompress(compressed, size).ok()
}
