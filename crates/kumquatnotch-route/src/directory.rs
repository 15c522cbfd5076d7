//! The replicas that are known, by their service.

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

/// What an entry of a replica is beside what was known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The same replica, or a new one.
    Known,
    /// It has started again under its name.
    Restarted,
    /// It has another service or address.
    Moved,
    /// It is of an earlier life.
    Stale,
}

impl PutOutcome {
    fn compare(known: &ReplicaSpec, new: &ReplicaSpec) -> PutOutcome {
        match (known.born, new.born) {
            (Some(known), Some(new)) if new < known => PutOutcome::Stale,
            (known, new) if known != new => PutOutcome::Restarted,
            _ if known.service != new.service || known.address != new.address => PutOutcome::Moved,
            _ => PutOutcome::Known,
        }
    }
}

/// The replicas that are known.
#[derive(Default)]
pub struct Directory {
    replicas: RefCell<HashMap<ReplicaId, Rc<Replica>>>,
    services: RefCell<HashMap<ServiceName, Rc<[Rc<Replica>]>>>,
    generation: Cell<u64>,
    distances: Rc<Distances>,
}

impl Directory {
    /// A directory without replicas, for a node with these ways to data centres.
    pub fn new(distances: Rc<Distances>) -> Directory {
        Directory { distances, ..Default::default() }
    }

    /// Adds a replica, or takes over what it says of itself now.
    ///
    /// One that has started again under its name holds nothing of before: connections to
    /// its earlier life are dead, and what was learned of it says nothing. If it went on
    /// being used, the first requests would be lost on those connections.
    pub fn put(&self, id: &ReplicaId, spec: ReplicaSpec, now: Instant) -> PutOutcome {
        let known = self.replicas.borrow().get(id).cloned();
        let mut put = PutOutcome::Known;
        if let Some(replica) = known {
            put = PutOutcome::compare(&replica.spec(), &spec);
            match put {
                // A write that was on its way while it started again.
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

    /// Removes a replica, to which nothing is sent any more.
    pub fn remove(&self, id: &ReplicaId) {
        let Some(replica) = self.replicas.borrow_mut().remove(id) else {
            return;
        };
        replica.set_gone();
        let service = replica.spec().service.clone();
        self.update_service(&service, id, None);
    }

    /// A replica.
    pub fn find(&self, id: &ReplicaId) -> Option<Rc<Replica>> {
        self.replicas.borrow().get(id).cloned()
    }

    /// The replicas of a service, in no order.
    pub fn of(&self, service: &ServiceName) -> Rc<[Rc<Replica>]> {
        self.services.borrow().get(service).cloned().unwrap_or_else(|| Rc::new([]))
    }

    /// All replicas.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        self.replicas.borrow().values().cloned().collect()
    }

    /// How many replicas there are.
    pub fn len(&self) -> usize {
        self.replicas.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A number that grows with each change of the directory.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn note_change(&self) {
        self.generation.set(self.generation.get() + 1);
    }

    /// Puts a replica into the list of its service, or takes it out.
    ///
    /// Only this list is gone through: a node refuses its callers until it has put all
    /// replicas. Going through all of them for each took 10 s for 10,000 replicas in a
    /// debug build, and takes less than half a second this way.
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
