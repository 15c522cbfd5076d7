//! What is recorded of a run. All times are microseconds on one scale.

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

/// One life of a node, as the run started it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeInstance {
    /// The node.
    pub node: NodeName,
    /// The number of its start, from zero.
    pub start: u32,
}

/// One request of a caller, from sending it to its outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Drawn for the request; one that is sent again keeps it.
    pub nonce: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// The node it was sent to.
    pub life: NodeInstance,
    /// Whether its connection had carried a request before.
    pub kept: bool,
    /// When it was sent.
    pub sent_us: u64,
    /// When its outcome was known.
    pub ended_us: u64,
    /// What was asked.
    pub request: Request,
    /// What came of it.
    pub outcome: Outcome,
}

/// What a caller asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A search.
    Search {
        /// How many hits it wanted.
        limit: u32,
    },
    /// A non-idempotent request.
    Exclusive {
        /// Its ticket.
        ticket: String,
        /// Its key.
        key: String,
    },
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// A search was answered.
    Answer(Box<Answer>),
    /// A non-idempotent request ran.
    Done(Value),
    /// It was refused or failed with a numbered error.
    Failed(Failure),
    /// A whole reply came that is no reply of the protocol.
    Unreadable(String),
    /// No connection could be opened.
    NotConnected,
    /// The connection broke before a whole reply had come.
    Broken,
    /// The caller gave up.
    TimedOut,
}

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// The number in docs/ERRORS.md.
    pub code: u16,
    /// The words.
    pub message: String,
    /// Whether it says that nothing ran.
    pub not_run: bool,
    /// When to come back, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// A target that had to get no new work for a time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The target.
    pub target: TargetName,
    /// Since when: the change was accepted, or the target began to say so.
    pub from_us: u64,
    /// Until when: the moment before anyone took it back.
    pub until_us: u64,
}

/// A graceful shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shutdown {
    /// The node.
    pub life: NodeInstance,
    /// When it was asked.
    pub asked_us: u64,
    /// When it ended; `None` if it had to be killed.
    pub exited_us: Option<u64>,
    /// Whether it ended with success.
    pub success: bool,
}

/// A configuration that the platform accepted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Accepted {
    /// Its version.
    pub version: ConfigVersion,
    /// When its operator began to change it.
    #[serde(default)]
    pub sent_us: u64,
    /// When its operator was told.
    pub at_us: u64,
    /// The targets that may get work under it, if that is known.
    #[serde(default)]
    pub reach: Option<BTreeSet<TargetName>>,
}

/// A reading of the version in force on a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reading {
    /// The node.
    pub life: NodeInstance,
    /// When the reading began.
    pub sent_us: u64,
    /// When it was there.
    pub ended_us: u64,
    /// The version.
    pub version: ConfigVersion,
}

/// A time in which the platform was out, or a node was stopped.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Disturbance {
    /// The node that was stopped; `None` for the platform.
    pub node: Option<NodeName>,
    /// Since when.
    pub from_us: u64,
    /// Until when.
    pub until_us: u64,
}

/// A fault that was made.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InjectedFault {
    /// When.
    pub at_us: u64,
    /// Which.
    pub fault: String,
    /// Whom it struck; empty if that says nothing.
    pub whom: String,
}

/// Everything recorded of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// The requests of callers.
    pub attempts: Vec<Attempt>,
    /// What the targets ran.
    pub runs: Vec<RunRecord>,
    /// What draining targets refused.
    pub drained: Vec<Refusal>,
    /// The shards that make up each version of the index.
    pub layouts: BTreeMap<IndexVersion, Vec<ShardName>>,
    /// The shards that the document declares for the targets of searches.
    pub declared: BTreeSet<ShardName>,
    /// Targets that had to get no new work.
    pub drains: Vec<Drain>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Accepted configurations.
    pub accepted: Vec<Accepted>,
    /// The version in the platform's service when the run was over.
    pub last: ConfigVersion,
    /// Readings of versions in force.
    pub readings: Vec<Reading>,
    /// Times in which news could not spread.
    pub disturbances: Vec<Disturbance>,
    /// The faults, in order.
    pub faults: Vec<InjectedFault>,
}

impl History {
    /// The answered searches.
    pub fn answers(&self) -> impl Iterator<Item = (&Attempt, u32, &Answer)> {
        self.attempts.iter().filter_map(|attempt| match (&attempt.request, &attempt.outcome) {
            (Request::Search { limit }, Outcome::Answer(answer)) => {
                Some((attempt, *limit, answer.as_ref()))
            }
            _ => None,
        })
    }

    /// The requests that failed with a numbered error.
    pub fn failures(&self) -> impl Iterator<Item = (&Attempt, &Failure)> {
        self.attempts.iter().filter_map(|attempt| match &attempt.outcome {
            Outcome::Failed(failure) => Some((attempt, failure)),
            _ => None,
        })
    }

    /// The runs of each request, by its nonce.
    pub fn runs_by_nonce(&self) -> HashMap<u64, Vec<&RunRecord>> {
        let mut runs: HashMap<u64, Vec<&RunRecord>> = HashMap::default();
        for run in &self.runs {
            if let Some(nonce) = data::field(&run.body, "nonce").as_u64() {
                runs.entry(nonce).or_default().push(run);
            }
        }
        runs
    }

    /// The attempts of each request, by its nonce.
    pub fn attempts_by_nonce(&self) -> BTreeMap<u64, Vec<&Attempt>> {
        let mut attempts_by_nonce: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            attempts_by_nonce.entry(attempt.nonce).or_default().push(attempt);
        }
        attempts_by_nonce
    }
}
