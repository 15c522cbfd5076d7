//! The policies of a holder.

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

/// Policies of a holder, each replaceable by another implementation.
pub struct Decisions {
    /// Selects the replica that runs a call.
    pub choice: Box<dyn Choice>,
    /// Creates the concurrency limit of a replica.
    pub limit: fn() -> Box<dyn Limit>,
    /// Creates the queue of a shard.
    pub queue: fn() -> Box<dyn WaitQueue>,
    /// Decides when a call is hedged.
    pub hedge: Box<dyn Hedge>,
    /// Decides which failed calls are retried.
    pub retry: Box<dyn Retry>,
    /// Contains requests that crash targets.
    pub containment: Box<dyn Containment>,
    /// Decides which replicas are warming up and get a reduced share of the calls.
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
