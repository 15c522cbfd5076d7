//! The marks known to this node.
//!
//! A mark must expire even while it is gossiped. Each setting or renewal therefore draws a
//! random stamp, and a node adopts a stamp only once, so a duplicate that arrives later has
//! no effect. The lifetime of a mark can grow only by the transit time of its messages, once
//! per node that it passes, as each node counts the remaining time from the time left at
//! the sender.
//!
//! The stamp of a mark is remembered for [`STAMP_RETENTION`] after it expires. Only a node
//! that was suspended for longer, on a host that also stopped its clock, can reintroduce
//! the mark, for the time that was left at the suspension.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    collections::HashMap,
    marks::{Mark, MarkKind, MarkUpdate},
};

const STAMP_RETENTION: Duration = Duration::from_secs(600);

/// A mark is renewed only if its remaining time is below this fraction of the requested
/// time.
///
/// Smaller renewals would not justify the cost of their messages.
const RENEWAL_SHARE: f64 = 0.5;

/// The marks by kind.
#[derive(Debug)]
pub(crate) struct MarkStore {
    marks: HashMap<MarkKind, StoredMark>,
    seen: HashMap<u64, Instant>,
    limit: usize,
    max_ttl: Duration,
}

#[derive(Clone, Copy, Debug)]
struct StoredMark {
    until: Instant,
    stamp: u64,
}

impl MarkStore {
    pub(crate) fn new(limit: usize, max_ttl: Duration) -> MarkStore {
        MarkStore { marks: HashMap::default(), seen: HashMap::default(), limit, max_ttl }
    }

    /// Sets or renews a mark; returns the update to send to other nodes.
    ///
    /// Several nodes observe the same condition and renew its mark often. No update is sent
    /// while at least half of the requested time is left.
    pub(crate) fn set(&mut self, mark: &Mark, stamp: u64, now: Instant) -> Option<MarkUpdate> {
        let held = self.left(&mark.kind, now).unwrap_or_default();
        let requested = self.capped(mark.left_ms);
        if held >= requested.mul_f64(RENEWAL_SHARE) {
            return None;
        }
        let update = MarkUpdate { mark: mark.clone(), stamp };
        self.adopt(&update, now).then_some(update)
    }

    /// Adopts a mark of a peer; returns true if it is new and has to be forwarded.
    pub(crate) fn adopt(&mut self, update: &MarkUpdate, now: Instant) -> bool {
        if update.mark.left_ms == 0 || self.seen.contains_key(&update.stamp) {
            return false;
        }
        let kind = &update.mark.kind;
        let full = self.marks.len() >= self.limit && !self.marks.contains_key(kind);
        if full {
            metrics::counter!("kumquatnotch_marks_refused_total").increment(1);
            return false;
        }
        let until = now + self.capped(update.mark.left_ms);
        self.seen.insert(update.stamp, until + STAMP_RETENTION);
        let longer = self.marks.get(kind).is_none_or(|held| held.until < until);
        if longer {
            self.marks.insert(kind.clone(), StoredMark { until, stamp: update.stamp });
        }
        longer
    }

    /// Returns the remaining time of a mark.
    pub(crate) fn left(&self, kind: &MarkKind, now: Instant) -> Option<Duration> {
        let held = self.marks.get(kind)?;
        let left = held.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns a mark in its form for sending.
    pub(crate) fn update_for(&self, kind: &MarkKind, now: Instant) -> Option<MarkUpdate> {
        let stamp = self.marks.get(kind)?.stamp;
        let left_ms = self.left(kind, now)?.as_millis() as u64;
        Some(MarkUpdate { mark: Mark { kind: kind.clone(), left_ms }, stamp })
    }

    /// Returns all marks in their form for sending.
    pub(crate) fn all(&self, now: Instant) -> Vec<MarkUpdate> {
        self.marks.keys().filter_map(|kind| self.update_for(kind, now)).collect()
    }

    /// Removes expired marks and stamps.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.marks.retain(|_, held| held.until > now);
        self.seen.retain(|_, until| *until > now);
    }

    fn capped(&self, left_ms: u64) -> Duration {
        Duration::from_millis(left_ms).min(self.max_ttl)
    }
}
