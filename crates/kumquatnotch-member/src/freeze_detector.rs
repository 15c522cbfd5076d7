//! Noticing that this process itself was frozen.
//!
//! A process that was paused wakes with every timer overdue: probes that were
//! under way look unanswered, and suspicions look as if nobody had refuted
//! them. Acting on that, it would accuse nodes that are well. A beat far later
//! than the one before tells it apart from silence of others.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// The time between two beats.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(250);

/// A beat that shows how late this process runs.
#[derive(Debug)]
pub(crate) struct FreezeDetector {
    last: Cell<Instant>,
    limit: Duration,
    freezes: Cell<u64>,
}

impl FreezeDetector {
    pub(crate) fn new(now: Instant, limit: Duration) -> FreezeDetector {
        FreezeDetector { last: Cell::new(now), limit, freezes: Cell::new(0) }
    }

    /// Beats; the time lost, if the process was frozen since the last beat.
    pub(crate) fn tick(&self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last.replace(now));
        let lost = gap.saturating_sub(TICK_PERIOD);
        if lost <= self.limit {
            return None;
        }
        self.freezes.set(self.freezes.get() + 1);
        Some(lost)
    }

    /// Whether the process was frozen since the last beat, without a beat.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last.get()).saturating_sub(TICK_PERIOD) > self.limit
    }

    /// How many freezes were noticed.
    pub(crate) fn freezes(&self) -> u64 {
        self.freezes.get()
    }
}
