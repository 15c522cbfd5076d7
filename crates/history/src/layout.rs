//! Targets, shards and the configuration document of a run.

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

/// Number of shards of the search collection before repartitioning.
pub const SEARCH_SHARDS: usize = 6;

/// Number of shards of the search collection after repartitioning.
pub const REPARTITIONED_SHARDS: usize = 4;

/// Number of shards that take non-idempotent requests.
pub const HOLD_SHARDS: usize = 2;

/// Replica suffixes of each shard.
pub const REPLICAS: [&str; 2] = ["a", "b"];

/// Selector of searches.
pub const SEARCH_SELECTOR: &str = "desk";

/// Selector of non-idempotent requests.
pub const HOLD_SELECTOR: &str = "hold";

/// Deadline of both selectors, in milliseconds.
pub const DEADLINE_MS: u64 = 1_000;

/// Text that, contained in a request, crashes every target that runs the request.
pub const CRASH_MARKER: &str = "poison";

const SEARCH_COLLECTION: &str = "rooms";
const HOLD_COLLECTION: &str = "holds";

/// Data centres with their regions.
pub const CENTRES: [(&str, &str); 3] = [("amman", "north"), ("irbid", "north"), ("aqaba", "south")];

/// Returns the name of a target: kind, shard number and replica suffix.
pub fn target_name(kind: &str, shard: usize, replica: &str) -> TargetName {
    TargetName::from(format!("{kind}{shard}{replica}"))
}

/// Returns the API key of a tenant.
pub fn tenant_key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// Describes a shard of the search collection before repartitioning.
pub fn initial_shard(version: u64, number: usize) -> HeldVersion {
    held_version(version, format!("s{number}"), SEARCH_COLLECTION, SEARCH_SHARDS)
}

/// Describes a shard of the search collection after repartitioning.
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

/// Returns the plan of the stand-in targets: two replicas of each shard.
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

/// Returns the document that puts the targets of `ports` into service.
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
    // The last character of the name is the replica suffix.
    let shard = ShardName::from(&name[..name.len() - 1]);
    TargetSpec { address, centre: DataCentre::from(centre), shard, labels, drain: false }
}

fn selector(role: &str, exclusive: bool) -> SelectorSpec {
    SelectorSpec {
        targets: Expression::parse(&format!("role = {role}")).expect("the expression is valid"),
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
