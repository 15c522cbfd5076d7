//! Announces this node to the others, by an entry in the store under a lease.
//!
//! A node that leaves deletes its entry; if it is killed or cut off, the entry expires with the
//! lease. The lease may also expire while the node is alive, because the store was unavailable,
//! or be lost in a restore of the store, and the store may lose the entry although the lease is
//! being renewed. In all these cases the node announces itself again.

use std::{cell::RefCell, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Error, Result, Store, clock,
    ids::NodeName,
    lifecycle::Stage,
    store::{StoreLease, StorePut, StoreWrite},
};

use crate::{mirror::Mirror, router::Router};

/// Lifetime of the lease, and so the time for which the entry of a node outlives it.
///
/// Callers that are advised to use a node that has ended lose an attempt, so the time is short;
/// renewals are cheap.
const LEASE_TIME: Duration = Duration::from_millis(3_000);

/// How often the lease is renewed: two renewals may be lost.
const RENEW_PERIOD: Duration = Duration::from_millis(900);

/// Delay between attempts to announce the node after a failure, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How often a node that has just started checks whether it knows the other nodes.
const START_POLL_PERIOD: Duration = Duration::from_millis(20);

/// How often a node on standby checks whether it is needed, before jitter.
///
/// When larger nodes end, their entries expire within the time of a lease; this adds
/// little to that.
const STANDBY_POLL_PERIOD: Duration = Duration::from_millis(400);

/// Number of successive renewals without need after which a node lets its entry expire.
///
/// Long enough for a larger node to restart; otherwise this node would announce and withdraw
/// itself with each restart.
const STANDBY_RENEWALS: u32 = 10;

/// Number of renewals for which the own entry may be missing in the mirror before it is rewritten.
const MISSING_RENEWALS: u32 = 2;

/// Announces this node.
pub struct Announcer {
    router: Rc<Router>,
    store: Rc<dyn Store>,
    mirror: Rc<Mirror>,
    name: NodeName,
    key: String,
    value: Vec<u8>,
    lease: RefCell<Option<StoreLease>>,
}

impl Announcer {
    /// Creates an announcer that writes `value` under `key` as the record of the node.
    pub fn new(
        router: Rc<Router>,
        store: Rc<dyn Store>,
        mirror: Rc<Mirror>,
        name: NodeName,
        key: String,
        value: Vec<u8>,
    ) -> Rc<Announcer> {
        let lease = RefCell::default();
        Rc::new(Announcer { router, store, mirror, name, key, value, lease })
    }

    /// Starts to announce the node, until it leaves.
    pub fn start(self: &Rc<Announcer>) {
        monoio::spawn(self.clone().run());
    }

    async fn run(self: Rc<Announcer>) {
        let clock = self.router.clock.clone();
        while self.router.lifecycle.stage() < Stage::Leaving {
            self.wait_until_needed().await;
            match self.announce().await {
                Ok(lease) => self.maintain_lease(lease).await,
                Err(error) => {
                    tracing::warn!(code = error.code(), "announce: failed: {error}");
                    let delay = self.router.random.jitter(RETRY_DELAY);
                    clock::sleep(&*clock, delay).await;
                }
            }
        }
    }

    /// Waits until the other nodes need to know this one.
    async fn wait_until_needed(&self) {
        let clock = &*self.router.clock;
        while !self.router.are_nodes_known() {
            clock::sleep(clock, START_POLL_PERIOD).await;
        }
        let mut waited = false;
        while !self.is_needed() && self.router.lifecycle.stage() < Stage::Leaving {
            if !waited {
                tracing::info!("announce: on standby, because larger nodes serve callers");
            }
            waited = true;
            clock::sleep(clock, self.router.random.jitter(STANDBY_POLL_PERIOD)).await;
        }
    }

    /// Whether other nodes need the entry to use this node.
    fn is_needed(&self) -> bool {
        !self.router.is_standby()
    }

    async fn announce(&self) -> Result<StoreLease> {
        let lease = self.store.grant(LEASE_TIME).await?;
        let put = StorePut { key: self.key.clone(), value: self.value.clone(), lease: Some(lease) };
        let write = StoreWrite { puts: vec![put], ..Default::default() };
        let revision = self.store.write(&write).await?;
        *self.lease.borrow_mut() = Some(lease);
        tracing::info!(revision, lease = lease.id, "announce: this node is announced");
        Ok(lease)
    }

    /// Renews the lease until the lease or the entry is lost.
    async fn maintain_lease(&self, lease: StoreLease) {
        let clock = &*self.router.clock;
        let removals = self.mirror.entries.removals_of(&self.name);
        let mut missing = 0;
        let mut unneeded = 0;
        while self.router.lifecycle.stage() < Stage::Leaving {
            clock::sleep(clock, RENEW_PERIOD).await;
            let renewed = self.store.renew(lease).await;
            self.mirror.note_restore();
            match renewed {
                Err(Error::LeaseGone) => {
                    tracing::warn!(lease = lease.id, "announce: the lease has expired");
                    return;
                }
                Err(error) => {
                    self.mirror.note_store_failure();
                    tracing::info!(code = error.code(), "announce: lease renewal failed: {error}");
                }
                // The next watch may return only seconds later. If the outage lasted until then,
                // replicas that leave soon after that would still be used.
                Ok(()) => self.mirror.note_store_answer(),
            }
            unneeded = if self.is_needed() { 0 } else { unneeded + 1 };
            if unneeded >= STANDBY_RENEWALS {
                tracing::info!(
                    lease = lease.id,
                    "announce: node not needed, letting the lease expire"
                );
                *self.lease.borrow_mut() = None;
                return;
            }
            // The mirror may not have received the write yet, so allow some time.
            let removed = self.mirror.entries.removals_of(&self.name) != removals;
            missing = if self.mirror.entries.has_node(&self.name) { 0 } else { missing + 1 };
            if removed && missing >= MISSING_RENEWALS {
                tracing::warn!(lease = lease.id, "announce: the entry was removed from the store");
                return;
            }
        }
    }

    /// Deletes the entry, so that callers are advised to use other nodes.
    pub async fn leave(&self) {
        if self.lease.borrow().is_none() {
            return;
        }
        let write = StoreWrite { deletes: vec![self.key.clone()], ..Default::default() };
        if let Err(error) = self.store.write(&write).await {
            // The entry then expires with its lease.
            tracing::warn!(
                code = error.code(),
                "announce: the entry could not be deleted: {error}"
            );
        }
    }
}
