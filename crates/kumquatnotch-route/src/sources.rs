//! Other nodes as sources of the store's state.
//!
//! Most nodes receive changes from a node that watches the store, and a node that the store
//! rejects can receive them from any node that the store accepts. Nodes whose own state is
//! stale are skipped for a while: the store may reject many nodes at once, and waiting for each
//! of them in turn would delay a confirmed change by seconds.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use kumquatnotch_core::{
    Error, Store,
    collections::{HashMap, HashSet},
    ids::NodeName,
};

use crate::{
    follow::{self, PeerUpdate},
    journal::StoreUpdate,
    names::ReplicaId,
    probe,
    replica::Replica,
    router::Router,
};

/// Number of nodes that are queried at once, when the first one has no updates.
///
/// Some of them may be rejected by the store as well; all are queried again a little later.
const MAX_PARALLEL_PEERS: usize = 3;

/// How long a node with stale state is not queried again.
const AVOID_TIME: Duration = Duration::from_millis(1_500);

/// Other nodes as sources of the store's state.
pub(crate) struct Sources {
    router: Rc<Router>,
    store: Rc<dyn Store>,
    /// Nodes with stale state, and until when each is not queried.
    avoided: RefCell<HashMap<ReplicaId, Instant>>,
    /// Nodes whose revision is below the one of this node.
    behind: RefCell<HashSet<ReplicaId>>,
}

impl Sources {
    /// Creates sources of which none has been queried yet.
    pub(crate) fn new(router: Rc<Router>, store: Rc<dyn Store>) -> Sources {
        Sources { router, store, avoided: RefCell::default(), behind: RefCell::default() }
    }

    /// Returns the updates after a revision, once there are some or the wait is over.
    ///
    /// Returns `None` if the store is to be called instead. Only one node is waited for. If it
    /// does not answer, or its state is stale, others reply at once with what they have.
    pub(crate) async fn follow(&self, after: u64) -> Option<PeerUpdate> {
        if !follow::is_follower(&self.router) {
            return None;
        }
        let peers = self.peers();
        let (first, others) = peers.split_first()?;
        match self.query(first, after, follow::FOLLOW_WAIT).await {
            Some(peer_update) => Some(peer_update),
            None => self.query_any(others, after).await,
        }
    }

    /// Returns the updates that other nodes have, while the store does not answer this one.
    pub(crate) async fn catch_up(&self, after: u64) -> Option<PeerUpdate> {
        self.query_any(&self.peers(), after).await
    }

    /// Returns the nodes to query, in order.
    fn peers(&self) -> Vec<Rc<Replica>> {
        let mut peers = follow::other_readers(&self.router);
        let (avoided, now) = (self.avoided.borrow(), self.router.clock.now());
        peers.retain(|peer| avoided.get(&peer.id).is_none_or(|until| now >= *until));
        peers
    }

    /// Queries a few nodes at once, and returns the first update that is not stale.
    async fn query_any(&self, peers: &[Rc<Replica>], after: u64) -> Option<PeerUpdate> {
        let queried = peers.iter().take(MAX_PARALLEL_PEERS);
        let mut running: FuturesUnordered<_> =
            queried.map(|peer| self.query(peer, after, Duration::ZERO)).collect();
        while let Some(peer_update) = running.next().await {
            if peer_update.is_some() {
                return peer_update;
            }
        }
        None
    }

    /// Queries a node. Returns `None` if it does not answer or its state is stale.
    async fn query(&self, peer: &Rc<Replica>, after: u64, wait: Duration) -> Option<PeerUpdate> {
        let result = follow::fetch(&self.router, peer, after, wait).await;
        match result {
            // Its state is older, or from before a restore of the store: it would undo known
            // changes, and lacks later ones.
            Ok(peer_update) if self.is_behind(peer, &peer_update.update) => {
                self.avoid(peer, Some(peer_update.age));
                None
            }
            Ok(peer_update) if peer_update.age <= follow::MAX_AGE => {
                if self.avoided.borrow_mut().remove(&peer.id).is_some() {
                    tracing::info!(
                        node = peer.id.as_str(),
                        "mirror: the state of a node is current again"
                    );
                }
                Some(peer_update)
            }
            Ok(peer_update) => {
                self.avoid(peer, Some(peer_update.age));
                None
            }
            // The node is alive, but has lost the store or has no state yet.
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

    /// Whether a node knows less of the store than this one. Logs when that begins.
    fn is_behind(&self, peer: &Replica, update: &StoreUpdate) -> bool {
        let (journal, restored_at) = (&self.router.journal, self.store.restored_at());
        let mut behind = self.behind.borrow_mut();
        let (node, revision) = (peer.id.as_str(), update.revision());
        if !journal.is_ahead_of(update) && revision >= restored_at {
            behind.remove(&peer.id);
            return false;
        }
        if behind.insert(peer.id.clone()) {
            let known = journal.revision();
            tracing::info!(
                node,
                revision,
                known,
                restored_at,
                "mirror: a node has an earlier revision"
            );
        }
        true
    }

    fn avoid(&self, peer: &Replica, age: Option<Duration>) {
        let now = self.router.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        // Forgets nodes that have left.
        let is_known = |id: &ReplicaId| self.router.fleet.knows(&NodeName::from(id.as_str()));
        avoided.retain(|id, _| is_known(id));
        self.behind.borrow_mut().retain(is_known);
        if avoided.insert(peer.id.clone(), now + AVOID_TIME).is_none() {
            let (node, age_ms) = (peer.id.as_str(), age.map(|age| age.as_millis() as u64));
            tracing::info!(node, age_ms, "mirror: a node has no current state");
        }
    }
}
