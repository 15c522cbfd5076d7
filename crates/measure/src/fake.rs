//! One fake target: its slots, the queue before them, and its faults.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch::core::{Clock, ids::ShardName, target::Phase};

use crate::virtual_time::VirtualTime;

/// The waiting calls beyond which a target sheds.
pub const QUEUE_LIMIT: usize = 16;
/// How much slower a cold target is, and for how many calls.
pub const COLD: (f64, u32) = (8.0, 60);

/// The state of one target.
pub struct FakeTarget {
    pub shard: ShardName,
    /// The one-way delay to it.
    pub delay: Cell<Duration>,
    pub slots: Cell<u32>,
    /// How much slower it is than the others.
    pub factor: Cell<f64>,
    pub up: Cell<bool>,
    /// Whether nothing gets through to it.
    pub cut: Cell<bool>,
    pub phase: Cell<Phase>,
    /// Whether it reports no load whatever it does.
    pub hides_load: Cell<bool>,
    /// The calls that it serves slowly until it is warm.
    pub cold: Cell<u32>,
    /// The open connections that have gone silent.
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

    /// Ends the process; every call to it is cut off.
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

    /// Every connection that is open now goes silent.
    pub fn silence(&self) {
        self.silent.set(self.idle.get());
    }

    /// The mean share of calls beyond its slots.
    pub fn oversubscription(&self) -> f64 {
        let inner = self.inner.borrow();
        if inner.accounted == 0.0 { 0.0 } else { inner.excess / inner.accounted }
    }

    /// Forgets the oversubscription counted so far.
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

/// A call inside a target; dropping it leaves the slot.
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
        // A call may be given up just as its turn has come.
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

/// A connection in use; dropping it keeps it open for the next call.
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
