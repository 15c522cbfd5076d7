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
    pub fn put(&self, id: &ReplicaId, spec: ReplicaSpec, now: Instant) {
        let known = self.replicas.borrow().get(id).cloned();
        if let Some(replica) = known {
            let moved = {
                let known = replica.spec();
                known.service != spec.service || known.address != spec.address
            };
            if !moved {
                replica.update(spec);
                self.note_change();
                return;
            }
            self.remove(id);
        }
        let service = spec.service.clone();
        let distance = self.distances.to(&spec.centre);
        let replica = Rc::new(Replica::new(id.clone(), spec, distance, now));
        self.replicas.borrow_mut().insert(id.clone(), replica);
        self.sort(&service);
    }

    /// Removes a replica, to which nothing is sent any more.
    pub fn remove(&self, id: &ReplicaId) {
        let Some(replica) = self.replicas.borrow_mut().remove(id) else {
            return;
        };
        replica.set_gone();
        let service = replica.spec().service.clone();
        self.sort(&service);
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

    fn sort(&self, service: &ServiceName) {
        self.note_change();
        let replicas = self.replicas.borrow();
        let of_service = replicas.values().filter(|replica| replica.spec().service == *service);
        let list: Vec<Rc<Replica>> = of_service.cloned().collect();
        if list.is_empty() {
            self.services.borrow_mut().remove(service);
        } else {
            self.services.borrow_mut().insert(service.clone(), list.into());
        }
    }
}
