//! Slots of replicas and the queues of requests waiting for them.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch_core::{
    Error, Result,
    document::{Class, TargetSpec},
    ids::{Fingerprint, IndexVersion, ShardName, TargetName, TenantName},
    target::MIN_CALL_TIME,
};
use kumquatnotch_policy::{containment::Running, queue::Waiter};

use crate::{
    core::Core,
    selection::{IMMEDIATE_OFFER, Selection, SlotRequest},
    table::{Pending, Shard, Table, TargetSet},
};

/// How long slots of a shard are reserved for the desk class after its last request.
const DESK_RESERVE_PERIOD: Duration = Duration::from_millis(250);
/// Time past its deadline for which the reply of a sent exclusive call is awaited.
///
/// A call dropped at its deadline ends as "outcome unknown", although the reply may arrive shortly
/// after and the caller can still fetch it. The issuer waits equally long, so a longer time here
/// has no effect.
const EXCLUSIVE_GRACE: Duration = Duration::from_secs(2);

/// A request to run on one replica of a shard.
pub struct Work {
    pub shard: ShardName,
    /// `None` for an exclusive request.
    pub version: Option<IndexVersion>,
    pub tenant: TenantName,
    pub weight: u32,
    pub class: Class,
    pub body: String,
    pub limit: u32,
    pub fingerprint: Fingerprint,
    pub eligible: TargetSet,
    pub deadline: Instant,
    /// Whether the call may be hedged.
    pub hedgeable: bool,
    /// Whether it was sent to a target at least once.
    pub sent: Cell<bool>,
}

impl Work {
    pub fn is_exclusive(&self) -> bool {
        self.version.is_none()
    }

    /// Returns when a sent call is abandoned.
    pub fn call_end(&self) -> Instant {
        if self.is_exclusive() { self.deadline + EXCLUSIVE_GRACE } else { self.deadline }
    }
}

/// A slot of a replica, occupied by one call; dropping it releases the slot.
pub struct Slot {
    pub core: Rc<Core>,
    pub id: u64,
    pub target: TargetName,
    pub spec: Rc<TargetSpec>,
    /// Number of calls in flight to the replica, including this one.
    pub level: u32,
    pub started: Instant,
    /// Fingerprint of the suspect request that runs alone in the slot.
    pub suspect: Option<Fingerprint>,
    /// Whether the call ended other than by being abandoned.
    pub completed: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let elapsed = self.core.now().saturating_duration_since(self.started);
        self.core.release(self, (!self.completed).then_some(elapsed));
    }
}

/// Place in the queue of a shard; dropping it removes the waiter.
struct QueueGuard<'a> {
    core: &'a Core,
    shard: &'a ShardName,
    id: u64,
    alone: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.core.leave_queue(self);
    }
}

impl Core {
    /// Waits for a slot.
    pub async fn acquire(
        self: &Rc<Self>,
        work: &Rc<Work>,
        tried: &[TargetName],
        alone: bool,
    ) -> Result<Slot> {
        let (id, receiver) = match self.enqueue(work, tried, alone)? {
            Admission::Started(slot) => return Ok(slot),
            Admission::Waiting(id, receiver) => (id, receiver),
        };
        let since = self.now();
        let guard = QueueGuard { core: self, shard: &work.shard, id, alone };
        self.dispatch(&work.shard);
        let slot = receiver.await.unwrap_or(Err(Error::ExpiredInQueue));
        drop(guard);
        let wait = self.now().saturating_duration_since(since);
        self.meters.record_wait(&work.tenant, work.class, wait);
        slot
    }

    /// Takes a free slot of an untried replica for a hedged call of `work`.
    ///
    /// Queued calls take precedence unless `bypass_queue` is set.
    pub fn spare_slot(
        self: &Rc<Self>,
        work: &Work,
        tried: &[TargetName],
        bypass_queue: bool,
    ) -> Option<Slot> {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        if !bypass_queue && !table.shards.get(&work.shard)?.queue.is_empty() {
            return None;
        }
        let request = SlotRequest { work, tried, alone: false, id: 0, untried_only: true };
        let Selection::Start(name) =
            self.select_replica(&mut table, &request, IMMEDIATE_OFFER, now)
        else {
            return None;
        };
        Some(self.take_slot(&mut table, &name, work, false, now))
    }

    fn enqueue(
        self: &Rc<Self>,
        work: &Rc<Work>,
        tried: &[TargetName],
        alone: bool,
    ) -> Result<Admission> {
        let now = self.now();
        if work.deadline <= now + MIN_CALL_TIME {
            return Err(Error::ExpiredInQueue);
        }
        let id = self.next_serial();
        let mut table = self.table.borrow_mut();
        let shard = table.touch_shard(&work.shard, now, self.new_queue);
        if work.class == Class::Desk {
            shard.last_desk_request = Some(now);
        }
        let idle = shard.queue.is_empty();
        let request = SlotRequest { work, tried, alone, id, untried_only: false };
        match self.select_replica(&mut table, &request, IMMEDIATE_OFFER, now) {
            Selection::Start(name) if idle => {
                let slot = self.take_slot(&mut table, &name, work, alone, now);
                return Ok(Admission::Started(slot));
            }
            Selection::Never(error) => return Err(error),
            _ => {}
        }
        let rate = table.service_rate(&work.shard, self.options.holders, now);
        let shard = table.touch_shard(&work.shard, now, self.new_queue);
        let waiter = Waiter {
            id,
            class: work.class,
            tenant: work.tenant.clone(),
            weight: work.weight,
            since: now,
            deadline: work.deadline,
        };
        if let Err(error) = shard.queue.admit(&waiter, rate, now) {
            self.meters.refusals.increment(1);
            return Err(error);
        }
        let (sender, receiver) = oneshot::channel();
        shard.queue.push(waiter.clone());
        let (work, tried) = (work.clone(), tried.to_vec());
        shard.pending.insert(id, Pending { waiter, work, tried, alone, sender });
        Ok(Admission::Waiting(id, receiver))
    }

    /// Assigns free slots of a shard to its waiters.
    pub fn dispatch(self: &Rc<Self>, name: &ShardName) {
        // Dropping a slot releases it, which borrows the table. A slot whose waiter was
        // cancelled must therefore be dropped after this borrow has ended.
        let mut unclaimed = Vec::new();
        loop {
            let mut table = self.table.borrow_mut();
            let Some(mut shard) = table.shards.remove(name) else {
                break;
            };
            let more = self.dispatch_one(&mut table, &mut shard, &mut unclaimed);
            table.shards.insert(name.clone(), shard);
            if !more {
                break;
            }
        }
        drop(unclaimed);
    }

    fn dispatch_one(
        self: &Rc<Self>,
        table: &mut Table,
        shard: &mut Shard,
        unclaimed: &mut Vec<Result<Slot>>,
    ) -> bool {
        if shard.queue.is_empty() {
            return false;
        }
        let now = self.now();
        let mut chosen = None;
        let mut rejected = Vec::new();
        expire_waiters(shard, now);
        let Shard { queue, pending, last_desk_request, .. } = shard;
        let desk_active = last_desk_request
            .is_some_and(|at| now.saturating_duration_since(at) < DESK_RESERVE_PERIOD);
        let selected = queue.take(now, &mut |waiter, offer| {
            let Some(entry) = pending.get(&waiter.id) else {
                return true;
            };
            let request = SlotRequest::of(entry);
            if desk_active && !offer.guaranteed && self.is_reserved_for_desk(table, &request, now) {
                return false;
            }
            match self.select_replica(table, &request, offer, now) {
                Selection::Start(name) => chosen = Some(name),
                Selection::Wait => return false,
                Selection::Never(error) => {
                    rejected.push((waiter.clone(), error));
                    return false;
                }
            }
            true
        });
        let mut more = !rejected.is_empty();
        for (waiter, error) in rejected {
            queue.remove(&waiter);
            if let Some(entry) = pending.remove(&waiter.id) {
                let _ = entry.sender.send(Err(error));
            }
        }
        let Some(waiter) = selected else {
            return more;
        };
        more = true;
        let (Some(entry), Some(name)) = (pending.remove(&waiter.id), chosen) else {
            return more;
        };
        let slot = self.take_slot(table, &name, &entry.work, entry.alone, now);
        if let Err(slot) = entry.sender.send(Ok(slot)) {
            unclaimed.push(slot);
        }
        more
    }

    /// Takes a slot of the target `name`.
    fn take_slot(
        self: &Rc<Self>,
        table: &mut Table,
        name: &TargetName,
        work: &Work,
        alone: bool,
        now: Instant,
    ) -> Slot {
        let id = self.next_serial();
        let entry = table.entries.get_mut(name).expect("the replica was found in the table");
        let level = entry.replica.on_start(now);
        entry.limit.on_start(level);
        entry
            .running
            .push((id, Running { fingerprint: work.fingerprint, shard: work.shard.clone() }));
        if alone {
            entry.suspect_slot = Some(id);
            entry.reserved_for = None;
            table.running_suspects.insert(work.fingerprint);
        }
        let spec = entry.spec.clone();
        let core = self.clone();
        let suspect = alone.then_some(work.fingerprint);
        Slot {
            core,
            id,
            target: name.clone(),
            spec,
            level,
            started: now,
            suspect,
            completed: false,
        }
    }

    /// Releases a slot; `abandoned` is the time since the start of an abandoned call.
    fn release(self: &Rc<Self>, slot: &Slot, abandoned: Option<Duration>) {
        let now = self.now();
        let mut shards = Vec::new();
        {
            let mut table = self.table.borrow_mut();
            let Table { entries, running_suspects, schedule, .. } = &mut *table;
            if let Some(fingerprint) = &slot.suspect {
                running_suspects.remove(fingerprint);
            }
            let Some(entry) = entries.get_mut(&slot.target) else {
                return;
            };
            let Some(at) = entry.running.iter().position(|(id, _)| *id == slot.id) else {
                return;
            };
            let (_, running) = entry.running.swap_remove(at);
            entry.replica.on_end();
            if let Some(elapsed) = abandoned {
                if entry.on_abandoned(elapsed, now) {
                    schedule.push(&slot.target, now);
                }
                self.hedge.borrow_mut().on_latency(elapsed);
            }
            if entry.suspect_slot == Some(slot.id) {
                entry.suspect_slot = None;
            }
            shards.push(entry.spec.shard.clone());
            let held = entry.replica.held().iter().map(|held| &held.shard);
            for shard in held.chain(std::iter::once(&running.shard)) {
                if !shards.contains(shard) {
                    shards.push(shard.clone());
                }
            }
        }
        for shard in &shards {
            self.dispatch(shard);
        }
    }

    fn leave_queue(&self, guard: &QueueGuard<'_>) {
        let mut table = self.table.borrow_mut();
        let Table { shards, entries, .. } = &mut *table;
        if guard.alone {
            let entries = entries.values_mut();
            let reserved = entries.filter(|entry| entry.reserved_for == Some(guard.id));
            reserved.for_each(|entry| entry.reserved_for = None);
        }
        let Some(shard) = shards.get_mut(guard.shard) else {
            return;
        };
        if let Some(entry) = shard.pending.remove(&guard.id) {
            shard.queue.remove(&entry.waiter);
        }
    }
}

/// Removes the waiters with less than [`MIN_CALL_TIME`] left until their deadline.
///
/// A slot released just before the deadline of a waiter would start a call whose result is
/// useless. An exclusive request would then run after its caller was notified that it expired.
pub fn expire_waiters(shard: &mut Shard, now: Instant) {
    for waiter in shard.queue.expire(now + MIN_CALL_TIME) {
        if let Some(entry) = shard.pending.remove(&waiter.id) {
            let _ = entry.sender.send(Err(Error::ExpiredInQueue));
        }
    }
}

enum Admission {
    Started(Slot),
    Waiting(u64, oneshot::Receiver<Result<Slot>>),
}
