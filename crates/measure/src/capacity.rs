//! The contents of docs/capacity.toml, and the figures derived from them.
//!
//! The file has the size to reach, the budgets, the settings of the design, and measured
//! figures, each with its command and date.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// The size to reach.
    pub size: Size,
    /// Limits on the resources of a node, the platform and the targets.
    pub budget: Budget,
    /// Settings of the design that enter the calculation.
    pub design: Design,
    /// Single figures.
    pub value: BTreeMap<String, Value>,
    /// Figures at several numbers of nodes.
    pub series: BTreeMap<String, Series>,
}

/// The size to reach.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Number of nodes.
    pub nodes: f64,
    /// Number of replicas, each on its own target.
    pub replicas: f64,
    /// Queries per second.
    pub queries: f64,
    /// Number of replicas that a query is sent to.
    pub fanout: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of data centres.
    pub centres: f64,
    /// Configuration changes per day.
    pub changes: f64,
    /// VMs that fail, restart or are replaced per day.
    pub churn: f64,
}

/// Limits on resources and times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// CPU time of a node for control, in per cent of a core.
    pub cpu_percent: f64,
    /// Memory of a node for control, in MiB.
    pub memory_mib: f64,
    /// Control traffic of a node, in bytes per second.
    pub bytes: f64,
    /// Time until a change is in force on all nodes, in seconds.
    pub change_seconds: f64,
    /// Reads from the platform's service per second.
    pub reads: f64,
    /// Connections that a target accepts.
    pub connections: f64,
    /// Cores of a VM; assumed to be one, as no number is specified.
    pub cores: f64,
}

/// Settings of the design.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Design {
    /// Number of replicas of a shard.
    pub shard_replicas: f64,
    /// Number of shards in a group, before the number of groups is rounded up.
    pub group_shards: f64,
    /// How shards are assigned to groups.
    pub grouping: Grouping,
    /// Number of holders of a group in each region.
    pub holders: f64,
    /// Number of nodes in the ranking of a group besides its holders.
    pub spares: f64,
    /// Number of connections of a holder to a target.
    pub connections: f64,
    /// Number of groups that a query should reach, with 40 replicas each.
    pub groups_aimed: f64,
    /// Service time of a target, in seconds.
    pub service_seconds: f64,
    /// Number of nodes that the status command asks concurrently.
    pub asked_at_once: f64,
    /// Limit of a node's membership updates, in bytes per second.
    pub news_rate: f64,
    /// Timeout of the status command for a node that does not answer, in seconds.
    pub ask_seconds: f64,
}

/// How shards are assigned to groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grouping {
    /// By a hash of the shard, regardless of the selectors that reach it.
    Hash,
    /// By a hash of the shard, among the shards that the same selectors reach.
    Selector,
}

/// A single measured figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// The figure.
    pub value: f64,
    /// The unit of the figure.
    pub unit: String,
    /// The command that measured it.
    pub command: String,
    /// The date and time of the measurement, in UTC.
    pub date: String,
}

/// A figure measured at several numbers of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Pairs of a number of nodes and the figure at that number.
    pub points: Vec<(f64, f64)>,
    /// The law for extrapolating to other numbers of nodes.
    pub law: Law,
    /// The unit of the figure.
    pub unit: String,
    /// The command that measured it.
    pub command: String,
    /// The date and time of the measurement, in UTC.
    pub date: String,
}

/// How a figure grows with the number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Law {
    /// Linearly.
    Linear,
    /// Linearly in the binary logarithm.
    Logarithm,
}

impl Inputs {
    /// Parses the contents of the file.
    pub fn parse(text: &str) -> Result<Inputs, toml::de::Error> {
        toml::from_str(text)
    }

    /// Returns a single figure, if it was measured.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.value.get(name).map(|value| value.value)
    }

    /// Returns the fitted value of a figure at `nodes`, if it was measured at two or more
    /// numbers of nodes.
    pub fn at(&self, name: &str, nodes: f64) -> Option<f64> {
        let (base, slope) = self.series.get(name)?.fit()?;
        Some(base + slope * self.series[name].law.apply(nodes))
    }
}

impl Series {
    /// Returns the intercept and slope of the least-squares line through the points.
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

/// Figures that follow from the size and the design alone.
#[derive(Clone, Copy, Debug)]
pub struct Derived {
    /// Queries per second of a node as root.
    pub queries: f64,
    /// Sub-requests per second of a node as holder.
    pub sub_requests: f64,
    /// Sub-requests per second of a replica.
    pub at_replica: f64,
    /// Number of groups.
    pub groups: f64,
    /// Expected number of groups that a query reaches.
    pub met: f64,
    /// Messages per second that a node sends to holders as root.
    pub messages: f64,
    /// Number of nodes that hold a replica.
    pub holders: f64,
    /// Number of nodes in the ranking of a group.
    pub ranked: f64,
    /// Number of replicas that a node holds.
    pub held: f64,
}

impl Derived {
    /// Calculates the figures.
    pub fn new(inputs: &Inputs) -> Derived {
        let Inputs { size, design, .. } = inputs;
        let queries = size.queries / size.nodes;
        let shards = (size.replicas / design.shard_replicas).ceil();
        let (groups, met) = match design.grouping {
            Grouping::Hash => {
                let groups = group_count(shards, design);
                (groups, expected_groups(groups, size.fanout))
            }
            // Assumes as many selectors as needed to reach each shard once.
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

/// Returns the number of groups for `shards` shards, with the rounding of the router.
fn group_count(shards: f64, design: &Design) -> f64 {
    ((shards / design.group_shards).ceil() as u64).next_power_of_two() as f64
}

/// Returns how many of `groups` groups are expected to contain at least one of `shards` shards,
/// when shards are assigned by a hash.
fn expected_groups(groups: f64, shards: f64) -> f64 {
    groups * (1.0 - (1.0 - 1.0 / groups).powf(shards))
}
