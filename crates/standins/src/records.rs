//! What the targets ran, for checks of histories.

use kumquatnotch_core::ids::{IndexVersion, ShardName, TargetName, TenantName};
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It still runs.
    Running,
    /// It ran to its end.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    Expired,
    /// It was lost when the target crashed.
    Lost,
}

/// One run: a request that got a slot. What was refused is not recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    /// The target.
    pub target: TargetName,
    /// The life of the target.
    pub incarnation: u64,
    /// The id under which it could be cancelled.
    pub id: u64,
    /// The shard.
    pub shard: ShardName,
    /// The version asked for.
    pub version: Option<IndexVersion>,
    /// The tenant.
    pub tenant: TenantName,
    /// The request as JSON text.
    pub body: String,
    /// Whether it had to run at most once.
    pub exclusive: bool,
    /// When it came, in microseconds.
    pub arrived_us: u64,
    /// When it got its slot, in microseconds.
    pub start_us: u64,
    /// When it ended, in microseconds; zero while it runs.
    pub end_us: u64,
    /// Its slot.
    pub slot: usize,
    /// How many requests ran at its start, itself too.
    pub running: usize,
    /// How it ended.
    pub end: RunEnd,
}

/// A request that a draining target refused.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The target.
    pub target: TargetName,
    /// When it came, in microseconds.
    pub arrived_us: u64,
}

/// The runs of all targets of a process, and counts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunLog {
    /// The runs, in the order of their starts.
    pub runs: Vec<RunRecord>,
    /// The requests that draining targets refused.
    pub drained: Vec<Refusal>,
    /// Connections over a target's limit.
    pub over_limit: u64,
    /// Requests refused because a target's queue was full or it shed all.
    pub shed: u64,
}
