//! When a search is answered with the parts received so far.
//!
//! An answer is worth most if it is complete and in time. A late shard costs the answer one part;
//! waiting for it makes the whole answer late. The answer is therefore given when all parts have
//! arrived, or when further waiting would make it late and enough parts have arrived.

use std::time::Duration;

/// How long a late answer waits for more parts once it has enough of them.
///
/// About the time that a part takes, as the parts of a shard group arrive together. The answer is
/// late already: waiting a moment longer costs nothing and makes it more complete.
const LATE_GRACE: Duration = Duration::from_millis(20);

/// Next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Wait for more parts.
    Wait,
    /// Wait this much longer: the answer is late and has enough parts.
    Grace(Duration),
    /// Give the answer.
    Answer,
}

/// Decides when one search ends.
#[derive(Debug)]
pub struct Completion {
    /// Number of shards.
    total: usize,
    /// Minimum number of parts in an answer.
    min_parts: usize,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// An answer would be in time.
    Early,
    /// An answer would be late, and there were too few parts when it was due.
    Late,
    /// The answer is given as soon as there are enough parts.
    Due,
}

impl Completion {
    /// Creates the state of a search over `total` shards whose answer needs `min_parts` parts.
    pub fn new(total: usize, min_parts: usize) -> Completion {
        Completion { total, min_parts, stage: Stage::Early }
    }

    /// Records that the answer is due, or that the grace period has ended.
    pub fn note_due(&mut self, parts: usize) {
        self.stage = if parts < self.min_parts { Stage::Late } else { Stage::Due };
    }

    /// Returns the next step with this number of parts.
    pub fn next(&mut self, parts: usize) -> Next {
        if parts >= self.total {
            return Next::Answer;
        }
        if parts < self.min_parts {
            return Next::Wait;
        }
        match self.stage {
            Stage::Early => Next::Wait,
            Stage::Due => Next::Answer,
            Stage::Late => {
                self.stage = Stage::Early;
                Next::Grace(LATE_GRACE)
            }
        }
    }

    /// Whether to retry shards that failed elsewhere, given the number of parts received and
    /// outstanding.
    ///
    /// They would be too late for an answer in time, so they are retried only if there is no answer
    /// without them.
    pub fn needs_retry(&self, parts: usize, to_come: usize) -> bool {
        parts + to_come < self.min_parts
    }
}
