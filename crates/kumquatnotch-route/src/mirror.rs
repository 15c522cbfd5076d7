//! Mirrors the platform's store on every node.
//!
//! A mirror loads the full state once and then runs one watch after another. In a large fleet
//! most nodes do not watch the store but follow a node that does ([`follow`](crate::follow)).
//! While the store is unavailable, the last known state stays in use; a node without any state
//! asks other nodes for theirs.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use kumquatnotch_core::{
    Error, Result, Store, clock,
    store::{StoreChanges, StoreEvent, StoreScan},
};
use kumquatnotch_policy::mechanisms::Mechanism;

use crate::{
    entries::Entries,
    follow::{self, PeerUpdate},
    freshness,
    initial_sync::{self, InitialState},
    journal::StoreUpdate,
    router::Router,
    schema::Schema,
    sources::Sources,
};

/// Options of a [`Mirror`].
#[derive(Clone, Copy, Debug)]
pub struct MirrorOptions {
    /// How long a watch waits for changes.
    ///
    /// A dead connection is detected only at the end of a watch, so this must be shorter than
    /// the time within which changes have to be seen.
    pub wait: Duration,
    /// How long a watch waits while other nodes follow this one.
    ///
    /// Shorter than `wait`, because followers must learn soon that this node has lost the store.
    pub followed_wait: Duration,
    /// Pause after a watch has returned changes, to batch those that follow.
    ///
    /// Each return of a watch counts as a call to the store, and changes come in bursts.
    pub batch_delay: Duration,
    /// How long an entry that vanished around an outage is retained.
    pub retention: Duration,
    /// Initial backoff between calls while the store is unavailable, before jitter; it doubles.
    pub backoff: Duration,
    /// Maximum backoff between calls while the store is unavailable, before jitter.
    ///
    /// It bounds how long the recovery of the store goes unnoticed; until then, callers are served
    /// by the last known state.
    pub max_backoff: Duration,
}

impl Default for MirrorOptions {
    fn default() -> MirrorOptions {
        MirrorOptions {
            wait: Duration::from_millis(2_500),
            followed_wait: Duration::from_millis(1_800),
            batch_delay: Duration::from_millis(300),
            retention: Duration::from_millis(2_600),
            backoff: Duration::from_millis(150),
            max_backoff: Duration::from_millis(600),
        }
    }
}

/// How late the answer to a watch may be before the store counts as unavailable.
const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time within which a watch returns changes that are older than its start.
const PROMPT_ANSWER: Duration = Duration::from_millis(100);

/// Wait of a watch that returns the existing changes at once.
pub(crate) const NO_WAIT: Duration = Duration::from_millis(1);

/// Keeps a local copy of the store's entries up to date.
pub struct Mirror {
    pub(crate) options: MirrorOptions,
    pub(crate) router: Rc<Router>,
    pub(crate) store: Rc<dyn Store>,
    /// The entries that the store is known to hold.
    pub entries: Rc<Entries>,
    pub(crate) sources: Sources,
    /// Revision up to which all changes are known; `None` before the first load.
    pub(crate) revision: Cell<Option<u64>>,
    /// Whether the store may have been unavailable since its last answer.
    store_failed: Cell<bool>,
    /// Ends the watch in progress when the store turns out to have been restored.
    restored: RefCell<Option<oneshot::Sender<()>>>,
}

impl Mirror {
    /// Creates a mirror that has read nothing yet.
    pub fn new(
        options: MirrorOptions,
        router: Rc<Router>,
        store: Rc<dyn Store>,
        schema: Rc<dyn Schema>,
    ) -> Rc<Mirror> {
        let entries = Rc::new(Entries::new(router.clone(), schema, options.retention));
        let sources = Sources::new(router.clone(), store.clone());
        Rc::new(Mirror {
            options,
            router,
            store,
            entries,
            sources,
            revision: Cell::new(None),
            store_failed: Cell::new(false),
            restored: RefCell::default(),
        })
    }

    /// Starts to mirror the store.
    pub fn start(self: &Rc<Mirror>) {
        monoio::spawn(self.clone().run());
        monoio::spawn(self.entries.clone().sweep());
        monoio::spawn(freshness::report(self.router.clone()));
    }

    async fn run(self: Rc<Mirror>) {
        self.sync_initially().await;
        loop {
            if let Some(peer_update) = self.sources.follow(self.known_revision()).await {
                self.entries.resume_node_removal();
                self.apply_peer_update(peer_update);
                continue;
            }
            let mut result = self.read().await;
            if let Err(error) = &result
                && !matches!(error, Error::VersionUnknown { .. })
            {
                tracing::warn!(code = error.code(), "mirror: the store is away: {error}");
                self.note_store_failure();
                result = self.recover().await;
            }
            if result.is_err() {
                let (revision, restored) = (self.known_revision(), self.is_outdated());
                tracing::info!(
                    revision,
                    restored,
                    "mirror: the store has dropped the history, starting a full scan"
                );
                self.revision.set(None);
            }
        }
    }

    /// Returns the revision up to which all changes are known, or zero before the first load.
    pub(crate) fn known_revision(&self) -> u64 {
        self.revision.get().unwrap_or(0)
    }

    /// Whether the store was restored from an older copy after the last known revision.
    fn is_outdated(&self) -> bool {
        self.revision.get().is_some_and(|revision| revision < self.store.restored_at())
    }

    /// Ends the watch in progress if another call has shown that the store was restored.
    ///
    /// The store may leave the watch waiting for a revision that it reaches only much later.
    pub fn note_restore(&self) {
        if self.is_outdated()
            && let Some(sender) = self.restored.borrow_mut().take()
        {
            // Sending fails if the watch has ended.
            let _ = sender.send(());
        }
    }

    /// Loads the full state from the store, or from a node that has contacted this one.
    async fn sync_initially(&self) {
        let store_sync =
            std::pin::pin!(initial_sync::load(&self.router, &*self.store, &self.entries));
        let peer_sync = std::pin::pin!(self.sync_from_inbound_peers());
        match select(store_sync, peer_sync).await {
            Either::Left((InitialState { scan, confirmed, grace }, _)) => {
                if grace > Duration::ZERO {
                    self.router.extend_grace(grace);
                }
                self.apply_scan(&scan, confirmed);
            }
            Either::Right(((), _)) => {}
        }
    }

    /// Completes once a node that has contacted this one has supplied its state.
    async fn sync_from_inbound_peers(&self) {
        let clock = &*self.router.clock;
        loop {
            clock::sleep(clock, self.router.random.jitter(self.options.backoff)).await;
            // The state of another node may be old, so this is only for a store
            // that is unavailable.
            if self.router.uses(Mechanism::Visitors) && self.query_inbound_peers().await {
                return;
            }
        }
    }

    /// Loads the state of a node that has contacted this one, however old that state is.
    /// Returns `false` if none supplies it.
    ///
    /// A node that restarts while the store is unavailable knows no state and no other nodes,
    /// and would refuse all requests until the store is back. Nodes that knew its previous
    /// incarnation probe it, however, and the state by which they serve is good enough for this
    /// one as well.
    async fn query_inbound_peers(&self) -> bool {
        let mut inbound_peers = self.router.inbound_peers();
        self.router.random.shuffle(&mut inbound_peers);
        for peer_address in inbound_peers {
            let peer = self.router.fleet.peer_at(peer_address, self.router.clock.now());
            match follow::fetch(&self.router, &peer, 0, Duration::ZERO).await {
                Ok(peer_update) => {
                    tracing::info!(
                        node = %peer_address,
                        age_ms = peer_update.age.as_millis() as u64,
                        "mirror: loaded the state of a node while the store is unavailable"
                    );
                    self.apply_peer_update(peer_update);
                    return true;
                }
                Err(error) => {
                    tracing::info!(
                        node = %peer_address,
                        code = error.code(),
                        "mirror: a node did not supply its state: {error}"
                    );
                }
            }
        }
        false
    }

    pub(crate) fn apply_peer_update(&self, peer_update: PeerUpdate) {
        let PeerUpdate { update, age, grace } = peer_update;
        if grace > Duration::ZERO {
            self.router.extend_grace(grace);
        }
        let now = self.router.clock.now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        match update {
            StoreUpdate::Full(scan) => self.apply_scan(&scan, confirmed),
            StoreUpdate::Changes(changes) => self.apply_changes(&changes, confirmed),
        }
    }

    /// Notes that the store did not answer, or answered late.
    ///
    /// Entries missing from its next answers may have expired in the meantime.
    pub fn note_store_failure(&self) {
        self.store_failed.set(true);
    }

    /// Notes that the store has answered; called before the answer is applied.
    pub fn note_store_answer(&self) {
        self.entries.resume_node_removal();
        if self.store_failed.replace(false) {
            self.router.extend_grace(self.options.retention);
        }
    }

    /// Notes that many entries vanished at once, although no failure of the store was seen.
    ///
    /// Their replicas may have left instead, and must then get no requests once they have ended.
    /// Changes that a watch returns promptly may be as old as the previous answer.
    fn note_mass_expiry(&self, watch_start: Instant) {
        let is_prompt = self.router.clock.now() < watch_start + PROMPT_ANSWER;
        let age = if is_prompt { self.router.journal.age() } else { Duration::ZERO };
        let age = age.min(self.options.batch_delay);
        self.router.extend_grace(self.options.retention.saturating_sub(age));
    }

    /// Reads the full state, or the changes since the last revision.
    async fn read(&self) -> Result<()> {
        match self.revision.get() {
            None => self.scan().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn scan(&self) -> Result<()> {
        let start = self.router.clock.now();
        let scan = self.store.scan(self.entries.prefix()).await?;
        self.apply_scan(&scan, start);
        Ok(())
    }

    async fn watch(&self, after: u64) -> Result<()> {
        let clock = &*self.router.clock;
        let start = clock.now();
        let is_followed = follow::is_followed(&self.router);
        let wait = if is_followed { self.options.followed_wait } else { self.options.wait };
        let watch = self.store.watch(self.entries.prefix(), after, wait);
        let (sender, restored) = oneshot::channel();
        *self.restored.borrow_mut() = Some(sender);
        let late = select(clock.sleep_until(start + wait + LATE_ANSWER_MARGIN), restored);
        let changes = match select(watch, late).await {
            Either::Left((changes, _)) => changes?,
            Either::Right((Either::Right(_), _)) => {
                return Err(Error::VersionUnknown { version: after });
            }
            Either::Right((Either::Left(_), watch)) => {
                // The call may have been lost although the store is available.
                self.note_store_failure();
                let retrying = std::pin::pin!(self.retry_until_answered(0));
                match select(watch, retrying).await {
                    Either::Left((changes, _)) => changes?,
                    Either::Right((result, _)) => return result,
                }
            }
        };
        let now = clock.now();
        if self.entries.is_mass_expiry(&changes.events) && !self.store_failed.get() {
            self.note_mass_expiry(start);
        }
        self.note_store_answer();
        self.apply_changes(&changes, now);
        if !changes.events.is_empty() {
            clock::sleep(clock, self.options.batch_delay).await;
        }
        Ok(())
    }

    /// Replaces the mirrored state by everything that the store holds.
    pub(crate) fn apply_scan(&self, scan: &StoreScan, confirmed: Instant) {
        // Without the history, a removed entry can't be distinguished from an expired one.
        self.note_store_failure();
        self.note_store_answer();
        let with_newest = self.entries.with_newest(scan);
        let scan = with_newest.as_ref().unwrap_or(scan);
        self.entries.replace_all(&scan.items);
        self.router.journal.reset(scan, confirmed);
        self.revision.set(Some(scan.revision));
        self.router.set_synced();
        tracing::info!(
            revision = scan.revision,
            items = scan.items.len(),
            replicas = self.router.directory.len(),
            nodes = self.router.fleet.len(),
            "mirror: loaded the full state"
        );
    }

    /// Applies changes, of which some may be known already.
    pub(crate) fn apply_changes(&self, changes: &StoreChanges, confirmed: Instant) {
        let after = self.known_revision();
        let new: Vec<&StoreEvent> =
            changes.events.iter().filter(|event| event.revision() > after).collect();
        self.entries.apply_events(&new);
        let events = new.into_iter().cloned().collect();
        let changes = StoreChanges { events, revision: after.max(changes.revision) };
        self.router.journal.extend(&changes, confirmed);
        self.revision.set(Some(changes.revision));
    }
}
