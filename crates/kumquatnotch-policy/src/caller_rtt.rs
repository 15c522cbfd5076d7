//! Round-trip time between a node and its callers.
//!
//! A caller's time runs from sending a request until it has the answer, so the round trip reduces
//! the time that a node has. It varies with location and cannot be known in advance.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

/// Number of recent samples.
///
/// Callers look up nodes every few seconds, so these cover the last ten seconds or so.
const WINDOW: usize = 64;

/// Minimum number of samples.
const MIN_SAMPLES: usize = 5;

/// Round trip assumed with fewer samples: a few milliseconds in each direction, as within a region.
///
/// If it is too long, parts are left out that would have been in time. If it is too short, answers
/// are late that would have been worth most, which costs far more.
const INITIAL_RTT: Duration = Duration::from_millis(8);

/// Maximum recorded round trip.
///
/// A caller that takes longer to close its connection was busy.
const MAX_RTT: Duration = Duration::from_millis(250);

/// Recent round trips to callers.
#[derive(Debug, Default)]
pub struct CallerRtt {
    last: RefCell<VecDeque<Duration>>,
}

impl CallerRtt {
    /// Records a round trip.
    pub fn note(&self, rtt: Duration) {
        let mut last = self.last.borrow_mut();
        if last.len() == WINDOW {
            last.pop_front();
        }
        last.push_back(rtt.min(MAX_RTT));
    }

    /// Round trip of a typical caller.
    ///
    /// The median is used because a busy node sees some of its callers close late.
    pub fn usual(&self) -> Duration {
        let last = self.last.borrow();
        if last.len() < MIN_SAMPLES {
            return INITIAL_RTT;
        }
        let mut sorted: Vec<Duration> = last.iter().copied().collect();
        let middle = sorted.len() / 2;
        *sorted.select_nth_unstable(middle).1
    }
}
