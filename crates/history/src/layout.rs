//! The targets, shards and document of a run.

use std::{collections::BTreeMap, net::SocketAddr};

use kumquatnotch_core::{
    document::{Class, Document, Rules, SelectorSpec, TargetSpec, TenantSpec},
    front::key_digest,
    ids::{DataCentre, IndexVersion, Region, SelectorName, ShardName, TargetName, TenantName},
    labels::{Expression, Labels},
    target::HeldVersion,
};
use standins::{
    data::OWNERS,
    plan::{Plan, TargetPlan},
    targets::FleetPorts,
};

/// How many shards the search collection has at first.
pub const SEARCH_SHARDS: usize = 6;

/// How many it has after it was repartitioned.
pub const REPARTITIONED_SHARDS: usize = 4;

/// How many shards take non-idempotent requests.
pub const HOLD_SHARDS: usize = 2;

/// The replicas of each shard.
pub const REPLICAS: [&str; 2] = ["a", "b"];

/// The selector of searches.
pub const SEARCH_SELECTOR: &str = "desk";

/// The selector of non-idempotent requests.
pub const HOLD_SELECTOR: &str = "hold";

/// The deadline of both selectors, in milliseconds.
pub const DEADLINE_MS: u64 = 1_000;

/// A request that holds this crashes every target that runs it.
pub const CRASH_MARKER: &str = "poison";

const SEARCH_COLLECTION: &str = "rooms";
const HOLD_COLLECTION: &str = "holds";

/// Data centres with their regions.
pub const CENTRES: [(&str, &str); 3] = [("amman", "north"), ("irbid", "north"), ("aqaba", "south")];

/// The name of a target.
pub fn target_name(kind: &str, shard: usize, replica: &str) -> TargetName {
    TargetName::from(format!("{kind}{shard}{replica}"))
}

/// The key that callers of a tenant present.
pub fn tenant_key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// A shard of the search collection before it was repartitioned.
pub fn initial_shard(version: u64, number: usize) -> HeldVersion {
    held_version(version, format!("s{number}"), SEARCH_COLLECTION, SEARCH_SHARDS)
}

/// A shard of the search collection after it was repartitioned.
pub fn repartitioned_shard(version: u64, number: usize) -> HeldVersion {
    held_version(version, format!("r{number}"), SEARCH_COLLECTION, REPARTITIONED_SHARDS)
}

fn held_version(version: u64, shard: String, collection: &str, total: usize) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: ShardName::from(shard),
        collection: collection.to_owned(),
        total: total as u32,
    }
}

/// The targets.
pub fn plan(seed: u64) -> Plan {
    let search = (0..SEARCH_SHARDS).flat_map(|shard| {
        REPLICAS.map(|replica| TargetPlan {
            name: target_name("s", shard, replica),
            held: vec![initial_shard(1, shard)],
            ..TargetPlan::default()
        })
    });
    let holds = (0..HOLD_SHARDS).flat_map(|shard| {
        REPLICAS.map(|replica| TargetPlan {
            name: target_name("h", shard, replica),
            slots: 6,
            connections: 110,
            connect_ms: 1,
            held: vec![held_version(1, format!("h{shard}"), HOLD_COLLECTION, HOLD_SHARDS)],
            ..TargetPlan::default()
        })
    });
    Plan { seed, control: 0, target: search.chain(holds).collect() }
}

/// The document that puts the targets of `ports` into service.
pub fn document(ports: &FleetPorts) -> Document {
    let targets = ports.targets.iter().enumerate().map(|(number, target)| {
        let centre = CENTRES[number % CENTRES.len()].0;
        (target.name.clone(), target_spec(&target.name, target.address, centre))
    });
    let regions = CENTRES.map(|(centre, region)| (DataCentre::from(centre), Region::from(region)));
    let selectors = [
        (SelectorName::from(SEARCH_SELECTOR), selector("search", false)),
        (SelectorName::from(HOLD_SELECTOR), selector("hold", true)),
    ];
    let tenants = OWNERS.map(|tenant| (TenantName::from(tenant), tenant_spec(tenant)));
    let rules = Rules {
        regions: regions.into(),
        selectors: selectors.into(),
        tenants: tenants.into(),
        ..Rules::default()
    };
    Document { targets: targets.collect(), rules, ..Document::default() }
}

fn target_spec(name: &TargetName, address: SocketAddr, centre: &str) -> TargetSpec {
    let role = if name.starts_with('h') { "hold" } else { "search" };
    let labels: Labels = BTreeMap::from([("role".to_owned(), role.to_owned())]);
    // The last letter is the replica.
    let shard = ShardName::from(&name[..name.len() - 1]);
    TargetSpec { address, centre: DataCentre::from(centre), shard, labels, drain: false }
}

fn selector(role: &str, exclusive: bool) -> SelectorSpec {
    SelectorSpec {
        targets: Expression::parse(&format!("role = {role}")).expect("the expression is right"),
        class: Class::Desk,
        exclusive,
        tenants: Vec::new(),
        deadline_ms: DEADLINE_MS,
    }
}

fn tenant_spec(tenant: &str) -> TenantSpec {
    let keys = vec![key_digest(&tenant_key(tenant))];
    TenantSpec { keys, weight: 1, stop: Default::default() }
}
