//! Joining, and anti-entropy: exchanges of the full state, which compare hashes first.
//!
//! A node that knows no others contacts the seeds, and the VMs on the platform's list if no
//! seed answers. Both only provide addresses to try; the membership is learnt from the
//! peers alone. From time to time a node also contacts one that it considers gone, or a
//! seed, so that the two sides of a healed partition find each other.

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

/// The hash that requests all records.
const EMPTY_HASH: u64 = 0;

/// Maximum number of records in one exchange, except in the first one of a joining node.
const RECORD_LIMIT: usize = 100;

/// Maximum number of marks in one exchange.
const MARK_LIMIT: usize = 64;

/// Initial and maximum time between two join rounds.
const JOIN_INTERVALS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Maximum number of addresses tried in one join round.
const JOIN_ADDRESS_LIMIT: usize = 5;

/// Minimum time between two reads of the platform's list of VMs by one node.
///
/// It grows with the number of nodes, so that all nodes together read once per second.
const VM_LIST_PERIOD: Duration = Duration::from_secs(60);

impl MembershipService {
    /// Joins the tier, then announces this node.
    pub(crate) async fn run_join(self: Rc<Self>) {
        let start = self.clock.now();
        let mut interval = JOIN_INTERVALS.0;
        let mut addresses = self.options.seeds.clone();
        while !self.join_round(&addresses).await && !self.has_waited(start) {
            clock::sleep(&*self.clock, self.random.jitter(interval)).await;
            interval = (interval * 2).min(JOIN_INTERVALS.1);
            addresses.extend(self.read_vm_addresses().await);
        }
        // Callers and peers should not be sent to a node without a document.
        while self.awaits_document() && !self.has_waited(start) {
            clock::sleep(&*self.clock, JOIN_INTERVALS.0 / 10).await;
        }
        self.announced.set(true);
        self.queue_local_record();
        self.join_round(&addresses).await;
    }

    /// Returns whether peers have a document that this node can wait for.
    ///
    /// If no peer has one, as when all nodes start at once, this node must announce itself: the
    /// nodes divide the reads of the platform by the number of known nodes.
    fn awaits_document(&self) -> bool {
        self.head_state.awaits_first_version()
    }

    fn has_waited(&self, start: std::time::Instant) -> bool {
        self.clock.now().saturating_duration_since(start) >= self.options.announce_wait
    }

    /// Exchanges the state with a random peer periodically, and sooner after a difference.
    ///
    /// After many simultaneous changes, each reaches its transmit limit before all nodes have
    /// received it. An exchange that finds a difference is therefore followed by another one
    /// soon, as far as the byte budget allows.
    pub(crate) async fn run_exchanges(self: Rc<Self>) {
        let mut interval = self.options.exchange_min;
        loop {
            clock::sleep(&*self.clock, self.random.jitter(interval)).await;
            let empty = self.byte_budget.borrow_mut().available(self.clock.now()) == 0;
            let Some(peer) = self.pick_peers(1, |_| !empty).pop() else {
                continue;
            };
            interval = match self.exchange_with(peer.peer).await {
                Ok(Difference::Found) => self.options.exchange_min,
                // The next exchange compensates for a failed one.
                Ok(Difference::None) | Err(_) => (interval * 2).min(self.options.exchange_period),
            };
        }
    }

    /// Contacts nodes that are gone or unknown.
    pub(crate) async fn run_reconnects(self: Rc<Self>) {
        let mut listed = Vec::new();
        let mut list_due = self.clock.now() + self.random.jitter(VM_LIST_PERIOD);
        loop {
            let alone = self.table.borrow().live_count() == 0;
            let period = if alone { JOIN_INTERVALS.1 } else { self.options.reconnect_period };
            clock::sleep(&*self.clock, self.random.jitter(period)).await;
            if self.clock.now() >= list_due {
                listed = self.read_vm_addresses().await;
                let count = self.table.borrow().live_count() as u32;
                let interval = VM_LIST_PERIOD.max(Duration::from_secs(1) * count);
                list_due = self.clock.now() + self.random.jitter(interval);
            }
            if let Some(address) = self.pick_reconnect_address(&listed) {
                let _ = self.exchange_with(address).await;
            }
        }
    }

    /// Exchanges the state with the node at `address`.
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
        // The tables differ; the bucket hashes in the reply show where.
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
            _ => Err(kumquatnotch_core::Error::protocol("unexpected peer reply to an exchange")),
        }
    }

    /// Returns whether a peer answered.
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

    /// Returns the addresses on the platform's list of VMs, which may be out of date.
    async fn read_vm_addresses(&self) -> Vec<SocketAddr> {
        let Some(store) = &self.store else {
            return Vec::new();
        };
        let vms = read_vms(&**store).await.unwrap_or_else(|error| {
            debug!("membership: failed to read the list of VMs: {error}");
            Vec::new()
        });
        vms.into_iter().map(|vm| vm.peer).collect()
    }

    /// Picks the address of a gone node, or one at which no node is known.
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

    /// Adds the records of other nodes in the buckets that differ, including gone nodes.
    ///
    /// The record of a gone node lets the peer verify it, and lets the node itself refute it.
    fn add_differing(&self, gossip: &mut Gossip, local_buckets: &[u32], remote_buckets: &[u32]) {
        let table = self.table.borrow();
        let mut records: Vec<NodeRecord> = table
            .others()
            .map(|entry| &entry.record)
            .filter(|record| {
                let bucket = bucket_of(&record.name);
                local_buckets.get(bucket) != remote_buckets.get(bucket)
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

/// The result of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Difference {
    /// The tables are equal.
    None,
    /// The tables differed.
    Found,
}

/// Returns the hash of all buckets, which is never [`EMPTY_HASH`].
fn table_hash(buckets: &[u32]) -> u64 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|bucket| bucket.to_be_bytes()).collect();
    stable_hash(&[&bytes]).max(EMPTY_HASH + 1)
}
