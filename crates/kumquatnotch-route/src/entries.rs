//! The entries of the store that a node knows.
//!
//! Replicas and nodes renew their entries under leases, so entries may expire while the store
//! is unavailable although their owners are alive; the owners write them again soon after the
//! store is back. Entries that vanish around an outage are therefore retained for a while, and
//! dropped if they are still missing then. A replica may also have left in the meantime. If
//! only a few replicas vanish while others of their services remain, they have probably left,
//! and are used last.

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
    change_summary::{Change, ChangeSummary},
    crash_records,
    departed::Departed,
    held_entries::HeldEntries,
    names::ReplicaId,
    newest_entries,
    replica::{Replica, ReplicaSpec},
    route::RouteTable,
    router::Router,
    schema::{Entry, EntryKey, Schema},
};

/// Minimum number of replicas that must vanish in one answer to count as a mass expiry.
const MASS_EXPIRY_COUNT: usize = 4;

/// Minimum share of all entries that they must make up.
const MASS_EXPIRY_SHARE: f64 = 0.15;

/// Longest time between two checks for entries that are due.
const SWEEP_PERIOD: Duration = Duration::from_millis(200);

/// The entries that the store is known to hold.
pub struct Entries {
    pub(crate) router: Rc<Router>,
    schema: Rc<dyn Schema>,
    /// How long an entry that vanished around an outage is retained.
    retention: Duration,
    /// Keys that are known to exist.
    known: RefCell<HashSet<EntryKey>>,
    /// Keys that vanished around an outage, and when each is dropped.
    vanished: RefCell<HashMap<EntryKey, Instant>>,
    /// Whether nodes whose entries vanish are retained until further notice.
    node_removal_suspended: Cell<bool>,
    /// Number of times that the entry of each node has vanished.
    removals: RefCell<HashMap<NodeName, u64>>,
    /// Replicas that have left.
    pub(crate) departed: Departed,
    /// Entries that may be late writes of earlier incarnations.
    pub(crate) held: HeldEntries,
    /// Counts changes that are logged as a summary, because many come at once.
    pub(crate) summary: ChangeSummary,
}

impl Entries {
    /// Creates an empty set of entries. Entries that vanish around an outage are
    /// retained for `retention`.
    pub fn new(router: Rc<Router>, schema: Rc<dyn Schema>, retention: Duration) -> Entries {
        Entries {
            router,
            schema,
            retention,
            known: RefCell::default(),
            vanished: RefCell::default(),
            node_removal_suspended: Cell::new(false),
            removals: RefCell::default(),
            departed: Departed::default(),
            held: HeldEntries::default(),
            summary: ChangeSummary::default(),
        }
    }

    /// Prefix of all keys that are relevant to this tier.
    pub fn prefix(&self) -> &str {
        self.schema.prefix()
    }

    /// Prefix of the keys of nodes.
    pub fn node_prefix(&self) -> &str {
        self.schema.node_prefix()
    }

    /// Whether the store is known to hold an entry of node `name`.
    pub fn has_node(&self, name: &NodeName) -> bool {
        self.known.borrow().contains(&EntryKey::Node(name.clone()))
    }

    /// Returns how often the entry of node `name` has vanished.
    pub fn removals_of(&self, name: &NodeName) -> u64 {
        self.removals.borrow().get(name).copied().unwrap_or_default()
    }

    /// Returns the nodes of the tier that a scan contains.
    pub fn nodes_in(&self, scan: &StoreScan) -> Vec<Candidate> {
        let nodes = scan.items.iter().filter_map(|item| {
            let Some(EntryKey::Node(_)) = self.schema.read_key(&item.key) else {
                return None;
            };
            // Unreadable records are logged when the scan is applied.
            match self.schema.read(item) {
                Ok(Some(Entry::Node(name, record))) => Some((name, record)),
                _ => None,
            }
        });
        nodes.collect()
    }

    /// Applies items that are only a part of what the store holds.
    pub fn apply_items(&self, items: &[StoreItem]) {
        self.summary.begin(items.len());
        items.iter().for_each(|item| drop(self.apply_item(item)));
        self.classify_vanished();
        self.summary.end();
    }

    /// Returns a full state of the store with the entries that this node knows in a later form, if
    /// there are any.
    pub(crate) fn with_newest(&self, scan: &StoreScan) -> Option<StoreScan> {
        newest_entries::insert(scan, &self.router.journal, &*self.schema)
    }

    /// Applies everything that the store holds; known entries that are missing count as removed.
    pub fn replace_all(&self, items: &[StoreItem]) {
        self.summary.begin(items.len());
        let known_crashes = self.router.crashes.records();
        let seen: HashSet<EntryKey> =
            items.iter().filter_map(|item| self.apply_item(item)).collect();
        crash_records::restore(&self.router, known_crashes, |fingerprint| {
            seen.contains(&EntryKey::Crashes(fingerprint))
        });
        let lost: Vec<EntryKey> = self.known.borrow().difference(&seen).cloned().collect();
        lost.into_iter().for_each(|key| self.note_removed(key));
        self.classify_vanished();
        self.summary.end();
    }

    /// Applies changes in their order.
    pub fn apply_events(&self, events: &[&StoreEvent]) {
        self.summary.begin(events.len());
        events.iter().for_each(|event| self.apply_event(event));
        self.classify_vanished();
        self.summary.end();
    }

    fn apply_event(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(item) => {
                self.apply_item(item);
            }
            StoreEvent::Deleted { key, .. } => match self.schema.read_key(key) {
                Some(EntryKey::Crashes(fingerprint)) => {
                    self.known.borrow_mut().remove(&EntryKey::Crashes(fingerprint));
                    if self.router.crashes.remove(fingerprint) {
                        tracing::info!(print = %fingerprint, "mirror: crash record removed");
                    }
                }
                Some(key) => self.note_removed(key),
                None => {}
            },
        }
    }

    /// Whether so many entries vanished at once that they must have expired.
    ///
    /// The store may have been unavailable between two of its answers. Replicas and nodes that
    /// leave do so a few at a time, or drain first.
    pub fn is_mass_expiry(&self, events: &[StoreEvent]) -> bool {
        let deleted = events.iter().filter(|event| match event {
            StoreEvent::Written(_) => false,
            StoreEvent::Deleted { key, .. } => {
                self.schema.read_key(key).is_some_and(|key| self.is_serving(&key))
            }
        });
        reaches_mass_expiry(deleted.count(), self.known.borrow().len())
    }

    /// Distinguishes replicas that have probably left from those whose entries have expired.
    ///
    /// A replica that leaves without draining ends some seconds after its entry is removed, and
    /// around an outage the time of the removal is unknown. If it were retained like one whose
    /// entry expired, it would get requests until then. Entries expire many at a time; and if a
    /// service has no other replica, requests go to the vanished one in any case.
    fn classify_vanished(&self) {
        let vanished = self.vanished.borrow();
        let replicas: Vec<Rc<Replica>> =
            vanished.keys().filter_map(|key| self.replica(key)).collect();
        let expired =
            reaches_mass_expiry(replicas.len(), self.known.borrow().len() + vanished.len());
        for replica in replicas {
            let service = replica.spec().service.clone();
            let others = self.router.directory.of(&service);
            let mut others = others.iter().filter(|other| other.takes_requests());
            let has_other =
                others.any(|other| !vanished.contains_key(&EntryKey::Replica(other.id.clone())));
            replica.set_presumed_gone(!expired && has_other);
        }
    }

    /// Returns the replica that a key names, if it is known.
    fn replica(&self, key: &EntryKey) -> Option<Rc<Replica>> {
        match key {
            EntryKey::Replica(id) => self.router.directory.find(id),
            EntryKey::Config | EntryKey::Node(_) | EntryKey::Crashes(_) => None,
        }
    }

    /// Whether a key is that of a replica that is known to take requests.
    fn is_serving(&self, key: &EntryKey) -> bool {
        self.replica(key).is_some_and(|replica| replica.takes_requests())
    }

    /// Applies an item. Returns its key if it is relevant to this tier and readable.
    fn apply_item(&self, item: &StoreItem) -> Option<EntryKey> {
        let key = self.schema.read_key(&item.key)?;
        let entry = match self.schema.read(item) {
            Ok(entry) => entry?,
            Err(error) => {
                tracing::warn!(
                    key = item.key,
                    code = error.code(),
                    "mirror: unreadable entry: {error}"
                );
                self.note_unreadable(&key);
                return None;
            }
        };
        if let Entry::Replica(id, spec) = &entry
            && self.lacks_start(id, spec)
        {
            tracing::warn!(
                key = item.key,
                revision = item.revision,
                "mirror: entry without the start that its replica announces"
            );
            self.note_unreadable(&key);
            return None;
        }
        self.known.borrow_mut().insert(key.clone());
        if self.vanished.borrow_mut().remove(&key).is_some()
            && let Some(replica) = self.replica(&key)
        {
            replica.set_presumed_gone(false);
        }
        self.apply_entry(entry, item.revision);
        Some(key)
    }

    /// Whether an entry lacks the start that its replica announces, and so is of another writer.
    ///
    /// If it were taken for that of a later incarnation, a replica that drains would get requests
    /// again.
    fn lacks_start(&self, id: &ReplicaId, spec: &ReplicaSpec) -> bool {
        let has_start = || match self.router.directory.find(id) {
            Some(known) => known.spec().born.is_some(),
            None => self.departed.has_start(id, self.router.clock.now()),
        };
        spec.born.is_none() && has_start()
    }

    /// Handles an entry that can't be read, and so was written by neither the tier nor a replica.
    ///
    /// A replica whose entry was overwritten by another writer is no longer used, even while
    /// vanished entries are retained: its last known address may belong to another process by now.
    /// If the replica is alive, it writes its entry again. Other state that is known stays in use.
    fn note_unreadable(&self, key: &EntryKey) {
        let had_vanished = self.vanished.borrow_mut().remove(key).is_some();
        if matches!(key, EntryKey::Replica(_))
            && (self.known.borrow_mut().remove(key) || had_vanished)
        {
            self.drop_entry(key, "its entry can't be read");
        }
    }

    fn apply_entry(&self, entry: Entry, revision: u64) {
        let router = &self.router;
        match entry {
            Entry::Config(config) => {
                let version = config.version;
                let in_force = router.install_table(RouteTable::new(config));
                tracing::info!(version, revision, in_force, "mirror: a configuration came");
            }
            Entry::Replica(id, spec) => self.apply_replica(&id, spec, revision),
            Entry::Node(name, record) => {
                if !self.summary.coalesce(Change::Node) {
                    let node = name.as_str();
                    tracing::info!(node, revision, "mirror: node entry received");
                }
                router.fleet.put(name, record, router.clock.now());
            }
            Entry::Crashes(fingerprint, record) => {
                crash_records::apply(router, fingerprint, &record, revision);
            }
        }
    }

    /// Retains nodes whose entries vanish, while the store rejects this node.
    ///
    /// The store rejects other nodes as well, which lose their entries like this one but continue
    /// to serve. If each of them counted only the nodes that the store still accepts, all together
    /// would send more repeats, and open more connections, than the replicas can take.
    pub fn suspend_node_removal(&self) {
        self.node_removal_suspended.set(true);
    }

    /// Resumes dropping vanished nodes. Those retained so far get another retention time to return.
    pub fn resume_node_removal(&self) {
        if !self.node_removal_suspended.replace(false) {
            return;
        }
        let until = self.router.clock.now() + self.retention;
        let mut vanished = self.vanished.borrow_mut();
        let retained = vanished.iter_mut().filter(|(key, _)| matches!(key, EntryKey::Node(_)));
        retained.for_each(|(_, due)| *due = until);
    }

    fn is_removal_suspended(&self, key: &EntryKey) -> bool {
        self.node_removal_suspended.get() && matches!(key, EntryKey::Node(_))
    }

    /// Handles the removal of a key from the store.
    fn note_removed(&self, key: EntryKey) {
        self.known.borrow_mut().remove(&key);
        match &key {
            EntryKey::Node(name) => {
                *self.removals.borrow_mut().entry(name.clone()).or_default() += 1;
            }
            EntryKey::Replica(id) => drop(self.held.release(id)),
            EntryKey::Config | EntryKey::Crashes(_) => {}
        }
        if self.router.remaining_grace() == Duration::ZERO && !self.is_removal_suspended(&key) {
            self.drop_entry(&key, "left the store");
            return;
        }
        let grace = self.router.remaining_grace();
        // A replica whose entry has expired writes it again soon after the store is back, whenever
        // it is removed; a node that the store rejects may need longer.
        let retention = if matches!(key, EntryKey::Replica(_)) { grace } else { self.retention };
        self.vanished.borrow_mut().insert(key, self.router.clock.now() + retention);
    }

    fn drop_entry(&self, key: &EntryKey, reason: &'static str) {
        let router = &self.router;
        match key {
            // The operators never remove the configuration, and a crash record is dropped when it
            // is deleted, not when the store has lost it.
            EntryKey::Config | EntryKey::Crashes(_) => {}
            EntryKey::Replica(id) => {
                self.held.release(id);
                if !self.summary.coalesce(Change::ReplicaGone) {
                    tracing::info!(replica = id.as_str(), reason, "mirror: replica removed");
                }
                if let Some(replica) = router.directory.find(id) {
                    self.departed.note(id, &replica.spec(), router.clock.now());
                }
                router.directory.remove(id);
            }
            EntryKey::Node(name) => {
                if !self.summary.coalesce(Change::NodeGone) {
                    tracing::info!(node = name.as_str(), reason, "mirror: node removed");
                }
                router.fleet.remove(name);
            }
        }
    }

    /// Returns the time until the first retained entry is due, at most the sweep period.
    fn time_to_sweep(&self) -> Duration {
        let now = self.router.clock.now();
        let vanished = self.vanished.borrow();
        let due = vanished.iter().filter(|(key, _)| !self.is_removal_suspended(key));
        let due = due.map(|(_, at)| at.saturating_duration_since(now)).min();
        due.map_or(SWEEP_PERIOD, |due| due.min(SWEEP_PERIOD))
    }

    /// Periodically drops entries that have been missing for longer than the retention time.
    pub async fn sweep(self: Rc<Entries>) {
        loop {
            clock::sleep(&*self.router.clock, self.time_to_sweep()).await;
            let now = self.router.clock.now();
            self.apply_held(now);
            let due: Vec<EntryKey> = {
                let vanished = self.vanished.borrow();
                let due = vanished
                    .iter()
                    .filter(|(key, at)| **at <= now && !self.is_removal_suspended(key));
                due.map(|(key, _)| key.clone()).collect()
            };
            self.summary.begin(due.len());
            for key in due {
                self.vanished.borrow_mut().remove(&key);
                self.drop_entry(&key, "did not come back");
            }
            self.summary.end();
        }
    }
}

/// Whether `count` out of `known` entries are so many that they must have expired.
fn reaches_mass_expiry(count: usize, known: usize) -> bool {
    count >= MASS_EXPIRY_COUNT && count as f64 >= MASS_EXPIRY_SHARE * known as f64
}
