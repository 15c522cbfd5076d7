//! Counts of calls to a dependency, by kind and outcome.
//!
//! The counts are exported as metrics. They are also logged every few seconds, one line per
//! kind that was called, so that the load on the dependency can be reconstructed from the logs.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use kumquatnotch_core::{Clock, clock};

/// Interval between log reports.
///
/// With seven kinds of calls, each node logs less than one line per second.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The dependency answered, whatever the answer.
    Answered,
    /// The dependency refused the call.
    Refused,
    /// No answer arrived in time, or the connection was closed.
    Unanswered,
}

/// Number of calls of one kind, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Answered calls.
    pub answered: u64,
    /// Refused calls.
    pub refused: u64,
    /// Calls without an answer.
    pub unanswered: u64,
}

/// Counts the calls to a dependency.
pub struct CallCounts {
    dependency: &'static str,
    counts: RefCell<BTreeMap<&'static str, Count>>,
}

impl CallCounts {
    /// Creates empty counts for the dependency with this name.
    pub fn new(dependency: &'static str) -> Rc<CallCounts> {
        Rc::new(CallCounts { dependency, counts: RefCell::default() })
    }

    /// Records a call.
    pub fn record(&self, kind: &'static str, outcome: Outcome) {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(kind).or_default();
        let (count, label) = match outcome {
            Outcome::Answered => (&mut count.answered, "answered"),
            Outcome::Refused => (&mut count.refused, "refused"),
            Outcome::Unanswered => (&mut count.unanswered, "unanswered"),
        };
        *count += 1;
        metrics::counter!(
            "kumquatnotch_calls_total",
            "to" => self.dependency, "kind" => kind, "outcome" => label
        )
        .increment(1);
    }

    /// Returns the counts by kind since the last call of this method, and resets them.
    pub fn take(&self) -> BTreeMap<&'static str, Count> {
        std::mem::take(&mut *self.counts.borrow_mut())
    }

    /// Logs the counts periodically; never returns.
    pub async fn report(self: Rc<CallCounts>, clock: Rc<dyn Clock>) {
        loop {
            clock::sleep(&*clock, LOG_PERIOD).await;
            self.write();
        }
    }

    /// Logs the counts since the last report, and resets them.
    pub fn write(&self) {
        for (kind, Count { answered, refused, unanswered }) in self.take() {
            tracing::info!(
                to = self.dependency,
                kind,
                answered,
                refused,
                unanswered,
                "calls: made"
            );
        }
    }
}
