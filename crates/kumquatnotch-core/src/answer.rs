//! Answers and what they cover.
//!
//! Every shard that a query asked for is either covered or listed as missing
//! with its reason: the two add up, so a lost part never looks like "nothing
//! found".

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
    /// What the hits were taken from.
    pub coverage: Coverage,
    /// The configuration the query was planned with.
    pub config: ConfigVersion,
    /// How long it took in the tier, in microseconds.
    pub elapsed_us: u64,
}

/// What an answer covers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// The snapshot all hits were taken from.
    pub version: IndexVersion,
    /// How many shards were asked for.
    pub asked: u32,
    /// How many of them answered.
    pub covered: u32,
    /// The others with their reasons.
    pub missing: Vec<Missing>,
    /// Whether the stop rule ended the query before its deadline.
    pub stopped_early: bool,
}

impl Coverage {
    /// Whether every shard answered.
    pub fn is_full(&self) -> bool {
        self.covered == self.asked
    }

    /// The share of shards that answered; zero if none was asked for.
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
    /// The number of the reason in docs/ERRORS.md.
    pub code: u16,
    /// The reason in words.
    pub reason: String,
}

impl Missing {
    /// `shard` is missing because of `error`.
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
    /// The others with their reasons.
    pub missing: Vec<ShardFault>,
    /// What the holder knows of the versions that its shards have.
    pub held: Vec<ShardVersions>,
    /// How long requests of this class wait for a slot there, in microseconds.
    pub wait_us: u64,
}

/// A shard that a holder could not answer for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardFault {
    /// The shard.
    pub shard: ShardName,
    /// Why.
    pub error: Error,
}

/// The versions of a shard that at least one usable replica holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardVersions {
    /// The shard.
    pub shard: ShardName,
    /// The versions, each with the layout it belongs to.
    pub versions: Vec<HeldVersion>,
}
