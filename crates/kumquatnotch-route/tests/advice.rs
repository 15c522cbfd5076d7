//! Which nodes callers are advised to use.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use kumquatnotch_core::ids::{DataCentre, NodeName, Region};
use kumquatnotch_route::{
    directory::Directory,
    fleet::{Fleet, NodeRecord},
    names::{ReplicaId, RouteName, ServiceName},
    replica::ReplicaSpec,
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, ShardSet},
};

fn table(shards: &[&str]) -> RouteTable {
    let set = ShardSet {
        shards: shards.iter().map(|shard| ServiceName::from(*shard)).collect(),
        top: 10,
        least: 0.9,
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

/// Two nodes in each of three regions.
fn fleet() -> Fleet {
    let fleet = Fleet::default();
    let regions = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    fleet.set_regions(
        regions.iter().map(|(c, r)| (DataCentre::from(*c), Region::from(*r))).collect(),
    );
    for (index, (centre, region)) in regions.iter().enumerate() {
        for node in 0..2 {
            let host = (index * 2 + node) as u8;
            let entry = address(host);
            let record = NodeRecord {
                entry,
                peer: address(host + 50),
                centre: DataCentre::from(*centre),
                region: Region::from(*region),
            };
            fleet.put(NodeName::from(format!("n{host}")), record, Instant::now());
        }
    }
    fleet
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
        };
        directory.put(&ReplicaId::from(&*format!("r{index}")), spec, Instant::now());
    }
    directory
}

#[test]
fn callers_of_a_region_with_all_shards_stay_there() {
    let replicas = directory(&[("s1", "a1"), ("s2", "a1"), ("s1", "b1"), ("s2", "b1")]);

    let advice =
        fleet().advise("rooms.example", &Region::from("b"), &table(&["s1", "s2"]), &replicas);

    assert_eq!(advice, [address(2), address(3)]);
}

#[test]
fn callers_of_a_region_without_shards_are_sent_to_those_that_have_them() {
    let replicas = directory(&[("s1", "a1"), ("s2", "a1"), ("s1", "b1"), ("s2", "b1")]);

    let advice =
        fleet().advise("rooms.example", &Region::from("c"), &table(&["s1", "s2"]), &replicas);

    assert_eq!(advice, [address(0), address(1), address(2), address(3)]);
}

#[test]
fn a_region_that_lost_its_replicas_sends_its_callers_elsewhere() {
    let replicas = directory(&[("s1", "b1"), ("s2", "b1")]);

    let advice =
        fleet().advise("rooms.example", &Region::from("a"), &table(&["s1", "s2"]), &replicas);

    assert_eq!(advice, [address(2), address(3)]);
}
