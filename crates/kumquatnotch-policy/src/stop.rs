//! Stop rule: when a query stops waiting for its last shards.
//!
//! The slowest shard determines the latency of a query. A tenant specifies the share of the
//! deadline after which it prefers an answer with enough coverage to waiting for the remaining
//! shards. The answer then states that it was stopped early, and what is missing.

use std::time::Duration;

use kumquatnotch_core::document::StopSpec;

/// Progress of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Time since it was admitted.
    pub elapsed: Duration,
    /// Time that it has in total.
    pub deadline: Duration,
    /// Number of shards to query.
    pub asked: u32,
    /// Number of shards that answered.
    pub covered: u32,
    /// Number of shards that may still answer.
    pub open: u32,
}

/// Decides when a query stops waiting.
pub trait StopRule {
    /// Time after the start from which a partial answer is useful.
    fn patience(&self, spec: &StopSpec, deadline: Duration) -> Duration;

    /// Whether the query ends with the parts that it has.
    fn is_enough(&self, spec: &StopSpec, progress: &Progress) -> bool;

    /// Whether the coverage could still suffice if all open shards answered.
    fn can_suffice(&self, spec: &StopSpec, progress: &Progress) -> bool;
}

/// Stops according to the tenant's trade-off between coverage and time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantStop;

impl StopRule for TenantStop {
    fn patience(&self, spec: &StopSpec, deadline: Duration) -> Duration {
        // A tenant that requires every shard cannot use a partial answer before its deadline, so
        // holders need not shorten theirs.
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

/// Waits for every shard until the deadline. The baseline.
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

/// Limits a fraction to its range. Documents are validated on acceptance; an invalid value must not
/// panic here.
fn clamp_fraction(value: f64) -> f64 {
    if value.is_nan() { 1.0 } else { value.clamp(0.0, 1.0) }
}
