//! The records of the nodes, and which of two reports about a node wins.
//!
//! Of two lives of one name or one address the greater incarnation wins. Within
//! a life the greater counter wins, which only the node itself raises; at the
//! same counter the later state wins, so that an accusation beats what it
//! accuses and the refutation beats the accusation.
//!
//! One report is not taken at its word: that a node which is up here is gone.
//! After regions were apart, each half holds that the other is gone. If a node
//! took that word, the first message across would make it drop its own half,
//! and it would pass that on. So such a report only leads to a probe of the
//! node, which carries the report and thereby lets it refute.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{Incarnation, NodeName, stable_hash},
    member::{NodeRecord, NodeState},
};
use std::net::SocketAddr;

/// Into how many buckets the records are spread for finding differences.
///
/// At 1,900 nodes a bucket has 15 records, about 1.1 KB, and the hashes of all
/// buckets are 0.6 KB.
pub(crate) const BUCKET_COUNT: usize = 128;

/// What a report changed, and what there is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing new.
    Stale,
    /// It is new and travels on.
    Fresh,
    /// It has to be checked by a probe.
    NeedsCheck,
    /// It accuses this node, which has refuted it; whether it was taken as gone.
    Refuted { gone: bool },
    /// A later life of this node's name or address is known.
    Superseded(Incarnation),
}

/// A node with what this one observed of it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: NodeRecord,
    /// When a suspicion ends, or when a node that is gone is forgotten.
    pub(crate) until: Option<Instant>,
    /// Whether a suspect was asked itself before its time is over.
    pub(crate) pinged: bool,
    /// Whether a node that is gone had said itself that it goes.
    pub(crate) left: bool,
}

impl Entry {
    fn is_live(&self) -> bool {
        self.record.state != NodeState::Gone
    }

    /// Whether it said itself that it goes, which no other node can say of it.
    fn has_left(&self) -> bool {
        self.record.state == NodeState::Leaving || self.left
    }
}

/// The records of all nodes.
#[derive(Debug)]
pub(crate) struct Table {
    local: NodeRecord,
    nodes: BTreeMap<NodeName, Entry>,
    addresses: HashMap<SocketAddr, NodeName>,
    generation: u64,
    check_gone: bool,
    /// How many other nodes are not gone.
    live_count: usize,
}

impl Table {
    pub(crate) fn new(local: NodeRecord, check_gone: bool) -> Table {
        Table {
            local,
            nodes: BTreeMap::new(),
            addresses: HashMap::default(),
            generation: 1,
            check_gone,
            live_count: 0,
        }
    }

    pub(crate) fn local(&self) -> &NodeRecord {
        &self.local
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Entry> {
        self.nodes.get(name)
    }

    /// The other nodes, those that are gone too.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Entry> {
        self.nodes.values()
    }

    /// The other nodes that are not gone.
    pub(crate) fn live(&self) -> impl Iterator<Item = &NodeRecord> {
        self.others().map(|entry| &entry.record).filter(|record| record.state != NodeState::Gone)
    }

    /// How many other nodes are not gone.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    /// The nodes that are gone without having said so, to be forgotten after `until`.
    pub(crate) fn lost(&self, until: Instant) -> impl Iterator<Item = &NodeRecord> {
        let lost = self.others().filter(move |entry| {
            let recent = entry.until.is_some_and(|end| end > until);
            entry.record.state == NodeState::Gone && !entry.left && recent
        });
        lost.map(|entry| &entry.record)
    }

    /// The node that is known at `address`.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<&Entry> {
        self.nodes.get(self.addresses.get(&address)?)
    }

    /// Raises the counter of this node, with a new state if one is given.
    pub(crate) fn update_local(&mut self, state: Option<NodeState>) {
        self.local.counter += 1;
        if let Some(state) = state {
            self.local.state = state;
            self.generation += 1;
        }
    }

    /// Raises the counter of this node as it begins to serve; false if it has before.
    pub(crate) fn begin_serving(&mut self) -> bool {
        if self.local.serving {
            return false;
        }
        self.local.serving = true;
        self.local.counter += 1;
        self.generation += 1;
        true
    }

    /// Gives this node another incarnation.
    pub(crate) fn set_local_incarnation(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        self.generation += 1;
    }

    /// Applies a report of a peer; `until` is when a suspicion that begins now ends.
    pub(crate) fn apply(&mut self, report: &NodeRecord, until: Instant) -> Effect {
        if report.name == self.local.name {
            return self.apply_to_local(report);
        }
        if report.peer == self.local.peer && report.state != NodeState::Gone {
            return self.apply_to_address(report);
        }
        if self.is_address_taken(report) {
            return Effect::Stale;
        }
        let Some(entry) = self.nodes.get(&report.name) else {
            return self.apply_unknown(report, until);
        };
        if !supersedes(report, &entry.record) {
            return Effect::Stale;
        }
        if report.state != NodeState::Gone || !self.check_gone {
            self.put(report.clone(), until);
            return Effect::Fresh;
        }
        if report.incarnation != entry.record.incarnation {
            // The life known here ended for certain, as another followed it; about
            // that one there is only the word of others.
            self.put(NodeRecord { state: NodeState::Suspect, ..report.clone() }, until);
            return Effect::Fresh;
        }
        match entry.record.state {
            NodeState::Up | NodeState::Suspect => Effect::NeedsCheck,
            // It said itself that it goes.
            NodeState::Leaving | NodeState::Gone => {
                self.put(report.clone(), until);
                Effect::Fresh
            }
        }
    }

    /// Puts `record` in place of what is known.
    pub(crate) fn put(&mut self, record: NodeRecord, until: Instant) {
        let visible = match self.nodes.get(&record.name) {
            Some(entry) => is_visible_change(&entry.record, &record),
            None => true,
        };
        if visible {
            self.generation += 1;
        }
        self.clear_address(&record);
        let until = match record.state {
            NodeState::Suspect | NodeState::Gone => Some(until),
            NodeState::Up | NodeState::Leaving => None,
        };
        self.addresses.insert(record.peer, record.name.clone());
        self.live_count += usize::from(record.state != NodeState::Gone);
        let left = record.state == NodeState::Gone
            && self.nodes.get(&record.name).is_some_and(Entry::has_left);
        let entry = Entry { record: record.clone(), until, pinged: false, left };
        let earlier = self.nodes.insert(record.name, entry);
        self.live_count -= usize::from(earlier.is_some_and(|entry| entry.is_live()));
    }

    /// The records whose time is over: suspects and nodes to forget.
    pub(crate) fn overdue(&self, now: Instant) -> Vec<NodeRecord> {
        let due = self.others().filter(|entry| entry.until.is_some_and(|until| until <= now));
        due.map(|entry| entry.record.clone()).collect()
    }

    /// The suspects whose time ends by `end`, each told once.
    pub(crate) fn take_expiring(&mut self, end: Instant) -> Vec<NodeName> {
        let expiring = self.nodes.values_mut().filter(|entry| {
            let suspect = entry.record.state == NodeState::Suspect && !entry.pinged;
            suspect && entry.until.is_some_and(|until| until <= end)
        });
        let take = |entry: &mut Entry| {
            entry.pinged = true;
            entry.record.name.clone()
        };
        expiring.map(take).collect()
    }

    /// Moves the end of every suspicion by `span`.
    pub(crate) fn extend_suspicions(&mut self, span: Duration) {
        for entry in self.nodes.values_mut() {
            if entry.record.state == NodeState::Suspect {
                entry.until = entry.until.map(|until| until + span);
            }
        }
    }

    /// Forgets a node.
    pub(crate) fn forget(&mut self, name: &str) {
        let Some(entry) = self.nodes.remove(name) else {
            return;
        };
        self.live_count -= usize::from(entry.is_live());
        if self.addresses.get(&entry.record.peer) == Some(&entry.record.name) {
            self.addresses.remove(&entry.record.peer);
        }
    }

    /// The hashes of the nodes that are not gone, by bucket; this node too.
    ///
    /// Suspicions are left out: they come and go within seconds, on each node at
    /// its own time, and would make equal tables look different.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKET_COUNT];
        for record in self.live().chain([&self.local]) {
            buckets[bucket_of(&record.name)] ^= record_hash(record) as u32;
        }
        buckets
    }

    fn apply_to_local(&mut self, report: &NodeRecord) -> Effect {
        if report.incarnation > self.local.incarnation {
            return Effect::Superseded(report.incarnation);
        }
        if report.incarnation < self.local.incarnation || report.counter < self.local.counter {
            return Effect::Stale;
        }
        if report.counter == self.local.counter && report.state <= self.local.state {
            return Effect::Stale;
        }
        self.local.counter = report.counter + 1;
        Effect::Refuted { gone: report.state == NodeState::Gone }
    }

    fn apply_to_address(&mut self, report: &NodeRecord) -> Effect {
        if report.incarnation > self.local.incarnation {
            return Effect::Superseded(report.incarnation);
        }
        // An earlier process had this address; it must be gone.
        Effect::Stale
    }

    fn apply_unknown(&mut self, report: &NodeRecord, until: Instant) -> Effect {
        if report.state == NodeState::Gone {
            return Effect::Stale;
        }
        self.put(report.clone(), until);
        Effect::Fresh
    }

    /// Whether a later life of another name holds the address of `report`.
    fn is_address_taken(&self, report: &NodeRecord) -> bool {
        let Some(occupant) = self.by_address(report.peer) else {
            return false;
        };
        occupant.record.name != report.name
            && occupant.record.state != NodeState::Gone
            && occupant.record.incarnation > report.incarnation
    }

    /// Ends the life of another name at the address of `record`.
    fn clear_address(&mut self, record: &NodeRecord) {
        let occupant = self.addresses.get(&record.peer).filter(|name| **name != record.name);
        if let Some(occupant) = occupant.cloned() {
            self.forget(&occupant);
        }
        // The node's own earlier address is given up too.
        let earlier = self.nodes.get(&record.name).map(|entry| entry.record.peer);
        if let Some(earlier) = earlier.filter(|peer| *peer != record.peer) {
            self.addresses.remove(&earlier);
        }
    }
}

/// The bucket of a node.
pub(crate) fn bucket_of(name: &NodeName) -> usize {
    (stable_hash(&[name.as_bytes()]) % BUCKET_COUNT as u64) as usize
}

/// Whether `report` wins over `known`, about the same name.
pub(crate) fn supersedes(report: &NodeRecord, known: &NodeRecord) -> bool {
    let rank = |record: &NodeRecord| (record.incarnation, record.counter, record.state);
    rank(report) > rank(known)
}

fn record_hash(record: &NodeRecord) -> u64 {
    let state = [u8::from(record.state == NodeState::Leaving), u8::from(record.serving)];
    let incarnation = record.incarnation.0.to_be_bytes();
    let counter = record.counter.to_be_bytes();
    stable_hash(&[record.name.as_bytes(), &incarnation, &counter, &state])
}

fn is_visible_change(old: &NodeRecord, new: &NodeRecord) -> bool {
    let same = NodeRecord { counter: old.counter, ..new.clone() };
    same != *old
}
