//! The known replicas, by service.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use kumquatnotch_core::collections::HashMap;
use kumquatnotch_policy::distances::Distances;

use crate::{
    names::{ReplicaId, ServiceName},
    replica::{Replica, ReplicaSpec},
};

/// How the entry of a replica relates to what was known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The same incarnation, or a replica that was unknown.
    Known,
    /// A later incarnation under the same name.
    Restarted,
    /// The service or address has changed.
    Moved,
    /// A write of an earlier incarnation, or from before the report of draining of the known one;
    /// nothing has changed.
    Stale,
}

impl PutOutcome {
    fn compare(known: &ReplicaSpec, new: &ReplicaSpec) -> PutOutcome {
        match (known.born, new.born) {
            // A replica has one service in all of its incarnations: one of the two entries is that
            // of another writer, whose start says nothing.
            _ if known.service != new.service => PutOutcome::Moved,
            (Some(known), Some(new)) if new < known => PutOutcome::Stale,
            (known, new) if known != new => PutOutcome::Restarted,
            _ if known.draining && !new.draining && new.sequence < known.sequence => {
                PutOutcome::Stale
            }
            _ if known.address != new.address => PutOutcome::Moved,
            _ => PutOutcome::Known,
        }
    }
}

/// The known replicas.
#[derive(Default)]
pub struct Directory {
    replicas: RefCell<HashMap<ReplicaId, Rc<Replica>>>,
    services: RefCell<HashMap<ServiceName, Rc<[Rc<Replica>]>>>,
    generation: Cell<u64>,
    distances: Rc<Distances>,
}

impl Directory {
    /// Creates an empty directory, for a node with these distances to data centres.
    pub fn new(distances: Rc<Distances>) -> Directory {
        Directory { distances, ..Default::default() }
    }

    /// Adds a replica, or updates its specification.
    ///
    /// A replica that has restarted under its name is replaced: connections to its earlier
    /// incarnation are dead, and the statistics of that one do not apply. If they were kept,
    /// the first requests would be lost on those connections.
    pub fn put(&self, id: &ReplicaId, spec: ReplicaSpec, now: Instant) -> PutOutcome {
        let known = self.replicas.borrow().get(id).cloned();
        let mut put = PutOutcome::Known;
        if let Some(replica) = known {
            put = PutOutcome::compare(&replica.spec(), &spec);
            match put {
                // A late write of an earlier incarnation, as long as nothing else shows.
                PutOutcome::Stale => return put,
                PutOutcome::Known => {
                    replica.update(spec);
                    self.note_change();
                    return put;
                }
                PutOutcome::Restarted | PutOutcome::Moved => self.remove(id),
            }
        }
        let service = spec.service.clone();
        let distance = self.distances.to(&spec.centre);
        let replica = Rc::new(Replica::new(id.clone(), spec, distance, now));
        self.replicas.borrow_mut().insert(id.clone(), replica.clone());
        self.update_service(&service, &replica.id, Some(replica.clone()));
        put
    }

    /// Replaces whatever is known of a replica, also if its start is an earlier one.
    pub fn replace(&self, id: &ReplicaId, spec: ReplicaSpec, now: Instant) {
        self.remove(id);
        self.put(id, spec, now);
    }

    /// Removes a replica. Nothing is sent to it any more.
    pub fn remove(&self, id: &ReplicaId) {
        let Some(replica) = self.replicas.borrow_mut().remove(id) else {
            return;
        };
        replica.set_gone();
        let service = replica.spec().service.clone();
        self.update_service(&service, id, None);
    }

    /// Returns a replica by its name.
    pub fn find(&self, id: &ReplicaId) -> Option<Rc<Replica>> {
        self.replicas.borrow().get(id).cloned()
    }

    /// Returns the replicas of a service, in no particular order.
    pub fn of(&self, service: &ServiceName) -> Rc<[Rc<Replica>]> {
        self.services.borrow().get(service).cloned().unwrap_or_else(|| Rc::new([]))
    }

    /// Returns all replicas.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        self.replicas.borrow().values().cloned().collect()
    }

    /// Number of known replicas.
    pub fn len(&self) -> usize {
        self.replicas.borrow().len()
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counter that grows with each change of the directory.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn note_change(&self) {
        self.generation.set(self.generation.get() + 1);
    }

    /// Adds a replica to the list of its service, or removes it.
    ///
    /// Only this list is scanned, because a node refuses its callers until it has added all
    /// replicas. Scanning all replicas on each addition takes 10 s for 10,000 replicas in a
    /// debug build; this takes less than half a second.
    fn update_service(&self, service: &ServiceName, id: &ReplicaId, replica: Option<Rc<Replica>>) {
        self.note_change();
        let mut services = self.services.borrow_mut();
        let listed = services.get(service).into_iter().flat_map(|list| list.iter());
        let others = listed.filter(|other| other.id != *id).cloned();
        let list: Vec<Rc<Replica>> = others.chain(replica).collect();
        if list.is_empty() {
            services.remove(service);
        } else {
            services.insert(service.clone(), list.into());
        }
    }
}
