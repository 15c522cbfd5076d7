//! Following the platform's store: what it holds is mirrored by every node.
//!
//! One scan, then one watch after another; of many nodes, most follow one that
//! watches the store instead ([`follow`](crate::follow)). When the store is away, what was
//! known last goes on being used. Replicas and nodes renew their entries, so
//! entries may lapse while the store is away although those behind them live;
//! they come back soon after its return. So what vanishes around an outage is
//! kept for a while, and dropped if it is still missing then.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Error, Result, Store, clock,
    collections::{HashMap, HashSet},
    ids::NodeName,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};

use crate::{
    follow::{self, Followed},
    journal::Passage,
    probe,
    replica::Replica,
    route::RouteTable,
    router::Router,
    schema::{Entry, EntryKey, Schema},
};

/// Options of a [`Mirror`].
#[derive(Clone, Debug)]
pub struct MirrorOptions {
    /// How long a watch waits for changes.
    ///
    /// A watch whose connection has gone silent is noticed only when it is over,
    /// so it must stay below the time in which changes have to be seen.
    pub wait: Duration,
    /// The same if other nodes follow this one, which must hear soon that it has
    /// lost the store.
    pub followed_wait: Duration,
    /// The pause after changes came, in which more of them collect.
    ///
    /// Each return of a watch is a call that counts, and changes come in series.
    pub collect: Duration,
    /// How long an entry that vanished around an outage is kept.
    pub keep: Duration,
    /// The first pause after a failed call, before jitter; it doubles.
    pub backoff: Duration,
    /// The longest pause after a failed call, before jitter.
    pub most_backoff: Duration,
    /// Where nodes may be that know more than this one while the store is away.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MirrorOptions {
    fn default() -> MirrorOptions {
        MirrorOptions {
            wait: Duration::from_millis(2_500),
            followed_wait: Duration::from_millis(1_800),
            collect: Duration::from_millis(300),
            keep: Duration::from_millis(2_600),
            backoff: Duration::from_millis(150),
            most_backoff: Duration::from_millis(900),
            seeds: Vec::new(),
        }
    }
}

/// How late the answer to a watch may be before the store counts as having been away.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// How many nodes are tried before the store itself is asked.
const MOST_PEERS: usize = 4;

/// How many replicas must vanish in one answer to count as a lapse.
const LAPSE_COUNT: usize = 4;

/// Which share of all entries they must be.
const LAPSE_SHARE: f64 = 0.15;

/// Follows the store.
pub struct Mirror {
    options: MirrorOptions,
    router: Rc<Router>,
    store: Rc<dyn Store>,
    schema: Rc<dyn Schema>,
    /// The keys that are known to exist.
    known: RefCell<HashSet<EntryKey>>,
    /// The keys that vanished around an outage, and when they are dropped.
    vanished: RefCell<HashMap<EntryKey, Instant>>,
    /// The revision up to which everything is known.
    after: Cell<Option<u64>>,
    /// Whether the store was in trouble since its last answer.
    trouble: Cell<bool>,
    /// How often the own entry of this node was seen to vanish.
    losses: RefCell<HashMap<NodeName, u64>>,
}

impl Mirror {
    /// A mirror that has read nothing yet.
    pub fn new(
        options: MirrorOptions,
        router: Rc<Router>,
        store: Rc<dyn Store>,
        schema: Rc<dyn Schema>,
    ) -> Rc<Mirror> {
        Rc::new(Mirror {
            options,
            router,
            store,
            schema,
            known: RefCell::default(),
            vanished: RefCell::default(),
            after: Cell::new(None),
            trouble: Cell::new(false),
            losses: RefCell::default(),
        })
    }

    /// Starts to follow the store.
    pub fn start(self: &Rc<Mirror>) {
        monoio::spawn(self.clone().run());
        monoio::spawn(self.clone().sweep());
    }

    /// Whether the entry of node `name` is in the store, as far as is known.
    pub fn has_node(&self, name: &NodeName) -> bool {
        self.known.borrow().contains(&EntryKey::Node(name.clone()))
    }

    /// How often the entry of node `name` has vanished.
    pub fn losses_of(&self, name: &NodeName) -> u64 {
        self.losses.borrow().get(name).copied().unwrap_or_default()
    }

    async fn run(self: Rc<Mirror>) {
        let clock = self.router.clock.clone();
        let mut failures = 0;
        loop {
            let peers = follow::followed(&self.router);
            if !peers.is_empty() && self.follow(&peers).await {
                failures = 0;
                continue;
            }
            match self.read().await {
                Ok(()) => {
                    if failures > 0 {
                        tracing::info!(failures, "mirror: the store answers again");
                    }
                    failures = 0;
                }
                Err(Error::VersionUnknown { .. }) => {
                    tracing::info!("mirror: the history is gone, reading everything anew");
                    self.after.set(None);
                }
                Err(error) => {
                    failures += 1;
                    self.note_trouble();
                    if failures == 1 {
                        tracing::warn!(code = error.code(), "mirror: the store is away: {error}");
                    }
                    if self.after.get().is_none() && self.ask_seeds().await {
                        continue;
                    }
                    let backoff = self.options.backoff * 2u32.pow(failures.min(6) - 1);
                    let pause = backoff.min(self.options.most_backoff);
                    clock::sleep(&*clock, self.router.random.jitter(pause)).await;
                }
            }
        }
    }

    /// Takes over what one of `peers` tells; false if the store must be asked.
    ///
    /// One that has not heard from the store for long may be cut off from it, and
    /// is passed over. If a few of them are, the store itself shows who is right.
    async fn follow(&self, peers: &[Rc<Replica>]) -> bool {
        for peer in peers.iter().take(MOST_PEERS) {
            let followed = follow::follow(&self.router, peer, self.after.get().unwrap_or(0)).await;
            let followed = match followed {
                Ok(followed) => followed,
                Err(error) => {
                    let node = peer.id.as_str();
                    tracing::info!(
                        node,
                        code = error.code(),
                        "mirror: can't follow a node: {error}"
                    );
                    probe::suspect(&self.router, peer, "no news of the store");
                    continue;
                }
            };
            if followed.age > follow::MOST_AGE {
                let node = peer.id.as_str();
                tracing::info!(
                    node,
                    age_ms = followed.age.as_millis() as u64,
                    "mirror: a node is out of touch"
                );
                continue;
            }
            self.take_followed(followed);
            return true;
        }
        false
    }

    /// Learns what another node knows, however old that is; false if none tells.
    ///
    /// A node that starts while the store is away knows nothing, and would refuse all
    /// requests until the store is back. What the others serve by is as good for it.
    async fn ask_seeds(&self) -> bool {
        let mut seeds = self.options.seeds.clone();
        self.router.random.shuffle(&mut seeds);
        for seed in seeds {
            let peer = self.router.fleet.stranger(seed, self.router.clock.now());
            match follow::follow(&self.router, &peer, 0).await {
                Ok(followed) => {
                    tracing::info!(
                        node = %seed,
                        age_ms = followed.age.as_millis() as u64,
                        "mirror: learned from a node while the store is away"
                    );
                    self.take_followed(followed);
                    return true;
                }
                Err(error) => {
                    tracing::info!(node = %seed, code = error.code(), "mirror: no news: {error}");
                }
            }
        }
        false
    }

    fn take_followed(&self, followed: Followed) {
        let Followed { passage, age, lenient } = followed;
        if lenient > Duration::ZERO {
            self.router.be_lenient(lenient);
        }
        let now = self.router.clock.now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        match passage {
            Passage::Whole(scan) => self.take_scan(&scan, confirmed),
            Passage::Changes(changes) => self.take_changes(&changes, confirmed),
        }
    }

    /// Notes that the store did not answer, or answered late.
    ///
    /// What is seen to vanish in its next answers may have lapsed meanwhile.
    pub fn note_trouble(&self) {
        self.trouble.set(true);
    }

    /// Notes that the store answers, before what it tells is taken over.
    fn note_answer(&self) {
        if self.trouble.replace(false) {
            self.router.be_lenient(self.options.keep);
        }
    }

    /// Asks the store for everything, or for what has changed.
    async fn read(&self) -> Result<()> {
        match self.after.get() {
            None => self.scan().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn scan(&self) -> Result<()> {
        let start = self.router.clock.now();
        let scan = self.store.scan(self.schema.prefix()).await?;
        self.take_scan(&scan, start);
        Ok(())
    }

    async fn watch(&self, after: u64) -> Result<()> {
        let clock = &*self.router.clock;
        let start = clock.now();
        let is_followed = follow::is_followed(&self.router);
        let wait = if is_followed { self.options.followed_wait } else { self.options.wait };
        let changes = self.store.watch(self.schema.prefix(), after, wait).await?;
        let now = clock.now();
        let took = now.saturating_duration_since(start);
        if took > wait + LATE_ANSWER || self.is_lapse(&changes.events) {
            self.note_trouble();
        }
        self.note_answer();
        self.take_changes(&changes, now);
        if !changes.events.is_empty() {
            clock::sleep(clock, self.options.collect).await;
        }
        Ok(())
    }

    /// Takes over everything that the store holds.
    fn take_scan(&self, scan: &StoreScan, confirmed: Instant) {
        let mut seen = HashSet::default();
        for item in &scan.items {
            if let Some(key) = self.put(item) {
                seen.insert(key);
            }
        }
        let lost: Vec<EntryKey> = self.known.borrow().difference(&seen).cloned().collect();
        // Without the history, whether an entry left or lapsed can't be told.
        self.note_trouble();
        self.note_answer();
        lost.into_iter().for_each(|key| self.lose(key));
        self.router.journal.reset(scan, confirmed);
        self.after.set(Some(scan.revision));
        self.router.set_synced();
        tracing::info!(
            revision = scan.revision,
            items = scan.items.len(),
            replicas = self.router.directory.len(),
            nodes = self.router.fleet.len(),
            "mirror: read everything"
        );
    }

    /// Takes over changes, of which some may be known.
    fn take_changes(&self, changes: &StoreChanges, confirmed: Instant) {
        let after = self.after.get().unwrap_or(0);
        for event in changes.events.iter().filter(|event| event.revision() > after) {
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
        self.router.journal.extend(changes, confirmed);
        self.after.set(Some(after.max(changes.revision)));
    }

    /// Whether so many entries vanished at once that they must have lapsed.
    ///
    /// The store may have been away between two of its answers. Replicas and nodes
    /// that leave do so a few at a time, or say so before.
    fn is_lapse(&self, events: &[StoreEvent]) -> bool {
        let deleted = events.iter().filter(|event| match event {
            StoreEvent::Written(_) => false,
            StoreEvent::Deleted { key, .. } => {
                self.schema.read_key(key).is_some_and(|key| self.is_serving(&key))
            }
        });
        let deleted = deleted.count();
        deleted >= LAPSE_COUNT && deleted as f64 >= LAPSE_SHARE * self.known.borrow().len() as f64
    }

    /// Whether a key is that of a replica that takes requests, as far as is known.
    fn is_serving(&self, key: &EntryKey) -> bool {
        match key {
            EntryKey::Replica(id) => {
                self.router.directory.find(id).is_some_and(|replica| replica.takes_requests())
            }
            EntryKey::Config | EntryKey::Node(_) => false,
        }
    }

    /// Takes over an item; gives its key if it is something to this tier.
    fn put(&self, item: &StoreItem) -> Option<EntryKey> {
        let key = self.schema.read_key(&item.key)?;
        let entry = match self.schema.read(item) {
            Ok(entry) => entry?,
            Err(error) => {
                tracing::warn!(key = item.key, code = error.code(), "mirror: can't read: {error}");
                return None;
            }
        };
        self.known.borrow_mut().insert(key.clone());
        self.vanished.borrow_mut().remove(&key);
        self.apply(entry, item.revision);
        Some(key)
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
                tracing::info!(
                    replica = id.as_str(),
                    service = spec.service.as_str(),
                    address = %spec.address,
                    draining = spec.draining,
                    revision,
                    "mirror: a replica tells of itself"
                );
                router.directory.put(&id, spec, router.clock.now());
            }
            Entry::Node(name, record) => {
                tracing::info!(node = name.as_str(), revision, "mirror: a node tells of itself");
                router.fleet.put(name, record, router.clock.now());
            }
        }
    }

    /// Notes that a key is not in the store any more.
    fn lose(&self, key: EntryKey) {
        self.known.borrow_mut().remove(&key);
        if let EntryKey::Node(name) = &key {
            *self.losses.borrow_mut().entry(name.clone()).or_default() += 1;
        }
        if self.router.lenient_for() == Duration::ZERO {
            self.drop_entry(&key, "left the store");
            return;
        }
        let until = self.router.clock.now() + self.options.keep;
        self.vanished.borrow_mut().insert(key, until);
    }

    fn drop_entry(&self, key: &EntryKey, reason: &'static str) {
        let router = &self.router;
        match key {
            // The operators never take the configuration away.
            EntryKey::Config => {}
            EntryKey::Replica(id) => {
                tracing::info!(replica = id.as_str(), reason, "mirror: a replica is gone");
                router.directory.remove(id);
            }
            EntryKey::Node(name) => {
                tracing::info!(node = name.as_str(), reason, "mirror: a node is gone");
                router.fleet.remove(name);
            }
        }
    }

    /// Drops the entries that have been missing for too long.
    async fn sweep(self: Rc<Mirror>) {
        const PERIOD: Duration = Duration::from_millis(200);
        loop {
            clock::sleep(&*self.router.clock, PERIOD).await;
            let now = self.router.clock.now();
            let due: Vec<EntryKey> = {
                let vanished = self.vanished.borrow();
                vanished.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect()
            };
            for key in due {
                self.vanished.borrow_mut().remove(&key);
                self.drop_entry(&key, "did not come back");
            }
        }
    }
}
