//! Records of the requests that the targets ran, for history checkers.

use kumquatnotch_core::ids::{IndexVersion, ShardName, TargetName, TenantName};
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// Still running.
    Running,
    /// Completed.
    Done,
    /// Cancelled by the client.
    Cancelled,
    /// Stopped at its deadline.
    Expired,
    /// Lost when the target crashed.
    Lost,
}

/// A run: a request that was granted a slot. Refused requests are not recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    /// The target.
    pub target: TargetName,
    /// The incarnation of the target.
    pub incarnation: u64,
    /// The id used to cancel the request.
    pub id: u64,
    /// The shard.
    pub shard: ShardName,
    /// The requested version.
    pub version: Option<IndexVersion>,
    /// The tenant.
    pub tenant: TenantName,
    /// The request body as JSON text.
    pub body: String,
    /// Whether the request must run at most once.
    pub exclusive: bool,
    /// Arrival time, in microseconds.
    pub arrived_us: u64,
    /// Time at which the slot was granted, in microseconds.
    pub start_us: u64,
    /// End time, in microseconds; zero while it runs.
    pub end_us: u64,
    /// The number of its slot.
    pub slot: usize,
    /// Number of running requests at its start, including itself.
    pub running: usize,
    /// How it ended.
    pub end: RunEnd,
}

/// A request refused by a draining target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The target.
    pub target: TargetName,
    /// Arrival time, in microseconds.
    pub arrived_us: u64,
}

/// The runs of all targets of a process, with counts of refused requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunLog {
    /// The runs, in order of their start.
    pub runs: Vec<RunRecord>,
    /// The requests refused by draining targets.
    pub drained: Vec<Refusal>,
    /// Number of connections opened beyond a target's limit.
    pub over_limit: u64,
    /// Number of requests refused because the queue was full, the connection was over the
    /// limit, or the target shed everything.
    pub shed: u64,
}
