//! One header of an answer.

use bytes::Bytes;
use prost::Message;

/// One header of HTTP.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name of the header, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Place of the header in the table of its link, 0 for none.
    #[prost(uint32, tag = "3")]
    pub(crate) table_index: u32,
    /// Place of the header's name in the table of its link, 0 for none.
    #[prost(uint32, tag = "4")]
    pub(crate) name_index: u32,
}

impl Header {
    /// Returns a header.
    pub fn new(name: String, value: Bytes) -> Self {
        Self {
            name,
            value,
            table_index: 0,
            name_index: 0,
        }
    }
}
