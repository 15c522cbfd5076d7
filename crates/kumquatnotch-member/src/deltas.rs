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

use crate::traffic::size;

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    Node(NodeName),
    Mark(MarkKind),
}

/// The changes that wait, with how often each was sent.
#[derive(Debug, Default)]
pub(crate) struct Deltas {
    waiting: HashMap<Subject, Delta>,
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
    pub(crate) subjects: Vec<Subject>,
    pub(crate) bytes: usize,
}

impl Deltas {
    /// Adds a changed record.
    pub(crate) fn add_node(&mut self, record: &NodeRecord) {
        self.add(Subject::Node(record.name.clone()), size(record));
    }

    /// Adds a changed mark.
    pub(crate) fn add_mark(&mut self, news: &MarkUpdate) {
        self.add(Subject::Mark(news.mark.kind.clone()), size(news));
    }

    /// Whether a change was sent fewer than `times` times.
    pub(crate) fn is_hot(&self, times: u32) -> bool {
        self.waiting.values().any(|delta| delta.sent < times)
    }

    /// Notes that a peer sent what waits here too.
    pub(crate) fn note_heard(&mut self, name: &NodeName, times: u32) {
        self.note_sent(&Subject::Node(name.clone()), times);
    }

    /// Picks changes of at most `limit` bytes that were sent less than `below` times.
    ///
    /// Each is dropped after `times` sendings.
    pub(crate) fn pick(&mut self, limit: usize, below: u32, times: u32) -> Picked {
        if self.waiting.is_empty() || limit == 0 {
            return Picked::default();
        }
        // Of those sent as often, the newest goes first: older ones reached more nodes.
        let mut order: Vec<(u32, u64, &Subject)> = self
            .waiting
            .iter()
            .filter(|(_, delta)| delta.sent < below)
            .map(|(subject, delta)| (delta.sent, u64::MAX - delta.serial, subject))
            .collect();
        order.sort_unstable_by_key(|(sent, serial, _)| (*sent, *serial));
        let mut picked = Picked::default();
        for (_, _, subject) in order {
            let bytes = self.waiting[subject].bytes;
            if picked.bytes + bytes > limit {
                break;
            }
            picked.bytes += bytes;
            picked.subjects.push(subject.clone());
        }
        for subject in &picked.subjects {
            self.note_sent(subject, times);
        }
        picked
    }

    fn add(&mut self, subject: Subject, bytes: usize) {
        self.serial += 1;
        let delta = Delta { sent: 0, serial: self.serial, bytes };
        self.waiting.insert(subject, delta);
    }

    fn note_sent(&mut self, subject: &Subject, times: u32) {
        let Some(delta) = self.waiting.get_mut(subject) else {
            return;
        };
        delta.sent += 1;
        if delta.sent >= times {
            self.waiting.remove(subject);
        }
    }
}

/// An allowance of bytes that refills with time.
#[derive(Debug)]
pub(crate) struct Allowance {
    left: f64,
    rate: f64,
    burst: f64,
    filled: std::time::Instant,
}

impl Allowance {
    pub(crate) fn new(rate: f64, burst: f64, now: std::time::Instant) -> Allowance {
        Allowance { left: burst, rate, burst, filled: now }
    }

    /// The bytes left now.
    pub(crate) fn left(&mut self, now: std::time::Instant) -> usize {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.left = (self.left + span * self.rate).min(self.burst);
        self.left.max(0.0) as usize
    }

    /// Whether more than half of the burst is left, so that less urgent bytes may go.
    pub(crate) fn is_ample(&self) -> bool {
        self.left > self.burst / 2.0
    }

    /// Takes `bytes`; it may go below zero.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
