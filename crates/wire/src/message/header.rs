//! HTTP header.

use bytes::Bytes;
use prost::Message;

/// An HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name of the header, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Index of the header in the header table of the link, 0 for none.
    #[prost(uint32, tag = "3")]
    pub(crate) table_index: u32,
    /// Index of the header's name in the header table of the link, 0 for none.
    #[prost(uint32, tag = "4")]
    pub(crate) name_index: u32,
}

impl Header {
    /// Creates a header without table indexes.
    pub fn new(name: String, value: Bytes) -> Self {
        Self {
            name,
            value,
            table_index: 0,
            name_index: 0,
        }
    }
}
