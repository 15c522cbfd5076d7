//! How often one request is sent to the replicas of a service.
//!
//! A request that may run more than once gets a copy when its reply is late and another
//! try after a failure, as far as its route and the budget allow. One that may not is
//! sent again only if it is certain that no replica has run it.

use std::time::Instant;

/// The most replicas that are tried without any having run the request.
///
/// Each rejection costs a repeat of the budget, so this bounds what one request
/// takes from the others.
const MAX_REJECTIONS: u32 = 3;

/// What the route of a request allows.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The most replicas that may run it.
    pub attempts: u32,
    /// When its time is over.
    pub deadline: Instant,
}

/// How an attempt ended that brought no reply a caller can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica failed, and says so.
    Failed,
    /// The replica did not run it, by its own word.
    Rejected,
    /// Nothing was sent.
    NotSent,
    /// It was sent, and whether it has run is unknown.
    Lost,
}

/// What may be said of a request that got no reply a caller can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A replica failed.
    Failed,
    /// It may have run.
    Unknown,
    /// No replica has run it.
    NotRun,
}

/// The attempts at one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Those that a replica may have run.
    runs: u32,
    rejections: u32,
    lost: bool,
    failed: bool,
}

impl Attempts {
    /// Notes how an attempt ended.
    pub fn note(&mut self, ending: AttemptOutcome) {
        match ending {
            AttemptOutcome::Failed => {
                self.runs += 1;
                self.failed = true;
            }
            AttemptOutcome::Rejected => self.rejections += 1,
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Lost => {
                self.runs += 1;
                self.lost = true;
            }
        }
    }

    /// Whether an attempt has reached a replica, so that the next one is a repeat.
    pub fn has_arrived(&self) -> bool {
        self.runs + self.rejections > 0
    }

    /// Whether another one may follow now that none is running.
    pub fn may_try_again(&self, allowed: Allowance, now: Instant) -> bool {
        if self.runs > 0 && !allowed.is_idempotent {
            return false;
        }
        self.runs < allowed.attempts && self.rejections < MAX_REJECTIONS && now < allowed.deadline
    }

    /// Whether a copy may be sent while so many are running.
    pub fn may_hedge(&self, allowed: Allowance, running: u32) -> bool {
        allowed.is_idempotent && self.runs + running < allowed.attempts
    }

    /// What may be said of the request if no other attempt follows.
    pub fn verdict(&self) -> Verdict {
        match (self.failed, self.lost) {
            (true, _) => Verdict::Failed,
            (false, true) => Verdict::Unknown,
            (false, false) => Verdict::NotRun,
        }
    }
}
