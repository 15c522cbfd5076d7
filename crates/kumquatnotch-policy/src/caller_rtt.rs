//! How far away the callers of a node are.
//!
//! Their time runs from when they send a request, and ends when they have the answer: the
//! way there and back comes off what a node has. It differs from place to place and can't
//! be known beforehand.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

/// How many of the last ways count.
///
/// Callers look up nodes every few seconds, so these are of the last ten seconds or so.
const WINDOW: usize = 64;

/// The fewest ways that count.
const MIN_SAMPLES: usize = 5;

/// The way that is assumed before: a few milliseconds in each direction, as within a region.
///
/// Too long a guess leaves out parts that would have been in time, too short a one makes
/// answers late that would have been worth most: the second is dearer by far.
const INITIAL_RTT: Duration = Duration::from_millis(8);

/// The longest way that is believed.
///
/// A caller that takes longer to close its connection was busy.
const MAX_RTT: Duration = Duration::from_millis(250);

/// The ways to callers and back, as they were measured last.
#[derive(Debug, Default)]
pub struct CallerRtt {
    last: RefCell<VecDeque<Duration>>,
}

impl CallerRtt {
    /// Notes a way.
    pub fn note(&self, rtt: Duration) {
        let mut last = self.last.borrow_mut();
        if last.len() == WINDOW {
            last.pop_front();
        }
        last.push_back(rtt.min(MAX_RTT));
    }

    /// The way of most callers.
    ///
    /// The median: a node that is busy sees some of its callers close late.
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
