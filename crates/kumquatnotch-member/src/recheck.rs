//! Birth, and waking from a freeze: asking before serving.
//!
//! A newborn node asks a few random peers and takes the highest version, if more
//! than half answered and a confirmation is young. If the confirmations are old,
//! as in an outage of the platform, it asks others too, and then takes the
//! highest: nothing new can be accepted in an outage, so what they have is still
//! true. It calls the platform only if no peer has a document, and then as every
//! node does, by rank or by chance, so that 1,900 that start at once do not all.
//!
//! What remains unprovable: a version may have been accepted just before the
//! outage and be in force only on nodes that this one can't reach. It then
//! serves the version before, as the peers that it asked do, and the age of its
//! confirmation says how long that has been so.
//!
//! A node that wakes from a freeze holds back its document until the platform or
//! peers have answered, at most [`crate::ConfigOptions::recheck_timeout`]. If
//! nobody answers it serves again what it had, as in an outage.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use kumquatnotch_core::{
    clock,
    ids::{ConfigVersion, NodeName},
    peer::{HeadInfo, PeerMessage, PeerReply},
};
use tracing::info;

use crate::{config_service::ConfigService, membership_service::MembershipService};

/// How often a waiting node looks whether it has what it waits for.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The time between two rounds of a newborn node, at first and at last.
const BOOTSTRAP_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));

/// How many rounds with old confirmations are enough.
const STALE_ROUNDS: usize = 2;

/// How long a newborn node waits for a peer with a document before the platform may be read.
const PLATFORM_READ_DELAY: Duration = Duration::from_secs(2);

/// Whether the document may be served.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed_until: Cell<Option<Instant>>,
    requested: Cell<bool>,
}

impl Gate {
    /// Closes until `limit` and asks for a recheck, unless it is closed already.
    pub(crate) fn close(&self, limit: Instant) {
        if self.closed_until.get().is_none() {
            self.closed_until.set(Some(limit));
            self.requested.set(true);
        }
    }

    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.closed_until.get().is_none_or(|limit| limit <= now)
    }

    /// Whether a recheck was asked for; asked once.
    pub(crate) fn take_request(&self) -> bool {
        self.requested.take()
    }

    fn open(&self) {
        self.closed_until.set(None);
    }
}

/// What peers answered.
#[derive(Clone, Copy, Debug, Default)]
struct PeerPoll {
    answers: usize,
    asked: usize,
    version: ConfigVersion,
    /// The age of the youngest confirmation of that version.
    age: Duration,
}

impl ConfigService {
    /// Decides on the first document.
    pub(crate) async fn bootstrap(self: &Rc<Self>) {
        let start = self.clock.now();
        let mut gap = BOOTSTRAP_INTERVALS.0;
        let mut stale_rounds = 0;
        loop {
            let poll = self.poll_peers().await;
            if self.is_conclusive(&poll, true) {
                break;
            }
            stale_rounds += usize::from(self.is_conclusive(&poll, false));
            if stale_rounds >= STALE_ROUNDS || self.can_use_platform(&poll, start).await {
                break;
            }
            clock::sleep(&*self.clock, self.random.jitter(gap)).await;
            gap = (gap * 2).min(BOOTSTRAP_INTERVALS.1);
        }
        self.bootstrapped.set(true);
        self.start_fetch();
    }

    /// Whether no peer has a document, but the platform does.
    async fn can_use_platform(&self, poll: &PeerPoll, start: Instant) -> bool {
        // By then the peers are known, and so is which node is to read.
        let alone = self.clock.now().saturating_duration_since(start) >= PLATFORM_READ_DELAY;
        if poll.version > ConfigVersion(0) || !alone || !self.may_read() {
            return false;
        }
        matches!(self.read_head().await, Ok(Some(_)))
    }

    /// Asks again after a freeze, then opens the gate.
    pub(crate) async fn recheck(self: Rc<Self>) {
        let limit = self.clock.now() + self.options.recheck_timeout;
        let work = async {
            while !self.recheck_once().await {
                clock::sleep(&*self.clock, BOOTSTRAP_INTERVALS.0).await;
            }
            while self.wanted.borrow().version() > self.version() {
                self.start_fetch();
                clock::sleep(&*self.clock, POLL_PERIOD).await;
            }
        };
        let answered = clock::timeout_at(&*self.clock, limit, work).await.is_ok();
        info!("config: rechecked after a freeze, answered: {answered}");
        self.gate.open();
    }

    /// Whether enough peers or the platform answered.
    async fn recheck_once(&self) -> bool {
        let poll = self.poll_peers().await;
        self.is_conclusive(&poll, true) || self.read_head().await.is_ok()
    }

    /// Asks several peers which version they have; what they say is taken in.
    async fn poll_peers(&self) -> PeerPoll {
        let peers = self.members.pick_peers(self.options.queried_peers, |_| true);
        let asks = peers.iter().map(|peer| self.members.query_head(peer.peer, Some(&peer.name)));
        let mut poll = PeerPoll { asked: peers.len(), ..PeerPoll::default() };
        for head in join_all(asks).await.into_iter().flatten() {
            poll.answers += 1;
            let age = Duration::from_millis(head.age_ms);
            if head.version > poll.version {
                poll.version = head.version;
                poll.age = age;
            } else if head.version == poll.version {
                poll.age = poll.age.min(age);
            }
        }
        poll
    }

    /// Whether more than half of the peers answered, and one has a document.
    fn is_conclusive(&self, poll: &PeerPoll, require_fresh: bool) -> bool {
        let most = poll.answers * 2 > poll.asked;
        let fresh = !require_fresh || poll.age <= self.options.fresh_age;
        most && poll.version > ConfigVersion(0) && fresh
    }
}

impl MembershipService {
    /// The configuration that the peer at `address` has in force.
    pub(crate) async fn query_head(
        &self,
        address: SocketAddr,
        name: Option<&NodeName>,
    ) -> Option<HeadInfo> {
        let message = PeerMessage::Ping(self.gossip(name.map(|name| name.as_str()), false));
        let deadline = self.clock.now() + self.options.probe_timeout;
        match self.send(address, &message, deadline).await {
            Ok(PeerReply::Ack(gossip)) => Some(gossip.head),
            _ => None,
        }
    }
}
