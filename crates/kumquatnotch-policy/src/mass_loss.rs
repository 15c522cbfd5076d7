//! Whether the lost parts of a search are asked for again.
//!
//! A search whose parts are lost at several shards at once may have crashed the replicas that ran
//! it. If all of its lost parts were sent to the other replicas at once, it would take these with
//! it, and nothing would be left of any shard. So the first lost parts are sent again, and the
//! others wait until one of these has been replied to. If a rack was lost for another reason, they
//! wait for the time of one reply.

use std::cell::{Cell, RefCell};

use crate::crashes::Crash;

/// Number of lost parts from which on others wait.
const MIN_LOSSES: u32 = 3;

/// What to do with a lost part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// Send it again.
    Retry,
    /// Wait for the reply to another one.
    Wait,
    /// Do not send it again.
    GiveUp,
}

/// Lost parts of one search.
#[derive(Debug, Default)]
pub struct MassLoss {
    losses: Cell<u32>,
    /// The replicas with which the first parts were lost.
    replicas: RefCell<Vec<Crash>>,
    /// Number of parts that were sent again and have no outcome yet.
    running: Cell<u32>,
    replied: Cell<bool>,
}

impl MassLoss {
    /// Creates the state of a search that is known to do no harm.
    pub fn harmless() -> MassLoss {
        MassLoss { replied: Cell::new(true), ..MassLoss::default() }
    }

    /// Records that a part was lost: sent, and the connection broke before its reply.
    ///
    /// Returns the replicas with which parts were lost when there are so many for the first time
    /// that the search itself may be the reason.
    pub fn note_lost(&self, replica: Option<Crash>) -> Option<Vec<Crash>> {
        let was_alarming = self.is_alarming();
        self.losses.set(self.losses.get() + 1);
        self.replicas.borrow_mut().extend(replica.filter(|_| !was_alarming));
        (!was_alarming && self.is_alarming()).then(|| self.replicas.take())
    }

    /// Whether so many parts were lost that the search itself may be the reason.
    pub fn is_alarming(&self) -> bool {
        self.losses.get() >= MIN_LOSSES && !self.replied.get()
    }

    /// Returns what to do with a lost part.
    pub fn advice(&self) -> Advice {
        match () {
            () if !self.is_alarming() => Advice::Retry,
            () if self.running.get() > 0 => Advice::Wait,
            () => Advice::GiveUp,
        }
    }

    /// Records that a lost part is sent again.
    pub fn begin_retry(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Records the outcome of a part that was sent again.
    pub fn end_retry(&self, replied: bool) {
        self.running.set(self.running.get().saturating_sub(1));
        self.replied.set(self.replied.get() || replied);
    }
}
