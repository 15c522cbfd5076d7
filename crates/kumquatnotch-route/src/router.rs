//! State that the parts of a node share: the configuration in force, the known replicas and
//! nodes, and what was learned of them.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Result,
    ids::{DataCentre, Fingerprint, NodeName, Region},
    lifecycle::Lifecycle,
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_policy::{
    answer_time::{self, RequestDelays},
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
    crash_alarm::{AlarmLimit, PendingAlarms},
    crash_records::CrashRecords,
    directory::Directory,
    fleet::{Fleet, PEER_SERVICE},
    headers::HeaderNames,
    journal::Journal,
    names::ServiceName,
    relay::PROBE_PATH,
    replica::Replica,
    route::{Route, RouteTable},
};

/// Maximum number of inbound peers that are remembered.
const MAX_INBOUND_PEERS: usize = 3;

/// Options of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The names of headers.
    pub names: HeaderNames,
    /// The budget for repeats (retries and hedges).
    pub budget: BudgetOptions,
    /// Whether the whole tier starts for the first time.
    pub first_start: bool,
    /// This node.
    pub local_node: LocalNode,
    /// The mechanisms in use: all of them, except in experiments.
    pub mechanisms: Mechanisms,
}

/// Name, location and capacity of this node.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Its name.
    pub name: NodeName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Processor time available to it, in cores.
    pub capacity: f64,
}

/// State that the parts of a node share.
pub struct Router {
    /// The names of headers.
    pub names: HeaderNames,
    /// This node.
    pub local_node: LocalNode,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The generator of random numbers.
    pub random: Random,
    /// The stage of the node's lifecycle.
    pub lifecycle: Lifecycle,
    /// The known replicas.
    pub directory: Directory,
    /// The known state of the store, for followers.
    pub journal: Journal,
    /// End of the grace period, in which entries that vanish are retained for a while.
    pub grace_until: Cell<Option<Instant>>,
    /// The known nodes.
    pub fleet: Fleet,
    /// The distances to the data centres.
    pub distances: Rc<Distances>,
    /// How much later than due this node sends its answers.
    pub lags: Lags,
    /// Round-trip times between this node and its callers.
    pub caller_rtt: CallerRtt,
    /// Usual service times of requests, by route.
    pub service_times: ServiceTimes,
    /// Requests that were running on replicas when these crashed.
    pub crashes: Crashes,
    /// Limits how often this node warns others of searches that seem to crash replicas.
    pub(crate) alarm_limit: AlarmLimit,
    /// Searches whose warnings are being sent to other nodes.
    pub(crate) pending_alarms: PendingAlarms,
    /// Shares these with the other nodes.
    crash_records: OnceCell<Rc<CrashRecords>>,
    /// Overload of replicas, by route.
    pub overload: Overload,
    /// The budget for repeats (retries and hedges).
    pub budget: Budget,
    mechanisms: Mechanisms,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Addresses of the nodes that contacted this one before it knew any.
    inbound_peers: RefCell<Vec<SocketAddr>>,
    /// When the node started.
    started: Instant,
    /// Whether the other nodes are known, as listed by the store.
    nodes_known: Cell<bool>,
    /// When the directory was first loaded completely.
    pub(crate) synced_at: Cell<Option<Instant>>,
    advice: RefCell<AdviceCache>,
    pub(crate) cached_share: Cell<((u64, u64, u64), f64)>,
}

impl Router {
    /// Creates a router without a configuration and without replicas.
    pub fn try_new(options: RouterOptions, registry: &Registry) -> Result<Rc<Router>> {
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let LocalNode { centre, region, .. } = options.local_node.clone();
        let distances = Rc::new(Distances::from(centre, region));
        Ok(Rc::new(Router {
            names: options.names,
            local_node: options.local_node,
            journal: Journal::new(clock.clone()),
            budget: match options.first_start {
                true => Budget::new(options.budget, clock.now()),
                false => Budget::after_restart(options.budget, clock.now()),
            },
            inbound_peers: RefCell::default(),
            started: clock.now(),
            clock,
            random: registry.find(services::RANDOM)?,
            lifecycle: registry.find(services::LIFECYCLE)?,
            directory: Directory::new(distances.clone()),
            fleet: Fleet::new(distances.clone()),
            distances,
            grace_until: Cell::new(None),
            lags: Lags::default(),
            caller_rtt: CallerRtt::default(),
            service_times: ServiceTimes::default(),
            crashes: Crashes::default(),
            alarm_limit: AlarmLimit::default(),
            pending_alarms: PendingAlarms::default(),
            crash_records: OnceCell::new(),
            overload: Overload::default(),
            mechanisms: options.mechanisms,
            table: RefCell::default(),
            nodes_known: Cell::new(false),
            synced_at: Cell::new(None),
            advice: RefCell::default(),
            cached_share: Cell::new(((0, 0, 0), 1.0)),
        }))
    }

    /// Whether a mechanism is in use.
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.uses(mechanism)
    }

    /// Sets what shares crashes of replicas with the other nodes; only the first call counts.
    pub fn set_crash_records(&self, records: Rc<CrashRecords>) {
        // A node has one store.
        let _ = self.crash_records.set(records);
    }

    /// Returns what shares crashes of replicas with the other nodes, unless this node is alone.
    pub fn crash_records(&self) -> Option<&Rc<CrashRecords>> {
        self.crash_records.get()
    }

    /// Tells the other nodes what this one knows of a request that crashes replicas.
    pub fn publish_crashes(&self, fingerprint: Fingerprint) {
        if let Some(records) = self.crash_records() {
            records.publish(fingerprint);
        }
    }

    /// Forgets the crashes of a request, on all nodes.
    pub fn forget_crashes(&self, fingerprint: Fingerprint) {
        match self.crash_records() {
            Some(records) => records.delete(fingerprint),
            None => drop(self.crashes.remove(fingerprint)),
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did.
    pub fn install_table(&self, table: RouteTable) -> bool {
        let known = self.table().map(|table| table.version());
        if known.is_some_and(|known| known >= table.version()) {
            return false;
        }
        *self.table.borrow_mut() = Some(Rc::new(table));
        true
    }

    /// Returns the rest of the grace period.
    pub fn remaining_grace(&self) -> Duration {
        let until = self.grace_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(self.clock.now()))
    }

    /// Extends the grace period to at least `span` from now.
    pub fn extend_grace(&self, span: Duration) {
        if !self.uses(Mechanism::LapseCaution) {
            return;
        }
        let until = self.clock.now() + span;
        self.grace_until.set(Some(self.grace_until.get().map_or(until, |known| known.max(until))));
    }

    /// Notes that the directory has been loaded completely.
    pub fn set_synced(&self) {
        if self.synced_at.get().is_none() {
            self.synced_at.set(Some(self.clock.now()));
        }
    }

    /// Whether the directory has been loaded completely once.
    pub fn is_synced(&self) -> bool {
        self.synced_at.get().is_some()
    }

    /// Whether the node has the state that it needs to serve.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && self.table.borrow().is_some()
    }

    /// Notes that the other nodes are known.
    pub(crate) fn set_nodes_known(&self) {
        self.nodes_known.set(true);
    }

    /// Whether the other nodes are known.
    pub(crate) fn are_nodes_known(&self) -> bool {
        self.nodes_known.get() || self.is_synced()
    }

    /// Whether other nodes need not know this one, because callers are advised to use larger ones.
    ///
    /// Of hundreds of nodes, only some carry requests. Without standby, the entry of each of the
    /// others would cost the store two writes on start and a renewal every second, to no benefit.
    pub fn is_standby(&self) -> bool {
        self.uses(Mechanism::Standby)
            && self.are_nodes_known()
            && self.fleet.is_standby(&self.local_node)
    }

    /// Remembers the address of a node that contacted this one, while no other node is known.
    pub(crate) fn note_inbound_peer(&self, address: SocketAddr) {
        let mut inbound_peers = self.inbound_peers.borrow_mut();
        if !self.is_synced()
            && inbound_peers.len() < MAX_INBOUND_PEERS
            && !inbound_peers.contains(&address)
        {
            inbound_peers.push(address);
        }
    }

    /// Returns the addresses of the nodes that contacted this one before it knew any.
    pub(crate) fn inbound_peers(&self) -> Vec<SocketAddr> {
        self.inbound_peers.borrow().clone()
    }

    /// Returns the retry delay for a caller with `left` until its deadline, while the node isn't
    /// ready.
    pub(crate) fn not_ready_retry(&self, left: Duration) -> Duration {
        startup::retry_after(self.clock.now().saturating_duration_since(self.started), left)
    }

    /// Returns the profile of a request of `route`, for the selection of a replica of `service`.
    pub fn profile_for(&self, route: &Route, service: &ServiceName) -> RequestProfile {
        RequestProfile {
            spent: self.budget.spent(service, self.clock.now()),
            ..self.profile(route)
        }
    }

    /// Returns the profile of a request of `route`, without the spent retry budget.
    pub fn profile(&self, route: &Route) -> RequestProfile {
        let profile = self.service_times.profile(&route.name, route.objective);
        RequestProfile { mechanisms: self.mechanisms, ..profile }
    }

    /// Returns the path at which replicas of a service, or nodes of this tier, answer probes.
    pub(crate) fn probe_path(&self, service: &ServiceName) -> Option<String> {
        if service.as_str() == PEER_SERVICE {
            return Some(PROBE_PATH.to_owned());
        }
        Some(self.table()?.service(service)?.probe_path.clone())
    }

    /// Returns the advice for callers of `host`, or `None` without a configuration.
    pub fn advice(&self, host: &str) -> Option<Rc<HostAdvice>> {
        let table = self.table()?;
        let versions = self.input_versions(&table);
        let advice = self.advice.borrow_mut().get(host, versions, || {
            let nodes = self.fleet.candidates();
            if !self.uses(Mechanism::Placement) {
                return HostAdvice::all_nodes(&nodes);
            }
            HostAdvice::new(host, &table, &self.directory, &nodes, &self.fleet.regions())
        });
        Some(advice)
    }

    /// Returns the node of `centre` that gathers on behalf of other nodes, for requests to `host`.
    ///
    /// It is one that callers are advised to use; the other nodes have few connections to replicas.
    pub fn peer_in(&self, host: &str, centre: &DataCentre) -> Option<Rc<Replica>> {
        let advice = self.advice(host)?;
        let region = self.fleet.region_of(centre)?;
        let in_centre = advice.nodes_for(&region).iter().filter(|(_, node)| node.centre == *centre);
        let in_centre: Vec<Candidate> = in_centre.cloned().collect();
        self.fleet.least_loaded_peer(&in_centre)
    }

    /// Returns the versions of all inputs of advice and shares, which are valid until one changes.
    pub(crate) fn input_versions(&self, table: &RouteTable) -> (u64, u64, u64) {
        (table.version(), self.directory.generation(), self.fleet.generation())
    }

    /// Returns the time after its arrival within which the answer to a request is in time.
    pub fn time_to_answer(&self, route: &Route, is_first: bool) -> Duration {
        let serves_others = self
            .advice(&route.host)
            .is_some_and(|advice| advice.serves_other_regions(&self.local_node.region));
        let remote_round_trip =
            if serves_others { self.distances.max_round_trip() } else { Duration::ZERO };
        let (mut round_trip, mut lag) = (self.caller_rtt.usual(), self.lags.usual());
        if !self.uses(Mechanism::CallerTrips) {
            round_trip = CallerRtt::default().usual();
        }
        if !self.uses(Mechanism::Lags) {
            lag = Lags::default().usual();
        }
        answer_time::time_to_answer(
            route.objective,
            RequestDelays { round_trip, remote_round_trip, lag, is_first },
        )
    }
}
