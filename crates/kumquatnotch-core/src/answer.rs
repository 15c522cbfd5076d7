//! Answers and their coverage.
//!
//! Every shard that a query requested is either covered or listed as missing with
//! its reason. The two add up to the number of requested shards, so that a lost
//! part cannot be mistaken for an empty result.

use serde::{Deserialize, Serialize};

use crate::{
    Error,
    ids::{ConfigVersion, IndexVersion, ShardName},
    query::Hit,
    target::HeldVersion,
};

/// The answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The hits, the best first.
    pub hits: Vec<Hit>,
    /// The shards that the hits were taken from.
    pub coverage: Coverage,
    /// The configuration that the query was planned with.
    pub config: ConfigVersion,
    /// Time that the query took in the tier, in microseconds.
    pub elapsed_us: u64,
}

/// The coverage of an answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// The snapshot that all hits were taken from.
    pub version: IndexVersion,
    /// Number of requested shards.
    pub asked: u32,
    /// Number of shards that answered.
    pub covered: u32,
    /// The shards that did not answer, with reasons.
    pub missing: Vec<Missing>,
    /// Whether the early-stop rule ended the query before its deadline.
    pub stopped_early: bool,
}

impl Coverage {
    /// Returns whether every shard answered.
    pub fn is_full(&self) -> bool {
        self.covered == self.asked
    }

    /// Returns the fraction of shards that answered; zero if none were requested.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        f64::from(self.covered) / f64::from(self.asked)
    }
}

/// A shard that is not in an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Missing {
    /// The shard.
    pub shard: ShardName,
    /// The error code, as listed in docs/ERRORS.md.
    pub code: u16,
    /// The error message.
    pub reason: String,
}

impl Missing {
    /// Creates an entry for `shard`, which is missing because of `error`.
    pub fn new(shard: ShardName, error: &Error) -> Missing {
        Missing { shard, code: error.code(), reason: error.to_string() }
    }
}

/// The partial answer of a holder, merged over its shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupAnswer {
    /// The hits of all covered shards, the best first.
    pub hits: Vec<Hit>,
    /// The shards that answered.
    pub covered: Vec<ShardName>,
    /// The shards that did not answer, with their errors.
    pub missing: Vec<ShardError>,
    /// The versions of its shards that the holder knows of.
    pub held: Vec<ShardVersions>,
    /// Time that requests of this class wait for a slot at the holder, in microseconds.
    pub wait_us: u64,
}

/// A shard that a holder could not answer for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardError {
    /// The shard.
    pub shard: ShardName,
    /// The error.
    pub error: Error,
}

/// The versions of a shard that at least one usable replica holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardVersions {
    /// The shard.
    pub shard: ShardName,
    /// The versions, each with the collection it belongs to.
    pub versions: Vec<HeldVersion>,
}
