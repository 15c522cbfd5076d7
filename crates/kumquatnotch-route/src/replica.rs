//! One incarnation of a replica: what it says of itself, the connections to it, and
//! what was learned of it.

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
    quickest::{self, Candidate, Need, Rating},
};

use crate::{
    connection_pool::ConnectionPool,
    names::{ReplicaId, ServiceName},
    semaphore::PrioritySemaphore,
};

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it ends what it runs and takes no new requests.
    pub draining: bool,
    /// When it started, in milliseconds since 1970, if it tells.
    ///
    /// It may start again under its name, and then knows nothing of before.
    pub born: Option<u64>,
}

/// One incarnation of a replica.
pub struct Replica {
    /// Its name.
    pub id: ReplicaId,
    /// The permits to be with it.
    pub semaphore: Rc<PrioritySemaphore>,
    /// The connections to it.
    pub pool: ConnectionPool,
    /// What was learned of it.
    pub observed: Observed,
    spec: RefCell<ReplicaSpec>,
    gone: Cell<bool>,
    presumed_gone: Cell<bool>,
}

impl Replica {
    /// A replica of which nothing was learned yet.
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

    /// Takes over what the replica says of itself now.
    pub fn update(&self, spec: ReplicaSpec) {
        self.observed.set_slots(spec.slots);
        *self.spec.borrow_mut() = spec;
    }

    /// What the replica says of itself.
    pub fn spec(&self) -> Ref<'_, ReplicaSpec> {
        self.spec.borrow()
    }

    /// Marks it as gone, so that nothing is sent any more.
    pub fn set_gone(&self) {
        self.gone.set(true);
        self.pool.close();
    }

    /// Whether it is gone from the directory.
    pub fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Sets whether it has probably left, though it may still be back.
    pub fn set_presumed_gone(&self, presumed_gone: bool) {
        self.presumed_gone.set(presumed_gone);
    }

    /// Whether new requests may be sent to it at all.
    pub fn takes_requests(&self) -> bool {
        let is_replaced = self.observed.fitness() == Fitness::Replaced;
        !self.gone.get() && !self.spec.borrow().draining && !is_replaced
    }

    /// What is to be expected of it.
    pub fn rate(&self, need: Need, now: Instant) -> Rating {
        let (waiting, limit) = (self.semaphore.waiting(), self.semaphore.limit());
        let rating = Rating::new(Candidate { observed: &self.observed, waiting, limit }, need, now);
        if self.presumed_gone.get() { rating.of_left() } else { rating }
    }
}

/// A replica that was picked.
pub struct Pick {
    /// The replica.
    pub replica: Rc<Replica>,
    /// What is to be expected of it.
    pub rating: Rating,
}

/// The best of `replicas` that take requests, without those `tried`.
pub fn pick(
    replicas: &[Rc<Replica>],
    tried: &[ReplicaId],
    need: Need,
    now: Instant,
) -> Option<Pick> {
    let open = replicas.iter().filter(|replica| replica.takes_requests());
    let open: Vec<&Rc<Replica>> = open.filter(|replica| !tried.contains(&replica.id)).collect();
    let ratings: Vec<Rating> = open.iter().map(|replica| replica.rate(need, now)).collect();
    let best = quickest::best(&ratings)?;
    Some(Pick { replica: open[best].clone(), rating: ratings[best] })
}
