//! The operators' document: what is in force on every node.
//!
//! Operators write it as TOML files under version control; it is stored in the
//! platform's service in parts by digest (see the config crate) and reaches the
//! nodes by version. A node holds exactly one document at a time.

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
    /// The version; zero before any was accepted.
    pub version: ConfigVersion,
    /// The targets by name.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// Everything else, which changes less often.
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
    /// The targets drained by command, which outlast the next files.
    #[serde(default)]
    pub drained: BTreeSet<TargetName>,
}

/// A target as its operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// The shard it serves, unless its own report says otherwise for a version.
    pub shard: ShardName,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Whether its operators have ordered it to take no new work.
    #[serde(default)]
    pub drain: bool,
}

/// What one kind of query may reach, and how it is treated.
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
    /// The longest time a request may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    1_000
}

/// A tenant as its operators declare it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// The digests of the keys that its callers may present, in hexadecimal.
    pub keys: Vec<String>,
    /// Its share of capacity against other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// When an answer that lacks shards is returned.
    #[serde(default)]
    pub stop: StopSpec,
}

fn default_weight() -> u32 {
    1
}

/// How a tenant trades the last shards against time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSpec {
    /// After this share of the deadline an answer with enough coverage returns.
    pub patience: f64,
    /// The coverage, from zero to one, that is enough once patience is over.
    pub enough: f64,
}

impl Default for StopSpec {
    fn default() -> StopSpec {
        StopSpec { patience: 0.5, enough: 0.9 }
    }
}

/// The class a request runs in, the most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits at the desk.
    Desk,
    /// A program waits.
    #[default]
    Batch,
    /// It must only finish some time, such as a night audit.
    Audit,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Desk, Class::Batch, Class::Audit];

    /// The name used in labels of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Desk => "desk",
            Class::Batch => "batch",
            Class::Audit => "audit",
        }
    }
}

impl SelectorSpec {
    /// The longest time a request may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl Document {
    /// The region of `centre`, if the document names it.
    pub fn region(&self, centre: &DataCentre) -> Option<&Region> {
        self.rules.regions.get(centre)
    }

    /// The targets that `selector` may reach.
    pub fn select<'a>(
        &'a self,
        selector: &'a SelectorSpec,
    ) -> impl Iterator<Item = (&'a TargetName, &'a TargetSpec)> {
        self.targets.iter().filter(|(_, target)| selector.targets.matches(&target.labels))
    }
}

/// The document in force on this node.
pub trait Documents {
    /// The document; `None` until one is confirmed.
    ///
    /// A query takes it once and keeps it to its end, so that a change in between
    /// does not mix two versions in one answer.
    fn current(&self) -> Option<Rc<Document>>;
}
