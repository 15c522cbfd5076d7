//! The queue that serves by class, tenant and deadline.
//!
//! Classes are served by urgency, with a small share assured to the lesser
//! ones; within a class, tenants share by weight; within a tenant, the earliest
//! deadline goes first. A request that would wait for too much of its time is
//! refused at once with the time to come back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Error, Result, document::Class, ids::TenantName};

use crate::queue::{MAX_OFFERS, ServiceRate, SlotOffer, WaitQueue, Waiter};

/// The slots out of a hundred assured to each class while others wait too.
///
/// Without them a desk that never pauses would keep the audits from ever ending.
const GUARANTEED_SHARE: [f64; 3] = [1.0, 0.10, 0.03];
/// The slots owed to a class at which it goes before less urgent waiters only.
const GUARANTEE_DEFICIT: f64 = 1.0;
/// The slots owed to a class at which it goes before everyone, the desk too.
///
/// A burst at the desk passes long before; only a desk that fills every slot for
/// good lets the debt grow this high.
const STARVATION_DEFICIT: f64 = 10.0;
/// The slots that a class may have had beyond its assured ones.
const MAX_CREDIT: f64 = 10.0;
/// The share of its time that a request may be expected to wait.
const MAX_WAIT_SHARE: f64 = 0.5;
/// The most waiters of one shard.
const MAX_WAITERS: usize = 4096;
/// The weight of a new interval in the moving mean.
const INTERVAL_WEIGHT: f64 = 0.1;
/// The shortest time that a refused caller is told to stay away.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Classes by urgency, tenants by weight, requests by deadline.
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
        // More urgent requests that are still to come show in the interval at
        // which this class is being served, not in the queue.
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
        // A tenant that comes back starts level with the others: what it left
        // unused is expired, so it can't claim every slot for a while.
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

    /// Offers a slot to the waiters in order; the first that it fits.
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

    /// The place that a new request of `tenant` would have in this class.
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

    /// Makes `tenant` pay for a slot by its weight.
    fn charge(&mut self, tenant: &TenantName) {
        if let Some(tenant_queue) =
            self.tenants.iter_mut().find(|tenant_queue| tenant_queue.tenant == *tenant)
        {
            self.virtual_time = self.virtual_time.max(tenant_queue.pass);
            tenant_queue.pass += 1.0 / tenant_queue.weight;
        }
    }

    /// Learns the interval at which this class is served while it waits.
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
