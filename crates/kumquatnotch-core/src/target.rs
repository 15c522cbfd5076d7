//! The border to targets.
//!
//! A target is one replica process of a vendor. Its own report of state and
//! load is taken as a hint only: it lags or misleads.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    LocalFuture, Result,
    document::{Class, TargetSpec},
    ids::{IndexVersion, ShardName, TargetName, TenantName},
    query::Hit,
};

/// The way to targets.
pub trait Targets {
    /// Sends `call` to the target and waits for its reply until the deadline.
    ///
    /// Dropping the future asks the target to cancel the call. An error for
    /// which [`crate::Error::is_not_run`] holds is certain: the target has not
    /// run the call and will not.
    fn call<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        call: &'a TargetCall,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetReply>>;

    /// Asks the target for its state.
    fn probe<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetStatus>>;

    /// Drops what is kept open to the target.
    fn disconnect(&self, name: &TargetName);
}

/// A request to one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetCall {
    /// The id under which it can be cancelled.
    pub id: u64,
    /// The shard asked for.
    pub shard: ShardName,
    /// The snapshot it must be answered from; `None` for an exclusive request.
    pub version: Option<IndexVersion>,
    /// The tenant it runs for.
    pub tenant: TenantName,
    /// Its class.
    pub class: Class,
    /// The query as JSON text.
    pub body: String,
    /// How many hits to return.
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
    /// The version it was answered from.
    #[serde(default)]
    pub version: IndexVersion,
    /// The requests that waited or ran when this one ended, by its own word.
    #[serde(default)]
    pub load: u32,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its phase.
    pub phase: Phase,
    /// The requests that wait or run, by its own word.
    #[serde(default)]
    pub load: u32,
    /// The versions of the index it holds.
    #[serde(default)]
    pub held: Vec<HeldVersion>,
    /// One life of its process.
    #[serde(default)]
    pub incarnation: u64,
}

/// The phase of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It serves, but slowly until its caches are warm.
    Cold,
    /// It serves.
    Ready,
    /// It ends what it runs and takes no new work.
    Draining,
}

/// A version of the index that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version.
    pub version: IndexVersion,
    /// The shard it holds at that version.
    pub shard: ShardName,
    /// The collection whose shards make up the version.
    pub collection: String,
    /// How many shards the collection has at that version.
    pub total: u32,
}

/// The least time left that makes a call to a target worth sending.
pub const MIN_CALL_TIME: Duration = Duration::from_millis(1);
