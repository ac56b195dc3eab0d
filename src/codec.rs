//! The binary encoding between our own processes and in our own files.

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::error::DecodeError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Most bytes that one decoded value may claim, so that a bad length never sizes an allocation.
pub(crate) const DECODE_LIMIT: usize = 256 * 1024 * 1024;

type Bounded =
    Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<DECODE_LIMIT>>;

fn bounded() -> Bounded {
    bincode::config::standard().with_limit::<DECODE_LIMIT>()
}

/// Encodes a value.
///
/// # Panics
///
/// On a type that the encoding can't hold; only our own types come here, and tests encode each.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("our own types can be encoded")
}

/// Decodes a value.
///
/// # Errors
///
/// Bytes that are cut short, too long, or of another type.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, bounded()).map(|(value, _)| value)
}
