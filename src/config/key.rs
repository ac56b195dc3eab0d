//! Keys, stored as hashes and compared in constant time.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Hex digits of a SHA-256 hash.
const HEX_DIGITS: usize = 64;

/// SHA-256 of a key.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Computes the hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the hash, for use as a table key: lookup times that depend on it reveal nothing of
    /// the key.
    pub(crate) fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns whether the hashes are equal, in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = String;

    fn from_str(hex: &str) -> Result<Self, String> {
        let invalid = || {
            format!(
                "expected the SHA-256 of the key as {HEX_DIGITS} hexadecimal digits; print it \
                 with `daisyquay hash-key`"
            )
        };
        if hex.len() != HEX_DIGITS || !hex.is_ascii() {
            return Err(invalid());
        }
        let mut hash = [0; 32];
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(hash))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let hex = String::deserialize(deserializer)?;
        hex.parse().map_err(D::Error::custom)
    }
}
