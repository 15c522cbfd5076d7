//! Advice on which nodes callers are to use.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, NodeName, Region},
};
use kumquatnotch_route::{
    advice::{Candidate, HostAdvice},
    directory::Directory,
    fleet::NodeRecord,
    names::{ReplicaId, RouteName, ServiceName},
    replica::ReplicaSpec,
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, ShardSet},
};

fn table(shards: &[&str]) -> RouteTable {
    let set = ShardSet {
        shards: shards.iter().map(|shard| ServiceName::from(*shard)).collect(),
        top: 10,
        min_coverage: 0.9,
    };
    let route = Route {
        name: RouteName::from("search"),
        host: "rooms.example".to_owned(),
        prefix: "/search/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination: Destination::Shards(set),
    };
    let limits = Limits { body: 1_000 };
    RouteTable::new(RouteConfig { version: 1, routes: vec![route], services: vec![], limits })
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

fn region(name: &str) -> Region {
    Region::from(name)
}

fn node(host: u8, centre: &str, capacity: f64) -> Candidate {
    let record = NodeRecord {
        entry: address(host),
        peer: address(host + 50),
        centre: DataCentre::from(centre),
        region: region(&centre[..1]),
        capacity,
    };
    (NodeName::from(format!("n{host}")), record)
}

/// Two nodes in each of three regions with a data centre each.
fn nodes() -> Vec<Candidate> {
    let centres = ["a1", "a1", "b1", "b1", "c1", "c1"];
    (0..).zip(centres).map(|(host, centre)| node(host, centre, 1.0)).collect()
}

fn regions() -> HashMap<DataCentre, Region> {
    let centres = ["a1", "a2", "b1", "b2", "c1"];
    centres.iter().map(|centre| (DataCentre::from(*centre), region(&centre[..1]))).collect()
}

fn advice(replicas: &[(&str, &str)], nodes: &[Candidate]) -> HostAdvice {
    let table = table(&["s1", "s2"]);
    HostAdvice::new("rooms.example", &table, &directory(replicas), nodes, &regions())
}

fn directory(replicas: &[(&str, &str)]) -> Directory {
    let directory = Directory::default();
    for (index, (service, centre)) in replicas.iter().enumerate() {
        let spec = ReplicaSpec {
            service: ServiceName::from(*service),
            address: address(100 + index as u8),
            centre: DataCentre::from(*centre),
            slots: 2,
            draining: false,
            born: None,
            sequence: 0,
        };
        directory.put(&ReplicaId::from(&*format!("r{index}")), spec, Instant::now());
    }
    directory
}

#[test]
fn callers_of_a_region_with_all_shards_stay_there() {
    let advice = advice(&[("s1", "a1"), ("s2", "a1"), ("s1", "b1"), ("s2", "b1")], &nodes());

    assert_eq!(advice.addresses_for(&region("b")), [address(2), address(3)]);
    assert!(
        advice.serves_other_regions(&region("b")) && !advice.serves_other_regions(&region("c"))
    );
}

#[test]
fn callers_of_a_region_without_shards_are_sent_to_those_that_have_them() {
    let advice = advice(&[("s1", "a1"), ("s2", "a1"), ("s1", "b1"), ("s2", "b1")], &nodes());

    let expected = [address(0), address(1), address(2), address(3)];
    assert_eq!(advice.addresses_for(&region("c")), expected);
}

#[test]
fn a_region_that_lost_its_replicas_sends_its_callers_elsewhere() {
    let advice = advice(&[("s1", "b1"), ("s2", "b1")], &nodes());

    assert_eq!(advice.addresses_for(&region("a")), [address(2), address(3)]);
}

#[test]
fn large_nodes_close_to_the_replicas_are_preferred() {
    let mut nodes = vec![node(0, "a1", 0.5), node(1, "a1", 0.5), node(2, "a1", 0.1)];
    nodes.extend([node(3, "a2", 0.5), node(4, "a2", 0.5), node(5, "a2", 0.1)]);

    let advice = advice(&[("s1", "a1"), ("s2", "a1")], &nodes);

    assert_eq!(advice.addresses_for(&region("a")), [address(0), address(1)]);
    assert_eq!(advice.addresses_for(&region("b")), [address(0), address(1)]);
}

/// Only one large node close to the replicas is left. Callers also get the smaller nodes there:
/// with a single address, the loss of one node would leave them without any.
#[test]
fn a_single_suitable_node_is_supplemented_by_smaller_ones() {
    let nodes = [node(0, "a1", 0.5), node(1, "a1", 0.1), node(2, "a2", 0.5)];

    let advice = advice(&[("s1", "a1"), ("s2", "a1")], &nodes);

    assert_eq!(advice.addresses_for(&region("a")), [address(0), address(1)]);
}

#[test]
fn callers_of_an_unknown_region_get_all_nodes() {
    let advice = advice(&[("s1", "a1"), ("s2", "a1")], &nodes());

    assert_eq!(advice.addresses_for(&region("z")).len(), 6);
}
