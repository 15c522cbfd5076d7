//! What the parts of a node share: the configuration in force, the replicas, and
//! what was learned of them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kumquatnotch_core::{
    Clock, Result,
    ids::{DataCentre, Region},
    lifecycle::Lifecycle,
    random::Random,
    registry::Registry,
    services,
};

use crate::{
    budget::{Budget, BudgetOptions},
    directory::Directory,
    fleet::{Fleet, PEER_SERVICE},
    headers::HeaderNames,
    names::ServiceName,
    pace::Paces,
    relay::PROBE_PATH,
    replica::Replica,
    route::{Route, RouteTable},
};

/// The part of a replica's connections that the nodes share out among them.
///
/// The rest is for connections that the replica hasn't seen closed yet, and for
/// nodes that have just started.
const SHARED_CONNECTIONS: f64 = 0.8;

/// The most connections of one node to one replica.
///
/// A replica runs only a few requests at once; what waits is better kept here,
/// where a more urgent request can overtake it.
const MOST_CONNECTIONS: u32 = 8;

/// The connections to a replica of a service that the configuration doesn't name.
const UNKNOWN_CONNECTIONS: u32 = 8;

/// The time for merging and for sending an answer, and the way of a caller nearby.
///
/// A caller of the same region is a few milliseconds away in each direction, and
/// half of the searches open a connection first. Measured on nodes with a quarter
/// of a core: callers see 8 to 15 ms more than the node does, one in ten over 20.
const ANSWER_TIME: Duration = Duration::from_millis(26);

/// The least part of the objective that is waited.
const LEAST_WAIT: f64 = 0.4;

/// Options of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The names of headers.
    pub names: HeaderNames,
    /// The budget for repeats.
    pub budget: BudgetOptions,
    /// Where this node is.
    pub place: Place,
}

/// Where a node is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// What the parts of a node share.
pub struct Router {
    /// The names of headers.
    pub names: HeaderNames,
    /// Where this node is.
    pub place: Place,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The generator of random numbers.
    pub random: Random,
    /// The stage of the node's life.
    pub lifecycle: Lifecycle,
    /// The replicas that are known.
    pub directory: Directory,
    /// The nodes that are known.
    pub fleet: Fleet,
    /// How long requests usually take.
    pub paces: Paces,
    /// The budget for repeats.
    pub budget: Budget,
    table: RefCell<Option<Rc<RouteTable>>>,
    synced: Cell<bool>,
}

impl Router {
    /// A router without configuration and replicas.
    pub fn try_new(options: RouterOptions, registry: &Registry) -> Result<Rc<Router>> {
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        Ok(Rc::new(Router {
            names: options.names,
            place: options.place,
            budget: Budget::new(options.budget, clock.clone()),
            clock,
            random: registry.find(services::RANDOM)?,
            lifecycle: registry.find(services::LIFECYCLE)?,
            directory: Directory::default(),
            fleet: Fleet::default(),
            paces: Paces::default(),
            table: RefCell::default(),
            synced: Cell::new(false),
        }))
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub fn put_in_force(&self, table: RouteTable) -> bool {
        let known = self.table().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            return false;
        }
        *self.table.borrow_mut() = Some(Rc::new(table));
        true
    }

    /// Notes that the directory was read in full once.
    pub fn set_synced(&self) {
        self.synced.set(true);
    }

    /// Whether the node knows enough to serve.
    pub fn is_ready(&self) -> bool {
        self.synced.get() && self.table.borrow().is_some()
    }

    /// Where replicas of a service, or the nodes of this tier, answer probes.
    pub(crate) fn probe_path(&self, service: &ServiceName) -> Option<String> {
        if service.as_str() == PEER_SERVICE {
            return Some(PROBE_PATH.to_owned());
        }
        Some(self.table()?.service(service)?.probe_path.clone())
    }

    /// Sets how many connections this node may have to `replica`.
    pub(crate) fn bound_connections(&self, replica: &Replica, service: &ServiceName) {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        let all = service.map_or(UNKNOWN_CONNECTIONS, |service| service.connections);
        let nodes = self.fleet.len().max(1) as f64;
        let own = (f64::from(all) * SHARED_CONNECTIONS / nodes) as u32;
        replica.gate.set_limit(own.clamp(1, MOST_CONNECTIONS));
    }

    /// For how long after its arrival the answer to a request is worth most.
    ///
    /// Callers count their time from when they sent the request, so both ways come
    /// off the objective. One that was sent here from another region may be as far
    /// away as the farthest replica is.
    pub fn waiting_time(&self, route: &Route) -> Duration {
        let guests = self.table().is_some_and(|table| {
            self.fleet.has_guests(&route.host, &self.place.region, &table, &self.directory)
        });
        let way = if guests { self.farthest_trip() } else { Duration::ZERO };
        let wait = route.objective.saturating_sub(way + ANSWER_TIME);
        wait.max(route.objective.mul_f64(LEAST_WAIT))
    }

    /// The way there and back to the farthest replica that was reached.
    ///
    /// Callers may be as far from this node as its replicas are.
    pub fn farthest_trip(&self) -> Duration {
        let trips = self.directory.all().into_iter().filter_map(|replica| replica.known_trip());
        trips.max().unwrap_or_default()
    }
}
