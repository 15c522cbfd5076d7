//! Joining, and finding what was missed: exchanges of everything, by hash first.
//!
//! A node that knows nobody asks the seeds, and the platform's list of VMs if no
//! seed answers. Both are only addresses to try; neither is believed about who
//! is there. Now and then a node also tries one that it holds for gone, or a
//! seed: that is how two halves that were apart find each other again.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Result, clock,
    ids::stable_hash,
    member::{NodeRecord, NodeState},
    peer::{Exchange, Gossip, PeerMessage, PeerReply},
    vms::read_vms,
};
use tracing::debug;

use crate::{
    membership_service::MembershipService,
    table::{BUCKET_COUNT, bucket_of},
    traffic,
};

/// The hash that asks for everything.
const EMPTY_HASH: u64 = 0;

/// The records in one exchange, besides the first one of a node that joins.
const RECORD_LIMIT: usize = 100;

/// The marks in one exchange.
const MARK_LIMIT: usize = 64;

/// How long a joining node waits between two rounds, at first and at last.
const JOIN_INTERVALS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// The addresses tried in one round of joining.
const JOIN_ADDRESS_LIMIT: usize = 5;

/// The fewest seconds between two readings of the platform's list by one node.
///
/// It grows with the nodes, so that all of them together read once a second.
const VM_LIST_PERIOD: Duration = Duration::from_secs(60);

impl MembershipService {
    /// Joins, then announces this node.
    pub(crate) async fn run_join(self: Rc<Self>) {
        let start = self.clock.now();
        let mut gap = JOIN_INTERVALS.0;
        let mut addresses = self.options.seeds.clone();
        while !self.join_round(&addresses).await && !self.has_waited(start) {
            clock::sleep(&*self.clock, self.random.jitter(gap)).await;
            gap = (gap * 2).min(JOIN_INTERVALS.1);
            addresses.extend(self.listed().await);
        }
        // Callers and peers should not meet a node without a document.
        while self.awaits_document() && !self.has_waited(start) {
            clock::sleep(&*self.clock, JOIN_INTERVALS.0 / 10).await;
        }
        self.announced.set(true);
        self.queue_local_record();
        self.join_round(&addresses).await;
    }

    /// Whether there is a document to wait for.
    ///
    /// If no peer has one, as when all nodes start at once, this node must be
    /// known: the nodes share the readings of the platform by their number.
    fn awaits_document(&self) -> bool {
        self.head_state.awaits_first_version()
    }

    fn has_waited(&self, start: std::time::Instant) -> bool {
        self.clock.now().saturating_duration_since(start) >= self.options.announce_wait
    }

    /// Exchanges with one random peer now and then, and sooner after a difference.
    ///
    /// After many changes at once the count of sendings of each is used up before
    /// all nodes have heard of it. Each exchange that finds a difference is then
    /// followed by another, as far as the allowance of bytes goes.
    pub(crate) async fn run_exchanges(self: Rc<Self>) {
        let mut gap = self.options.exchange_min;
        loop {
            clock::sleep(&*self.clock, self.random.jitter(gap)).await;
            let empty = self.byte_budget.borrow_mut().available(self.clock.now()) == 0;
            let Some(peer) = self.pick_peers(1, |_| !empty).pop() else {
                continue;
            };
            gap = match self.exchange_with(peer.peer).await {
                Ok(Difference::Found) => self.options.exchange_min,
                // The next one makes up for a failure.
                Ok(Difference::None) | Err(_) => (gap * 2).min(self.options.exchange_period),
            };
        }
    }

    /// Tries nodes that are gone or not known.
    pub(crate) async fn run_reconnects(self: Rc<Self>) {
        let mut listed = Vec::new();
        let mut list_due = self.clock.now() + self.random.jitter(VM_LIST_PERIOD);
        loop {
            let alone = self.table.borrow().live_count() == 0;
            let period = if alone { JOIN_INTERVALS.1 } else { self.options.reconnect_period };
            clock::sleep(&*self.clock, self.random.jitter(period)).await;
            if self.clock.now() >= list_due {
                listed = self.listed().await;
                let count = self.table.borrow().live_count() as u32;
                let gap = VM_LIST_PERIOD.max(Duration::from_secs(1) * count);
                list_due = self.clock.now() + self.random.jitter(gap);
            }
            if let Some(address) = self.pick_reconnect_address(&listed) {
                let _ = self.exchange_with(address).await;
            }
        }
    }

    /// Exchanges with the node at `address`.
    pub(crate) async fn exchange_with(&self, address: SocketAddr) -> Result<Difference> {
        let known = self.table.borrow().live_count() > 0;
        let buckets = self.table.borrow().buckets();
        let hash = if known { table_hash(&buckets) } else { EMPTY_HASH };
        let to = self.table.borrow().by_address(address).map(|entry| entry.record.name.clone());
        let mut gossip = self.gossip(to.as_deref(), false);
        self.add_marks(&mut gossip);
        let reply = self.exchange_step(address, Exchange { gossip, hash, buckets: vec![] }).await?;
        if reply.buckets.is_empty() {
            return Ok(Difference::None);
        }
        if hash == EMPTY_HASH {
            return Ok(Difference::Found);
        }
        // The tables differ; the hashes that the other sent tell where.
        let buckets = self.table.borrow().buckets();
        let mut gossip = self.gossip(to.as_deref(), false);
        self.add_differing(&mut gossip, &buckets, &reply.buckets);
        let hash = table_hash(&buckets);
        self.exchange_step(address, Exchange { gossip, hash, buckets }).await?;
        Ok(Difference::Found)
    }

    pub(crate) fn answer_exchange(&self, exchange: Exchange) -> Exchange {
        self.merge_gossip(&exchange.gossip, None);
        let buckets = self.table.borrow().buckets();
        let hash = table_hash(&buckets);
        let mut gossip = self.gossip(Some(&exchange.gossip.from), false);
        self.add_marks(&mut gossip);
        if exchange.hash == hash {
            return Exchange { gossip, hash, buckets: Vec::new() };
        }
        if exchange.hash == EMPTY_HASH {
            gossip.nodes.extend(self.table.borrow().live().cloned());
        } else if exchange.buckets.len() == BUCKET_COUNT {
            self.add_differing(&mut gossip, &buckets, &exchange.buckets);
        }
        Exchange { gossip, hash, buckets }
    }

    async fn exchange_step(&self, address: SocketAddr, exchange: Exchange) -> Result<Exchange> {
        let deadline = self.clock.now() + self.options.probe_timeout;
        match self.send(address, &PeerMessage::Exchange(exchange), deadline).await? {
            PeerReply::Exchange(exchange) => Ok(exchange),
            _ => Err(kumquatnotch_core::Error::protocol("not an exchange")),
        }
    }

    /// Whether a peer answered.
    async fn join_round(&self, addresses: &[SocketAddr]) -> bool {
        let mut others: Vec<SocketAddr> =
            addresses.iter().copied().filter(|address| *address != self.options.peer).collect();
        if others.is_empty() && self.store.is_none() {
            return true;
        }
        self.random.shuffle(&mut others);
        others.truncate(JOIN_ADDRESS_LIMIT);
        for address in others {
            if self.exchange_with(address).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// The addresses on the platform's list, which lags.
    async fn listed(&self) -> Vec<SocketAddr> {
        let Some(store) = &self.store else {
            return Vec::new();
        };
        let vms = read_vms(&**store).await.unwrap_or_else(|error| {
            debug!("membership: the list of VMs can't be read: {error}");
            Vec::new()
        });
        vms.into_iter().map(|vm| vm.peer).collect()
    }

    /// A node that is gone, or an address at which none is known.
    fn pick_reconnect_address(&self, listed: &[SocketAddr]) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let gone = table.others().filter(|entry| entry.record.state == NodeState::Gone);
        let gone: Vec<SocketAddr> = gone.map(|entry| entry.record.peer).collect();
        let unknown: Vec<SocketAddr> = (self.options.seeds.iter().chain(listed))
            .copied()
            .filter(|address| *address != self.options.peer && table.by_address(*address).is_none())
            .collect();
        let first = if self.random.chance(0.5) { &gone } else { &unknown };
        let pool = if first.is_empty() && gone.is_empty() { &unknown } else { first };
        let pool = if pool.is_empty() { &gone } else { pool };
        self.random.pick(pool).copied()
    }

    /// Adds this node's records in the buckets that differ, those of gone nodes too.
    ///
    /// A record of a gone node lets the other check it, and lets it refute.
    fn add_differing(&self, gossip: &mut Gossip, ours: &[u32], theirs: &[u32]) {
        let table = self.table.borrow();
        let mut records: Vec<NodeRecord> = table
            .others()
            .map(|entry| &entry.record)
            .filter(|record| {
                let bucket = bucket_of(&record.name);
                ours.get(bucket) != theirs.get(bucket)
            })
            .cloned()
            .collect();
        self.random.shuffle(&mut records);
        records.truncate(RECORD_LIMIT);
        let bytes = records.iter().map(traffic::encoded_len).sum();
        self.byte_budget.borrow_mut().take(bytes);
        gossip.nodes.extend(records);
    }

    fn add_marks(&self, gossip: &mut Gossip) {
        let mut marks = self.marks.borrow().all(self.clock.now());
        self.random.shuffle(&mut marks);
        marks.truncate(MARK_LIMIT);
        gossip.marks = marks;
    }
}

/// What an exchange found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Difference {
    /// The tables are alike.
    None,
    /// They were not.
    Found,
}

/// The hash of all buckets; never the one that asks for everything.
fn table_hash(buckets: &[u32]) -> u64 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|bucket| bucket.to_be_bytes()).collect();
    stable_hash(&[&bytes]).max(EMPTY_HASH + 1)
}
