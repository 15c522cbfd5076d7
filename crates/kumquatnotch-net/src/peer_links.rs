//! The connections to other nodes.

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

/// How many addresses are kept before unused ones are looked for.
const SWEEP_THRESHOLD: usize = 64;

/// Options of [`PeerLinks`].
#[derive(Clone, Debug)]
pub struct PeerLinkOptions {
    /// The most connections for sub-requests to one node.
    pub max_work: usize,
    /// The most connections for control messages to one node.
    pub max_control: usize,
    /// The largest reply, in bytes.
    pub max_body: usize,
    /// How long a connection is kept without use.
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

/// The connections to other nodes, by address.
pub struct PeerLinks {
    options: PeerLinkOptions,
    clock: Rc<dyn Clock>,
    random: Random,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

impl PeerLinks {
    /// Links that use the clock and generator of the registry; registers itself.
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
        // Addresses of nodes that are gone would add up over a year of restarts.
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
            // Headers that say nothing new to a node are left out: the control
            // budget counts them with each membership message.
            let mut request = Request::new(Method::POST, PEER_PATH);
            request.body = codec::encode(message)?.into();
            let outbound = OutboundRequest {
                request,
                // Messages that need it carry the time left themselves.
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
                status => Err(Error::protocol(format!("status {status}"))),
            }
        })
    }
}

/// How a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// It is answered at once and may be sent twice.
    Control,
    /// It takes time and may be sent twice, which its sender decides.
    Search,
    /// It takes time and must not be sent twice.
    Exclusive,
}

/// How `message` is sent.
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

/// How a connection is checked before `message` is sent on it.
fn check_for(message: &PeerMessage) -> Option<(Duration, Request)> {
    let age = match kind_of(message) {
        MessageKind::Control => return None,
        MessageKind::Search => silence::SEARCH_CHECK_IDLE,
        MessageKind::Exclusive => silence::EXCLUSIVE_CHECK_IDLE,
    };
    Some((age, Request::get("/healthz")))
}
