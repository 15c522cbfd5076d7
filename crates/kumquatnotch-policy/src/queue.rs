//! Who waits for a slot, in which order, and who is refused at once.
//!
//! Replicas have so few slots that the queue belongs on this side, where it can
//! be ordered: [`crate::fair`] has the one in use.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Result, document::Class, ids::TenantName};

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Its number, unique in the queue and growing.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// Its tenant.
    pub tenant: TenantName,
    /// The share of its tenant.
    pub weight: u32,
    /// When it came.
    pub since: Instant,
    /// The latest time at which it is of use.
    pub deadline: Instant,
}

/// How fast the replicas of the queue work.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// Their slots.
    pub slots: u32,
    /// The time a call takes.
    pub service: Duration,
}

/// The place at which a waiter is offered a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotOffer {
    /// The waiters before it that could not use the slot.
    pub ahead: usize,
    /// Whether it is its class's assured share.
    pub guaranteed: bool,
}

/// The waiters of one shard.
pub trait WaitQueue {
    /// The time that a request of this class and tenant would wait.
    fn expected_wait(
        &self,
        class: Class,
        tenant: &TenantName,
        weight: u32,
        rate: ServiceRate,
    ) -> Duration;

    /// Refuses `waiter` if it should not wait.
    fn admit(&self, waiter: &Waiter, rate: ServiceRate, now: Instant) -> Result<()>;

    /// Lets `waiter` wait.
    fn push(&mut self, waiter: Waiter);

    /// Takes the next waiter for which `fits` holds, offered in order.
    fn take(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool,
    ) -> Option<Waiter>;

    /// Removes a waiter; false if it waits no more.
    fn remove(&mut self, waiter: &Waiter) -> bool;

    /// Removes those whose deadline has passed.
    fn expire(&mut self, now: Instant) -> Vec<Waiter>;

    /// How many wait.
    fn len(&self) -> usize;

    /// Whether nobody waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The most waiters that are offered one slot.
pub(crate) const MAX_OFFERS: usize = 32;

/// First come, first served, without a bound: the baseline.
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
