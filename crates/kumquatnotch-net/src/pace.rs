//! How fast a target usually answers, by which a late reply is known.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The lateness assumed before anything was measured.
const FIRST_LATENESS: Duration = Duration::from_millis(300);

/// The least lateness, below which nothing is suspected.
const LEAST_LATENESS: Duration = Duration::from_millis(100);

/// How many starts of answered requests are remembered.
const START_COUNT: usize = 16;

/// The pace of one target for one class.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    mean: Cell<Option<f64>>,
    spread: Cell<f64>,
    starts: RefCell<VecDeque<Instant>>,
}

impl Pace {
    /// Notes a reply to a request that was sent at `start`.
    pub(crate) fn note(&self, start: Instant, now: Instant) {
        let took = now.saturating_duration_since(start).as_secs_f64();
        match self.mean.get() {
            None => {
                self.mean.set(Some(took));
                self.spread.set(took / 2.0);
            }
            // The weights are those of the retransmission timer of TCP (RFC 6298).
            Some(mean) => {
                self.spread.set(0.75 * self.spread.get() + 0.25 * (mean - took).abs());
                self.mean.set(Some(0.875 * mean + 0.125 * took));
            }
        }
        let mut starts = self.starts.borrow_mut();
        if starts.len() == START_COUNT {
            starts.pop_front();
        }
        starts.push_back(start);
    }

    /// The time after which a reply is late.
    pub(crate) fn lateness(&self) -> Duration {
        match self.mean.get() {
            None => FIRST_LATENESS,
            Some(mean) => {
                let late = Duration::from_secs_f64(mean + 4.0 * self.spread.get());
                late.max(LEAST_LATENESS)
            }
        }
    }

    /// How many of the last answered requests were sent after `start`.
    pub(crate) fn overtaken(&self, start: Instant) -> usize {
        self.starts.borrow().iter().filter(|other| **other > start).count()
    }
}
