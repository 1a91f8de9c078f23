//! Encoding of authenticated control datagrams.

use prost::Message;
use prost::Oneof;

use crate::DatagramError;
use crate::Heartbeat;
use crate::HeartbeatAnswer;
use crate::MemberLoads;
use crate::RolloutPermit;
use crate::RolloutReport;
use crate::Secret;
use crate::mac::MAC_BYTES;
use crate::mac::compute_mac;
use crate::mac::is_equal;

/// Version of the datagram format.
const VERSION: u8 = 1;

/// Length of the version and the authentication code that precede the payload, in bytes.
const HEADER_BYTES: usize = 1 + MAC_BYTES;

/// Maximum length of an accepted datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum length of a message in an accepted datagram, without the tag and the length that precede it in the envelope, in
/// bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - 3;

/// A message that is sent as a datagram, outside any link.
#[derive(Clone, Oneof, PartialEq)]
pub enum Datagram {
    /// Requests the renewal of a lease.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    #[prost(message, tag = "2")]
    HeartbeatAnswer(HeartbeatAnswer),
    /// Reports the known loads of members.
    #[prost(message, tag = "3")]
    MemberLoads(MemberLoads),
    /// Reports what a home has observed during a roll-out.
    #[prost(message, tag = "4")]
    RolloutReport(RolloutReport),
    /// Confirms or ends the trial of a version.
    #[prost(message, tag = "5")]
    RolloutPermit(RolloutPermit),
}

#[derive(Clone, Message, PartialEq)]
struct Envelope {
    #[prost(oneof = "Datagram", tags = "1, 2, 3, 4, 5")]
    datagram: Option<Datagram>,
}

/// Encodes a datagram with a message authentication code, which proves that the sender knows the
/// secret.
pub fn encode_datagram(secret: &Secret, datagram: &Datagram) -> Vec<u8> {
    let envelope = Envelope {
        datagram: Some(datagram.clone()),
    };
    let payload = envelope.encode_to_vec();
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.push(VERSION);
    buf.extend_from_slice(&payload_mac(secret, &payload));
    buf.extend_from_slice(&payload);
    buf
}

/// Authenticates and decodes a datagram. Replayed datagrams are not detected here, but by
/// [`crate::ReplayGuard`].
///
/// # Errors
///
/// Returns the reason to drop the datagram.
pub fn decode_datagram(secret: &Secret, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized);
    }
    let Some((header, payload)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(DatagramError::Malformed);
    };
    if header[0] != VERSION {
        return Err(DatagramError::UnsupportedVersion);
    }
    if !is_equal(&header[1..], &payload_mac(secret, payload)) {
        return Err(DatagramError::Unauthenticated);
    }
    Envelope::decode(payload)
        .ok()
        .and_then(|envelope| envelope.datagram)
        .ok_or(DatagramError::Malformed)
}

fn payload_mac(secret: &Secret, payload: &[u8]) -> [u8; MAC_BYTES] {
    compute_mac(secret.datagram_key(), &[&[VERSION], payload])
}
