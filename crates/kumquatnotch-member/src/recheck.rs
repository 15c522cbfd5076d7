//! Checks before a node serves: at startup and after a freeze.
//!
//! A starting node queries a few random peers and takes the highest version if more than
//! half of them answered and one confirmation is recent. If all confirmations are old, as
//! in an outage of the platform, it queries further peers and then takes the highest
//! version: no change can be accepted during an outage, so the version that they have is
//! still the newest. It reads the platform only if no peer has a document, and then as any
//! node does, as a reader or at random, so that 1,900 nodes that start at once do not all call
//! the platform.
//!
//! One case can't be detected: a version may have been accepted just before the outage and
//! be in force only on nodes that this one can't reach. The node then serves the version
//! before it, as the queried peers do, and the age of its confirmation shows for how long.
//!
//! After a freeze a node withholds its document until the platform or enough peers have
//! answered, at most for [`crate::ConfigOptions::recheck_timeout`]. If none answers, it
//! serves the document that it had, as in an outage.

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

/// Time between two checks whether a fetch has completed.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Initial and maximum time between two rounds of queries at startup.
const BOOTSTRAP_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));

/// Number of rounds with only old confirmations that are sufficient.
const STALE_ROUNDS: usize = 2;

/// Time that a starting node waits for a peer with a document before it may read the
/// platform.
const PLATFORM_READ_DELAY: Duration = Duration::from_secs(2);

/// Blocks serving of the document until a recheck is done.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed_until: Cell<Option<Instant>>,
    requested: Cell<bool>,
}

impl Gate {
    /// Closes the gate until `limit` and requests a recheck, unless it is already closed.
    pub(crate) fn close(&self, limit: Instant) {
        if self.closed_until.get().is_none() {
            self.closed_until.set(Some(limit));
            self.requested.set(true);
        }
    }

    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.closed_until.get().is_none_or(|limit| limit <= now)
    }

    /// Returns and clears the request for a recheck.
    pub(crate) fn take_request(&self) -> bool {
        self.requested.take()
    }

    fn open(&self) {
        self.closed_until.set(None);
    }
}

/// Summary of the answers of peers.
#[derive(Clone, Copy, Debug, Default)]
struct PeerPoll {
    answers: usize,
    queried: usize,
    version: ConfigVersion,
    /// Age of the most recent confirmation of that version.
    age: Duration,
}

impl ConfigService {
    /// Waits until the first version can be chosen safely, then starts to fetch it.
    pub(crate) async fn bootstrap(self: &Rc<Self>) {
        let start = self.clock.now();
        let mut interval = BOOTSTRAP_INTERVALS.0;
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
            clock::sleep(&*self.clock, self.random.jitter(interval)).await;
            interval = (interval * 2).min(BOOTSTRAP_INTERVALS.1);
        }
        self.bootstrapped.set(true);
        self.start_fetch();
    }

    /// Returns whether no peer has a document, but the platform does.
    async fn can_use_platform(&self, poll: &PeerPoll, start: Instant) -> bool {
        // After this delay the peers are known, and therefore the readers too.
        let has_waited = self.clock.now().saturating_duration_since(start) >= PLATFORM_READ_DELAY;
        if poll.version > ConfigVersion(0) || !has_waited || !self.may_read() {
            return false;
        }
        matches!(self.read_head().await, Ok(Some(_)))
    }

    /// Queries peers and the platform after a freeze, then opens the gate.
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

    /// Returns whether enough peers, or the platform, answered.
    async fn recheck_once(&self) -> bool {
        let poll = self.poll_peers().await;
        self.is_conclusive(&poll, true) || self.read_head().await.is_ok()
    }

    /// Queries the versions of several peers; their gossip is merged.
    async fn poll_peers(&self) -> PeerPoll {
        let peers = self.members.pick_peers(self.options.queried_peers, |_| true);
        let queries = peers.iter().map(|peer| self.members.query_head(peer.peer, Some(&peer.name)));
        let mut poll = PeerPoll { queried: peers.len(), ..PeerPoll::default() };
        for head in join_all(queries).await.into_iter().flatten() {
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

    /// Returns whether more than half of the peers answered and one has a document.
    ///
    /// With `require_recent`, its confirmation also has to be recent.
    fn is_conclusive(&self, poll: &PeerPoll, require_recent: bool) -> bool {
        let majority = poll.answers * 2 > poll.queried;
        let is_recent = !require_recent || poll.age <= self.options.max_confirmation_age;
        majority && poll.version > ConfigVersion(0) && is_recent
    }
}

impl MembershipService {
    /// Returns the configuration in force on the peer at `address`.
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
