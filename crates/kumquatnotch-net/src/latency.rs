//! How fast a target usually answers, by which a late reply is known.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The lateness assumed before anything was measured.
const INITIAL_LATE_THRESHOLD: Duration = Duration::from_millis(300);

/// The least lateness, below which nothing is suspected.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// How many starts of answered requests are remembered.
const START_HISTORY: usize = 16;

/// The pace of one target for one class.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimator {
    mean: Cell<Option<f64>>,
    deviation: Cell<f64>,
    starts: RefCell<VecDeque<Instant>>,
}

impl LatencyEstimator {
    /// Notes a reply to a request that was sent at `start`.
    pub(crate) fn note(&self, start: Instant, now: Instant) {
        let took = now.saturating_duration_since(start).as_secs_f64();
        match self.mean.get() {
            None => {
                self.mean.set(Some(took));
                self.deviation.set(took / 2.0);
            }
            // The weights are those of the retransmission timer of TCP (RFC 6298).
            Some(mean) => {
                self.deviation.set(0.75 * self.deviation.get() + 0.25 * (mean - took).abs());
                self.mean.set(Some(0.875 * mean + 0.125 * took));
            }
        }
        let mut starts = self.starts.borrow_mut();
        if starts.len() == START_HISTORY {
            starts.pop_front();
        }
        starts.push_back(start);
    }

    /// The time after which a reply is late.
    pub(crate) fn late_threshold(&self) -> Duration {
        match self.mean.get() {
            None => INITIAL_LATE_THRESHOLD,
            Some(mean) => {
                let late = Duration::from_secs_f64(mean + 4.0 * self.deviation.get());
                late.max(MIN_LATE_THRESHOLD)
            }
        }
    }

    /// How many of the last answered requests were sent after `start`.
    pub(crate) fn replies_after(&self, start: Instant) -> usize {
        self.starts.borrow().iter().filter(|other| **other > start).count()
    }
}
