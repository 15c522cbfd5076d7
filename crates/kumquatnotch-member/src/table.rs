//! The membership table, and the precedence of reports about a node.
//!
//! Of two incarnations with the same name or address, the greater one wins. Within an
//! incarnation the greater counter wins, which only the node itself increments. At the same
//! counter the later state wins, so a suspicion overrides the record that it refers to, and
//! the refutation overrides the suspicion.
//!
//! A report that a node is gone which is up here is not applied directly. After a partition
//! between regions, each side considers the other gone. If a node applied such a report,
//! the first message across would make it drop the nodes of its own side and spread that
//! further. The report therefore only triggers a probe of the node, which carries the report
//! and so allows the node to refute it.

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

/// Number of buckets into which the records are hashed to find differences.
///
/// At 1,900 nodes a bucket has 15 records, about 1.1 KB, and the hashes of all buckets take
/// 0.6 KB.
pub(crate) const BUCKET_COUNT: usize = 128;

/// The result of applying a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The report contains nothing new.
    Stale,
    /// The report is new and is forwarded.
    New,
    /// The report has to be verified by a probe.
    NeedsCheck,
    /// The report suspected this node or declared it `gone`, and has been refuted.
    Refuted { gone: bool },
    /// A later incarnation with this node's name or address exists.
    Superseded(Incarnation),
}

/// The record of a node, with the local observations about it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: NodeRecord,
    /// When a suspicion expires, or when a gone node is forgotten.
    pub(crate) until: Option<Instant>,
    /// Whether the suspect was pinged directly before the suspicion expires.
    pub(crate) pinged: bool,
    /// Whether a gone node had announced its departure.
    pub(crate) left: bool,
}

impl Entry {
    fn is_live(&self) -> bool {
        self.record.state != NodeState::Gone
    }

    /// Returns whether it announced its departure, which only the node itself can do.
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
    /// Number of other nodes that are not gone.
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

    /// Returns the other nodes, including those that are gone.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Entry> {
        self.nodes.values()
    }

    /// Returns the other nodes that are not gone.
    pub(crate) fn live(&self) -> impl Iterator<Item = &NodeRecord> {
        self.others().map(|entry| &entry.record).filter(|record| record.state != NodeState::Gone)
    }

    /// Returns the number of other nodes that are not gone.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the nodes that are gone without having announced it and are not forgotten before
    /// `until`.
    pub(crate) fn lost(&self, until: Instant) -> impl Iterator<Item = &NodeRecord> {
        let lost = self.others().filter(move |entry| {
            let recent = entry.until.is_some_and(|end| end > until);
            entry.record.state == NodeState::Gone && !entry.left && recent
        });
        lost.map(|entry| &entry.record)
    }

    /// Returns the node known at `address`.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<&Entry> {
        self.nodes.get(self.addresses.get(&address)?)
    }

    /// Increments the counter of this node and sets a new state if one is given.
    pub(crate) fn update_local(&mut self, state: Option<NodeState>) {
        self.local.counter += 1;
        if let Some(state) = state {
            self.local.state = state;
            self.generation += 1;
        }
    }

    /// Marks this node as serving and increments its counter; returns false if it already was.
    pub(crate) fn begin_serving(&mut self) -> bool {
        if self.local.serving {
            return false;
        }
        self.local.serving = true;
        self.local.counter += 1;
        self.generation += 1;
        true
    }

    pub(crate) fn set_local_incarnation(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        self.generation += 1;
    }

    /// Applies a report of a peer; a suspicion that it starts expires at `until`.
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
            return Effect::New;
        }
        if report.incarnation != entry.record.incarnation {
            // The incarnation known here has ended, as another one followed it. That the later
            // one is gone is only reported by others.
            self.put(NodeRecord { state: NodeState::Suspect, ..report.clone() }, until);
            return Effect::New;
        }
        match entry.record.state {
            NodeState::Up | NodeState::Suspect => Effect::NeedsCheck,
            // The node announced its departure itself.
            NodeState::Leaving | NodeState::Gone => {
                self.put(report.clone(), until);
                Effect::New
            }
        }
    }

    /// Replaces the known record of a node.
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

    /// Returns the records that have expired: suspects, and gone nodes to forget.
    pub(crate) fn overdue(&self, now: Instant) -> Vec<NodeRecord> {
        let due = self.others().filter(|entry| entry.until.is_some_and(|until| until <= now));
        due.map(|entry| entry.record.clone()).collect()
    }

    /// Returns the suspects whose suspicion expires by `end`, each only once.
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

    /// Extends every suspicion by `span`.
    pub(crate) fn extend_suspicions(&mut self, span: Duration) {
        for entry in self.nodes.values_mut() {
            if entry.record.state == NodeState::Suspect {
                entry.until = entry.until.map(|until| until + span);
            }
        }
    }

    pub(crate) fn forget(&mut self, name: &str) {
        let Some(entry) = self.nodes.remove(name) else {
            return;
        };
        self.live_count -= usize::from(entry.is_live());
        if self.addresses.get(&entry.record.peer) == Some(&entry.record.name) {
            self.addresses.remove(&entry.record.peer);
        }
    }

    /// Returns the hashes by bucket of the nodes that are not gone, including this node.
    ///
    /// Suspicions are excluded: they start and end within seconds, at a different time on each
    /// node, and would make equal tables look different.
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
        // An earlier process had this address and must have ended.
        Effect::Stale
    }

    fn apply_unknown(&mut self, report: &NodeRecord, until: Instant) -> Effect {
        if report.state == NodeState::Gone {
            return Effect::Stale;
        }
        self.put(report.clone(), until);
        Effect::New
    }

    /// Returns whether a later incarnation of another name has the address of `report`.
    fn is_address_taken(&self, report: &NodeRecord) -> bool {
        let Some(occupant) = self.by_address(report.peer) else {
            return false;
        };
        occupant.record.name != report.name
            && occupant.record.state != NodeState::Gone
            && occupant.record.incarnation > report.incarnation
    }

    /// Removes a node of another name that has the address of `record`.
    fn clear_address(&mut self, record: &NodeRecord) {
        let occupant = self.addresses.get(&record.peer).filter(|name| **name != record.name);
        if let Some(occupant) = occupant.cloned() {
            self.forget(&occupant);
        }
        // The previous address of the same node is released too.
        let earlier = self.nodes.get(&record.name).map(|entry| entry.record.peer);
        if let Some(earlier) = earlier.filter(|peer| *peer != record.peer) {
            self.addresses.remove(&earlier);
        }
    }
}

/// Returns the bucket of a node.
pub(crate) fn bucket_of(name: &NodeName) -> usize {
    (stable_hash(&[name.as_bytes()]) % BUCKET_COUNT as u64) as usize
}

/// Returns whether `report` takes precedence over `known`, a record of the same node.
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
