//! Virtual time, which advances only when all tasks are waiting for it.
//!
//! The paused clock of the core keeps its sleepers in a list and polls tasks a fixed number of
//! times, which is simple and sufficient for tests. A benchmark sleeps millions of times, so
//! this clock keeps the sleepers in a heap, and its executor detects when all tasks are idle.

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::BinaryHeap,
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use kumquatnotch::core::{Clock, LocalFuture};

/// A virtual clock with the executor that advances it.
#[derive(Clone)]
pub struct VirtualTime {
    state: Rc<RefCell<State>>,
    spawned: Rc<RefCell<Vec<Task>>>,
    tasks: Rc<RefCell<FuturesUnordered<Task>>>,
    start: Instant,
}

type Task = LocalFuture<'static, ()>;

struct State {
    now: Instant,
    serial: u64,
    sleepers: BinaryHeap<Reverse<Sleeper>>,
}

type WakerSlot = Rc<RefCell<Option<Waker>>>;

struct Sleeper {
    at: (Instant, u64),
    waker_slot: WakerSlot,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Sleeper) -> bool {
        self.at == other.at
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Sleeper) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Sleeper) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl Default for VirtualTime {
    fn default() -> VirtualTime {
        let start = Instant::now();
        let state = State { now: start, serial: 0, sleepers: BinaryHeap::new() };
        VirtualTime {
            state: Rc::new(RefCell::new(state)),
            spawned: Rc::default(),
            tasks: Rc::default(),
            start,
        }
    }
}

impl VirtualTime {
    /// Returns the virtual time since the creation of this clock.
    pub fn elapsed(&self) -> Duration {
        self.now() - self.start
    }

    /// Sleeps for `span`.
    pub fn sleep(&self, span: Duration) -> LocalFuture<'static, ()> {
        self.sleep_until(self.now() + span)
    }

    /// Spawns a task, which is polled by [`Self::run_for`].
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.spawned.borrow_mut().push(Box::pin(task));
    }

    /// Runs all tasks for `span` of virtual time.
    pub fn run_for(&self, span: Duration) {
        let end = self.now() + span;
        let flag = Arc::new(WakeFlag(AtomicBool::new(false)));
        let waker = Waker::from(flag.clone());
        let mut context = Context::from_waker(&waker);
        let mut tasks = self.tasks.borrow_mut();
        loop {
            tasks.extend(self.spawned.borrow_mut().drain(..));
            if let Poll::Ready(Some(())) = tasks.poll_next_unpin(&mut context) {
                continue;
            }
            let woken = flag.0.swap(false, Ordering::Relaxed);
            if woken || !self.spawned.borrow().is_empty() {
                continue;
            }
            if !self.advance(end) {
                return;
            }
        }
    }

    /// Advances to the next sleeper that is due by `end` and wakes it; otherwise advances to
    /// `end` and returns false.
    fn advance(&self, end: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        loop {
            let Some(Reverse(sleeper)) = state.sleepers.peek() else {
                return false;
            };
            let at = sleeper.at.0;
            let waker = sleeper.waker_slot.borrow_mut().take();
            if at > end {
                *sleeper.waker_slot.borrow_mut() = waker;
                state.now = end;
                return false;
            }
            state.sleepers.pop();
            let Some(waker) = waker else {
                continue;
            };
            state.now = state.now.max(at);
            drop(state);
            waker.wake();
            return true;
        }
    }
}

impl Clock for VirtualTime {
    fn now(&self) -> Instant {
        self.state.borrow().now
    }

    fn sleep_until(&self, deadline: Instant) -> LocalFuture<'static, ()> {
        Box::pin(Sleep { time: self.clone(), deadline, waker_slot: None })
    }
}

struct Sleep {
    time: VirtualTime,
    deadline: Instant,
    waker_slot: Option<WakerSlot>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.time.state.borrow_mut();
        if state.now >= self.deadline {
            return Poll::Ready(());
        }
        if let Some(waker_slot) = &self.waker_slot {
            *waker_slot.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        let waker_slot: WakerSlot = Rc::new(RefCell::new(Some(context.waker().clone())));
        state.serial += 1;
        let at = (self.deadline, state.serial);
        state.sleepers.push(Reverse(Sleeper { at, waker_slot: waker_slot.clone() }));
        drop(state);
        self.waker_slot = Some(waker_slot);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        // A dropped sleep must not advance the time.
        if let Some(waker_slot) = &self.waker_slot {
            waker_slot.borrow_mut().take();
        }
    }
}

struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}
