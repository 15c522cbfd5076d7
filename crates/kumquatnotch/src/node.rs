//! A node: every service, registered by its name, and the order in which they
//! start and end.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_config::settings::{AdviceSettings, DecisionSettings, Settings};
use kumquatnotch_core::{
    Clock, LocalFuture, Result, Store,
    clock::{self, RuntimeClock},
    ids::{DataCentre, NodeName, Region},
    lifecycle::{Lifecycle, Stage},
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_holder::{Decisions, HolderOptions, HolderService};
use kumquatnotch_member::{ConfigOptions, ConfigService, MembershipOptions, MembershipService};
use kumquatnotch_net::{
    PeerLinks, Server, TargetLinks,
    entry::{EntryRoute, OPERATOR, Operator},
    peer_links::PeerLinkOptions,
    peer_route::PeerRoute,
    server::ServerOptions,
    silence::INTERIM_PERIOD,
    target_links::TargetLinkOptions,
};
use kumquatnotch_policy::{
    hedge::{HedgeOptions, QuantileHedge},
    retry::{BudgetRetry, RetryOptions},
};
use kumquatnotch_query::{FrontOptions, FrontService, QueryOptions, RouterOptions};

use crate::operator::NodeOperator;

/// How long a reply with advice is on its way to its caller, at most.
///
/// A caller takes its advice to lapse from when the reply came, which is a way
/// of at most 20 ms later than when it was given.
const REPLY_TIME: Duration = Duration::from_millis(100);

/// How long the news that a node has gone takes to reach the others.
const FAREWELL_TIME: Duration = Duration::from_secs(1);

/// How often a node looks whether another process took its place.
const OUTLIVED_GAP: Duration = Duration::from_secs(1);

/// The largest message between nodes, in bytes.
const PEER_BODY: usize = 16 << 20;

/// The most connections that a node takes from others.
const PEER_CONNECTIONS: usize = 16_000;

/// Options of a [`Node`].
pub struct NodeOptions {
    /// The settings.
    pub settings: Settings,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Renders the metrics of the process in Prometheus' text form.
    pub metrics: Box<dyn Fn() -> String>,
}

impl NodeOptions {
    /// Options without metrics.
    pub fn new(settings: Settings, store: Rc<dyn Store>) -> NodeOptions {
        NodeOptions { settings, store, metrics: Box::new(String::new) }
    }
}

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Every request in flight ended.
    Clean,
    /// Some had not when the time for the shutdown was over.
    Cut,
    /// It left as another process has its name or address, and must be started again.
    Outlived,
}

/// A node of the tier.
pub struct Node {
    /// The services, by name.
    pub registry: Registry,
    settings: Settings,
    clock: Rc<dyn Clock>,
    lifecycle: Lifecycle,
    entry: Server,
    peer: Server,
    members: Rc<MembershipService>,
    config: Rc<ConfigService>,
    holder: Rc<HolderService>,
    front: Rc<FrontService>,
}

impl Node {
    /// Listens, and puts every service together; none of them runs yet.
    ///
    /// This must run inside a runtime.
    pub fn try_new(options: NodeOptions) -> Result<Node> {
        let NodeOptions { settings, store, metrics } = options;
        let registry = Registry::default();
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock);
        let lifecycle = Lifecycle::default();
        registry.register::<Rc<dyn Clock>>(services::CLOCK, clock.clone());
        registry.register(services::RANDOM, generator(&settings));
        registry.register(services::LIFECYCLE, lifecycle.clone());

        // The way out.
        TargetLinks::try_new(target_options(&settings), &registry)?;
        PeerLinks::try_new(
            PeerLinkOptions { max_body: PEER_BODY, ..Default::default() },
            &registry,
        )?;
        registry.register(services::STORE, store);

        // The way in, which comes first because membership tells its addresses.
        let route = Rc::new(EntryRoute::new(registry.clone(), settings.limits.requests));
        let entry = Server::try_new(entry_options(&settings), clock.clone(), route)?;
        let route = Rc::new(PeerRoute::new(registry.clone()));
        let peer = Server::try_new(peer_options(&settings), clock.clone(), route)?;

        // What runs in between, each after those that it looks up.
        let options = member_options(&settings, &entry, &peer);
        let members = MembershipService::try_new(options, &registry)?;
        let config = ConfigService::try_new(ConfigOptions::default(), &registry)?;
        let options = holder_options(&settings);
        let holder = HolderService::with_decisions(options, decisions(&settings), &registry)?;
        let front = kumquatnotch_query::install(query_options(&settings), &registry)?;
        let operator = NodeOperator::new(&registry, holder.clone(), front.clone(), metrics)?;
        registry.register::<Rc<dyn Operator>>(OPERATOR, Rc::new(operator));

        Ok(Node {
            registry,
            settings,
            clock,
            lifecycle,
            entry,
            peer,
            members,
            config,
            holder,
            front,
        })
    }

    /// The servers for callers and for peers.
    pub fn servers(&self) -> (&Server, &Server) {
        (&self.entry, &self.peer)
    }

    /// Starts every service.
    pub fn start(&self) {
        self.members.start();
        self.config.start();
        self.holder.start();
        self.front.start();
    }

    /// Runs until it is to end, then leaves gracefully.
    pub async fn run(&self, stop: LocalFuture<'_, ()>) -> Shutdown {
        self.start();
        self.wait(stop).await;
        self.leave().await
    }

    /// Waits until `stop` completes or another process has taken this node's place.
    ///
    /// The others know only the later life of a name or an address, so this one
    /// would be sent neither news nor work, would get no part of the readings of
    /// the platform, and couldn't be seen: callers that still have its address
    /// would be served from a configuration that nobody asks it about. It can't
    /// take another number, as tickets carry the one that it has. So it ends, and
    /// a new process draws a number above both.
    pub async fn wait(&self, stop: LocalFuture<'_, ()>) {
        let outlived = std::pin::pin!(self.outlived());
        if let Either::Right(_) = select(stop, outlived).await {
            tracing::warn!("node: another process has this name or address, so it ends");
        }
    }

    async fn outlived(&self) {
        while !self.members.is_outlived() {
            clock::sleep(&*self.clock, OUTLIVED_GAP).await;
        }
    }

    /// Leaves gracefully: no request in flight is cut while time is left.
    ///
    /// Also a node that was outlived may serve meanwhile: a ticket names the life
    /// that issued it, so the later process never runs what this one may have run,
    /// and whoever passes a ticket on to the later one is told that the outcome is
    /// unknown. Searches change nothing, and their document is asked for on.
    pub async fn leave(&self) -> Shutdown {
        // What another process does once this one leaves is no reason to start again.
        let outlived = self.members.is_outlived();
        // Callers keep the address of this node for as long as their advice said,
        // and other nodes go on giving it out until they hear that this one leaves.
        // A node that waited for its own advice only would refuse callers that
        // were advised in between: the specification of leaving shows it.
        tracing::info!("node: leaving, and serving until the advice given out has lapsed");
        self.lifecycle.advance(Stage::Leaving);
        self.members.leave();
        self.entry.drain();
        let AdviceSettings { valid, spread } = self.settings.advice;
        clock::sleep(&*self.clock, spread + valid + REPLY_TIME).await;

        // Whoever still comes is refused, truthfully and by name.
        tracing::info!("node: closing with {} requests in flight", self.entry.requests());
        self.lifecycle.advance(Stage::Closing);
        let deadline = self.clock.now() + self.settings.limits.shutdown;
        let entry = self.entry.close(deadline).await;

        // Peers are told last: until here they may have asked for work of theirs.
        // Those that have not heard of it yet are served a little longer, and none
        // keeps an idle connection: a message sent on one just as it is closed
        // would have an unknown outcome.
        self.peer.drain();
        self.members.farewell().await;
        clock::sleep(&*self.clock, FAREWELL_TIME).await;
        let peer = self.close_peer(deadline).await;
        match entry && peer {
            _ if outlived => Shutdown::Outlived,
            true => Shutdown::Clean,
            false => Shutdown::Cut,
        }
    }

    async fn close_peer(&self, deadline: Instant) -> bool {
        let closed = self.peer.close(deadline).await;
        if !closed {
            tracing::warn!("node: {} requests of peers are cut", self.peer.requests());
        }
        closed
    }
}

fn generator(settings: &Settings) -> Random {
    match settings.seed {
        Some(seed) => Random::with_seed(seed),
        None => Random::from_entropy(),
    }
}

fn target_options(settings: &Settings) -> TargetLinkOptions {
    TargetLinkOptions { max_connections: settings.limits.connections, ..Default::default() }
}

fn entry_options(settings: &Settings) -> ServerOptions {
    ServerOptions {
        address: settings.listen.entry,
        name: "entry",
        max_body: settings.limits.body as usize,
        max_connections: settings.limits.callers,
        ..Default::default()
    }
}

fn peer_options(settings: &Settings) -> ServerOptions {
    ServerOptions {
        address: settings.listen.peer,
        name: "peer",
        max_body: PEER_BODY,
        max_connections: PEER_CONNECTIONS,
        interim_period: Some(INTERIM_PERIOD),
        ..Default::default()
    }
}

fn member_options(settings: &Settings, entry: &Server, peer: &Server) -> MembershipOptions {
    MembershipOptions {
        name: NodeName::from(settings.node.name.as_str()),
        peer: settings.peer_address(peer.address()),
        entry: settings.entry_address(entry.address()),
        centre: DataCentre::from(settings.node.centre.as_str()),
        region: Region::from(settings.node.region.as_str()),
        seeds: settings.join.seeds.clone(),
        ..Default::default()
    }
}

fn holder_options(settings: &Settings) -> HolderOptions {
    HolderOptions {
        centre: DataCentre::from(settings.node.centre.as_str()),
        holders: settings.groups.holders as u32,
        ..Default::default()
    }
}

fn decisions(settings: &Settings) -> Decisions {
    let DecisionSettings { hedges, retries, .. } = settings.decisions;
    let hedge = HedgeOptions { budget: hedges, ..Default::default() };
    let retry = RetryOptions { budget: retries, ..Default::default() };
    Decisions {
        hedge: Box::new(QuantileHedge::new(hedge)),
        retry: Box::new(BudgetRetry::new(retry)),
        ..Default::default()
    }
}

fn query_options(settings: &Settings) -> QueryOptions {
    let DecisionSettings { group_hedges, canary, admission, .. } = settings.decisions;
    let advice_valid = settings.advice.valid;
    QueryOptions {
        front: FrontOptions { advice_valid, canary, admission, ..Default::default() },
        router: RouterOptions {
            group_shards: settings.groups.shards,
            holders: settings.groups.holders,
            hedge_share: group_hedges,
            ..Default::default()
        },
        ..Default::default()
    }
}
