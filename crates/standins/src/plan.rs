//! What the targets of a process are like, from a TOML file.

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName, TargetName},
    target::HeldVersion,
};
use serde::{Deserialize, Serialize};

/// The targets of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of the service times.
    #[serde(default)]
    pub seed: u64,
    /// The port where faults are set and runs are read; zero for any.
    #[serde(default)]
    pub control: u16,
    /// The targets.
    #[serde(default)]
    pub target: Vec<TargetPlan>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetPlan {
    /// Its name.
    pub name: TargetName,
    /// Its port; zero for any.
    pub port: u16,
    /// How many requests run at once.
    pub slots: usize,
    /// How many requests wait for a slot.
    pub queue: usize,
    /// How many connections it takes.
    pub connections: usize,
    /// The work of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// The median of its service times, in milliseconds.
    pub service_ms: f64,
    /// How widely they spread: zero is constant, one has a long tail.
    pub spread: f64,
    /// The versions it holds.
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
    /// `count` targets `t0`, `t1`, … on successive ports, which share `shards`
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

/// Shard `number` of a collection of `total` shards at `version`.
pub fn held(version: u64, number: u16, total: u16) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: ShardName::from(format!("s{number}")),
        collection: "main".to_owned(),
        total: u32::from(total),
    }
}
