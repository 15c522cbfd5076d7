//! Configuration of the targets of a process, read from a TOML file.

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName, TargetName},
    target::HeldVersion,
};
use serde::{Deserialize, Serialize};

/// The targets of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The random seed for service times and incarnations.
    #[serde(default)]
    pub seed: u64,
    /// The control port, where faults are set and runs are read; zero selects a free port.
    #[serde(default)]
    pub control: u16,
    /// The targets.
    #[serde(default)]
    pub target: Vec<TargetPlan>,
}

/// The configuration of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetPlan {
    /// The name of the target.
    pub name: TargetName,
    /// The port; zero selects a free port.
    pub port: u16,
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Time to set up a new connection, in milliseconds; set-ups are serialized.
    pub connect_ms: u64,
    /// Median service time, in milliseconds.
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the service time: zero is constant, one has a
    /// long tail.
    pub spread: f64,
    /// The index versions that the target holds.
    pub held: Vec<HeldVersion>,
}

impl Default for TargetPlan {
    fn default() -> TargetPlan {
        TargetPlan {
            name: TargetName::from("target"),
            port: 0,
            slots: 2,
            queue: 16,
            connections: 25,
            connect_ms: 6,
            service_ms: 5.0,
            spread: 0.3,
            held: Vec::new(),
        }
    }
}

impl Plan {
    /// Returns `count` targets `t0`, `t1`, … on successive ports that serve the `shards`
    /// shards `s0`, `s1`, … of one collection at version 1.
    pub fn uniform(first_port: u16, count: u16, shards: u16) -> Plan {
        let shards = shards.max(1);
        let port = |number| if first_port == 0 { 0 } else { first_port + number };
        let target = |number| TargetPlan {
            name: TargetName::from(format!("t{number}")),
            port: port(number),
            held: vec![held(1, number % shards, shards)],
            ..TargetPlan::default()
        };
        Plan { target: (0..count).map(target).collect(), ..Plan::default() }
    }
}

/// Returns shard `number` of a collection of `total` shards at `version`.
pub fn held(version: u64, number: u16, total: u16) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: ShardName::from(format!("s{number}")),
        collection: "main".to_owned(),
        total: u32::from(total),
    }
}
