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

use crate::{deltas::Subject, membership_service::MembershipService, table::Effect, traffic};

/// A change is pushed until it was sent this often; from then on it rides along.
const PUSH_TIMES: u32 = 4;

/// The bytes of changes on a probe while the allowance is empty.
const LEAST_DELTAS: usize = 200;

impl MembershipService {
    /// News for the node `to`, with changes if `deltas`.
    pub(crate) fn gossip(&self, to: Option<&str>, deltas: bool) -> Gossip {
        let mut gossip = self.bare_gossip();
        self.add_accusation(to, &mut gossip.nodes);
        if deltas {
            self.add_deltas(&mut gossip);
        }
        gossip
    }

    /// News with this node's own record only.
    ///
    /// The own record rides on every message, 75 bytes, so that a node that
    /// restarted, or that took over an address, is known by its first message.
    pub(crate) fn bare_gossip(&self) -> Gossip {
        let table = self.table.borrow();
        let local = table.local();
        let nodes = if self.announced.get() { vec![local.clone()] } else { Vec::new() };
        Gossip {
            from: local.name.clone(),
            incarnation: local.incarnation,
            nodes,
            marks: Vec::new(),
            head: self.board.news(),
        }
    }

    /// Takes in the news of a peer; `asked` is when the request for it was sent.
    pub(crate) fn absorb(&self, gossip: &Gossip, asked: Option<Instant>) {
        let now = self.clock.now();
        for record in &gossip.nodes {
            self.absorb_record(record);
        }
        self.absorb_marks(&gossip.marks, now);
        let teller = self.table.borrow().get(&gossip.from).map(|entry| entry.record.peer);
        self.board.heard(gossip.head, teller, asked);
    }

    pub(crate) fn absorb_record(&self, record: &NodeRecord) {
        let until = match record.state {
            NodeState::Gone => self.clock.now() + self.options.forget_after,
            _ => self.suspect_until(),
        };
        let effect = self.table.borrow_mut().apply(record, until);
        if effect == Effect::Stale {
            self.note_repeat(record);
        }
        self.follow(effect, record);
    }

    /// Counts a change that a peer sent too as sent, while bytes are short.
    ///
    /// Otherwise every sending is worth its bytes: with fewer, a node in some
    /// hundred missed an accusation and found out by its own probes, late.
    fn note_repeat(&self, record: &NodeRecord) {
        if self.allowance.borrow().is_ample() {
            return;
        }
        let table = self.table.borrow();
        let same = table.get(&record.name).is_some_and(|entry| entry.record == *record);
        if same {
            self.deltas.borrow_mut().note_heard(&record.name, self.times());
        }
    }

    pub(crate) fn answer_ping(&self, gossip: Gossip) -> Gossip {
        self.absorb(&gossip, None);
        self.gossip(Some(&gossip.from), true)
    }

    pub(crate) fn answer_news(&self, gossip: Gossip) -> Gossip {
        self.absorb(&gossip, None);
        let mut reply = self.bare_gossip();
        reply.nodes.clear();
        self.add_accusation(Some(&gossip.from), &mut reply.nodes);
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
        let asked = self.clock.now();
        let sent = clock::timeout_at(&*self.clock, deadline, async {
            self.peers.send(address, message, deadline).await
        });
        let reply = sent.await??;
        // After a freeze the reply may be old; this is noticed before it counts.
        self.notice_freeze();
        match &reply {
            PeerReply::Ack(gossip) => self.absorb(gossip, Some(asked)),
            PeerReply::Exchange(exchange) => self.absorb(&exchange.gossip, Some(asked)),
            PeerReply::Failed(error) => return Err(error.clone()),
            _ => {}
        }
        Ok(reply)
    }

    /// Pushes to random peers at once, whatever the allowance: for rare, urgent news.
    pub(crate) async fn push_to(&self, count: usize) {
        let targets = self.pick_peers(count, |_| true);
        let pushes = targets.iter().map(|target| self.push_one(target));
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
            clock::sleep(&*self.clock, self.random.jitter(self.options.push_gap)).await;
            let hot = self.deltas.borrow().is_hot(PUSH_TIMES.min(self.times()));
            if !hot || self.allowance.borrow_mut().left(self.clock.now()) == 0 {
                continue;
            }
            for target in self.push_targets() {
                let me = self.clone();
                monoio::spawn(async move { me.push_one(&target).await });
            }
        }
    }

    /// One in the own data centre, the others anywhere.
    fn push_targets(&self) -> Vec<NodeRecord> {
        let centre = &self.options.centre;
        let mut targets = self.pick_peers(1, |record| record.centre == *centre);
        let near = targets.first().map(|record| record.name.clone());
        let far = self.options.push_fanout.saturating_sub(targets.len());
        targets.extend(self.pick_peers(far, |record| Some(&record.name) != near.as_ref()));
        targets
    }

    async fn push_one(&self, target: &NodeRecord) {
        let gossip = self.gossip(Some(&target.name), true);
        let deadline = self.clock.now() + self.options.probe_timeout;
        // A push that is lost is made up for by the others and by probes.
        let _ = self.send(target.peer, &PeerMessage::News(gossip), deadline).await;
    }

    /// Adds what this node holds against `to`, so that it can refute.
    fn add_accusation(&self, to: Option<&str>, nodes: &mut Vec<NodeRecord>) {
        let table = self.table.borrow();
        let accused = to
            .and_then(|name| table.get(name))
            .map(|entry| &entry.record)
            .filter(|record| matches!(record.state, NodeState::Suspect | NodeState::Gone));
        nodes.extend(accused.cloned());
    }

    fn add_deltas(&self, gossip: &mut Gossip) {
        let now = self.clock.now();
        let left = self.allowance.borrow_mut().left(now);
        let limit = left.clamp(LEAST_DELTAS, self.options.delta_limit);
        // Half of the allowance is kept for fresh changes, or hundreds of old ones
        // that still ride along would hold up an accusation and its refutation.
        let ample = self.allowance.borrow().is_ample();
        let below = if ample { u32::MAX } else { PUSH_TIMES };
        let picked = self.deltas.borrow_mut().pick(limit, below, self.times());
        self.allowance.borrow_mut().take(picked.bytes);
        for subject in picked.subjects {
            match subject {
                Subject::Node(name) => gossip.nodes.extend(self.record(&name)),
                Subject::Mark(kind) => gossip.marks.extend(self.marks.borrow().news(&kind, now)),
            }
        }
    }

    /// The record of a node as it is now; this node's own rides along anyway.
    fn record(&self, name: &NodeName) -> Option<NodeRecord> {
        self.table.borrow().get(name).map(|entry| entry.record.clone())
    }

    /// How often a change is sent.
    fn times(&self) -> u32 {
        (self.options.spread_factor * self.scale() * std::f64::consts::LN_10).ceil() as u32
    }

    fn absorb_marks(&self, marks: &[MarkUpdate], now: Instant) {
        for news in marks {
            if self.marks.borrow_mut().adopt(news, now) {
                self.deltas.borrow_mut().add_mark(news);
            }
        }
    }
}
