//! Fixtures: a node with routes to scripted replicas, on real sockets.

#![allow(dead_code)]

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use kumquatnotch_core::{
    Clock,
    clock::RuntimeClock,
    codec,
    ids::{DataCentre, NodeName, Region},
    lifecycle::Lifecycle,
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_net::{Server, server::ServerOptions};
use kumquatnotch_policy::{budget::BudgetOptions, mechanisms::Mechanisms};
use kumquatnotch_route::{
    fleet::NodeRecord,
    front::RouteFront,
    headers::HeaderNames,
    names::{ReplicaId, RouteName, ServiceName},
    relay_front::RelayFront,
    replica::ReplicaSpec,
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, Service, ShardSet},
    router::{LocalNode, Router, RouterOptions},
};
use standins::{
    http::{Answer, Client, Request},
    scripted::{Scripted, Step, answer},
};

/// The host of all routes in the tests.
pub const HOST: &str = "rooms.example";

pub fn run<T>(test: impl Future<Output = T>) -> T {
    standins::block_on(async {
        let limit = Duration::from_secs(30);
        monoio::time::timeout(limit, test).await.expect("the test ends in time")
    })
}

pub async fn pause(millis: u64) {
    monoio::time::sleep(Duration::from_millis(millis)).await;
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::from(name)
}

pub fn route(destination: Destination) -> Route {
    Route {
        name: RouteName::from("route"),
        host: HOST.to_owned(),
        prefix: "/a/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination,
    }
}

pub fn single() -> Route {
    route(Destination::Service(service("s0")))
}

pub fn exclusive() -> Route {
    Route { kind: RouteKind::Exclusive, ..single() }
}

pub fn shards(count: usize, min_coverage: f64) -> Route {
    let shards = (0..count).map(|index| service(&format!("s{index}"))).collect();
    route(Destination::Shards(ShardSet { shards, top: 3, min_coverage }))
}

pub fn config(version: u64, routes: Vec<Route>) -> RouteConfig {
    let services = (0..20).map(|index| Service {
        name: service(&format!("s{index}")),
        probe_path: "/probe".to_owned(),
        connections: 40,
    });
    RouteConfig { version, routes, services: services.collect(), limits: Limits { body: 1_000 } }
}

/// A node with its servers for callers and for other nodes.
pub struct Tier {
    pub router: Rc<Router>,
    pub server: Server,
    pub peer: Server,
    next: std::cell::Cell<u32>,
}

impl Tier {
    pub fn new() -> Tier {
        Tier::with_slack(100.0)
    }

    /// Creates a node whose retry budget has this slack.
    pub fn with_slack(slack: f64) -> Tier {
        Tier::at(slack, "home")
    }

    /// Creates a node in data centre `centre`, in the region of the same name.
    pub fn at(slack: f64, centre: &str) -> Tier {
        Tier::named("me", slack, centre)
    }

    /// Creates a node with this name.
    pub fn named(name: &str, slack: f64, centre: &str) -> Tier {
        Tier::with_clock(name, slack, centre, Rc::new(RuntimeClock))
    }

    /// Creates a node with this clock.
    pub fn with_clock(name: &str, slack: f64, centre: &str, clock: Rc<dyn Clock>) -> Tier {
        let registry = Registry::default();
        registry.register::<Rc<dyn Clock>>(services::CLOCK, clock.clone());
        registry.register(services::RANDOM, Random::with_seed(7));
        registry.register(services::LIFECYCLE, Lifecycle::default());
        let options = RouterOptions {
            names: HeaderNames::default(),
            budget: BudgetOptions { ratio: 0.2, slack, window: Duration::from_secs(10) },
            first_start: true,
            local_node: LocalNode {
                name: NodeName::from(name),
                centre: DataCentre::from(centre),
                region: Region::from(centre),
                capacity: 1.0,
            },
            mechanisms: Mechanisms::default(),
        };
        let router = Router::try_new(options, &registry).unwrap();
        let regions = ["home", "away"];
        router.fleet.set_regions(
            regions.iter().map(|name| (DataCentre::from(*name), Region::from(*name))).collect(),
        );
        let front = Rc::new(RouteFront::new(router.clone()));
        let server = Server::try_new(ServerOptions::default(), clock.clone(), front).unwrap();
        let front = Rc::new(RelayFront::new(router.clone()));
        let peer = Server::try_new(ServerOptions::default(), clock, front).unwrap();
        Tier { router, server, peer, next: std::cell::Cell::new(0) }
    }

    /// Creates a node with one configured route.
    pub fn serving(route: Route) -> Tier {
        let tier = Tier::new();
        tier.put(1, vec![route]);
        tier
    }

    /// Applies a configuration; returns false if it is outdated.
    pub fn put(&self, version: u64, routes: Vec<Route>) -> bool {
        self.router.set_synced();
        self.router.install_table(RouteTable::new(config(version, routes)))
    }

    /// Adds a replica of a service in data centre `home`.
    pub fn add(&self, name: &str, address: SocketAddr) -> ReplicaId {
        self.add_in(name, address, "home")
    }

    /// Adds a replica of a service in data centre `centre`.
    pub fn add_in(&self, name: &str, address: SocketAddr, centre: &str) -> ReplicaId {
        let id = ReplicaId::from(&*format!("{name}-{}", self.next.get()));
        self.next.set(self.next.get() + 1);
        self.add_as(&id, name, address, centre);
        id
    }

    /// Adds a replica with an ID that other nodes use as well.
    pub fn add_as(&self, id: &ReplicaId, name: &str, address: SocketAddr, centre: &str) {
        self.router.directory.put(id, spec(name, address, centre, false), Instant::now());
    }

    /// Adds another node to the known ones.
    pub fn add_node(&self, name: &str, centre: &str, peer: SocketAddr) {
        let record = NodeRecord {
            entry: peer,
            peer,
            centre: DataCentre::from(centre),
            region: Region::from(centre),
            capacity: 1.0,
        };
        self.router.fleet.put(NodeName::from(name), record, Instant::now());
    }

    pub fn client(&self) -> Client {
        Client::new(self.server.address(), Duration::from_secs(5))
    }

    /// Sends a `GET` with this request identity.
    pub async fn get(&self, path: &str, identity: &str) -> Answer {
        let headers = [("host", HOST), ("x-request-id", identity)];
        self.client().send("GET", path, &headers, Bytes::new()).await.unwrap()
    }

    /// Sends a `POST` with this request identity.
    pub async fn post(&self, path: &str, identity: &str, body: &'static [u8]) -> Answer {
        let headers = [("host", HOST), ("x-request-id", identity)];
        self.client().send("POST", path, &headers, Bytes::from_static(body)).await.unwrap()
    }
}

pub fn spec(name: &str, address: SocketAddr, centre: &str, draining: bool) -> ReplicaSpec {
    ReplicaSpec {
        service: service(name),
        address,
        centre: DataCentre::from(centre),
        slots: 2,
        draining,
        born: None,
        sequence: 0,
    }
}

pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    request.headers.get(name).map_or("", |value| value.to_str().unwrap())
}

/// A successful reply, which echoes the request identity and carries a proof.
pub fn proven_reply(request: &Request, proof: &str, body: &[u8]) -> Step {
    answer(200, &[("x-request-id", header(request, "x-request-id")), ("x-proof", proof)], body)
}

/// A replica that answers every request with the same body.
pub fn replica(proof: &'static str, body: &'static [u8]) -> Scripted {
    Scripted::start(move |request| match request.path.as_str() {
        "/probe" => vec![answer(200, &[], b"")],
        _ => vec![proven_reply(request, proof, body)],
    })
    .unwrap()
}

/// A replica that runs `steps` for each request and does not answer probes.
pub fn scripted_replica(steps: impl Fn(&Request) -> Vec<Step> + 'static) -> Scripted {
    Scripted::start(move |request| match request.path.as_str() {
        "/probe" => vec![Step::Silence],
        _ => steps(request),
    })
    .unwrap()
}

/// An address that refuses connections.
///
/// The port is fixed and never assigned to a test server, unlike a port that was free a moment
/// ago.
pub fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A record of 16 bytes.
pub fn record(first: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[0] = first;
    record
}

/// The encoded record of a node in data centre `home`.
pub fn node_entry(peer: SocketAddr, capacity: f64) -> Vec<u8> {
    node_entry_in("home", peer, capacity)
}

/// The encoded record of a node in data centre `centre`, in the region of the same name.
pub fn node_entry_in(centre: &str, peer: SocketAddr, capacity: f64) -> Vec<u8> {
    let record = NodeRecord {
        entry: peer,
        peer,
        centre: DataCentre::from(centre),
        region: Region::from(centre),
        capacity,
    };
    codec::encode(&record).unwrap()
}
