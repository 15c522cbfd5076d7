//! State and logs of a node in a fleet of 2,000 nodes and 10,000 replicas.
//!
//! The sizes are the planned growth to 1,900 nodes over 9,400 replicas, rounded up; a few nodes
//! of each data centre carry the requests.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Store, codec,
    ids::{DataCentre, NodeName, Region},
};
use kumquatnotch_route::{
    change_summary::{Change, ChangeSummary},
    fleet::NodeRecord,
    follow,
    mirror::Mirror,
    names::RouteName,
    route::{Route, RouteTable},
};
use schema::{TestSchema, options};

const NODES: usize = 2_000;
const REPLICAS: usize = 10_000;
const CENTRES: usize = 8;

fn node(number: usize) -> Vec<u8> {
    let record = NodeRecord {
        entry: refusing_address(),
        peer: refusing_address(),
        centre: DataCentre::from(format!("centre-{}", number % CENTRES)),
        region: Region::from(format!("region-{}", number % 2)),
        capacity: if number < 10 * CENTRES { 1.0 } else { 0.25 },
    };
    codec::encode(&record).unwrap()
}

/// Returns the key of a replica; each service has six.
fn replica_key(number: usize) -> String {
    format!("r/s{}.{number:05}", number / 6)
}

/// A store with all nodes and replicas of the fleet.
fn store() -> Rc<FakeStore> {
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    for number in 0..NODES {
        store.put(&format!("n/{number:05}"), &node(number));
    }
    for number in 0..REPLICAS {
        let address = format!("10.0.{}.{}:80", number / 250, number % 250);
        store.put(&replica_key(number), address.as_bytes());
    }
    store
}

/// A node starts in the full fleet. It must keep one entry for each replica and node, and a
/// bounded number of changes for followers. It must be ready within a fraction of the time
/// after which its callers retry.
#[test]
fn a_large_fleet_loads_quickly_and_keeps_each_entry_once() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let dyn_store: Rc<dyn Store> = store.clone();
        let schema = Rc::new(TestSchema);
        let mirror = Mirror::new(options(), tier.router.clone(), dyn_store, schema);
        let began = Instant::now();
        mirror.start();
        while !tier.router.is_ready() {
            pause(5).await;
        }
        let took = began.elapsed();
        for number in 0..3 * REPLICAS {
            store.put(&replica_key(number % REPLICAS), b"10.9.9.9:80");
        }
        while tier.router.journal.revision() < store.revision.get() {
            pause(5).await;
        }

        assert_eq!((tier.router.directory.len(), tier.router.fleet.len()), (REPLICAS, NODES));
        assert_eq!(tier.router.journal.sizes(), (1 + NODES + REPLICAS, 2_000));
        // Limit of a debug build; a release build takes a tenth of the time.
        assert!(took.as_millis() < 4_000, "took {took:?}");
    });
}

/// The configuration grows by 1,400 routes, twice. Loading it must not delay requests, and the
/// lookup of a route must not slow down: 40,000 lookups take 0.08 s in a debug build, and
/// 0.76 s if all routes of the host are searched for each.
#[test]
fn a_request_finds_its_route_among_thousands() {
    let route = |number: usize| Route {
        name: RouteName::from(format!("route-{number}").as_str()),
        prefix: format!("/a{number}/"),
        ..single()
    };
    let began = Instant::now();
    let table = RouteTable::new(config(1, (0..2_800).map(route).collect()));
    let load_time = began.elapsed();

    let began = Instant::now();
    for number in (0..2_800).cycle().step_by(7).take(40_000) {
        let found = table.find(HOST, &format!("/a{number}/x/y")).unwrap();
        assert_eq!(found.prefix, format!("/a{number}/"));
    }
    let lookup_time = began.elapsed();

    assert!(table.find(HOST, "/b/x").is_none());
    assert!(load_time.as_millis() < 500, "loaded after {load_time:?}");
    assert!(lookup_time.as_millis() < 500, "looked up in {lookup_time:?}");
}

/// Each data centre has two nodes that watch the store, whatever its size.
#[test]
fn the_number_of_readers_is_independent_of_the_fleet_size() {
    let candidates: Vec<(NodeName, NodeRecord)> = (0..NODES)
        .map(|number| {
            let name = NodeName::from(format!("n{number:05}"));
            (name, codec::decode(&node(number)).unwrap())
        })
        .collect();

    let watching: usize = (0..CENTRES)
        .map(|centre| DataCentre::from(format!("centre-{centre}")))
        .map(|centre| follow::readers(&centre, &candidates).len())
        .sum();

    assert_eq!(watching, CENTRES * follow::READERS_PER_CENTRE);
}

/// Ten thousand new replicas are logged in one line, a few in a line each.
#[test]
fn many_changes_at_once_are_logged_as_a_summary() {
    let summary = ChangeSummary::default();

    summary.begin(REPLICAS);
    let many = (0..REPLICAS).all(|_| summary.coalesce(Change::Replica));
    summary.end();
    summary.begin(3);
    let few = summary.coalesce(Change::Replica);
    summary.end();

    assert!(many && !few);
}

/// A request reached a leaving replica while many entries changed. The log must still show
/// since when this node knew that the replica was leaving, for a bounded number of replicas.
#[test]
fn leaving_replicas_are_logged_individually_up_to_a_limit() {
    let summary = ChangeSummary::default();

    summary.begin(REPLICAS);
    let named = |change| (0..REPLICAS).filter(|_| !summary.coalesce(change)).count();
    let (draining, gone) = (named(Change::Draining), named(Change::ReplicaGone));
    summary.end();

    assert_eq!((draining, gone), (16, 16));
}
