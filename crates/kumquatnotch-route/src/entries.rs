//! The entries of the store, as every node knows them.
//!
//! Replicas and nodes renew their entries, so entries may lapse while the store is away
//! although those behind them live; they come back soon after its return. So what
//! vanishes around an outage is kept for a while, and dropped if it is still missing
//! then. A replica may also have left meanwhile. A few that vanish while others of their
//! services are there have probably done so, and are the last to be used.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    clock,
    collections::{HashMap, HashSet},
    ids::NodeName,
    store::{StoreEvent, StoreItem, StoreScan},
};

use crate::{
    advice::Candidate,
    bulk::{Bulk, Change},
    crash_check,
    directory::Put,
    replica::Replica,
    route::RouteTable,
    router::Router,
    schema::{Entry, EntryKey, Schema},
};

/// How many replicas must vanish in one answer to count as a lapse.
const LAPSE_COUNT: usize = 4;

/// Which share of all entries they must be.
const LAPSE_SHARE: f64 = 0.15;

/// How often it is looked for entries to drop.
const SWEEP_PERIOD: Duration = Duration::from_millis(200);

/// The entries that are known.
pub struct Entries {
    router: Rc<Router>,
    schema: Rc<dyn Schema>,
    /// How long an entry that vanished around an outage is kept.
    keep: Duration,
    /// The keys that are known to exist.
    known: RefCell<HashSet<EntryKey>>,
    /// The keys that vanished around an outage, and when they are dropped.
    vanished: RefCell<HashMap<EntryKey, Instant>>,
    /// Whether nodes whose entries vanish are kept until further notice.
    holds_nodes: Cell<bool>,
    /// How often the entry of each node was seen to vanish.
    losses: RefCell<HashMap<NodeName, u64>>,
    /// What is told by numbers, as much changes at once.
    bulk: Bulk,
}

impl Entries {
    /// No entries, of which those that vanish around an outage are kept for `keep`.
    pub fn new(router: Rc<Router>, schema: Rc<dyn Schema>, keep: Duration) -> Entries {
        Entries {
            router,
            schema,
            keep,
            known: RefCell::default(),
            vanished: RefCell::default(),
            holds_nodes: Cell::new(false),
            losses: RefCell::default(),
            bulk: Bulk::default(),
        }
    }

    /// The prefix of all keys that mean something to this tier.
    pub fn prefix(&self) -> &str {
        self.schema.prefix()
    }

    /// The prefix of the keys of nodes.
    pub fn node_prefix(&self) -> &str {
        self.schema.node_prefix()
    }

    /// Whether the entry of node `name` is in the store, as far as is known.
    pub fn has_node(&self, name: &NodeName) -> bool {
        self.known.borrow().contains(&EntryKey::Node(name.clone()))
    }

    /// How often the entry of node `name` has vanished.
    pub fn losses_of(&self, name: &NodeName) -> u64 {
        self.losses.borrow().get(name).copied().unwrap_or_default()
    }

    /// The nodes of the tier that a scan names.
    pub fn nodes_in(&self, scan: &StoreScan) -> Vec<Candidate> {
        let nodes = scan.items.iter().filter_map(|item| {
            let Some(EntryKey::Node(_)) = self.schema.read_key(&item.key) else {
                return None;
            };
            // One that can't be read is told of when the scan is taken over.
            match self.schema.read(item) {
                Ok(Some(Entry::Node(name, record))) => Some((name, record)),
                _ => None,
            }
        });
        nodes.collect()
    }

    /// Takes over some of what the store holds.
    pub fn put_some(&self, items: &[StoreItem]) {
        self.bulk.begin(items.len());
        items.iter().for_each(|item| drop(self.put(item)));
        self.judge_vanished();
        self.bulk.end();
    }

    /// Takes over everything that the store holds; what is missing is lost.
    pub fn put_all(&self, items: &[StoreItem]) {
        self.bulk.begin(items.len());
        let seen: HashSet<EntryKey> = items.iter().filter_map(|item| self.put(item)).collect();
        let lost: Vec<EntryKey> = self.known.borrow().difference(&seen).cloned().collect();
        lost.into_iter().for_each(|key| self.lose(key));
        self.judge_vanished();
        self.bulk.end();
    }

    /// Takes over changes.
    pub fn take_all(&self, events: &[&StoreEvent]) {
        self.bulk.begin(events.len());
        events.iter().for_each(|event| self.take(event));
        self.judge_vanished();
        self.bulk.end();
    }

    fn take(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(item) => {
                self.put(item);
            }
            StoreEvent::Deleted { key, .. } => {
                if let Some(key) = self.schema.read_key(key) {
                    self.lose(key);
                }
            }
        }
    }

    /// Whether so many entries vanished at once that they must have lapsed.
    ///
    /// The store may have been away between two of its answers. Replicas and nodes
    /// that leave do so a few at a time, or say so before.
    pub fn is_lapse(&self, events: &[StoreEvent]) -> bool {
        let deleted = events.iter().filter(|event| match event {
            StoreEvent::Written(_) => false,
            StoreEvent::Deleted { key, .. } => {
                self.schema.read_key(key).is_some_and(|key| self.is_serving(&key))
            }
        });
        are_lapsed(deleted.count(), self.known.borrow().len())
    }

    /// Tells replicas that have probably left from those whose entries have lapsed.
    ///
    /// A replica that leaves without a word ends some seconds after its entry is removed, and
    /// nobody sees when that was if it happens around an outage: kept like one whose entry
    /// lapsed, it got requests until then. Entries lapse many at a time, and if a service has
    /// no other replica, requests go to the one that vanished in any case.
    fn judge_vanished(&self) {
        let vanished = self.vanished.borrow();
        let replicas: Vec<Rc<Replica>> =
            vanished.keys().filter_map(|key| self.replica(key)).collect();
        let lapsed = are_lapsed(replicas.len(), self.known.borrow().len() + vanished.len());
        for replica in replicas {
            let service = replica.spec().service.clone();
            let others = self.router.directory.of(&service);
            let mut others = others.iter().filter(|other| other.takes_requests());
            let has_other =
                others.any(|other| !vanished.contains_key(&EntryKey::Replica(other.id.clone())));
            replica.set_presumed_gone(!lapsed && has_other);
        }
    }

    /// The replica that a key names, if it is known.
    fn replica(&self, key: &EntryKey) -> Option<Rc<Replica>> {
        match key {
            EntryKey::Replica(id) => self.router.directory.find(id),
            EntryKey::Config | EntryKey::Node(_) | EntryKey::Crashes(_) => None,
        }
    }

    /// Whether a key is that of a replica that takes requests, as far as is known.
    fn is_serving(&self, key: &EntryKey) -> bool {
        self.replica(key).is_some_and(|replica| replica.takes_requests())
    }

    /// Takes over an item; gives its key if it is something to this tier.
    fn put(&self, item: &StoreItem) -> Option<EntryKey> {
        let key = self.schema.read_key(&item.key)?;
        let entry = match self.schema.read(item) {
            Ok(entry) => entry?,
            Err(error) => {
                tracing::warn!(key = item.key, code = error.code(), "mirror: can't read: {error}");
                self.pass_over(&key);
                return None;
            }
        };
        self.known.borrow_mut().insert(key.clone());
        if self.vanished.borrow_mut().remove(&key).is_some()
            && let Some(replica) = self.replica(&key)
        {
            replica.set_presumed_gone(false);
        }
        self.apply(entry, item.revision);
        Some(key)
    }

    /// Notes that an entry can't be read, so that it is not the tier's or a replica's.
    ///
    /// A replica whose entry another writer has taken is not used any more, also while
    /// vanished entries are kept: the address that was known may be another's by now. It
    /// writes its entry anew if it lives. What else was known holds.
    fn pass_over(&self, key: &EntryKey) {
        if matches!(key, EntryKey::Replica(_)) && self.known.borrow_mut().remove(key) {
            self.drop_entry(key, "its entry can't be read");
        }
        self.vanished.borrow_mut().remove(key);
    }

    fn apply(&self, entry: Entry, revision: u64) {
        let router = &self.router;
        match entry {
            Entry::Config(config) => {
                let version = config.version;
                let in_force = router.put_in_force(RouteTable::new(config));
                tracing::info!(version, revision, in_force, "mirror: a configuration came");
            }
            Entry::Replica(id, spec) => {
                let change = if spec.draining { Change::Draining } else { Change::Replica };
                if !self.bulk.takes(change) {
                    tracing::info!(
                        replica = id.as_str(),
                        service = spec.service.as_str(),
                        address = %spec.address,
                        draining = spec.draining,
                        revision,
                        "mirror: a replica tells of itself"
                    );
                }
                let put = router.directory.put(&id, spec, router.clock.now());
                if put != Put::Known {
                    tracing::info!(
                        replica = id.as_str(),
                        ?put,
                        revision,
                        "mirror: a replica is not what it was"
                    );
                }
            }
            Entry::Node(name, record) => {
                if !self.bulk.takes(Change::Node) {
                    let node = name.as_str();
                    tracing::info!(node, revision, "mirror: a node tells of itself");
                }
                router.fleet.put(name, record, router.clock.now());
            }
            Entry::Crashes(name, crashes) => {
                tracing::info!(
                    node = name.as_str(),
                    count = crashes.len(),
                    revision,
                    "mirror: a node tells of crashes"
                );
                let refused = router.crashes.merge(&crashes, router.clock.now());
                refused.iter().for_each(crash_check::log_refused);
            }
        }
    }

    /// Keeps nodes whose entries vanish, while the store turns this one away.
    ///
    /// It turns others away as well, and these lose their entries as this one does, but serve
    /// on. If each of them counted only those that the store still serves, all together would
    /// send more repeats, and open more connections, than replicas bear.
    pub fn hold_nodes(&self) {
        self.holds_nodes.set(true);
    }

    /// Drops the nodes that were kept, unless they are back soon.
    pub fn release_nodes(&self) {
        if !self.holds_nodes.replace(false) {
            return;
        }
        let until = self.router.clock.now() + self.keep;
        let mut vanished = self.vanished.borrow_mut();
        let held = vanished.iter_mut().filter(|(key, _)| matches!(key, EntryKey::Node(_)));
        held.for_each(|(_, due)| *due = until);
    }

    fn is_held(&self, key: &EntryKey) -> bool {
        self.holds_nodes.get() && matches!(key, EntryKey::Node(_))
    }

    /// Notes that a key is not in the store any more.
    fn lose(&self, key: EntryKey) {
        self.known.borrow_mut().remove(&key);
        if let EntryKey::Node(name) = &key {
            *self.losses.borrow_mut().entry(name.clone()).or_default() += 1;
        }
        if self.router.lenient_for() == Duration::ZERO && !self.is_held(&key) {
            self.drop_entry(&key, "left the store");
            return;
        }
        let until = self.router.clock.now() + self.keep;
        self.vanished.borrow_mut().insert(key, until);
    }

    fn drop_entry(&self, key: &EntryKey, reason: &'static str) {
        let router = &self.router;
        match key {
            // The operators never take the configuration away, and what was seen of
            // crashes stays true when the node that saw them ends.
            EntryKey::Config | EntryKey::Crashes(_) => {}
            EntryKey::Replica(id) => {
                if !self.bulk.takes(Change::ReplicaGone) {
                    tracing::info!(replica = id.as_str(), reason, "mirror: a replica is gone");
                }
                router.directory.remove(id);
            }
            EntryKey::Node(name) => {
                if !self.bulk.takes(Change::NodeGone) {
                    tracing::info!(node = name.as_str(), reason, "mirror: a node is gone");
                }
                router.fleet.remove(name);
            }
        }
    }

    /// Drops the entries that have been missing for too long, from now on.
    pub async fn sweep(self: Rc<Entries>) {
        loop {
            clock::sleep(&*self.router.clock, SWEEP_PERIOD).await;
            let now = self.router.clock.now();
            let due: Vec<EntryKey> = {
                let vanished = self.vanished.borrow();
                let due = vanished.iter().filter(|(key, at)| **at <= now && !self.is_held(key));
                due.map(|(key, _)| key.clone()).collect()
            };
            self.bulk.begin(due.len());
            for key in due {
                self.vanished.borrow_mut().remove(&key);
                self.drop_entry(&key, "did not come back");
            }
            self.bulk.end();
        }
    }
}

/// Whether `count` of `known` entries are so many that they must have lapsed.
fn are_lapsed(count: usize, known: usize) -> bool {
    count >= LAPSE_COUNT && count as f64 >= LAPSE_SHARE * known as f64
}
