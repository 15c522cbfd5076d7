//! What docs/capacity.toml holds: the size to reach, the budgets, the settings
//! of the design, and what was measured, with the command and date of each.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// The size to reach.
    pub size: Size,
    /// What a node may spend, and what its surroundings allow.
    pub budget: Budget,
    /// The settings that the arithmetic takes.
    pub design: Design,
    /// Single figures.
    pub value: BTreeMap<String, Value>,
    /// Figures at several counts of nodes.
    pub series: BTreeMap<String, Series>,
}

/// The size to reach.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Nodes.
    pub nodes: f64,
    /// Replicas, each on a target of its own.
    pub replicas: f64,
    /// Queries a second.
    pub queries: f64,
    /// Replicas that a query asks.
    pub fanout: f64,
    /// Regions.
    pub regions: f64,
    /// Data centres.
    pub centres: f64,
    /// Changes of configuration a day.
    pub changes: f64,
    /// VMs that fail, are restarted or replaced in a day.
    pub churn: f64,
}

/// What is allowed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Control of a node, in per cent of a core.
    pub cpu_percent: f64,
    /// Control of a node, in MiB.
    pub memory_mib: f64,
    /// Control of a node, in bytes a second.
    pub bytes: f64,
    /// Until a change is in force everywhere, in seconds.
    pub change_seconds: f64,
    /// Reads of the platform's service a second.
    pub reads: f64,
    /// Connections of a target.
    pub connections: f64,
    /// Cores of a VM, taken as one for want of a figure.
    pub cores: f64,
}

/// Settings of the design.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Design {
    /// Replicas of a shard.
    pub shard_replicas: f64,
    /// Shards of a group, before the count of groups is rounded up.
    pub group_shards: f64,
    /// How shards fall into groups.
    pub grouping: Grouping,
    /// Holders of a group in each region.
    pub holders: f64,
    /// Nodes kept in rank for a group besides its holders.
    pub spares: f64,
    /// Connections of a holder to a target.
    pub connections: f64,
    /// Groups that a query should meet: those of 40 replicas each.
    pub groups_aimed: f64,
    /// Service time of a target, in seconds.
    pub service_seconds: f64,
    /// Nodes that the status command asks at once.
    pub asked_at_once: f64,
    /// Bytes of news that a node may send in a second.
    pub news_rate: f64,
    /// How long the status command waits for one that does not answer, in seconds.
    pub ask_seconds: f64,
}

/// How shards fall into groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grouping {
    /// By a hash of the shard, whatever selector reaches it.
    Hash,
    /// By hash among the shards that the same selectors reach.
    Selector,
}

/// One measured figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// The command that gave it.
    pub command: String,
    /// When, in UTC.
    pub date: String,
}

/// A figure measured at several counts of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Pairs of a count of nodes and the figure there.
    pub points: Vec<(f64, f64)>,
    /// How it is carried to other counts.
    pub law: Law,
    /// Its unit.
    pub unit: String,
    /// The command that gave it.
    pub command: String,
    /// When, in UTC.
    pub date: String,
}

/// How a figure grows with the count of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Law {
    /// In a straight line.
    Linear,
    /// In a straight line over the binary logarithm.
    Logarithm,
}

impl Inputs {
    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<Inputs, toml::de::Error> {
        toml::from_str(text)
    }

    /// A single figure, if it was measured.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.value.get(name).map(|value| value.value)
    }

    /// A figure at `nodes`, if it was measured at two counts or more.
    pub fn at(&self, name: &str, nodes: f64) -> Option<f64> {
        let (base, slope) = self.series.get(name)?.fit()?;
        Some(base + slope * self.series[name].law.apply(nodes))
    }
}

impl Series {
    /// The base and slope of the line of least squares through the points.
    pub fn fit(&self) -> Option<(f64, f64)> {
        let count = self.points.len() as f64;
        let points: Vec<(f64, f64)> =
            self.points.iter().map(|(nodes, figure)| (self.law.apply(*nodes), *figure)).collect();
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        Some((mean_y - slope * mean_x, slope))
    }
}

impl Law {
    fn apply(self, nodes: f64) -> f64 {
        match self {
            Law::Linear => nodes,
            Law::Logarithm => nodes.log2(),
        }
    }
}

/// What the size and the design give before any measurement.
#[derive(Clone, Copy, Debug)]
pub struct Derived {
    /// Queries a second of a node as root.
    pub queries: f64,
    /// Sub-requests a second of a node as holder.
    pub sub_requests: f64,
    /// Sub-requests a second of a replica.
    pub at_replica: f64,
    /// Groups.
    pub groups: f64,
    /// Groups that a query meets.
    pub met: f64,
    /// Messages to other nodes that a node sends as root, a second.
    pub messages: f64,
    /// Nodes that hold a replica.
    pub holders: f64,
    /// Nodes kept in rank for a group.
    pub ranked: f64,
    /// Replicas that a node holds.
    pub held: f64,
}

impl Derived {
    /// Works it out.
    pub fn new(inputs: &Inputs) -> Derived {
        let Inputs { size, design, .. } = inputs;
        let queries = size.queries / size.nodes;
        let shards = (size.replicas / design.shard_replicas).ceil();
        let (groups, met) = match design.grouping {
            Grouping::Hash => {
                let groups = group_count(shards, design);
                (groups, expected_groups(groups, size.fanout))
            }
            // As many selectors as it takes to reach every shard once.
            Grouping::Selector => {
                let groups = group_count(size.fanout, design);
                (groups * (shards / size.fanout).ceil(), expected_groups(groups, size.fanout))
            }
        };
        let holders = design.holders * size.regions;
        Derived {
            queries,
            sub_requests: queries * size.fanout,
            at_replica: size.queries * size.fanout / size.replicas,
            groups,
            met,
            messages: queries * met,
            holders,
            ranked: design.holders + design.spares,
            held: size.replicas * holders / size.nodes,
        }
    }
}

/// The groups of `shards` shards, as the router counts them.
fn group_count(shards: f64, design: &Design) -> f64 {
    ((shards / design.group_shards).ceil() as u64).next_power_of_two() as f64
}

/// How many of `groups` groups get at least one of `shards` shards by hashing.
fn expected_groups(groups: f64, shards: f64) -> f64 {
    groups * (1.0 - (1.0 - 1.0 / groups).powf(shards))
}
