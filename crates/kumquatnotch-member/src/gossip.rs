//! Changes on messages: what rides along, what is pushed, and what is taken in.
//!
//! A fresh change is pushed to a few peers at once, and again by each that
//! learns it, so that it passes most nodes within a second or two. After that
//! it rides on probes until its count is used up. Pushes stop while the
//! allowance of bytes is empty, as when a data centre is lost and hundreds of
//! changes come together; those then take their turn.

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

/// A change is pushed until it was sent this often; from then on it rides along.
const PUSH_TRANSMITS: u32 = 4;

/// The bytes of changes on a probe while the allowance is empty.
const MIN_DELTA_BYTES: usize = 200;

impl MembershipService {
    /// News for the node `to`, with changes if `deltas`.
    pub(crate) fn gossip(&self, to: Option<&str>, deltas: bool) -> Gossip {
        let mut gossip = self.local_gossip();
        self.add_suspicion(to, &mut gossip.nodes);
        if deltas {
            self.add_deltas(&mut gossip);
        }
        gossip
    }

    /// News with this node's own record only.
    ///
    /// The own record rides on every message, 75 bytes, so that a node that
    /// restarted, or that took over an address, is known by its first message.
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

    /// Takes in the news of a peer; `sent_at` is when the request for it was sent.
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
            self.note_duplicate(record);
        }
        self.apply_effect(effect, record);
    }

    /// Counts a change that a peer sent too as sent, while bytes are short.
    ///
    /// Otherwise every sending is worth its bytes: with fewer, a node in some
    /// hundred missed an accusation and found out by its own probes, late.
    fn note_duplicate(&self, record: &NodeRecord) {
        if self.byte_budget.borrow().is_half_full() {
            return;
        }
        let table = self.table.borrow();
        let same = table.get(&record.name).is_some_and(|entry| entry.record == *record);
        if same {
            self.deltas.borrow_mut().note_received(&record.name, self.transmit_limit());
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

    /// Sends a message and takes in the news of the reply.
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
        // After a freeze the reply may be old; this is noticed before it counts.
        self.detect_freeze();
        match &reply {
            PeerReply::Ack(gossip) => self.merge_gossip(gossip, Some(sent_at)),
            PeerReply::Exchange(exchange) => self.merge_gossip(&exchange.gossip, Some(sent_at)),
            PeerReply::Failed(error) => return Err(error.clone()),
            _ => {}
        }
        Ok(reply)
    }

    /// Pushes to random peers at once, whatever the allowance: for rare, urgent news.
    pub(crate) async fn push_to(&self, count: usize) {
        let peers = self.pick_peers(count, |_| true);
        let pushes = peers.iter().map(|peer| self.push_one(peer));
        futures_util::future::join_all(pushes).await;
    }

    /// Up to `count` random nodes that are up and pass `filter`.
    pub(crate) fn pick_peers(
        &self,
        count: usize,
        filter: impl Fn(&NodeRecord) -> bool,
    ) -> Vec<NodeRecord> {
        let table = self.table.borrow();
        let mut fit: Vec<&NodeRecord> = table
            .live()
            .filter(|record| record.state != NodeState::Suspect && filter(record))
            .collect();
        let count = count.min(fit.len());
        // Only the head of the list is drawn; shuffling 1,900 for two would be a waste.
        for i in 0..count {
            let j = i + self.random.below(fit.len() - i);
            fit.swap(i, j);
        }
        fit.into_iter().take(count).cloned().collect()
    }

    /// Pushes fresh changes while there are any.
    pub(crate) async fn run_pushes(self: Rc<Self>) {
        loop {
            clock::sleep(&*self.clock, self.random.jitter(self.options.push_period)).await;
            let fresh = self.deltas.borrow().has_fresh(PUSH_TRANSMITS.min(self.transmit_limit()));
            if !fresh || self.byte_budget.borrow_mut().available(self.clock.now()) == 0 {
                continue;
            }
            for peer in self.push_peers() {
                let me = self.clone();
                monoio::spawn(async move { me.push_one(&peer).await });
            }
        }
    }

    /// One in the own data centre, the others anywhere.
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
        // A push that is lost is made up for by the others and by probes.
        let _ = self.send(peer.peer, &PeerMessage::News(gossip), deadline).await;
    }

    /// Adds what this node holds against `to`, so that it can refute.
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
        // Half of the allowance is kept for fresh changes, or hundreds of old ones
        // that still ride along would hold up an accusation and its refutation.
        let half_full = self.byte_budget.borrow().is_half_full();
        let below = if half_full { u32::MAX } else { PUSH_TRANSMITS };
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

    /// The record of a node as it is now; this node's own rides along anyway.
    fn record(&self, name: &NodeName) -> Option<NodeRecord> {
        self.table.borrow().get(name).map(|entry| entry.record.clone())
    }

    /// How often a change is sent.
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
