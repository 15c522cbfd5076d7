//! Counts of the calls to a dependency, by kind and by how they ended.
//!
//! They are metrics, and a line of the log every few seconds for each kind that was
//! called, from which it can be told later what the nodes asked of the dependency.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use kumquatnotch_core::{Clock, clock};

/// How often the counts are written to the log.
///
/// With seven kinds of calls this is less than a line a second for each node.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The dependency answered, whatever it said.
    Answered,
    /// It said that it does not take the call.
    Refused,
    /// No answer came in time, or the connection ended.
    Unanswered,
}

/// The calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Those that were answered.
    pub answered: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those without an answer.
    pub unanswered: u64,
}

/// Counts of the calls to a dependency.
pub struct CallCounts {
    dependency: &'static str,
    counts: RefCell<BTreeMap<&'static str, Count>>,
}

impl CallCounts {
    /// No calls yet to the dependency of this name.
    pub fn new(dependency: &'static str) -> Rc<CallCounts> {
        Rc::new(CallCounts { dependency, counts: RefCell::default() })
    }

    /// Counts a call.
    pub fn note(&self, kind: &'static str, outcome: Outcome) {
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

    /// The calls since the last time, by kind.
    pub fn take(&self) -> BTreeMap<&'static str, Count> {
        std::mem::take(&mut *self.counts.borrow_mut())
    }

    /// Writes the counts to the log, now and then, for good.
    pub async fn report(self: Rc<CallCounts>, clock: Rc<dyn Clock>) {
        loop {
            clock::sleep(&*clock, LOG_PERIOD).await;
            self.write();
        }
    }

    /// Writes the counts since the last time to the log.
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
