//! Hashes of tenant keys.

use std::borrow::Borrow;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

/// Length of a hash as hexadecimal text, in bytes.
const HASH_DIGITS: usize = 64;

/// Length of the hash prefix that identifies a key in messages, in bytes.
const PREFIX_DIGITS: usize = 16;

/// Hash of a tenant key, the only form in which a key is published or stored.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a tenant key as its caller sent it.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).to_hex().to_string())
    }

    /// Parses a hash from hexadecimal text, or returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = Self(text.to_owned());
        hash.is_well_formed().then_some(hash)
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// Returns the first digits of the hash, which are enough to distinguish the keys of a fleet.
    pub fn prefix(&self) -> &str {
        &self.0[..PREFIX_DIGITS.min(self.0.len())]
    }

    /// Returns the hash as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Reports whether the text is a hash: 64 hexadecimal digits in lower case.
    pub fn is_well_formed(&self) -> bool {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        self.0.len() == HASH_DIGITS && self.0.bytes().all(is_digit)
    }
}

impl Borrow<str> for KeyHash {
    fn borrow(&self) -> &str {
        &self.0
    }
}
