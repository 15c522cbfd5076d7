//! Records of a run. All times are microseconds of the same clock.

use std::collections::{BTreeMap, BTreeSet};

use kumquatnotch_core::{
    answer::Answer,
    collections::HashMap,
    ids::{ConfigVersion, IndexVersion, NodeName, ShardName, TargetName, TenantName},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use standins::{
    data,
    records::{Refusal, RunRecord},
};

/// A node between a start and its exit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeInstance {
    /// Name of the node.
    pub node: NodeName,
    /// Number of earlier starts of the node in this run.
    pub start: u32,
}

/// An attempt of a caller to send a request, with the outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Random identifier of the request, equal for all its attempts.
    pub nonce: u64,
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Node that the request was sent to.
    pub life: NodeInstance,
    /// Whether the connection was kept alive from an earlier request.
    pub kept: bool,
    /// Time at which the request was sent.
    pub sent_us: u64,
    /// Time at which the outcome was known.
    pub ended_us: u64,
    /// The request.
    pub request: Request,
    /// The outcome as seen by the caller.
    pub outcome: Outcome,
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A search.
    Search {
        /// Maximum number of hits.
        limit: u32,
    },
    /// A non-idempotent request.
    Exclusive {
        /// Ticket of the request.
        ticket: String,
        /// Key of the request.
        key: String,
    },
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// A search was answered.
    Answer(Box<Answer>),
    /// A non-idempotent request ran.
    Done(Value),
    /// The request was refused or failed, with an error code.
    Failed(Failure),
    /// A complete reply was received that does not follow the protocol.
    Unreadable(String),
    /// No connection could be opened.
    NotConnected,
    /// The connection broke before a complete reply was received.
    Broken,
    /// No reply was received within the timeout of the caller.
    TimedOut,
}

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Error code, as listed in docs/ERRORS.md.
    pub code: u16,
    /// Error message.
    pub message: String,
    /// Whether the error states that the request did not run.
    pub not_run: bool,
    /// Time after which to retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// A period in which a target must receive no new work.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The target.
    pub target: TargetName,
    /// Begin: the change was accepted, or the target began to report that it drains.
    pub from_us: u64,
    /// End: just before the change was first revoked.
    pub until_us: u64,
}

/// A graceful shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shutdown {
    /// Node that was shut down.
    pub life: NodeInstance,
    /// Time of the signal.
    pub asked_us: u64,
    /// Time of the exit; `None` if the node did not exit in time and was killed.
    pub exited_us: Option<u64>,
    /// Whether the exit status was zero.
    pub success: bool,
}

/// A configuration that the platform accepted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Time at which the operator began the change.
    #[serde(default)]
    pub sent_us: u64,
    /// Time at which the operator received the confirmation.
    pub at_us: u64,
    /// Targets that may receive work under this version, if known.
    #[serde(default)]
    pub reach: Option<BTreeSet<TargetName>>,
}

/// A reading of the configuration version in force on a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reading {
    /// Node that was read.
    pub life: NodeInstance,
    /// Time at which the reading was requested.
    pub sent_us: u64,
    /// Time at which the reading was received.
    pub ended_us: u64,
    /// Version in force.
    pub version: ConfigVersion,
}

/// A period in which the platform was unavailable or a node was paused.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Disturbance {
    /// The paused node; `None` for the platform.
    pub node: Option<NodeName>,
    /// Begin of the period.
    pub from_us: u64,
    /// End of the period.
    pub until_us: u64,
}

/// A fault or change that the run injected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InjectedFault {
    /// Time of the injection.
    pub at_us: u64,
    /// Kind of fault.
    pub fault: String,
    /// Affected node, target or version; empty if not applicable.
    pub whom: String,
}

/// Complete record of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// Attempts of the callers.
    pub attempts: Vec<Attempt>,
    /// Requests that the targets ran.
    pub runs: Vec<RunRecord>,
    /// Requests that draining targets refused.
    pub drained: Vec<Refusal>,
    /// Shards of each version of the index.
    pub layouts: BTreeMap<IndexVersion, Vec<ShardName>>,
    /// Shards that the document declares for the search targets.
    pub declared: BTreeSet<ShardName>,
    /// Periods in which targets must receive no new work.
    pub drains: Vec<Drain>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Accepted configurations.
    pub accepted: Vec<Accepted>,
    /// Version stored at the platform after the run.
    pub last: ConfigVersion,
    /// Readings of the versions in force.
    pub readings: Vec<Reading>,
    /// Periods in which updates could not propagate.
    pub disturbances: Vec<Disturbance>,
    /// Injected faults, in order of time.
    pub faults: Vec<InjectedFault>,
}

impl History {
    /// Iterates over the answered searches, with their limits.
    pub fn answers(&self) -> impl Iterator<Item = (&Attempt, u32, &Answer)> {
        self.attempts.iter().filter_map(|attempt| match (&attempt.request, &attempt.outcome) {
            (Request::Search { limit }, Outcome::Answer(answer)) => {
                Some((attempt, *limit, answer.as_ref()))
            }
            _ => None,
        })
    }

    /// Iterates over the attempts that failed with an error code.
    pub fn failures(&self) -> impl Iterator<Item = (&Attempt, &Failure)> {
        self.attempts.iter().filter_map(|attempt| match &attempt.outcome {
            Outcome::Failed(failure) => Some((attempt, failure)),
            _ => None,
        })
    }

    /// Groups the runs by the nonce of their request.
    pub fn runs_by_nonce(&self) -> HashMap<u64, Vec<&RunRecord>> {
        let mut runs: HashMap<u64, Vec<&RunRecord>> = HashMap::default();
        for run in &self.runs {
            if let Some(nonce) = data::field(&run.body, "nonce").as_u64() {
                runs.entry(nonce).or_default().push(run);
            }
        }
        runs
    }

    /// Groups the attempts by the nonce of their request.
    pub fn attempts_by_nonce(&self) -> BTreeMap<u64, Vec<&Attempt>> {
        let mut attempts_by_nonce: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            attempts_by_nonce.entry(attempt.nonce).or_default().push(attempt);
        }
        attempts_by_nonce
    }
}
