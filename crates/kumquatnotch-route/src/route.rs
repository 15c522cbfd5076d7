//! Routes: which services a request may reach, and how.

use std::{rc::Rc, time::Duration};

use kumquatnotch_core::collections::HashMap;
use kumquatnotch_policy::weights::WeightedService;

use crate::names::{RouteName, ServiceName};

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of its caller.
    Exclusive,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// To a replica of one service.
    Service(ServiceName),
    /// To a replica of one of several services, in proportion to their weights.
    Weighted(Vec<WeightedService>),
    /// To a replica of each shard; the answer merges their parts.
    Shards(ShardSet),
}

/// The shards of a route, and what an answer from them must hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// The services that hold a shard each.
    pub shards: Vec<ServiceName>,
    /// How many of the greatest records an answer has.
    pub top: usize,
    /// The least share of the shards that must be covered, from zero to one.
    pub min_coverage: f64,
}

impl ShardSet {
    /// How many parts an answer must have at least.
    pub fn min_parts(&self) -> usize {
        // The share is a decimal fraction, whose product may lie a rounding
        // error above the whole number that is meant.
        let parts = (self.min_coverage * self.shards.len() as f64 - 1e-9).ceil();
        (parts as usize).max(1)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: RouteName,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The most replicas that may run one request, for each service.
    pub attempts: u32,
    /// Its rank; zero is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub destination: Destination,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Where its replicas answer probes.
    pub probe_path: String,
    /// The most connections that a replica takes from all nodes together.
    pub connections: u32,
}

/// The bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: usize,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Its version, which only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The bounds on what a caller may send.
    pub limits: Limits,
}

/// The routes of one version, by host and prefix.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Host>,
    services: HashMap<ServiceName, Service>,
    limits: Limits,
}

impl RouteTable {
    /// Sorts a configuration for lookups.
    pub fn new(config: RouteConfig) -> RouteTable {
        let RouteConfig { version, routes, services, limits } = config;
        let mut hosts: HashMap<String, Host> = HashMap::default();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().add(Rc::new(route));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        RouteTable { version, hosts, services: services.collect(), limits }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bounds on what a caller may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route with the longest prefix that `path` begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.host(host)?.find(path)
    }

    /// The routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Rc<Route>] {
        self.host(host).map_or(&[], |host| &host.routes)
    }

    fn host(&self, host: &str) -> Option<&Host> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(&name.to_ascii_lowercase())
    }

    /// The hosts with a route over shards.
    pub fn sharded_hosts(&self) -> impl Iterator<Item = &str> {
        let over_shards = |host: &Host| {
            host.routes.iter().any(|route| matches!(route.destination, Destination::Shards(_)))
        };
        self.hosts.iter().filter(move |(_, host)| over_shards(host)).map(|(name, _)| &**name)
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct Host {
    routes: Vec<Rc<Route>>,
    /// The same by their prefixes, each of which ends with a slash.
    by_prefix: HashMap<String, Rc<Route>>,
}

impl Host {
    fn add(&mut self, route: Rc<Route>) {
        // Of two with the same prefix, the first one is meant.
        self.by_prefix.entry(route.prefix.clone()).or_insert_with(|| route.clone());
        self.routes.push(route);
    }

    /// The route with the longest prefix that `path` begins with.
    ///
    /// It looks up a prefix for each slash of the path, whatever the number of routes.
    fn find(&self, path: &str) -> Option<&Rc<Route>> {
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.map(|end| &path[..end]).find_map(|prefix| self.by_prefix.get(prefix))
    }
}
