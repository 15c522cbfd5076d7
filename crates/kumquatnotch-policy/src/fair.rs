//! Wait queue ordered by class, tenant and deadline.
//!
//! Classes are served by priority, with a small share of slots guaranteed to the lower ones. Within
//! a class, slots are shared among tenants by weight; within a tenant, the earliest deadline goes
//! first. A request that would wait for too large a share of its time is refused at once, with the
//! time after which to retry.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Error, Result, document::Class, ids::TenantName};

use crate::queue::{MAX_OFFERS, ServiceRate, SlotOffer, WaitQueue, Waiter};

/// Fraction of slots guaranteed to each class while others wait as well.
///
/// Without it, continuous load of the desk would starve audits for ever.
const GUARANTEED_SHARE: [f64; 3] = [1.0, 0.10, 0.03];
/// Deficit in slots from which a class goes before waiters of lower priority.
const GUARANTEE_DEFICIT: f64 = 1.0;
/// Deficit in slots from which a class goes before all others, including the desk.
///
/// A burst at the desk is over long before; only a desk that permanently fills every slot lets the
/// deficit grow this high.
const STARVATION_DEFICIT: f64 = 10.0;
/// Maximum number of slots that a class can have received beyond its guaranteed share.
const MAX_CREDIT: f64 = 10.0;
/// Maximum fraction of its remaining time that a request may be expected to wait.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Maximum number of waiters per shard.
const MAX_WAITERS: usize = 4096;
/// Weight of a new interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Minimum retry delay of a refused request.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Serves classes by priority, tenants by weight, and requests by deadline.
#[derive(Debug)]
pub struct FairQueue {
    classes: [ClassQueue; 3],
    len: usize,
}

#[derive(Debug, Default)]
struct ClassQueue {
    tenants: Vec<TenantQueue>,
    len: usize,
    virtual_time: f64,
    deficit: f64,
    served: Option<Instant>,
    interval: Option<f64>,
}

#[derive(Debug)]
struct TenantQueue {
    tenant: TenantName,
    weight: f64,
    pass: f64,
    waiters: BTreeMap<(Instant, u64), Waiter>,
}

impl Default for FairQueue {
    fn default() -> FairQueue {
        FairQueue { classes: [(); 3].map(|()| ClassQueue::default()), len: 0 }
    }
}

impl WaitQueue for FairQueue {
    fn expected_wait(
        &self,
        class: Class,
        tenant: &TenantName,
        weight: u32,
        rate: ServiceRate,
    ) -> Duration {
        if self.len == 0 {
            return Duration::ZERO;
        }
        let rank = class as usize;
        let own = self.classes[rank].position(tenant, weight);
        let before: usize = self.classes[..rank].iter().map(|queue| queue.len).sum();
        let each = rate.service.as_secs_f64() / f64::from(rate.slots.max(1));
        let by_pace = (own + before as f64) * each;
        // More urgent requests that are still to arrive are reflected in the interval at which this
        // class is served, not in the queue.
        let by_interval = own * self.classes[rank].interval.unwrap_or(0.0);
        Duration::from_secs_f64(by_pace.max(by_interval))
    }

    fn admit(&self, waiter: &Waiter, rate: ServiceRate, now: Instant) -> Result<()> {
        let wait = self.expected_wait(waiter.class, &waiter.tenant, waiter.weight, rate);
        let left = waiter.deadline.saturating_duration_since(now);
        let bound = left.mul_f64(MAX_WAIT_SHARE);
        if wait <= bound && self.len < MAX_WAITERS {
            return Ok(());
        }
        Err(Error::overloaded(wait.saturating_sub(bound).max(MIN_RETRY)))
    }

    fn push(&mut self, waiter: Waiter) {
        self.classes[waiter.class as usize].push(waiter);
        self.len += 1;
    }

    fn take(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool,
    ) -> Option<Waiter> {
        let waiter = self.find(fits)?;
        self.remove(&waiter);
        self.charge(&waiter, now);
        Some(waiter)
    }

    fn remove(&mut self, waiter: &Waiter) -> bool {
        let removed = self.classes[waiter.class as usize].remove(waiter);
        self.len -= usize::from(removed);
        removed
    }

    fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        let mut expired = Vec::new();
        for queue in &mut self.classes {
            for tenant_queue in &mut queue.tenants {
                while let Some(first) = tenant_queue.waiters.first_entry() {
                    if first.key().0 > now {
                        break;
                    }
                    expired.push(first.remove());
                    queue.len -= 1;
                    self.len -= 1;
                }
            }
            queue.drop_empty();
        }
        expired
    }

    fn len(&self) -> usize {
        self.len
    }
}

impl FairQueue {
    fn find(&self, fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool) -> Option<Waiter> {
        let mut ahead = 0;
        let [desk, lower @ ..] = &self.classes;
        let starved = lower.iter().filter(|queue| queue.deficit >= STARVATION_DEFICIT);
        let owed = lower.iter().filter(|queue| queue.deficit >= GUARANTEE_DEFICIT);
        let rounds = starved
            .map(|queue| (queue, true))
            .chain(std::iter::once((desk, false)))
            .chain(owed.map(|queue| (queue, true)))
            .chain(lower.iter().map(|queue| (queue, false)));
        for (queue, guaranteed) in rounds {
            if let Some(waiter) = queue.offer(guaranteed, &mut ahead, fits) {
                return Some(waiter);
            }
        }
        None
    }

    fn charge(&mut self, waiter: &Waiter, now: Instant) {
        let rank = waiter.class as usize;
        for (other, queue) in self.classes.iter_mut().enumerate().skip(1) {
            if other != rank && queue.len > 0 {
                queue.deficit =
                    (queue.deficit + GUARANTEED_SHARE[other]).min(STARVATION_DEFICIT + 1.0);
            }
        }
        let queue = &mut self.classes[rank];
        queue.charge(&waiter.tenant);
        queue.deficit = (queue.deficit - 1.0).max(-MAX_CREDIT);
        queue.record_interval(now);
    }
}

impl ClassQueue {
    fn push(&mut self, waiter: Waiter) {
        self.len += 1;
        let key = (waiter.deadline, waiter.id);
        // A returning tenant starts level with the others. Its unused share is not saved up, so it
        // cannot claim every slot for a while.
        if let Some(tenant_queue) =
            self.tenants.iter_mut().find(|tenant_queue| tenant_queue.tenant == waiter.tenant)
        {
            tenant_queue.pass = tenant_queue.pass.max(self.virtual_time);
            tenant_queue.waiters.insert(key, waiter);
            return;
        }
        let weight = f64::from(waiter.weight.max(1));
        let pass = self.virtual_time;
        let tenant = waiter.tenant.clone();
        self.tenants.push(TenantQueue {
            tenant,
            weight,
            pass,
            waiters: BTreeMap::from([(key, waiter)]),
        });
    }

    fn remove(&mut self, waiter: &Waiter) -> bool {
        let key = (waiter.deadline, waiter.id);
        let Some(tenant_queue) =
            self.tenants.iter_mut().find(|tenant_queue| tenant_queue.tenant == waiter.tenant)
        else {
            return false;
        };
        let removed = tenant_queue.waiters.remove(&key).is_some();
        if removed {
            self.len -= 1;
        }
        removed
    }

    /// Offers a slot to the waiters in order; returns the first that can use it.
    fn offer(
        &self,
        guaranteed: bool,
        ahead: &mut usize,
        fits: &mut dyn FnMut(&Waiter, SlotOffer) -> bool,
    ) -> Option<Waiter> {
        if self.len == 0 {
            return None;
        }
        let mut tenants: Vec<&TenantQueue> =
            self.tenants.iter().filter(|tenant_queue| !tenant_queue.waiters.is_empty()).collect();
        tenants.sort_by(|a, b| a.pass.total_cmp(&b.pass));
        for waiter in tenants.iter().flat_map(|tenant_queue| tenant_queue.waiters.values()) {
            if *ahead >= MAX_OFFERS {
                return None;
            }
            if fits(waiter, SlotOffer { ahead: *ahead, guaranteed }) {
                return Some(waiter.clone());
            }
            *ahead += 1;
        }
        None
    }

    /// Position that a new request of `tenant` would have in this class.
    fn position(&self, tenant: &TenantName, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let own = self.tenants.iter().find(|tenant_queue| tenant_queue.tenant == *tenant);
        let own = own.map_or(0, |tenant_queue| tenant_queue.waiters.len()) as f64 + 1.0;
        let others = self.tenants.iter().filter(|tenant_queue| tenant_queue.tenant != *tenant);
        let before = others.map(|tenant_queue| {
            (own * tenant_queue.weight / weight).min(tenant_queue.waiters.len() as f64)
        });
        own + before.sum::<f64>()
    }

    /// Charges `tenant` for a slot, by its weight.
    fn charge(&mut self, tenant: &TenantName) {
        if let Some(tenant_queue) =
            self.tenants.iter_mut().find(|tenant_queue| tenant_queue.tenant == *tenant)
        {
            self.virtual_time = self.virtual_time.max(tenant_queue.pass);
            tenant_queue.pass += 1.0 / tenant_queue.weight;
        }
    }

    /// Records the interval at which this class is served while requests wait.
    fn record_interval(&mut self, now: Instant) {
        let served = self.served.replace(now);
        if self.len == 0 {
            self.served = None;
            self.interval = None;
            self.drop_empty();
            return;
        }
        let Some(served) = served else {
            return;
        };
        let sample = now.saturating_duration_since(served).as_secs_f64();
        match &mut self.interval {
            Some(interval) => *interval += (sample - *interval) * INTERVAL_WEIGHT,
            None => self.interval = Some(sample),
        }
    }

    fn drop_empty(&mut self) {
        self.tenants.retain(|tenant_queue| !tenant_queue.waiters.is_empty());
        if self.len == 0 {
            self.deficit = self.deficit.min(0.0);
        }
    }
}
