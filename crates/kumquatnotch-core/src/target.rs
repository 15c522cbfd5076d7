//! The interface to targets.
//!
//! A target is one replica process of a vendor. Its own report of state and load
//! is only a hint, since it may be stale or wrong.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    LocalFuture, Result,
    document::{Class, TargetSpec},
    ids::{IndexVersion, ShardName, TargetName, TenantName},
    query::Hit,
};

/// A client for targets.
pub trait Targets {
    /// Sends `call` to the target and waits for its reply until the deadline.
    ///
    /// Dropping the future asks the target to cancel the call. After an error for
    /// which [`crate::Error::is_not_run`] holds, it is certain that the target has
    /// not run the call and will not run it.
    fn call<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        call: &'a TargetCall,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetReply>>;

    /// Requests the status of the target.
    fn probe<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetStatus>>;

    /// Closes the connections to the target.
    fn disconnect(&self, name: &TargetName);
}

/// A request to one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetCall {
    /// The id by which the call can be cancelled.
    pub id: u64,
    /// The requested shard.
    pub shard: ShardName,
    /// The snapshot that it must be answered from; `None` for an exclusive request.
    pub version: Option<IndexVersion>,
    /// The tenant it runs for.
    pub tenant: TenantName,
    /// Its class.
    pub class: Class,
    /// The query as JSON text.
    pub body: String,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// Whether the request changes state and must run at most once.
    pub exclusive: bool,
}

/// The reply of a target that ran a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetReply {
    /// The hits, the best first; empty for an exclusive request.
    #[serde(default)]
    pub hits: Vec<Hit>,
    /// The result of an exclusive request.
    #[serde(default)]
    pub result: serde_json::Value,
    /// The version that it was answered from.
    #[serde(default)]
    pub version: IndexVersion,
    /// Number of requests queued or running when this one ended, as reported by the target.
    #[serde(default)]
    pub load: u32,
}

/// The status that a target reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The phase of the target.
    pub phase: Phase,
    /// Number of requests queued or running.
    #[serde(default)]
    pub load: u32,
    /// The index versions that the target holds.
    #[serde(default)]
    pub held: Vec<HeldVersion>,
    /// The incarnation of the target process.
    #[serde(default)]
    pub incarnation: u64,
}

/// The phase of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Serves, but slowly until its caches are warm.
    Cold,
    /// Serves normally.
    Ready,
    /// Finishes running requests and takes no new ones.
    Draining,
}

/// An index version that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version.
    pub version: IndexVersion,
    /// The shard that the target serves at that version.
    pub shard: ShardName,
    /// The collection whose shards make up the version.
    pub collection: String,
    /// Number of shards of the collection at that version.
    pub total: u32,
}

/// Minimum time left for which a call is sent to a target.
pub const MIN_CALL_TIME: Duration = Duration::from_millis(1);
