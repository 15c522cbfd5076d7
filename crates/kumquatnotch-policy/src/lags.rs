//! How much later than due a node gives its answers.
//!
//! A node that is busy with other requests reads a request later than it comes, and sends an
//! answer later than it is due. Both take about as long, and the second can be measured.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

/// The lag that is assumed before one was measured.
///
/// Measured on nodes with a quarter of a core, at a tenth of their capacity: half of the
/// answers that are given when they are due leave within 1.7 ms, nine of ten within 2.5 ms.
const INITIAL_LAG: Duration = Duration::from_micros(1_700);

/// The longest lag that is believed; an answer that leaves later was late for lack of parts.
const MAX_LAG: Duration = Duration::from_millis(30);

/// How many of the last lags count.
const WINDOW: usize = 32;

/// The fewest lags that count.
const MIN_SAMPLES: usize = 8;

/// How much later than due answers left the node lately.
#[derive(Debug, Default)]
pub struct Lags {
    last: RefCell<VecDeque<Duration>>,
}

impl Lags {
    /// Notes that an answer without some parts left so much later than due.
    pub fn note(&self, overdue: Duration) {
        if overdue > MAX_LAG {
            return;
        }
        let mut last = self.last.borrow_mut();
        if last.len() == WINDOW {
            last.pop_front();
        }
        last.push_back(overdue);
    }

    /// The lag of most.
    ///
    /// The median: some answers leave late for lack of parts, however idle the node is.
    pub fn usual(&self) -> Duration {
        let last = self.last.borrow();
        if last.len() < MIN_SAMPLES {
            return INITIAL_LAG;
        }
        let mut sorted: Vec<Duration> = last.iter().copied().collect();
        let middle = sorted.len() / 2;
        *sorted.select_nth_unstable(middle).1
    }
}
