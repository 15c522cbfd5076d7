//! Dissemination of changes: piggybacked on messages, pushed, and merged on receipt.
//!
//! A recent change is pushed to a few peers at once, and again by each node that learns it,
//! so that it reaches most nodes within one or two seconds. After that it is piggybacked on
//! probes until its transmit limit is reached. Pushes stop while the byte budget is empty,
//! as when a data centre is lost and hundreds of changes arrive together; those are then
//! sent as the budget allows.

use std::{rc::Rc, time::Instant};

use kumquatnotch_core::{
    Result, clock,
    ids::NodeName,
    marks::MarkUpdate,
    member::{NodeRecord, NodeState},
    peer::{Gossip, PeerMessage, PeerReply},
};
use std::net::SocketAddr;

use crate::{deltas::DeltaKey, membership_service::MembershipService, table::Effect, traffic};

/// Number of transmissions after which a change is no longer pushed but only piggybacked.
const PUSH_TRANSMIT_LIMIT: u32 = 4;

/// Maximum size of the changes on a probe while the byte budget is empty.
const MIN_DELTA_BYTES: usize = 200;

impl MembershipService {
    /// Returns the gossip for the node `to`, with changes if `deltas` is set.
    pub(crate) fn gossip(&self, to: Option<&str>, deltas: bool) -> Gossip {
        let mut gossip = self.local_gossip();
        self.add_suspicion(to, &mut gossip.nodes);
        if deltas {
            self.add_deltas(&mut gossip);
        }
        gossip
    }

    /// Returns gossip with only this node's own record.
    ///
    /// The own record is sent on every message, at 75 bytes, so that a node that restarted or
    /// took over an address is recognised by its first message.
    pub(crate) fn local_gossip(&self) -> Gossip {
        let table = self.table.borrow();
        let local = table.local();
        let nodes = if self.announced.get() { vec![local.clone()] } else { Vec::new() };
        Gossip {
            from: local.name.clone(),
            incarnation: local.incarnation,
            nodes,
            marks: Vec::new(),
            head: self.head_state.head_info(),
        }
    }

    /// Merges the gossip of a peer; `sent_at` is when the request that it answers was sent.
    pub(crate) fn merge_gossip(&self, gossip: &Gossip, sent_at: Option<Instant>) {
        let now = self.clock.now();
        for record in &gossip.nodes {
            self.merge_record(record);
        }
        self.merge_marks(&gossip.marks, now);
        let sender = self.table.borrow().get(&gossip.from).map(|entry| entry.record.peer);
        self.head_state.on_head(gossip.head, sender, sent_at);
    }

    pub(crate) fn merge_record(&self, record: &NodeRecord) {
        let until = match record.state {
            NodeState::Gone => self.clock.now() + self.options.forget_after,
            _ => self.suspicion_deadline(),
        };
        let effect = self.table.borrow_mut().apply(record, until);
        if effect == Effect::Stale {
            self.count_duplicate(record);
        }
        self.apply_effect(effect, record);
    }

    /// Counts a change received again as a transmission while the byte budget is low.
    ///
    /// With enough budget every transmission is made: with fewer, about one node in a hundred
    /// missed a suspicion and detected the failure late, by its own probes.
    fn count_duplicate(&self, record: &NodeRecord) {
        if self.byte_budget.borrow().is_half_full() {
            return;
        }
        let table = self.table.borrow();
        let same = table.get(&record.name).is_some_and(|entry| entry.record == *record);
        if same {
            self.deltas.borrow_mut().record_received(&record.name, self.transmit_limit());
        }
    }

    pub(crate) fn answer_ping(&self, gossip: Gossip) -> Gossip {
        self.merge_gossip(&gossip, None);
        self.gossip(Some(&gossip.from), true)
    }

    pub(crate) fn answer_news(&self, gossip: Gossip) -> Gossip {
        self.merge_gossip(&gossip, None);
        let mut reply = self.local_gossip();
        reply.nodes.clear();
        self.add_suspicion(Some(&gossip.from), &mut reply.nodes);
        reply
    }

    /// Sends a message and merges the gossip of the reply.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
        deadline: Instant,
    ) -> Result<PeerReply> {
        traffic::count_message(message);
        let sent_at = self.clock.now();
        let sent = clock::timeout_at(&*self.clock, deadline, async {
            self.peers.send(address, message, deadline).await
        });
        let reply = sent.await??;
        // After a freeze the reply may be old, so the freeze is detected before the reply is
        // used.
        self.detect_freeze();
        match &reply {
            PeerReply::Ack(gossip) => self.merge_gossip(gossip, Some(sent_at)),
            PeerReply::Exchange(exchange) => self.merge_gossip(&exchange.gossip, Some(sent_at)),
            PeerReply::Failed(error) => return Err(error.clone()),
            _ => {}
        }
        Ok(reply)
    }

    /// Pushes to random peers regardless of the byte budget, for rare and urgent changes.
    pub(crate) async fn push_to(&self, count: usize) {
        let peers = self.pick_peers(count, |_| true);
        let pushes = peers.iter().map(|peer| self.push_one(peer));
        futures_util::future::join_all(pushes).await;
    }

    /// Returns up to `count` random nodes that are up or leaving and pass `filter`.
    pub(crate) fn pick_peers(
        &self,
        count: usize,
        filter: impl Fn(&NodeRecord) -> bool,
    ) -> Vec<NodeRecord> {
        let table = self.table.borrow();
        let mut candidates: Vec<&NodeRecord> = table
            .live()
            .filter(|record| record.state != NodeState::Suspect && filter(record))
            .collect();
        let count = count.min(candidates.len());
        // A partial shuffle: shuffling 1,900 nodes to draw two would be wasteful.
        for i in 0..count {
            let j = i + self.random.below(candidates.len() - i);
            candidates.swap(i, j);
        }
        candidates.into_iter().take(count).cloned().collect()
    }

    /// Pushes recent changes while there are any.
    pub(crate) async fn run_pushes(self: Rc<Self>) {
        loop {
            clock::sleep(&*self.clock, self.random.jitter(self.options.push_period)).await;
            let has_recent_changes =
                self.deltas.borrow().has_recent(PUSH_TRANSMIT_LIMIT.min(self.transmit_limit()));
            if !has_recent_changes || self.byte_budget.borrow_mut().available(self.clock.now()) == 0
            {
                continue;
            }
            for peer in self.push_peers() {
                let this = self.clone();
                monoio::spawn(async move { this.push_one(&peer).await });
            }
        }
    }

    /// Picks one node in the same data centre, and the others anywhere.
    fn push_peers(&self) -> Vec<NodeRecord> {
        let centre = &self.options.centre;
        let mut peers = self.pick_peers(1, |record| record.centre == *centre);
        let near = peers.first().map(|record| record.name.clone());
        let far = self.options.push_fanout.saturating_sub(peers.len());
        peers.extend(self.pick_peers(far, |record| Some(&record.name) != near.as_ref()));
        peers
    }

    async fn push_one(&self, peer: &NodeRecord) {
        let gossip = self.gossip(Some(&peer.name), true);
        let deadline = self.clock.now() + self.options.probe_timeout;
        // Pushes by other nodes and probes compensate for a lost push.
        let _ = self.send(peer.peer, &PeerMessage::News(gossip), deadline).await;
    }

    /// Adds the suspicion or the loss of `to` that is recorded here, so that it can refute it.
    fn add_suspicion(&self, to: Option<&str>, nodes: &mut Vec<NodeRecord>) {
        let table = self.table.borrow();
        let suspicion = to
            .and_then(|name| table.get(name))
            .map(|entry| &entry.record)
            .filter(|record| matches!(record.state, NodeState::Suspect | NodeState::Gone));
        nodes.extend(suspicion.cloned());
    }

    fn add_deltas(&self, gossip: &mut Gossip) {
        let now = self.clock.now();
        let available = self.byte_budget.borrow_mut().available(now);
        let limit = available.clamp(MIN_DELTA_BYTES, self.options.delta_limit);
        // Half of the budget is reserved for recent changes. Otherwise hundreds of old ones that
        // are still piggybacked would delay a suspicion and its refutation.
        let half_full = self.byte_budget.borrow().is_half_full();
        let below = if half_full { u32::MAX } else { PUSH_TRANSMIT_LIMIT };
        let picked = self.deltas.borrow_mut().pick(limit, below, self.transmit_limit());
        self.byte_budget.borrow_mut().take(picked.bytes);
        for key in picked.keys {
            match key {
                DeltaKey::Node(name) => gossip.nodes.extend(self.record(&name)),
                DeltaKey::Mark(kind) => {
                    gossip.marks.extend(self.marks.borrow().update_for(&kind, now))
                }
            }
        }
    }

    /// Returns the current record of another node; this node's own is sent on every message.
    fn record(&self, name: &NodeName) -> Option<NodeRecord> {
        self.table.borrow().get(name).map(|entry| entry.record.clone())
    }

    /// Returns the number of times that a change is sent.
    fn transmit_limit(&self) -> u32 {
        (self.options.retransmit_factor * self.node_scale() * std::f64::consts::LN_10).ceil() as u32
    }

    fn merge_marks(&self, marks: &[MarkUpdate], now: Instant) {
        for update in marks {
            if self.marks.borrow_mut().adopt(update, now) {
                self.deltas.borrow_mut().add_mark(update);
            }
        }
    }
}
