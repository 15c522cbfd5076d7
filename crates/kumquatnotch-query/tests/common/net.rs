//! Fake network between nodes that can lose, delay and duplicate messages.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Instant};

use kumquatnotch_core::{
    Error, LocalFuture, Peers, Result,
    clock::{PausedClock, sleep},
    peer::{PeerHandler, PeerMessage, PeerReply},
    registry::Registry,
};

use super::ms;

/// State of the link to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// No fault; half a millisecond in each direction.
    Healthy,
    /// Nothing listens at the address.
    Closed,
    /// Messages reach the kernel of a stopped process: there is no reply, and nothing
    /// runs until the process resumes.
    Frozen,
    /// The message is handled, and the connection breaks before the reply.
    ReplyLost,
    /// The connection breaks before the message is handled.
    RequestLost,
    /// Adds a delay in milliseconds.
    Slow(u64),
}

pub struct Net {
    clock: PausedClock,
    nodes: RefCell<BTreeMap<SocketAddr, Registry>>,
    links: RefCell<BTreeMap<SocketAddr, LinkState>>,
    backlog: RefCell<Vec<(SocketAddr, PeerMessage)>>,
    pub sent: RefCell<Vec<(SocketAddr, PeerMessage)>>,
}

impl Net {
    pub fn new(clock: PausedClock) -> Net {
        Net {
            clock,
            nodes: RefCell::default(),
            links: RefCell::default(),
            backlog: RefCell::default(),
            sent: RefCell::default(),
        }
    }

    pub fn attach(&self, address: SocketAddr, registry: Registry) {
        self.nodes.borrow_mut().insert(address, registry);
    }

    pub fn set(&self, address: SocketAddr, link: LinkState) {
        self.links.borrow_mut().insert(address, link);
    }

    fn link(&self, address: SocketAddr) -> LinkState {
        self.links.borrow().get(&address).copied().unwrap_or(LinkState::Healthy)
    }

    /// Resumes a frozen node, which now handles the messages in its sockets.
    pub async fn wake(&self, address: SocketAddr) {
        self.set(address, LinkState::Healthy);
        let backlog: Vec<_> = self.backlog.borrow_mut().drain(..).collect();
        for (to, message) in backlog.into_iter().filter(|(to, _)| *to == address) {
            let _ = self.handle(to, message).await;
        }
    }

    /// Delivers `message` to the node at `address`, as for a late copy.
    pub async fn handle(&self, address: SocketAddr, message: PeerMessage) -> Result<PeerReply> {
        let registry = self.nodes.borrow().get(&address).cloned().ok_or(Error::ConnectFailed)?;
        let handler: std::rc::Rc<dyn PeerHandler> = registry.find(message.service())?;
        handler.handle(message).await.or_else(|error| Ok(PeerReply::Failed(error)))
    }

    async fn deliver(&self, address: SocketAddr, message: PeerMessage) -> Result<PeerReply> {
        self.sent.borrow_mut().push((address, message.clone()));
        sleep(&self.clock, ms(1) / 2).await;
        match self.link(address) {
            LinkState::Closed => return Err(Error::ConnectFailed),
            LinkState::RequestLost => return Err(Error::ConnectionLost),
            LinkState::Frozen => {
                self.backlog.borrow_mut().push((address, message));
                return std::future::pending().await;
            }
            LinkState::Slow(span) => sleep(&self.clock, ms(span)).await,
            LinkState::Healthy | LinkState::ReplyLost => {}
        }
        let reply = self.handle(address, message).await?;
        sleep(&self.clock, ms(1) / 2).await;
        match self.link(address) {
            LinkState::ReplyLost => Err(Error::ConnectionLost),
            LinkState::Frozen => std::future::pending().await,
            _ => Ok(reply),
        }
    }
}

impl Peers for Net {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        message: &'a PeerMessage,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<PeerReply>> {
        Box::pin(async move {
            let work = self.deliver(address, message.clone());
            kumquatnotch_core::clock::timeout_at(&self.clock, deadline, work).await?
        })
    }
}
