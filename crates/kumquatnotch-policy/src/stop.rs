//! The stop rule: when a query stops waiting for its last shards.
//!
//! The slowest shard sets the latency of a query. A tenant states after which
//! share of the deadline an answer that covers enough is worth more to it than
//! the shards still open; the answer then says that it was stopped, and what is
//! missing.

use std::time::Duration;

use kumquatnotch_core::document::StopSpec;

/// How far a query has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The time since it was taken in.
    pub elapsed: Duration,
    /// The time it has in all.
    pub deadline: Duration,
    /// How many shards it must be asked for.
    pub asked: u32,
    /// How many of them answered.
    pub covered: u32,
    /// How many of them may still answer.
    pub open: u32,
}

/// Decides when a query stops waiting.
pub trait StopRule {
    /// When, after its start, partial answers are first of use.
    fn patience(&self, spec: &StopSpec, deadline: Duration) -> Duration;

    /// Whether the query ends with what it has.
    fn is_enough(&self, spec: &StopSpec, progress: &Progress) -> bool;

    /// Whether the query could still end with enough, if all that is open answers.
    fn can_suffice(&self, spec: &StopSpec, progress: &Progress) -> bool;
}

/// Stops by the tenant's own trade of coverage against time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantStop;

impl StopRule for TenantStop {
    fn patience(&self, spec: &StopSpec, deadline: Duration) -> Duration {
        // A tenant that wants every shard has no use for a partial answer before
        // its deadline, and holders then need not cut theirs short.
        if required_coverage(spec) >= 1.0 {
            return deadline;
        }
        deadline.mul_f64(clamp_fraction(spec.patience))
    }

    fn is_enough(&self, spec: &StopSpec, progress: &Progress) -> bool {
        if progress.open == 0 {
            return true;
        }
        if progress.covered == 0 || progress.elapsed < self.patience(spec, progress.deadline) {
            return false;
        }
        f64::from(progress.covered) >= required_coverage(spec) * f64::from(progress.asked)
    }

    fn can_suffice(&self, spec: &StopSpec, progress: &Progress) -> bool {
        let most = progress.covered + progress.open;
        f64::from(most) >= required_coverage(spec) * f64::from(progress.asked)
    }
}

/// Waits for every shard until the deadline; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitForAll;

impl StopRule for WaitForAll {
    fn patience(&self, _spec: &StopSpec, deadline: Duration) -> Duration {
        deadline
    }

    fn is_enough(&self, _spec: &StopSpec, progress: &Progress) -> bool {
        progress.open == 0
    }

    fn can_suffice(&self, _spec: &StopSpec, _progress: &Progress) -> bool {
        true
    }
}

fn required_coverage(spec: &StopSpec) -> f64 {
    clamp_fraction(spec.enough)
}

/// Operators' numbers are checked on acceptance; a wrong one must not panic here.
fn clamp_fraction(value: f64) -> f64 {
    if value.is_nan() { 1.0 } else { value.clamp(0.0, 1.0) }
}
