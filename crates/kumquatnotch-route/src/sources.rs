//! Other nodes as sources of what the store holds.
//!
//! Most nodes hear of changes from one that watches the store, and one that the store turns
//! away can hear of them from any that it serves. A node that is out of touch itself is
//! passed over for a while: the store may turn many away at once, and waiting at each of
//! them in turn kept a confirmed change from the callers of a node for seconds.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use kumquatnotch_core::{Error, collections::HashMap, ids::NodeName};

use crate::{
    follow::{self, PeerUpdate},
    names::ReplicaId,
    probe,
    replica::Replica,
    router::Router,
};

/// How many nodes are asked at once, when the first one has no news.
///
/// Some may be turned away by the store as well; all are asked anew a little later.
const MAX_PARALLEL_PEERS: usize = 3;

/// For how long a node that was out of touch is not asked again.
const AVOID_TIME: Duration = Duration::from_millis(1_500);

/// Other nodes as sources of what the store holds.
pub(crate) struct Sources {
    router: Rc<Router>,
    /// The nodes that were out of touch, and until when they are not asked.
    avoided: RefCell<HashMap<ReplicaId, Instant>>,
}

impl Sources {
    /// Sources that have not been asked yet.
    pub(crate) fn new(router: Rc<Router>) -> Sources {
        Sources { router, avoided: RefCell::default() }
    }

    /// What there is after a revision, once there is something or a wait is over.
    ///
    /// `None` if the store is to be asked. The wait is at one node only. If that one is
    /// out of touch or silent, others tell at once what they know.
    pub(crate) async fn follow(&self, after: u64) -> Option<PeerUpdate> {
        if !follow::is_follower(&self.router) {
            return None;
        }
        let peers = self.peers();
        let (first, others) = peers.split_first()?;
        match self.query(first, after, follow::FOLLOW_WAIT).await {
            Some(peer_update) => Some(peer_update),
            None => self.query_some(others, after).await,
        }
    }

    /// What other nodes know, for one that the store does not answer.
    pub(crate) async fn catch_up(&self, after: u64) -> Option<PeerUpdate> {
        self.query_some(&self.peers(), after).await
    }

    /// The nodes to ask, in their order.
    fn peers(&self) -> Vec<Rc<Replica>> {
        let mut peers = follow::other_readers(&self.router);
        let (avoided, now) = (self.avoided.borrow(), self.router.clock.now());
        peers.retain(|peer| avoided.get(&peer.id).is_none_or(|until| now >= *until));
        peers
    }

    /// Asks a few nodes at once, and takes the first that is in touch.
    async fn query_some(&self, peers: &[Rc<Replica>], after: u64) -> Option<PeerUpdate> {
        let asked = peers.iter().take(MAX_PARALLEL_PEERS);
        let mut running: FuturesUnordered<_> =
            asked.map(|peer| self.query(peer, after, Duration::ZERO)).collect();
        while let Some(peer_update) = running.next().await {
            if peer_update.is_some() {
                return peer_update;
            }
        }
        None
    }

    /// What a node tells; `None` if it is silent or out of touch.
    async fn query(&self, peer: &Rc<Replica>, after: u64, wait: Duration) -> Option<PeerUpdate> {
        match follow::fetch(&self.router, peer, after, wait).await {
            // What is older would undo changes that are known.
            Ok(PeerUpdate { update, .. }) if self.router.journal.is_ahead_of(&update) => None,
            Ok(peer_update) if peer_update.age <= follow::MAX_AGE => {
                if self.avoided.borrow_mut().remove(&peer.id).is_some() {
                    tracing::info!(node = peer.id.as_str(), "mirror: a node is in touch again");
                }
                Some(peer_update)
            }
            Ok(peer_update) => {
                self.avoid(peer, Some(peer_update.age));
                None
            }
            // It answers, and has lost the store or knows nothing yet.
            Err(Error::Protocol { .. }) => {
                self.avoid(peer, None);
                None
            }
            Err(error) => {
                let node = peer.id.as_str();
                tracing::info!(node, code = error.code(), "mirror: can't follow a node: {error}");
                probe::suspect(&self.router, peer, "no news of the store");
                None
            }
        }
    }

    fn avoid(&self, peer: &Replica, age: Option<Duration>) {
        let now = self.router.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        // Those that left meanwhile are not asked again.
        avoided.retain(|id, _| self.router.fleet.knows(&NodeName::from(id.as_str())));
        if avoided.insert(peer.id.clone(), now + AVOID_TIME).is_none() {
            let (node, age_ms) = (peer.id.as_str(), age.map(|age| age.as_millis() as u64));
            tracing::info!(node, age_ms, "mirror: a node is out of touch");
        }
    }
}
