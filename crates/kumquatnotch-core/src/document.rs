//! The operators' document: the configuration in force on every node.
//!
//! Operators write it as TOML files under version control. It is stored in the
//! platform's store as parts addressed by digest (see the config crate) and
//! distributed to the nodes by version. A node holds exactly one document at a
//! time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ConfigVersion, DataCentre, Region, SelectorName, ShardName, TargetName, TenantName},
    labels::{Expression, Labels},
};

/// A whole document with its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The version; zero before the first document is accepted.
    pub version: ConfigVersion,
    /// The targets by name.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// All other parts, which change less often.
    pub rules: Rules,
}

/// The parts of a document besides its targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentre, Region>,
    /// The selectors by name.
    pub selectors: BTreeMap<SelectorName, SelectorSpec>,
    /// The tenants by name.
    pub tenants: BTreeMap<TenantName, TenantSpec>,
    /// The targets drained by command, which stay drained when new files are applied.
    #[serde(default)]
    pub drained: BTreeSet<TargetName>,
}

/// A target as declared by its operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// The shard it serves, unless the target reports a different one for a version.
    pub shard: ShardName,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the operators have drained it, so that it takes no new work.
    #[serde(default)]
    pub drain: bool,
}

/// The targets that a kind of query may reach, and how its requests are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SelectorSpec {
    /// The targets it may reach.
    pub targets: Expression,
    /// The class its requests run in.
    pub class: Class,
    /// Whether its requests change state and must run at most once.
    #[serde(default)]
    pub exclusive: bool,
    /// The tenants that may use it; empty for all.
    #[serde(default)]
    pub tenants: Vec<TenantName>,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    1_000
}

/// A tenant as declared by its operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Digests of the keys that its callers may present, in hexadecimal.
    pub keys: Vec<String>,
    /// Weight of its share of the capacity, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The rule by which a partial answer is returned before the deadline.
    #[serde(default)]
    pub stop: StopSpec,
}

fn default_weight() -> u32 {
    1
}

/// The early-stop rule of a tenant, which trades coverage for latency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSpec {
    /// Fraction of the deadline after which an answer with enough coverage is returned.
    pub patience: f64,
    /// Coverage, from zero to one, that is sufficient after that fraction.
    pub enough: f64,
}

impl Default for StopSpec {
    fn default() -> StopSpec {
        StopSpec { patience: 0.5, enough: 0.9 }
    }
}

/// The priority class of a request, the most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Interactive: a person is waiting.
    Desk,
    /// Automated: a program is waiting.
    #[default]
    Batch,
    /// Background: the work only has to finish eventually, such as a night audit.
    Audit,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Desk, Class::Batch, Class::Audit];

    /// Returns the name used in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Desk => "desk",
            Class::Batch => "batch",
            Class::Audit => "audit",
        }
    }
}

impl SelectorSpec {
    /// Returns the maximum duration of a request.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl Document {
    /// Returns the region of `centre`, if the document defines it.
    pub fn region(&self, centre: &DataCentre) -> Option<&Region> {
        self.rules.regions.get(centre)
    }

    /// Returns the targets that `selector` may reach.
    pub fn select<'a>(
        &'a self,
        selector: &'a SelectorSpec,
    ) -> impl Iterator<Item = (&'a TargetName, &'a TargetSpec)> {
        self.targets.iter().filter(|(_, target)| selector.targets.matches(&target.labels))
    }
}

/// Access to the document in force on this node.
pub trait Documents {
    /// Returns the document in force, or `None` until one is confirmed.
    ///
    /// A query obtains it once and uses it until it ends, so that a concurrent
    /// change does not mix two versions in one answer.
    fn current(&self) -> Option<Rc<Document>>;
}
