//! When a search is answered with the parts that are in.
//!
//! Callers get most from an answer that is whole and in time. A shard that is late costs
//! the answer its part; waiting for it costs the whole answer its time. So an answer is
//! given when all parts are in, or when waiting any longer would make it late and enough
//! of them are.

use std::time::Duration;

/// How long a late answer waits for more parts once it has enough of them.
///
/// About the time that a part takes; the parts of a shard group come together. It is
/// late already: a moment more costs nothing and makes it fuller.
const LATE_GRACE: Duration = Duration::from_millis(20);

/// What a search does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It waits for more parts.
    Wait,
    /// It is late, has enough, and waits for this much longer.
    Grace(Duration),
    /// It is answered.
    Answer,
}

/// The end of one search.
#[derive(Debug)]
pub struct Completion {
    /// How many shards there are.
    total: usize,
    /// How many parts an answer must have at least.
    min_parts: usize,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// An answer would be in time.
    Early,
    /// An answer would be late, and there are too few parts.
    Late,
    /// Time is over as soon as there are enough parts.
    Due,
}

impl Completion {
    /// A search over `total` shards whose answer needs `min_parts` parts.
    pub fn new(total: usize, min_parts: usize) -> Completion {
        Completion { total, min_parts, stage: Stage::Early }
    }

    /// Notes that the time is over in which the answer is worth most, or in which it
    /// lingers.
    pub fn note_due(&mut self, parts: usize) {
        self.stage = if parts < self.min_parts { Stage::Late } else { Stage::Due };
    }

    /// What comes next with so many parts.
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

    /// Whether shards that failed elsewhere are worth another try, with so many parts in
    /// and so many to come.
    ///
    /// They come too late to make an answer in time fuller, so only if there is none
    /// without them.
    pub fn needs_retry(&self, parts: usize, to_come: usize) -> bool {
        parts + to_come < self.min_parts
    }
}
