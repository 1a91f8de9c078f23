//! Authentication of frames.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::mac::MAC_BYTES;
use crate::mac::compute_mac;
use crate::mac::is_equal;

/// Signs or verifies the frames of one direction of a link.
///
/// Both ends count the frames, and the message authentication code (MAC) covers the number.
/// Verification therefore fails at the first frame that is repeated, out of order, or follows a lost
/// frame.
#[derive(Clone)]
pub(crate) struct FrameAuthenticator {
    key: [u8; 32],
    sequence: u64,
}

impl FrameAuthenticator {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, sequence: 0 }
    }

    /// Returns the next frame to send: the MAC followed by the payload.
    pub(crate) fn sign(&mut self, payload: &[u8]) -> Bytes {
        let mac = self.next_mac(payload);
        let mut frame = BytesMut::with_capacity(MAC_BYTES + payload.len());
        frame.extend_from_slice(&mac);
        frame.extend_from_slice(payload);
        frame.freeze()
    }

    /// Returns the payload of the next received frame, or `None` if its MAC is wrong.
    pub(crate) fn verify(&mut self, mut frame: BytesMut) -> Option<Bytes> {
        if frame.len() < MAC_BYTES {
            return None;
        }
        let expected = self.next_mac(&frame[MAC_BYTES..]);
        if !is_equal(&expected, &frame[..MAC_BYTES]) {
            return None;
        }
        frame.advance(MAC_BYTES);
        Some(frame.freeze())
    }

    fn next_mac(&mut self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let sequence = self.sequence;
        self.sequence += 1;
        compute_mac(&self.key, &[&sequence.to_le_bytes(), payload])
    }
}
