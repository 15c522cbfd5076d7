//! Announcing this node to the others, by an entry in the store under a lease.
//!
//! The entry ends with the node: by a deletion when it leaves, by the end of the
//! lease when it is killed or cut off. A lease may also end while the node lives,
//! as the store may be away; and the store may take the entry away although the
//! renewals go on. Then the node announces itself anew.

use std::{cell::RefCell, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Error, Result, Store, clock, codec,
    ids::NodeName,
    lifecycle::Stage,
    store::{StoreLease, StorePut, StoreWrite},
};
use kumquatnotch_policy::crashes::Crash;

use crate::{mirror::Mirror, router::Router};

/// How long the entry of a node outlives it.
///
/// Callers that are advised to use a node that has ended lose an attempt, so it
/// is short; renewals are cheap.
const LEASE_TIME: Duration = Duration::from_millis(3_000);

/// How often the lease is renewed: two renewals may be lost.
const RENEW_PERIOD: Duration = Duration::from_millis(900);

/// The pause after a failure, before jitter.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// How often a node that has just started looks whether it knows the others.
const START_PERIOD: Duration = Duration::from_millis(20);

/// How often a node on standby looks whether it is needed, before jitter.
///
/// When larger nodes end, their entries go within the time of a lease; this adds little.
const STANDBY_PERIOD: Duration = Duration::from_millis(400);

/// How many renewals in a row a node must not be needed for its entry to lapse.
///
/// Long enough for a larger node to restart, with which this one would come and go.
const STANDBY_RENEWALS: u32 = 10;

/// How long the own entry may be missing in the mirror before it is written anew.
const MISSING_PERIODS: u32 = 2;

/// Announces this node.
pub struct Announcer {
    router: Rc<Router>,
    store: Rc<dyn Store>,
    mirror: Rc<Mirror>,
    name: NodeName,
    keys: NodeKeys,
    value: Vec<u8>,
    lease: RefCell<Option<StoreLease>>,
}

/// Where the entries of a node lie.
#[derive(Clone, Debug)]
pub struct NodeKeys {
    /// What it tells of itself.
    pub record: String,
    /// The crashes that it has seen.
    pub crashes: String,
}

impl Announcer {
    /// An announcer that writes `value` as the record of the node.
    pub fn new(
        router: Rc<Router>,
        store: Rc<dyn Store>,
        mirror: Rc<Mirror>,
        name: NodeName,
        keys: NodeKeys,
        value: Vec<u8>,
    ) -> Rc<Announcer> {
        let lease = RefCell::default();
        Rc::new(Announcer { router, store, mirror, name, keys, value, lease })
    }

    /// Starts to announce the node, until it leaves.
    pub fn start(self: &Rc<Announcer>) {
        monoio::spawn(self.clone().run());
    }

    async fn run(self: Rc<Announcer>) {
        let clock = self.router.clock.clone();
        while self.router.lifecycle.stage() < Stage::Leaving {
            self.await_need().await;
            match self.announce().await {
                Ok(lease) => self.hold(lease).await,
                Err(error) => {
                    tracing::warn!(code = error.code(), "announce: failed: {error}");
                    let pause = self.router.random.jitter(FAILURE_PAUSE);
                    clock::sleep(&*clock, pause).await;
                }
            }
        }
    }

    /// Waits until the others need to know this node.
    async fn await_need(&self) {
        let clock = &*self.router.clock;
        while !self.router.is_placed() {
            clock::sleep(clock, START_PERIOD).await;
        }
        let mut waited = false;
        while !self.is_needed() && self.router.lifecycle.stage() < Stage::Leaving {
            if !waited {
                tracing::info!("announce: on standby, as larger nodes serve");
            }
            waited = true;
            clock::sleep(clock, self.router.random.jitter(STANDBY_PERIOD)).await;
        }
    }

    /// Whether others need the entry: to use this node, or to know of crashes.
    fn is_needed(&self) -> bool {
        !self.router.is_standby() || !self.router.crashes.published().is_empty()
    }

    async fn announce(&self) -> Result<StoreLease> {
        let lease = self.store.grant(LEASE_TIME).await?;
        let put = StorePut {
            key: self.keys.record.clone(),
            value: self.value.clone(),
            lease: Some(lease.id),
        };
        let write = StoreWrite { puts: vec![put], ..Default::default() };
        let revision = self.store.write(&write).await?;
        *self.lease.borrow_mut() = Some(lease);
        tracing::info!(revision, lease = lease.id, "announce: this node is announced");
        Ok(lease)
    }

    /// Renews the lease until it or the entry is lost.
    async fn hold(&self, lease: StoreLease) {
        let clock = &*self.router.clock;
        let losses = self.mirror.entries.losses_of(&self.name);
        let mut missing = 0;
        let mut unneeded = 0;
        let mut told = Vec::new();
        while self.router.lifecycle.stage() < Stage::Leaving {
            clock::sleep(clock, RENEW_PERIOD).await;
            match self.store.renew(lease.id).await {
                Err(Error::LeaseGone) => {
                    tracing::warn!(lease = lease.id, "announce: the lease has ended");
                    return;
                }
                Err(error) => {
                    self.mirror.note_trouble();
                    tracing::info!(code = error.code(), "announce: not renewed: {error}");
                }
                // A watch may return only seconds later, and would count as the end of an
                // outage then: what leaves until some time after that would be used on.
                Ok(()) => self.mirror.note_answer(),
            }
            self.tell_crashes(lease, &mut told).await;
            unneeded = if self.is_needed() { 0 } else { unneeded + 1 };
            if unneeded >= STANDBY_RENEWALS {
                tracing::info!(lease = lease.id, "announce: the lease is left to end");
                *self.lease.borrow_mut() = None;
                return;
            }
            // The write may not have reached the mirror yet, so it has some time.
            let lost = self.mirror.entries.losses_of(&self.name) != losses;
            missing = if self.mirror.entries.has_node(&self.name) { 0 } else { missing + 1 };
            if lost && missing >= MISSING_PERIODS {
                tracing::warn!(lease = lease.id, "announce: the entry was taken away");
                return;
            }
        }
    }

    /// Tells the other nodes of crashes, if there are others than those `told`.
    async fn tell_crashes(&self, lease: StoreLease, told: &mut Vec<Crash>) {
        let crashes = self.router.crashes.published();
        if crashes == *told {
            return;
        }
        match self.write_crashes(lease, &crashes).await {
            Ok(()) => *told = crashes,
            // They are told with the next renewal.
            Err(error) => {
                tracing::info!(code = error.code(), "announce: crashes not told: {error}");
            }
        }
    }

    async fn write_crashes(&self, lease: StoreLease, crashes: &[Crash]) -> Result<()> {
        let value = codec::encode(&crashes)?;
        let put = StorePut { key: self.keys.crashes.clone(), value, lease: Some(lease.id) };
        let write = StoreWrite { puts: vec![put], ..Default::default() };
        self.store.write(&write).await.map(|_| ())
    }

    /// Takes the entry away, so that callers are advised to use other nodes.
    pub async fn leave(&self) {
        if self.lease.borrow().is_none() {
            return;
        }
        let write = StoreWrite { deletes: vec![self.keys.record.clone()], ..Default::default() };
        if let Err(error) = self.store.write(&write).await {
            // It ends with its lease then.
            tracing::warn!(
                code = error.code(),
                "announce: the entry could not be deleted: {error}"
            );
        }
    }
}
