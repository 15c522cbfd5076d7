//! Changed records and marks that wait to be sent, a bounded number of times each.
//!
//! Each change is sent a multiple of ln of the nodes times by each node that
//! learns it, the least sent first. With a multiple of m a node misses it with a
//! chance of about n^-m, and the cost is known: 23 times 75 bytes at 1,900 nodes.
//! The exchange of hashes finds what was missed. While bytes are short, hearing a
//! change again counts as a sending, since it shows that others know it.

use kumquatnotch_core::{
    collections::HashMap,
    ids::NodeName,
    marks::{MarkKind, MarkUpdate},
    member::NodeRecord,
};

use crate::traffic::encoded_len;

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DeltaKey {
    Node(NodeName),
    Mark(MarkKind),
}

/// The changes that wait, with how often each was sent.
#[derive(Debug, Default)]
pub(crate) struct DeltaQueue {
    waiting: HashMap<DeltaKey, Delta>,
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
    /// Adds a changed record.
    pub(crate) fn add_node(&mut self, record: &NodeRecord) {
        self.add(DeltaKey::Node(record.name.clone()), encoded_len(record));
    }

    /// Adds a changed mark.
    pub(crate) fn add_mark(&mut self, update: &MarkUpdate) {
        self.add(DeltaKey::Mark(update.mark.kind.clone()), encoded_len(update));
    }

    /// Whether a change was sent fewer than `transmit_limit` transmit_limit.
    pub(crate) fn has_fresh(&self, transmit_limit: u32) -> bool {
        self.waiting.values().any(|delta| delta.sent < transmit_limit)
    }

    /// Notes that a peer sent what waits here too.
    pub(crate) fn note_received(&mut self, name: &NodeName, transmit_limit: u32) {
        self.note_sent(&DeltaKey::Node(name.clone()), transmit_limit);
    }

    /// Picks changes of at most `limit` bytes that were sent less than `below` transmit_limit.
    ///
    /// Each is dropped after `transmit_limit` sendings.
    pub(crate) fn pick(&mut self, limit: usize, below: u32, transmit_limit: u32) -> Picked {
        if self.waiting.is_empty() || limit == 0 {
            return Picked::default();
        }
        // Of those sent as often, the newest goes first: older ones reached more nodes.
        let mut order: Vec<(u32, u64, &DeltaKey)> = self
            .waiting
            .iter()
            .filter(|(_, delta)| delta.sent < below)
            .map(|(key, delta)| (delta.sent, u64::MAX - delta.serial, key))
            .collect();
        order.sort_unstable_by_key(|(sent, serial, _)| (*sent, *serial));
        let mut picked = Picked::default();
        for (_, _, key) in order {
            let bytes = self.waiting[key].bytes;
            if picked.bytes + bytes > limit {
                break;
            }
            picked.bytes += bytes;
            picked.keys.push(key.clone());
        }
        for key in &picked.keys {
            self.note_sent(key, transmit_limit);
        }
        picked
    }

    fn add(&mut self, key: DeltaKey, bytes: usize) {
        self.serial += 1;
        let delta = Delta { sent: 0, serial: self.serial, bytes };
        self.waiting.insert(key, delta);
    }

    fn note_sent(&mut self, key: &DeltaKey, transmit_limit: u32) {
        let Some(delta) = self.waiting.get_mut(key) else {
            return;
        };
        delta.sent += 1;
        if delta.sent >= transmit_limit {
            self.waiting.remove(key);
        }
    }
}

/// An allowance of bytes that refills with time.
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

    /// The bytes left now.
    pub(crate) fn available(&mut self, now: std::time::Instant) -> usize {
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.available = (self.available + span * self.rate).min(self.burst);
        self.available.max(0.0) as usize
    }

    /// Whether more than half of the burst is left, so that less urgent bytes may go.
    pub(crate) fn is_half_full(&self) -> bool {
        self.available > self.burst / 2.0
    }

    /// Takes `bytes`; it may go below zero.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
