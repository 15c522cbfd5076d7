//! Counters of control messages and their bytes, by kind.
//!
//! The bytes are those of the encoded bodies. The overhead of HTTP is counted by the
//! transport.

use std::io;

use kumquatnotch_core::peer::{PeerMessage, PeerReply};
use serde::Serialize;

/// Counts a sent message.
pub(crate) fn count_message(message: &PeerMessage) {
    let kind = match message {
        PeerMessage::Ping(_) => "ping",
        PeerMessage::PingFor(_) => "ping_for",
        PeerMessage::News(_) => "news",
        PeerMessage::Exchange(_) => "exchange",
        PeerMessage::Fetch(_) => "fetch",
        _ => "other",
    };
    count(kind, encoded_len(message));
}

/// Counts a sent reply.
pub(crate) fn count_reply(reply: &PeerReply) {
    let kind = match reply {
        PeerReply::Ack(_) => "ack",
        PeerReply::Nack => "nack",
        PeerReply::Exchange(_) => "exchange_reply",
        PeerReply::Values(_) => "values",
        _ => "other",
    };
    count(kind, encoded_len(reply));
}

/// Returns the length of the encoded form.
pub(crate) fn encoded_len<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match rmp_serde::encode::write(&mut counter, value) {
        Ok(()) => counter.0,
        // A value that can't be encoded is never sent.
        Err(_) => 0,
    }
}

fn count(kind: &'static str, bytes: usize) {
    metrics::counter!("kumquatnotch_control_messages_total", "kind" => kind).increment(1);
    metrics::counter!("kumquatnotch_control_bytes_total", "kind" => kind).increment(bytes as u64);
}

struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
