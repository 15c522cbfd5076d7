//! Queue of changed records and marks, each sent a bounded number of times.
//!
//! Each node that learns a change sends it a number of times proportional to ln(n),
//! least-sent changes first. With a factor of m a node misses a change with a probability
//! of about n^-m, and the cost is bounded: 23 times 75 bytes at 1,900 nodes. The exchange
//! of hashes repairs what was missed. While the byte budget is low, receiving a change
//! again counts as a transmission, since other nodes evidently have it.

use kumquatnotch_core::{
    collections::HashMap,
    ids::NodeName,
    marks::{MarkKind, MarkUpdate},
    member::NodeRecord,
};

use crate::traffic::encoded_len;

/// The subject of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DeltaKey {
    Node(NodeName),
    Mark(MarkKind),
}

/// The queued changes, with the number of times that each was sent.
#[derive(Debug, Default)]
pub(crate) struct DeltaQueue {
    queued: HashMap<DeltaKey, Delta>,
    serial: u64,
}

#[derive(Debug)]
struct Delta {
    sent: u32,
    serial: u64,
    bytes: usize,
}

/// Changes picked for one message.
#[derive(Debug, Default)]
pub(crate) struct Picked {
    pub(crate) keys: Vec<DeltaKey>,
    pub(crate) bytes: usize,
}

impl DeltaQueue {
    pub(crate) fn add_node(&mut self, record: &NodeRecord) {
        self.add(DeltaKey::Node(record.name.clone()), encoded_len(record));
    }

    pub(crate) fn add_mark(&mut self, update: &MarkUpdate) {
        self.add(DeltaKey::Mark(update.mark.kind.clone()), encoded_len(update));
    }

    /// Returns whether a change was sent fewer than `limit` times.
    pub(crate) fn has_recent(&self, limit: u32) -> bool {
        self.queued.values().any(|delta| delta.sent < limit)
    }

    /// Counts a change received from a peer as a transmission of the queued one.
    pub(crate) fn record_received(&mut self, name: &NodeName, transmit_limit: u32) {
        self.record_sent(&DeltaKey::Node(name.clone()), transmit_limit);
    }

    /// Picks changes of at most `limit` bytes in total that were sent fewer than `below` times.
    ///
    /// Each change is dropped after `transmit_limit` transmissions.
    pub(crate) fn pick(&mut self, limit: usize, below: u32, transmit_limit: u32) -> Picked {
        if self.queued.is_empty() || limit == 0 {
            return Picked::default();
        }
        // Of changes sent equally often, the newest goes first, as older ones have reached more
        // nodes.
        let mut order: Vec<(u32, u64, &DeltaKey)> = self
            .queued
            .iter()
            .filter(|(_, delta)| delta.sent < below)
            .map(|(key, delta)| (delta.sent, u64::MAX - delta.serial, key))
            .collect();
        order.sort_unstable_by_key(|(sent, serial, _)| (*sent, *serial));
        let mut picked = Picked::default();
        for (_, _, key) in order {
            let bytes = self.queued[key].bytes;
            if picked.bytes + bytes > limit {
                break;
            }
            picked.bytes += bytes;
            picked.keys.push(key.clone());
        }
        for key in &picked.keys {
            self.record_sent(key, transmit_limit);
        }
        picked
    }

    fn add(&mut self, key: DeltaKey, bytes: usize) {
        self.serial += 1;
        let delta = Delta { sent: 0, serial: self.serial, bytes };
        self.queued.insert(key, delta);
    }

    fn record_sent(&mut self, key: &DeltaKey, transmit_limit: u32) {
        let Some(delta) = self.queued.get_mut(key) else {
            return;
        };
        delta.sent += 1;
        if delta.sent >= transmit_limit {
            self.queued.remove(key);
        }
    }
}

/// A token bucket for bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    available: f64,
    rate: f64,
    burst: f64,
    refilled: std::time::Instant,
}

impl ByteBudget {
    pub(crate) fn new(rate: f64, burst: f64, now: std::time::Instant) -> ByteBudget {
        ByteBudget { available: burst, rate, burst, refilled: now }
    }

    /// Returns the bytes available now.
    pub(crate) fn available(&mut self, now: std::time::Instant) -> usize {
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.available = (self.available + span * self.rate).min(self.burst);
        self.available.max(0.0) as usize
    }

    /// Returns whether more than half of the burst is left, so that less urgent changes may be
    /// sent.
    pub(crate) fn is_half_full(&self) -> bool {
        self.available > self.burst / 2.0
    }

    /// Takes `bytes`; the balance may become negative.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
