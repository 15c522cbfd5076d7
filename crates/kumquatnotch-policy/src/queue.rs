//! Wait queues: the order in which requests get slots, and which are refused at once.
//!
//! Replicas have so few slots that queueing is better done on this side, where the queue can be
//! ordered. The implementation in use is in [`crate::fair`].

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Result, document::Class, ids::TenantName};

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Number of the request, unique in the queue and increasing.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// Its tenant.
    pub tenant: TenantName,
    /// Weight of its tenant.
    pub weight: u32,
    /// When it arrived.
    pub since: Instant,
    /// Latest time at which it is of use.
    pub deadline: Instant,
}

/// Service rate of the queue's replicas.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// Number of slots.
    pub slots: u32,
    /// Service time of a call.
    pub service: Duration,
}

/// The conditions under which a waiter is offered a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotOffer {
    /// Number of waiters before it that could not use the slot.
    pub ahead: usize,
    /// Whether the slot is part of the guaranteed share of its class.
    pub guaranteed: bool,
}

/// Queue of the requests for one shard.
pub trait WaitQueue {
    /// Expected wait of a request of this class and tenant.
    fn expected_wait(
        &self,
        class: Class,
        tenant: &TenantName,
        weight: u32,
        rate: ServiceRate,
    ) -> Duration;

    /// Refuses `waiter` if it should not be queued.
    fn admit(&self, waiter: &Waiter, rate: ServiceRate, now: Instant) -> Result<()>;

    /// Adds `waiter` to the queue.
    fn push(&mut self, waiter: Waiter);

    /// Takes the first waiter, in order, for which `fits` returns true.
    fn take(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool,
    ) -> Option<Waiter>;

    /// Removes a waiter; false if it is not queued any more.
    fn remove(&mut self, waiter: &Waiter) -> bool;

    /// Removes and returns the waiters whose deadline has passed.
    fn expire(&mut self, now: Instant) -> Vec<Waiter>;

    /// Number of waiters.
    fn len(&self) -> usize;

    /// Whether the queue is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Maximum number of waiters that are offered one slot.
pub(crate) const MAX_OFFERS: usize = 32;

/// An unbounded FIFO queue. The baseline.
#[derive(Debug, Default)]
pub struct FifoQueue {
    waiters: VecDeque<Waiter>,
}

impl WaitQueue for FifoQueue {
    fn expected_wait(
        &self,
        _class: Class,
        _tenant: &TenantName,
        _weight: u32,
        _rate: ServiceRate,
    ) -> Duration {
        Duration::ZERO
    }

    fn admit(&self, _waiter: &Waiter, _rate: ServiceRate, _now: Instant) -> Result<()> {
        Ok(())
    }

    fn push(&mut self, waiter: Waiter) {
        self.waiters.push_back(waiter);
    }

    fn take(
        &mut self,
        _now: Instant,
        fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool,
    ) -> Option<Waiter> {
        let offers = self.waiters.iter().enumerate().take(MAX_OFFERS);
        let found = offers
            .filter(|(ahead, waiter)| fits(waiter, SlotOffer { ahead: *ahead, guaranteed: false }))
            .map(|(index, _)| index)
            .next()?;
        self.waiters.remove(found)
    }

    fn remove(&mut self, waiter: &Waiter) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|other| other.id != waiter.id);
        self.waiters.len() < before
    }

    fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        let waiters = std::mem::take(&mut self.waiters);
        let (expired, left): (VecDeque<Waiter>, VecDeque<Waiter>) =
            waiters.into_iter().partition(|waiter| waiter.deadline <= now);
        self.waiters = left;
        expired.into()
    }

    fn len(&self) -> usize {
        self.waiters.len()
    }
}
