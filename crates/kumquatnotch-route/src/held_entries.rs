//! Entries that may be late writes of earlier incarnations of replicas.
//!
//! An entry with an earlier start than that of the known incarnation is either a write that was
//! executed late, or that of a replica that has restarted after its clock was set back. A running
//! replica overwrites a late write with its next heartbeat, so an entry that stays is the current
//! one. It is held until that is known, and only its report of draining has an effect before.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::collections::HashMap;

use crate::{
    change_summary::Change,
    directory::PutOutcome,
    entries::Entries,
    names::ReplicaId,
    replica::{Replica, ReplicaSpec},
};

/// How long an entry is held: longer than replicas take to write again, and short enough that
/// nothing is sent to a replica later than operators allow after it has reported that it drains.
const HOLD_TIME: Duration = Duration::from_secs(2);

struct HeldEntry {
    spec: ReplicaSpec,
    revision: u64,
    due: Instant,
}

/// Entries of replicas that are held.
#[derive(Default)]
pub(crate) struct HeldEntries {
    entries: RefCell<HashMap<ReplicaId, HeldEntry>>,
}

impl HeldEntries {
    /// Holds the entry of a replica, no longer than an earlier one of the same start.
    fn hold(&self, id: &ReplicaId, spec: ReplicaSpec, revision: u64, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        let held = entries.get(id).filter(|held| held.spec.born == spec.born);
        let due = held.map_or(now + HOLD_TIME, |held| held.due);
        entries.insert(id.clone(), HeldEntry { spec, revision, due });
    }

    /// Releases the entry of a replica. Returns whether there was one.
    pub(crate) fn release(&self, id: &ReplicaId) -> bool {
        self.entries.borrow_mut().remove(id).is_some()
    }

    /// Releases the entries that were held long enough.
    fn release_due(&self, now: Instant) -> Vec<(ReplicaId, HeldEntry)> {
        let mut entries = self.entries.borrow_mut();
        entries.extract_if(|_, held| held.due <= now).collect()
    }
}

impl Entries {
    pub(crate) fn apply_replica(&self, id: &ReplicaId, spec: ReplicaSpec, revision: u64) {
        let (directory, now) = (&self.router.directory, self.router.clock.now());
        let change = if spec.draining { Change::Draining } else { Change::Replica };
        if !self.summary.coalesce(change) {
            tracing::info!(
                replica = id.as_str(),
                service = spec.service.as_str(),
                address = %spec.address,
                draining = spec.draining,
                revision,
                "mirror: replica entry received"
            );
        }
        let has_left = self.departed.covers(id, &spec, now);
        let put = directory.put(id, spec.clone(), now);
        log_difference(id, put, revision);
        let Some(replica) = directory.find(id) else {
            return;
        };
        if put == PutOutcome::Stale {
            self.hold(&replica, spec, revision, now);
            return;
        }
        let was_held = self.held.release(id);
        if has_left {
            tracing::info!(replica = id.as_str(), "mirror: a replica that has left is back");
            replica.set_presumed_gone(true);
        } else if self.departed.forget(id) || was_held {
            replica.set_presumed_gone(false);
        }
    }

    fn hold(&self, replica: &Replica, spec: ReplicaSpec, revision: u64, now: Instant) {
        if spec.draining {
            replica.set_presumed_gone(true);
        }
        self.held.hold(&replica.id, spec, revision, now);
    }

    /// Applies the entries that no other write has replaced.
    pub(crate) fn apply_held(&self, now: Instant) {
        for (id, HeldEntry { spec, revision, .. }) in self.held.release_due(now) {
            self.router.directory.replace(&id, spec, now);
            log_difference(&id, PutOutcome::Restarted, revision);
        }
    }
}

fn log_difference(id: &ReplicaId, put: PutOutcome, revision: u64) {
    if put == PutOutcome::Known {
        return;
    }
    tracing::info!(
        replica = id.as_str(),
        ?put,
        revision,
        "mirror: replica entry differs from the known replica"
    );
}
