//! A node: creates every service, registers it under its name, and starts and
//! stops the services in order.

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
    lifecycle::{self, Lifecycle, Stage},
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

/// Upper bound on the transit time of a reply that carries advice.
///
/// A caller counts the validity of its advice from the arrival of the reply,
/// which is up to 20 ms after the node has sent it.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(100);

/// Time for the shutdown announcement of a node to spread to the other nodes.
const DEPARTURE_SPREAD_TIME: Duration = Duration::from_secs(1);

/// Interval of the check for another process with the name or address of this node.
const SUPERSEDED_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a message between nodes, in bytes.
const PEER_BODY_LIMIT: usize = 16 << 20;

/// Maximum number of connections accepted from other nodes.
const PEER_CONNECTION_LIMIT: usize = 16_000;

/// Options of a [`Node`].
pub struct NodeOptions {
    /// The settings of the node.
    pub settings: Settings,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Renders the metrics of the process in the Prometheus text format.
    pub metrics: Box<dyn Fn() -> String>,
}

impl NodeOptions {
    /// Creates options without metrics.
    pub fn new(settings: Settings, store: Rc<dyn Store>) -> NodeOptions {
        NodeOptions { settings, store, metrics: Box::new(String::new) }
    }
}

/// The outcome of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// All requests in flight were completed.
    Clean,
    /// Some requests were still in flight when the time for the shutdown had run out.
    TimedOut,
    /// The node left because another process has its name or address; it must be restarted.
    Superseded,
}

/// A node of the query tier.
pub struct Node {
    /// The services by name.
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
    /// Opens the listening sockets and creates every service without starting it.
    ///
    /// Must be called inside a runtime.
    pub fn try_new(options: NodeOptions) -> Result<Node> {
        let NodeOptions { settings, store, metrics } = options;
        let registry = Registry::default();
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock);
        let lifecycle = Lifecycle::default();
        registry.register::<Rc<dyn Clock>>(services::CLOCK, clock.clone());
        registry.register(services::RANDOM, random_generator(&settings));
        registry.register(services::LIFECYCLE, lifecycle.clone());

        // Outbound connections and the store.
        TargetLinks::try_new(target_options(&settings), &registry)?;
        PeerLinks::try_new(
            PeerLinkOptions { max_body: PEER_BODY_LIMIT, ..Default::default() },
            &registry,
        )?;
        registry.register(services::STORE, store);

        // Servers, created before the membership, which announces their addresses.
        let route = Rc::new(EntryRoute::new(registry.clone(), settings.limits.requests));
        let entry = Server::try_new(entry_options(&settings), clock.clone(), route)?;
        let route = Rc::new(PeerRoute::new(registry.clone()));
        let peer = Server::try_new(peer_options(&settings), clock.clone(), route)?;

        // Services, each created after those that it looks up in the registry.
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

    /// Returns the servers for callers and for peers.
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

    /// Starts the node, runs it until [`Node::wait`] returns, and then leaves gracefully.
    pub async fn run(&self, stop: LocalFuture<'_, ()>) -> Shutdown {
        self.start();
        self.wait(stop).await;
        self.leave().await
    }

    /// Waits until `stop` completes or another process has superseded this node.
    ///
    /// Other nodes know only the latest incarnation of a name or address. A
    /// superseded node therefore receives neither updates nor work, does not read
    /// the platform's store, and is invisible to operators, while callers that
    /// still have its address would be served from a configuration that nobody can
    /// monitor. It cannot take a new incarnation, because tickets carry the present
    /// one. It therefore ends, and the process that is started in its place draws
    /// an incarnation above both.
    pub async fn wait(&self, stop: LocalFuture<'_, ()>) {
        let superseded = std::pin::pin!(self.wait_until_superseded());
        if let Either::Right(_) = select(stop, superseded).await {
            tracing::warn!("node: another process has this name or address, leaving");
        }
    }

    async fn wait_until_superseded(&self) {
        while !self.members.is_superseded() {
            clock::sleep(&*self.clock, SUPERSEDED_POLL_INTERVAL).await;
        }
    }

    /// Leaves gracefully: requests in flight are completed unless the time runs out. Those that
    /// are still running then get an error that says whether they may have run.
    ///
    /// A superseded node may continue to serve while it leaves. A ticket names the
    /// incarnation that issued it, so the later process never runs a request that
    /// this one may have run, and a node that forwards such a ticket to the later
    /// process gets the error "outcome unknown". Searches have no side effects, and
    /// this node continues to fetch the newest document.
    pub async fn leave(&self) -> Shutdown {
        // A process that supersedes this node after it began to leave is no reason
        // for a restart.
        let superseded = self.members.is_superseded();
        // Callers use the address of this node until their advice expires, and other
        // nodes include it in their advice until they learn that this one is leaving.
        // If a node waited only for the advice that it gave itself, it would refuse
        // callers that other nodes advised in the meantime, as the model of leaving in
        // `crates/spec` shows.
        tracing::info!("node: leaving, serving until earlier advice has expired");
        let AdviceSettings { valid, spread } = self.settings.advice;
        let shutdown = self.settings.limits.shutdown;
        let serving_until = self.clock.now() + spread + valid + MAX_REPLY_DELAY;
        let deadline = serving_until + shutdown;
        self.lifecycle.leave(deadline - lifecycle::end_margin(shutdown));
        self.members.leave();
        self.entry.drain();
        self.clock.sleep_until(serving_until).await;

        // From now on new requests are refused, with an error that names the reason.
        tracing::info!("node: closing with {} requests in flight", self.entry.requests());
        self.lifecycle.advance(Stage::Closing);
        let entry = self.entry.shut_down(&self.lifecycle, deadline).await;

        // Peers are notified last, because they may have forwarded requests until
        // now. Peers that have not yet received the notice are served for a short
        // time. The replies ask them to close their connections, so that none is
        // idle when the server closes: a message sent on an idle connection just as
        // it is closed would have an unknown outcome.
        self.peer.drain();
        self.members.announce_shutdown().await;
        clock::sleep(&*self.clock, DEPARTURE_SPREAD_TIME).await;
        let peer = self.close_peer_server(deadline).await;
        match entry && peer {
            _ if superseded => Shutdown::Superseded,
            true => Shutdown::Clean,
            false => Shutdown::TimedOut,
        }
    }

    async fn close_peer_server(&self, deadline: Instant) -> bool {
        let closed = self.peer.shut_down(&self.lifecycle, deadline).await;
        if !closed {
            tracing::warn!("node: requests of peers were ended");
        }
        closed
    }
}

fn random_generator(settings: &Settings) -> Random {
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
        max_body: PEER_BODY_LIMIT,
        max_connections: PEER_CONNECTION_LIMIT,
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
