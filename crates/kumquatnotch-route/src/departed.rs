//! Replicas that have left, remembered for the case that the store is restored.
//!
//! A copy of the store may still hold the entry of a replica that has left since. Nobody writes
//! such an entry again, and it stays until the store notices that the replica is silent. It is told
//! from the entry of a running replica by the count of writes that each entry contains.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::collections::HashMap;

use crate::{names::ReplicaId, replica::ReplicaSpec};

/// How long a replica is remembered; copies of the store are some seconds old.
const MEMORY: Duration = Duration::from_secs(30);

/// The last known entry of a replica that has left.
struct LastEntry {
    born: Option<u64>,
    sequence: u64,
    until: Instant,
}

/// Replicas that have left.
#[derive(Default)]
pub(crate) struct Departed {
    replicas: RefCell<HashMap<ReplicaId, LastEntry>>,
}

impl Departed {
    /// Notes that a replica has left, and its last entry.
    pub(crate) fn note(&self, id: &ReplicaId, spec: &ReplicaSpec, now: Instant) {
        let ReplicaSpec { born, sequence, .. } = *spec;
        let entry = LastEntry { born, sequence, until: now + MEMORY };
        let mut replicas = self.replicas.borrow_mut();
        replicas.retain(|_, entry| entry.until > now);
        replicas.insert(id.clone(), entry);
    }

    /// Whether a replica had left when it had written more than this entry, or just this.
    pub(crate) fn covers(&self, id: &ReplicaId, spec: &ReplicaSpec, now: Instant) -> bool {
        let replicas = self.replicas.borrow();
        let entry = replicas.get(id).filter(|entry| entry.until > now);
        entry.is_some_and(|entry| {
            spec.sequence > 0 && entry.born == spec.born && entry.sequence >= spec.sequence
        })
    }

    /// Whether a replica that has left had announced its start.
    pub(crate) fn has_start(&self, id: &ReplicaId, now: Instant) -> bool {
        let replicas = self.replicas.borrow();
        replicas.get(id).is_some_and(|entry| entry.until > now && entry.born.is_some())
    }

    /// Forgets a replica, which has written its entry again. Returns whether it had left.
    pub(crate) fn forget(&self, id: &ReplicaId) -> bool {
        self.replicas.borrow_mut().remove(id).is_some()
    }
}
