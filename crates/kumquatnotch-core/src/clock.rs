//! The clock abstraction.
//!
//! All time in the tier comes from a [`Clock`]. Production uses the clock of the
//! monoio runtime; tests use a [`PausedClock`] and advance it explicitly. This
//! module exists because monoio has no clock that can be paused.

use std::{
    cell::RefCell,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use crate::{Error, LocalFuture, Result, suspension};

/// A source of time.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Completes when `deadline` is reached.
    fn sleep_until(&self, deadline: Instant) -> LocalFuture<'static, ()>;
}

/// Maximum time that a sleeper waits before it checks the clock again.
///
/// The timers of the runtime do not advance while the VM is suspended, so this bounds how far
/// past its deadline a request that was in flight during a suspension can run.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Recheck interval of sleeps that are longer than any request.
///
/// A node has thousands of idle connections, each with such a sleep, so they wake rarely.
const LONG_RECHECK_INTERVAL: Duration = Duration::from_secs(15);

/// The clock of the monoio runtime, corrected for the time for which the VM was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        Instant::now() + suspension::suspended_time()
    }

    fn sleep_until(&self, deadline: Instant) -> LocalFuture<'static, ()> {
        Box::pin(async move {
            loop {
                let left = deadline.saturating_duration_since(RuntimeClock.now());
                if left.is_zero() {
                    return;
                }
                let interval = if left > LONG_RECHECK_INTERVAL {
                    LONG_RECHECK_INTERVAL
                } else {
                    left.min(RECHECK_INTERVAL)
                };
                monoio::time::sleep(interval).await;
            }
        })
    }
}

/// Completes when `span` has elapsed.
pub fn sleep(clock: &dyn Clock, span: Duration) -> LocalFuture<'static, ()> {
    clock.sleep_until(clock.now() + span)
}

/// Runs `work` until `deadline`; fails with [`Error::TimedOut`] if that is reached first.
pub async fn timeout_at<T>(
    clock: &dyn Clock,
    deadline: Instant,
    work: impl Future<Output = T>,
) -> Result<T> {
    let work = std::pin::pin!(work);
    let timer = clock.sleep_until(deadline);
    match futures_util::future::select(work, timer).await {
        futures_util::future::Either::Left((value, _)) => Ok(value),
        futures_util::future::Either::Right(_) => Err(Error::TimedOut),
    }
}

/// Yields to the other tasks of the thread, so that each runs once.
///
/// A future that merely wakes itself is polled again before any other task: the
/// runtime puts it at the head of its queue, or polls it in a loop if it is the
/// main future. Awaiting an empty task at the tail of the queue lets all other
/// tasks run first.
pub async fn yield_now() {
    monoio::spawn(std::future::ready(())).await;
}

/// Number of times [`PausedClock::drive`] yields to other tasks before it advances the time.
const SETTLE_ROUNDS: usize = 64;

/// A clock for tests that only moves when it is advanced.
#[derive(Clone, Debug)]
pub struct PausedClock {
    state: Rc<RefCell<PausedState>>,
}

#[derive(Debug)]
struct PausedState {
    now: Instant,
    sleepers: Vec<(Instant, Waker)>,
}

impl Default for PausedClock {
    fn default() -> PausedClock {
        let state = PausedState { now: Instant::now(), sleepers: Vec::new() };
        PausedClock { state: Rc::new(RefCell::new(state)) }
    }
}

impl PausedClock {
    /// Advances the time by `span` and wakes all sleepers that are due.
    pub fn advance(&self, span: Duration) {
        let due: Vec<Waker> = {
            let mut state = self.state.borrow_mut();
            state.now += span;
            let now = state.now;
            let (due, rest) = state.sleepers.drain(..).partition(|(at, _)| *at <= now);
            state.sleepers = rest;
            let due: Vec<(Instant, Waker)> = due;
            due.into_iter().map(|(_, waker)| waker).collect()
        };
        due.into_iter().for_each(Waker::wake);
    }

    /// Returns the time at which the next sleeper is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.state.borrow().sleepers.iter().map(|(at, _)| *at).min()
    }

    /// Runs `work` to completion, advancing the time whenever all tasks wait for the clock.
    ///
    /// Requires a runtime if `work` spawns tasks. Does not return if `work` waits for
    /// anything other than this clock.
    pub async fn drive<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            for _ in 0..SETTLE_ROUNDS {
                let poll = std::future::poll_fn(|context| Poll::Ready(work.as_mut().poll(context)));
                if let Poll::Ready(value) = poll.await {
                    return value;
                }
                yield_now().await;
            }
            self.advance_to_next();
        }
    }

    /// Advances the time to the next sleeper; returns false if there is none.
    pub fn advance_to_next(&self) -> bool {
        let Some(due) = self.next_due() else {
            return false;
        };
        self.advance(due.saturating_duration_since(self.now()));
        true
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        self.state.borrow().now
    }

    fn sleep_until(&self, deadline: Instant) -> LocalFuture<'static, ()> {
        Box::pin(PausedSleep { clock: self.clone(), deadline, waker: None })
    }
}

struct PausedSleep {
    clock: PausedClock,
    deadline: Instant,
    waker: Option<Waker>,
}

impl Future for PausedSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let clock = self.clock.clone();
        let mut state = clock.state.borrow_mut();
        if state.now >= self.deadline {
            return Poll::Ready(());
        }
        // The sleeper stays registered until it is due, so a later poll registers
        // it again only if it comes from another task.
        if !self.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            state.sleepers.push((self.deadline, context.waker().clone()));
            drop(state);
            self.waker = Some(context.waker().clone());
        }
        Poll::Pending
    }
}
