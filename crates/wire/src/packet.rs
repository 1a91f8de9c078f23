//! Payloads of frames.

use bytes::Bytes;
use prost::Enumeration;
use prost::Message;
use prost::Oneof;

use crate::Call;
use crate::Header;
use crate::Notice;
use crate::Reply;

/// Payload of one frame of a link.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Packet {
    #[prost(oneof = "PacketBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub(crate) body: Option<PacketBody>,
}

/// Content of a frame.
#[derive(Clone, Oneof, PartialEq)]
pub(crate) enum PacketBody {
    /// States that the sender no longer waits for the reply to the call with this id.
    #[prost(uint64, tag = "1")]
    Abandon(u64),
    #[prost(message, tag = "2")]
    Notice(NoticePacket),
    /// Requests a pong.
    #[prost(message, tag = "3")]
    Ping(()),
    #[prost(message, tag = "4")]
    Pong(()),
    #[prost(message, tag = "5")]
    Request(RequestPacket),
    #[prost(message, tag = "6")]
    Response(ResponsePacket),
    /// Part of a long request or response. The parts of one packet follow each other, with other packets in between.
    #[prost(message, tag = "7")]
    Part(PartPacket),
}

impl PacketBody {
    /// Returns the HTTP headers of a dispatched request or of an answer.
    pub(crate) fn headers_mut(&mut self) -> Option<&mut Vec<Header>> {
        match self {
            Self::Request(RequestPacket {
                call: Some(Call::Dispatch(dispatch)),
                ..
            }) => Some(&mut dispatch.headers),
            Self::Response(ResponsePacket {
                reply: Some(Reply::Answer(answer)),
                ..
            }) => Some(&mut answer.headers),
            _ => None,
        }
    }
}

/// Part of the encoding of a long request or response.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct PartPacket {
    #[prost(bytes = "bytes", tag = "1")]
    pub(crate) bytes: Bytes,
    #[prost(enumeration = "PartEnd", tag = "2")]
    pub(crate) end: i32,
    /// Time that the packet has waited at the sender, in milliseconds. Set on the last part.
    #[prost(uint64, tag = "3")]
    pub(crate) waited_ms: u64,
}

/// What follows a part.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
pub(crate) enum PartEnd {
    /// More parts of the same packet follow.
    More = 0,
    /// The packet is complete.
    Complete = 1,
    /// The sender has dropped the packet, and the receiver drops its parts.
    Dropped = 2,
}

/// A notice.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct NoticePacket {
    #[prost(oneof = "Notice", tags = "1, 2, 3")]
    pub(crate) notice: Option<Notice>,
}

/// A call, with an id that the response repeats.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct RequestPacket {
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    #[prost(oneof = "Call", tags = "2, 3, 4, 5, 6, 7")]
    pub(crate) call: Option<Call>,
}

/// A reply, or the reason that there is none.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct ResponsePacket {
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    #[prost(enumeration = "Failure", tag = "2")]
    pub(crate) failure: i32,
    #[prost(oneof = "Reply", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) reply: Option<Reply>,
}

/// Reason that a call has no reply.
#[derive(Clone, Copy, Debug, Enumeration, Eq, PartialEq)]
pub(crate) enum Failure {
    /// There is a reply.
    None = 0,
    /// The peer rejected the call, since it had too many calls.
    Busy = 1,
    /// The peer accepted the call but ended it without a reply.
    Abandoned = 2,
}

impl From<PacketBody> for Packet {
    fn from(body: PacketBody) -> Self {
        Self { body: Some(body) }
    }
}
