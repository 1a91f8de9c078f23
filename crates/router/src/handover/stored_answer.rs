//! Stored form of remembered answers.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use prost::Message;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error;
use wire::Answer;

/// A remembered answer, which is handed over with its unit. Serialized as the base64 of its protobuf encoding.
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
