//! One incarnation of a replica: its announced properties, the connections to it and its
//! statistics.

use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use kumquatnotch_core::ids::DataCentre;
use kumquatnotch_policy::{
    distances::Distance,
    observed::{Fitness, Observed},
    rating::{self, Candidate, Rating, RequestProfile},
};

use crate::{
    connection_pool::ConnectionPool,
    names::{ReplicaId, ServiceName},
    semaphore::PrioritySemaphore,
};

/// The properties that a replica announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it finishes running requests and accepts no new ones.
    pub draining: bool,
    /// When it started, in milliseconds since 1970, if it announces that.
    ///
    /// A replica may restart under the same name, without any state from before.
    pub born: Option<u64>,
    /// Number of times that it has written its entry since its start; zero if it counts none.
    pub sequence: u64,
}

/// One incarnation of a replica.
pub struct Replica {
    /// Its identifier.
    pub id: ReplicaId,
    /// Limits concurrent requests to it.
    pub semaphore: Rc<PrioritySemaphore>,
    /// The idle connections to it.
    pub pool: ConnectionPool,
    /// Its statistics.
    pub observed: Observed,
    spec: RefCell<ReplicaSpec>,
    gone: Cell<bool>,
    presumed_gone: Cell<bool>,
}

impl Replica {
    /// Creates a replica without statistics.
    pub fn new(id: ReplicaId, spec: ReplicaSpec, distance: Rc<Distance>, now: Instant) -> Replica {
        Replica {
            id,
            semaphore: Rc::default(),
            pool: ConnectionPool::new(spec.address),
            observed: Observed::new(spec.slots, distance, now),
            spec: RefCell::new(spec),
            gone: Cell::new(false),
            presumed_gone: Cell::new(false),
        }
    }

    /// Updates the announced properties.
    pub fn update(&self, spec: ReplicaSpec) {
        self.observed.set_slots(spec.slots);
        *self.spec.borrow_mut() = spec;
    }

    /// The announced properties.
    pub fn spec(&self) -> Ref<'_, ReplicaSpec> {
        self.spec.borrow()
    }

    /// Marks it as gone, so that no more requests are sent.
    pub fn set_gone(&self) {
        self.gone.set(true);
        self.pool.close();
    }

    /// Whether it was removed from the directory.
    pub fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Sets whether it is presumed gone, although it may still come back.
    pub fn set_presumed_gone(&self, presumed_gone: bool) {
        self.presumed_gone.set(presumed_gone);
    }

    /// Whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        let is_replaced = self.observed.fitness() == Fitness::Replaced;
        !self.gone.get() && !self.spec.borrow().draining && !is_replaced
    }

    /// Rates it for a request.
    pub fn rate(&self, profile: RequestProfile, now: Instant) -> Rating {
        let (waiting, limit) = (self.semaphore.waiting(), self.semaphore.limit());
        let rating =
            Rating::new(Candidate { observed: &self.observed, waiting, limit }, profile, now);
        if self.presumed_gone.get() { rating.departed() } else { rating }
    }
}

/// A selected replica.
pub struct Pick {
    /// The replica.
    pub replica: Rc<Replica>,
    /// Its rating.
    pub rating: Rating,
}

/// Selects the best of `replicas` that accept requests, except those in `tried`.
pub fn pick(
    replicas: &[Rc<Replica>],
    tried: &[ReplicaId],
    profile: RequestProfile,
    now: Instant,
) -> Option<Pick> {
    let available = replicas.iter().filter(|replica| replica.takes_requests());
    let available: Vec<&Rc<Replica>> =
        available.filter(|replica| !tried.contains(&replica.id)).collect();
    let ratings: Vec<Rating> = available.iter().map(|replica| replica.rate(profile, now)).collect();
    let best = rating::best(&ratings)?;
    Some(Pick { replica: available[best].clone(), rating: ratings[best] })
}
