//! Answers as they are remembered.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use prost::Message;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error;
use wire::Answer;

/// An answer that is remembered, and travels with its unit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoredAnswer(pub(crate) Answer);

impl Serialize for StoredAnswer {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(self.0.encode_to_vec()))
    }
}

impl<'de> Deserialize<'de> for StoredAnswer {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
        Answer::decode(bytes.as_slice())
            .map(Self)
            .map_err(D::Error::custom)
    }
}
