//! Routes: which services handle a request, and under which rules.

use std::{rc::Rc, time::Duration};

use kumquatnotch_core::collections::HashMap;
use kumquatnotch_policy::weights::WeightedService;

use crate::names::{RouteName, ServiceName};

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its caller.
    Exclusive,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// A replica of one service.
    Service(ServiceName),
    /// A replica of one of several services, chosen in proportion to their weights.
    Weighted(Vec<WeightedService>),
    /// A replica of each shard; the answer merges their parts.
    Shards(ShardSet),
}

/// The shards of a route and the requirements on a merged answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// The services, one for each shard.
    pub shards: Vec<ServiceName>,
    /// Number of greatest records in an answer.
    pub top: usize,
    /// Minimum share of the shards that an answer must cover, from zero to one.
    pub min_coverage: f64,
}

impl ShardSet {
    /// Minimum number of parts of an answer.
    pub fn min_parts(&self) -> usize {
        // The product with a decimal fraction may exceed the intended whole number by a
        // rounding error.
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
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time until a reply.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// Maximum number of replicas of each service that may run one request.
    pub attempts: u32,
    /// The priority of its requests; zero is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub destination: Destination,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path on which its replicas answer probes.
    pub probe_path: String,
    /// Maximum number of connections to a replica from all nodes together.
    pub connections: u32,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body: usize,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Its version, which increases monotonically.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits on the requests of callers.
    pub limits: Limits,
}

/// The routes of one configuration version, indexed by host and prefix.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Host>,
    services: HashMap<ServiceName, Service>,
    limits: Limits,
}

impl RouteTable {
    /// Builds the table from a configuration.
    pub fn new(config: RouteConfig) -> RouteTable {
        let RouteConfig { version, routes, services, limits } = config;
        let mut hosts: HashMap<String, Host> = HashMap::default();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().add(Rc::new(route));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        RouteTable { version, hosts, services: services.collect(), limits }
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The limits on the requests of callers.
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

    /// The hosts with at least one sharded route.
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
    /// The routes by prefix; each prefix ends with a slash.
    by_prefix: HashMap<String, Rc<Route>>,
}

impl Host {
    fn add(&mut self, route: Rc<Route>) {
        // Of two routes with the same prefix, the first one takes precedence.
        self.by_prefix.entry(route.prefix.clone()).or_insert_with(|| route.clone());
        self.routes.push(route);
    }

    /// The route with the longest prefix that `path` begins with.
    ///
    /// Does one lookup for each slash of the path, independent of the number of routes.
    fn find(&self, path: &str) -> Option<&Rc<Route>> {
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.map(|end| &path[..end]).find_map(|prefix| self.by_prefix.get(prefix))
    }
}
