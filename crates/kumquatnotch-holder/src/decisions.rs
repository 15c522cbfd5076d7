//! The decisions that a holder is put together with.

use kumquatnotch_policy::{
    choice::{Choice, LeastTime},
    containment::{Containment, StrikeContainment},
    fair::FairQueue,
    hedge::{Hedge, QuantileHedge},
    limit::{LearnedLimit, Limit},
    queue::WaitQueue,
    replica::{GradualWarmup, Warmup},
    retry::{BudgetRetry, Retry},
};

/// The decisions of a holder; any can be replaced by another of its kind.
pub struct Decisions {
    /// Which replica runs a call.
    pub choice: Box<dyn Choice>,
    /// Makes the limit of a replica.
    pub limit: fn() -> Box<dyn Limit>,
    /// Makes the queue of a shard.
    pub queue: fn() -> Box<dyn WaitQueue>,
    /// When a second copy is sent.
    pub hedge: Box<dyn Hedge>,
    /// What is tried again.
    pub retry: Box<dyn Retry>,
    /// What is kept from targets.
    pub containment: Box<dyn Containment>,
    /// Which replicas get a small share only.
    pub warmup: Box<dyn Warmup>,
}

impl Default for Decisions {
    fn default() -> Decisions {
        Decisions {
            choice: Box::new(LeastTime),
            limit: || Box::new(LearnedLimit::default()),
            queue: || Box::new(FairQueue::default()),
            hedge: Box::new(QuantileHedge::default()),
            retry: Box::new(BudgetRetry::default()),
            containment: Box::new(StrikeContainment::default()),
            warmup: Box::new(GradualWarmup),
        }
    }
}
