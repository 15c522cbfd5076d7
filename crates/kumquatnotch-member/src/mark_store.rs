//! The marks that this node knows.
//!
//! A mark must end by itself, so circulation must not keep it alive. Each
//! setting or renewal draws a stamp, and a node adopts a stamp once in its life:
//! a copy that comes back, however late, changes nothing. What a stamp can gain
//! is the time its messages travel, once for each node it passes, and never
//! more, as the time left is counted anew from what the sender had left.
//!
//! The stamp of a mark is remembered for [`STAMP_MEMORY`] after its end. Only a
//! node that was suspended for longer, by a host that stopped its clock too,
//! can bring the mark back, for the time that it had left then.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    collections::HashMap,
    marks::{Mark, MarkKind, MarkUpdate},
};

const STAMP_MEMORY: Duration = Duration::from_secs(600);

/// A renewal by less than this share of the time left is not worth its messages.
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

    /// Sets or renews a mark; what has to be told to others.
    ///
    /// Several nodes notice the same fact, and renew it often; as long as at least
    /// half of the time asked for is left, nothing is told.
    pub(crate) fn set(&mut self, mark: &Mark, stamp: u64, now: Instant) -> Option<MarkUpdate> {
        let held = self.left(&mark.kind, now).unwrap_or_default();
        let asked = self.capped(mark.left_ms);
        if held >= asked.mul_f64(RENEWAL_SHARE) {
            return None;
        }
        let update = MarkUpdate { mark: mark.clone(), stamp };
        self.adopt(&update, now).then_some(update)
    }

    /// Adopts a mark of a peer; whether it is new and travels on.
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
        self.seen.insert(update.stamp, until + STAMP_MEMORY);
        let longer = self.marks.get(kind).is_none_or(|held| held.until < until);
        if longer {
            self.marks.insert(kind.clone(), StoredMark { until, stamp: update.stamp });
        }
        longer
    }

    /// The time left of a mark.
    pub(crate) fn left(&self, kind: &MarkKind, now: Instant) -> Option<Duration> {
        let held = self.marks.get(kind)?;
        let left = held.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// A mark as it is sent now.
    pub(crate) fn update_for(&self, kind: &MarkKind, now: Instant) -> Option<MarkUpdate> {
        let stamp = self.marks.get(kind)?.stamp;
        let left_ms = self.left(kind, now)?.as_millis() as u64;
        Some(MarkUpdate { mark: Mark { kind: kind.clone(), left_ms }, stamp })
    }

    /// Every mark as it is sent now.
    pub(crate) fn all(&self, now: Instant) -> Vec<MarkUpdate> {
        self.marks.keys().filter_map(|kind| self.update_for(kind, now)).collect()
    }

    /// Drops what has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.marks.retain(|_, held| held.until > now);
        self.seen.retain(|_, until| *until > now);
    }

    fn capped(&self, left_ms: u64) -> Duration {
        Duration::from_millis(left_ms).min(self.max_ttl)
    }
}
