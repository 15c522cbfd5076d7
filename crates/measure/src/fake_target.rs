//! A fake target with slots, a queue and faults.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch::core::{Clock, ids::ShardName, target::Phase};

use crate::virtual_time::VirtualTime;

/// Number of queued calls at which a target starts to shed.
pub const QUEUE_LIMIT: usize = 16;
/// Slowdown factor of a cold target, and the number of calls that it applies to.
pub const COLD: (f64, u32) = (8.0, 60);

/// The state of a fake target.
pub struct FakeTarget {
    pub shard: ShardName,
    /// One-way network delay to the target.
    pub delay: Cell<Duration>,
    pub slots: Cell<u32>,
    /// Factor by which service times are multiplied.
    pub factor: Cell<f64>,
    pub up: Cell<bool>,
    /// Whether the network to the target is cut.
    pub cut: Cell<bool>,
    pub phase: Cell<Phase>,
    /// Whether it always reports a load of zero.
    pub hides_load: Cell<bool>,
    /// Number of slow calls left until the target is warm.
    pub cold: Cell<u32>,
    /// Number of idle connections that have gone silent.
    pub silent: Cell<u32>,
    pub incarnation: Cell<u64>,
    pub idle: Cell<u32>,
    pub inner: RefCell<Inner>,
}

#[derive(Default)]
pub struct Inner {
    running: u32,
    pub waiting: VecDeque<oneshot::Sender<()>>,
    pub aborts: HashMap<u64, oneshot::Sender<()>>,
    accounted_at: Option<Instant>,
    excess: f64,
    accounted: f64,
}

impl FakeTarget {
    pub fn new(shard: ShardName, delay: Duration, slots: u32) -> FakeTarget {
        FakeTarget {
            shard,
            delay: Cell::new(delay),
            slots: Cell::new(slots),
            factor: Cell::new(1.0),
            up: Cell::new(true),
            cut: Cell::new(false),
            phase: Cell::new(Phase::Ready),
            hides_load: Cell::new(false),
            cold: Cell::new(0),
            silent: Cell::new(0),
            incarnation: Cell::new(1),
            idle: Cell::new(0),
            inner: RefCell::default(),
        }
    }

    /// Stops the process and aborts all its calls.
    pub fn stop(&self) {
        self.up.set(false);
        self.idle.set(0);
        let mut inner = self.inner.borrow_mut();
        inner.waiting.clear();
        for (_, abort) in inner.aborts.drain() {
            let _ = abort.send(());
        }
    }

    /// Starts a new process, with cold caches.
    pub fn start(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.cold.set(COLD.1);
        self.phase.set(Phase::Ready);
        self.up.set(true);
    }

    /// Makes all idle connections silent.
    pub fn silence(&self) {
        self.silent.set(self.idle.get());
    }

    /// Returns the time-weighted mean number of calls beyond the slots, as a fraction of the
    /// slots.
    pub fn oversubscription(&self) -> f64 {
        let inner = self.inner.borrow();
        if inner.accounted == 0.0 { 0.0 } else { inner.excess / inner.accounted }
    }

    /// Resets the recorded oversubscription.
    pub fn reset_oversubscription(&self) {
        let mut inner = self.inner.borrow_mut();
        (inner.excess, inner.accounted) = (0.0, 0.0);
    }

    pub fn load(&self) -> u32 {
        let inner = self.inner.borrow();
        if self.hides_load.get() { 0 } else { inner.running + inner.waiting.len() as u32 }
    }

    fn account(&self, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let since = inner.accounted_at.replace(now).unwrap_or(now);
        let elapsed = (now - since).as_secs_f64();
        let active = inner.running + inner.waiting.len() as u32;
        let slots = self.slots.get();
        inner.excess += elapsed * f64::from(active.saturating_sub(slots)) / f64::from(slots);
        inner.accounted += elapsed;
    }

    pub fn acquire(&self, now: Instant) -> Option<oneshot::Receiver<()>> {
        self.account(now);
        let mut inner = self.inner.borrow_mut();
        if inner.running < self.slots.get() {
            inner.running += 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        inner.waiting.push_back(sender);
        Some(receiver)
    }

    fn release(&self, now: Instant) {
        self.account(now);
        let mut inner = self.inner.borrow_mut();
        inner.running -= 1;
        while inner.running < self.slots.get() {
            let Some(next) = inner.waiting.pop_front() else {
                return;
            };
            if next.send(()).is_ok() {
                inner.running += 1;
            }
        }
    }
}

/// A call that is queued or running at a target; dropping it frees its slot.
pub struct ActiveCall<'a> {
    pub fake: &'a FakeTarget,
    pub time: &'a VirtualTime,
    pub serial: u64,
    pub holds_slot: bool,
    pub pending_slot: Option<oneshot::Receiver<()>>,
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        let now = self.time.now();
        // The call may be dropped after its slot was granted but before it noticed.
        if let Some(pending_slot) = &mut self.pending_slot {
            self.holds_slot |= matches!(pending_slot.try_recv(), Ok(Some(())));
            pending_slot.close();
        }
        self.fake.account(now);
        self.fake.inner.borrow_mut().aborts.remove(&self.serial);
        if self.holds_slot {
            self.fake.release(now);
        } else {
            self.fake.inner.borrow_mut().waiting.retain(|waiting| !waiting.is_canceled());
        }
    }
}

/// A connection in use; dropping it returns it to the idle connections.
pub struct Connection<'a> {
    pub fake: &'a FakeTarget,
    pub incarnation: u64,
    pub broken: bool,
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        let fake = self.fake;
        if !self.broken && fake.up.get() && fake.incarnation.get() == self.incarnation {
            fake.idle.set(fake.idle.get() + 1);
        }
    }
}
