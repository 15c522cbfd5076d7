//! Detection of freezes of this process.
//!
//! After a pause, all timers of the process are overdue at once: pending probes look
//! unanswered, and suspicions look as if nobody had refuted them. If the process acted on
//! that, it would suspect healthy nodes. A tick far later than the previous one
//! distinguishes a freeze of this process from silence of its peers.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Time between two ticks.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(250);

/// Detects freezes by the delay of a periodic tick.
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

    /// Records a tick; returns the time lost if the process was frozen since the last one.
    pub(crate) fn tick(&self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last.replace(now));
        let lost = gap.saturating_sub(TICK_PERIOD);
        if lost <= self.limit {
            return None;
        }
        self.freezes.set(self.freezes.get() + 1);
        Some(lost)
    }

    /// Returns whether the process was frozen since the last tick; does not record a tick.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last.get()).saturating_sub(TICK_PERIOD) > self.limit
    }

    /// Returns the number of detected freezes.
    pub(crate) fn freezes(&self) -> u64 {
        self.freezes.get()
    }
}
