//! How often one request is sent to the replicas of a service.
//!
//! A request that may run more than once is hedged when its reply is late and retried after a
//! failure, as far as its route and the budget allow. Any other request is sent again only if it is
//! certain that no replica has run it.

use std::time::Instant;

/// Maximum number of replicas that may reject a request.
///
/// Each rejection takes a repeat out of the budget, so this bounds how much of it one request uses.
const MAX_REJECTIONS: u32 = 3;

/// What the route of a request allows.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of replicas that may run it.
    pub attempts: u32,
    /// When its time is over.
    pub deadline: Instant,
}

/// Outcome of an attempt without a usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica reported a failure.
    Failed,
    /// The replica reported that it did not run the request.
    Rejected,
    /// Nothing was sent.
    NotSent,
    /// The request was sent, and whether it has run is unknown.
    Lost,
}

/// What is known of a request without a usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A replica failed.
    Failed,
    /// It may have run.
    Unknown,
    /// No replica has run it.
    NotRun,
}

/// Attempts at one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Number of attempts that a replica may have run.
    runs: u32,
    rejections: u32,
    lost: bool,
    failed: bool,
}

impl Attempts {
    /// Records the outcome of an attempt.
    pub fn note(&mut self, outcome: AttemptOutcome) {
        match outcome {
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

    /// Whether another attempt may follow now that none is running.
    pub fn may_try_again(&self, allowed: Allowance, now: Instant) -> bool {
        if self.runs > 0 && !allowed.is_idempotent {
            return false;
        }
        self.runs < allowed.attempts && self.rejections < MAX_REJECTIONS && now < allowed.deadline
    }

    /// Whether a hedge may be sent while this number of attempts is running.
    pub fn may_hedge(&self, allowed: Allowance, running: u32) -> bool {
        allowed.is_idempotent && self.runs + running < allowed.attempts
    }

    /// What is known of the request if no other attempt follows.
    pub fn verdict(&self) -> Verdict {
        match (self.failed, self.lost) {
            (true, _) => Verdict::Failed,
            (false, true) => Verdict::Unknown,
            (false, false) => Verdict::NotRun,
        }
    }
}
