//! Estimates the usual latency of a target, to detect late replies.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Late threshold before the first reply.
const INITIAL_LATE_THRESHOLD: Duration = Duration::from_millis(300);

/// Minimum late threshold; no faster reply is treated as late.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// Number of answered requests whose start times are kept.
const START_HISTORY: usize = 16;

/// Moving averages of the latency of a target and of its deviation.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimator {
    mean: Cell<Option<f64>>,
    deviation: Cell<f64>,
    starts: RefCell<VecDeque<Instant>>,
}

impl LatencyEstimator {
    /// Records a reply to a request that was sent at `start`.
    pub(crate) fn record(&self, start: Instant, now: Instant) {
        let elapsed = now.saturating_duration_since(start).as_secs_f64();
        match self.mean.get() {
            None => {
                self.mean.set(Some(elapsed));
                self.deviation.set(elapsed / 2.0);
            }
            // The weights are those of the TCP retransmission timer (RFC 6298).
            Some(mean) => {
                self.deviation.set(0.75 * self.deviation.get() + 0.25 * (mean - elapsed).abs());
                self.mean.set(Some(0.875 * mean + 0.125 * elapsed));
            }
        }
        let mut starts = self.starts.borrow_mut();
        if starts.len() == START_HISTORY {
            starts.pop_front();
        }
        starts.push_back(start);
    }

    /// Returns the latency above which a reply is late.
    pub(crate) fn late_threshold(&self) -> Duration {
        match self.mean.get() {
            None => INITIAL_LATE_THRESHOLD,
            Some(mean) => {
                let late = Duration::from_secs_f64(mean + 4.0 * self.deviation.get());
                late.max(MIN_LATE_THRESHOLD)
            }
        }
    }

    /// Returns the number of recently answered requests that were sent after `start`.
    pub(crate) fn replies_after(&self, start: Instant) -> usize {
        self.starts.borrow().iter().filter(|other| **other > start).count()
    }
}
