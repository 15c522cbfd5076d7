//! What the parts of a node share: the configuration in force, the replicas, and
//! what was learned of them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Result,
    ids::{DataCentre, NodeName, Region},
    lifecycle::Lifecycle,
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_policy::{
    answer_time::{self, Origin},
    budget::{Budget, BudgetOptions},
    caller_rtt::CallerRtt,
    crashes::Crashes,
    distances::Distances,
    lags::Lags,
    mechanisms::{Mechanism, Mechanisms},
    overload::Overload,
    rating::RequestProfile,
    service_times::ServiceTimes,
    startup,
};

use crate::{
    advice::{AdviceCache, Candidate, HostAdvice},
    directory::Directory,
    fleet::{Fleet, PEER_SERVICE},
    headers::HeaderNames,
    journal::Journal,
    names::ServiceName,
    relay::PROBE_PATH,
    replica::Replica,
    route::{Route, RouteTable},
};

/// The most visitors that are remembered.
const MOST_VISITORS: usize = 3;

/// Options of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The names of headers.
    pub names: HeaderNames,
    /// The budget for repeats.
    pub budget: BudgetOptions,
    /// Where this node is.
    pub place: Place,
    /// Which mechanisms are in use; all of them but in experiments.
    pub mechanisms: Mechanisms,
}

/// Who and where a node is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: NodeName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// The processor time that it has in a second, in cores.
    pub capacity: f64,
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
    /// What is known of the store, for other nodes to follow.
    pub journal: Journal,
    /// Until when entries that vanish are kept for a while.
    pub lenient: Cell<Option<Instant>>,
    /// The nodes that are known.
    pub fleet: Fleet,
    /// The ways to the data centres.
    pub distances: Rc<Distances>,
    /// How much later than due answers leave.
    pub lags: Lags,
    /// How far away callers are.
    pub callers: CallerRtt,
    /// How long requests usually take.
    pub paces: ServiceTimes,
    /// The requests that were with replicas when these crashed.
    pub crashes: Crashes,
    /// How hard pressed replicas are.
    pub strains: Overload,
    /// The budget for repeats.
    pub budget: Budget,
    mechanisms: Mechanisms,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Nodes that asked this one something before it knew any, by their addresses.
    visitors: RefCell<Vec<SocketAddr>>,
    /// When the node started.
    started: Instant,
    /// Whether the other nodes are known, as far as the store has named them.
    placed: Cell<bool>,
    /// When the directory was read in full first.
    pub(crate) synced: Cell<Option<Instant>>,
    advice: RefCell<AdviceCache>,
    pub(crate) part: Cell<((u64, u64, u64), f64)>,
}

impl Router {
    /// A router without configuration and replicas.
    pub fn try_new(options: RouterOptions, registry: &Registry) -> Result<Rc<Router>> {
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let Place { centre, region, .. } = options.place.clone();
        let distances = Rc::new(Distances::from(centre, region));
        Ok(Rc::new(Router {
            names: options.names,
            place: options.place,
            journal: Journal::new(clock.clone()),
            budget: Budget::new(options.budget, clock.now()),
            visitors: RefCell::default(),
            started: clock.now(),
            clock,
            random: registry.find(services::RANDOM)?,
            lifecycle: registry.find(services::LIFECYCLE)?,
            directory: Directory::new(distances.clone()),
            fleet: Fleet::new(distances.clone()),
            distances,
            lenient: Cell::new(None),
            lags: Lags::default(),
            callers: CallerRtt::default(),
            paces: ServiceTimes::default(),
            crashes: Crashes::default(),
            strains: Overload::default(),
            mechanisms: options.mechanisms,
            table: RefCell::default(),
            placed: Cell::new(false),
            synced: Cell::new(None),
            advice: RefCell::default(),
            part: Cell::new(((0, 0, 0), 1.0)),
        }))
    }

    /// Whether a mechanism is in use.
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.uses(mechanism)
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

    /// For how much longer entries that vanish are kept for a while.
    pub fn lenient_for(&self) -> Duration {
        let until = self.lenient.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(self.clock.now()))
    }

    /// Keeps entries that vanish for a while, from now on for `span` at least.
    pub fn be_lenient(&self, span: Duration) {
        if !self.uses(Mechanism::LapseCaution) {
            return;
        }
        let until = self.clock.now() + span;
        self.lenient.set(Some(self.lenient.get().map_or(until, |known| known.max(until))));
    }

    /// Notes that the directory was read in full once.
    pub fn set_synced(&self) {
        if self.synced.get().is_none() {
            self.synced.set(Some(self.clock.now()));
        }
    }

    /// Whether the directory was read in full once.
    pub fn is_synced(&self) -> bool {
        self.synced.get().is_some()
    }

    /// Whether the node knows enough to serve.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && self.table.borrow().is_some()
    }

    /// Notes that the other nodes are known.
    pub(crate) fn set_placed(&self) {
        self.placed.set(true);
    }

    /// Whether the other nodes are known.
    pub(crate) fn is_placed(&self) -> bool {
        self.placed.get() || self.is_synced()
    }

    /// Whether other nodes need not know this one, as callers are advised to use larger ones.
    ///
    /// Of hundreds of nodes only some carry requests. An entry of each of them costs the
    /// store two writes a start and a renewal each second, for nobody.
    pub fn is_standby(&self) -> bool {
        self.uses(Mechanism::Standby) && self.is_placed() && self.fleet.is_standby(&self.place)
    }

    /// Notes that the node at `address` asked something; only as long as none is known.
    pub(crate) fn note_visitor(&self, address: SocketAddr) {
        let mut visitors = self.visitors.borrow_mut();
        if !self.is_synced() && visitors.len() < MOST_VISITORS && !visitors.contains(&address) {
            visitors.push(address);
        }
    }

    /// The nodes that asked this one something before it knew any.
    pub(crate) fn visitors(&self) -> Vec<SocketAddr> {
        self.visitors.borrow().clone()
    }

    /// When a caller with `left` is to come again while the node isn't ready.
    pub(crate) fn ready_retry(&self, left: Duration) -> Duration {
        startup::retry_after(self.clock.now().saturating_duration_since(self.started), left)
    }

    /// What is known of a request of `route` for the choice of a replica of `service`.
    pub fn need_at(&self, route: &Route, service: &ServiceName) -> RequestProfile {
        RequestProfile { spent: self.budget.spent(service, self.clock.now()), ..self.need(route) }
    }

    /// What is known of a request of `route`.
    pub fn need(&self, route: &Route) -> RequestProfile {
        let need = self.paces.need(&route.name, route.objective);
        RequestProfile { mechanisms: self.mechanisms, ..need }
    }

    /// Where replicas of a service, or the nodes of this tier, answer probes.
    pub(crate) fn probe_path(&self, service: &ServiceName) -> Option<String> {
        if service.as_str() == PEER_SERVICE {
            return Some(PROBE_PATH.to_owned());
        }
        Some(self.table()?.service(service)?.probe_path.clone())
    }

    /// What callers of `host` are advised; `None` without configuration.
    pub fn advice(&self, host: &str) -> Option<Rc<HostAdvice>> {
        let table = self.table()?;
        let valid_for = self.valid_for(&table);
        let advice = self.advice.borrow_mut().get(host, valid_for, || {
            let nodes = self.fleet.candidates();
            if !self.uses(Mechanism::Placement) {
                return HostAdvice::of_all(&nodes);
            }
            HostAdvice::new(host, &table, &self.directory, &nodes, &self.fleet.regions())
        });
        Some(advice)
    }

    /// The node of `centre` that is to gather for others, for requests to `host`.
    ///
    /// It is one that callers are advised to use: the others have few connections.
    pub fn peer_in(&self, host: &str, centre: &DataCentre) -> Option<Rc<Replica>> {
        let advice = self.advice(host)?;
        let region = self.fleet.region_of(centre)?;
        let there = advice.nodes_for(&region).iter().filter(|(_, node)| node.centre == *centre);
        let there: Vec<Candidate> = there.cloned().collect();
        self.fleet.peer_of(&there)
    }

    /// What advice and shares are worked out from: they hold as long as it is the same.
    pub(crate) fn valid_for(&self, table: &RouteTable) -> (u64, u64, u64) {
        (table.version(), self.directory.generation(), self.fleet.generation())
    }

    /// For how long after its arrival the answer to a request is worth most.
    pub fn waiting_time(&self, route: &Route, is_first: bool) -> Duration {
        let guests =
            self.advice(&route.host).is_some_and(|advice| advice.has_guests(&self.place.region));
        let way = if guests { self.distances.max_round_trip() } else { Duration::ZERO };
        let (mut trip, mut lag) = (self.callers.usual(), self.lags.usual());
        if !self.uses(Mechanism::CallerTrips) {
            trip = CallerRtt::default().usual();
        }
        if !self.uses(Mechanism::Lags) {
            lag = Lags::default().usual();
        }
        answer_time::time_to_answer(
            route.objective,
            Origin { round_trip: trip, remote_round_trip: way, lag, is_first },
        )
    }
}
