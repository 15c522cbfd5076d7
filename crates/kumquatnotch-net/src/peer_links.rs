//! Connections to other nodes.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::Method;
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Peers, Result, codec,
    collections::HashMap,
    peer::{PeerMessage, PeerReply},
    random::Random,
    registry::Registry,
    services,
};

use crate::{
    message::Request,
    outbound::OutboundRequest,
    peer_route::PEER_PATH,
    pool::{Lane, Pool, PoolOptions},
    silence,
};

/// Minimum number of pools before those without connections are removed.
const SWEEP_THRESHOLD: usize = 64;

/// Options of [`PeerLinks`].
#[derive(Clone, Debug)]
pub struct PeerLinkOptions {
    /// Maximum number of connections for sub-requests to one node.
    pub max_work: usize,
    /// Maximum number of connections for control messages to one node.
    pub max_control: usize,
    /// Maximum size of a reply body, in bytes.
    pub max_body: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for PeerLinkOptions {
    fn default() -> PeerLinkOptions {
        PeerLinkOptions {
            max_work: 64,
            max_control: 2,
            max_body: 16 << 20,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Connections to other nodes, by address.
pub struct PeerLinks {
    options: PeerLinkOptions,
    clock: Rc<dyn Clock>,
    random: Random,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

impl PeerLinks {
    /// Creates links that use the clock and the random generator of `registry`, and registers
    /// them there.
    pub fn try_new(options: PeerLinkOptions, registry: &Registry) -> Result<Rc<PeerLinks>> {
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let random = registry.find::<Random>(services::RANDOM)?;
        let links = Rc::new(PeerLinks { options, clock, random, pools: RefCell::default() });
        registry.register::<Rc<dyn Peers>>(services::PEERS, links.clone());
        Ok(links)
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&address) {
            return pool.clone();
        }
        // Otherwise, the pools of nodes that are gone would accumulate over a year of restarts.
        if pools.len() >= SWEEP_THRESHOLD && pools.len().is_power_of_two() {
            pools.retain(|_, pool| pool.open_count() > 0);
        }
        let PeerLinkOptions { max_work, max_control, max_body, idle_timeout } = self.options;
        let options = PoolOptions { max_control, max_work, idle_timeout, max_body };
        let pool = Pool::new(address, options, self.clock.clone(), self.random.clone());
        pools.insert(address, pool.clone());
        pool
    }
}

impl Peers for PeerLinks {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        message: &'a PeerMessage,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<PeerReply>> {
        Box::pin(async move {
            let pool = self.pool(address);
            // Omits headers that a node does not need: they would count towards the control
            // budget with each membership message.
            let mut request = Request::new(Method::POST, PEER_PATH);
            request.body = codec::encode(message)?.into();
            let outbound = OutboundRequest {
                request,
                // Messages that need a deadline contain it.
                carry_deadline: false,
                cancel: None,
                check: check_for(message),
                silence_timeout: Some(silence::SILENCE_TIMEOUT),
            };
            let reply = match kind_of(message) {
                MessageKind::Control => {
                    pool.call_with_retry(Lane::Control, &outbound, deadline).await?
                }
                MessageKind::Search | MessageKind::Exclusive => {
                    pool.call(Lane::Work, &outbound, deadline).await?
                }
            };
            match reply.status.as_u16() {
                200 => codec::decode(&reply.body),
                status => Err(Error::protocol(format!("unexpected status {status}"))),
            }
        })
    }
}

/// Delivery rules of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// Answered immediately; may be sent twice.
    Control,
    /// Takes time; may be sent twice, at the discretion of the sender.
    Search,
    /// Takes time; must not be sent twice.
    Exclusive,
}

/// Returns the delivery rules of `message`.
pub(crate) fn kind_of(message: &PeerMessage) -> MessageKind {
    match message {
        PeerMessage::Ping(_)
        | PeerMessage::PingFor(_)
        | PeerMessage::News(_)
        | PeerMessage::Exchange(_)
        | PeerMessage::Fetch(_)
        | PeerMessage::ConfigState
        | PeerMessage::Versions(_) => MessageKind::Control,
        PeerMessage::Group(_) => MessageKind::Search,
        PeerMessage::Relay(_) | PeerMessage::Exclusive(_) => MessageKind::Exclusive,
    }
}

/// Returns the request that checks a connection before `message` is sent on it, and the
/// minimum idle time for the check.
fn check_for(message: &PeerMessage) -> Option<(Duration, Request)> {
    let age = match kind_of(message) {
        MessageKind::Control => return None,
        MessageKind::Search => silence::SEARCH_CHECK_IDLE,
        MessageKind::Exclusive => silence::EXCLUSIVE_CHECK_IDLE,
    };
    Some((age, Request::get("/healthz")))
}
