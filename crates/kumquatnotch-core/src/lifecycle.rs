//! The lifecycle stage of a node, shared between its services.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;

/// Minimum number of waiters at which those that were dropped are removed.
const MIN_PURGE_COUNT: usize = 64;

/// Fraction of the time for a shutdown that is kept free for the replies to ended requests.
const END_MARGIN_FRACTION: f64 = 1.0 / 48.0;

/// Maximum time that is kept free for them.
const MAX_END_MARGIN: Duration = Duration::from_millis(125);

/// Returns the time to keep free at the end of a shutdown that takes up to `total`, for the
/// replies to the requests that are ended.
pub fn end_margin(total: Duration) -> Duration {
    total.mul_f64(END_MARGIN_FRACTION).min(MAX_END_MARGIN)
}

/// The lifecycle stage of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Has no configuration in force yet and does not serve.
    Starting,
    /// Serves requests.
    Serving,
    /// Is no longer advertised to callers, but serves until earlier advice has expired.
    Leaving,
    /// Accepts no new requests and finishes the running ones.
    Closing,
    /// Replies to the requests that are still running that they were not finished, and exits.
    Ending,
}

/// The shared lifecycle stage, which only moves forward.
#[derive(Clone, Default)]
pub struct Lifecycle {
    shared: Rc<Shared>,
}

struct Shared {
    stage: Cell<Stage>,
    /// When the stage [`Stage::Ending`] begins, once the node leaves.
    ends_at: Cell<Option<Instant>>,
    waiters: RefCell<Vec<(Stage, oneshot::Sender<()>)>>,
    /// Number of waiters at which those that were dropped are removed.
    purge_count: Cell<usize>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared {
            stage: Cell::new(Stage::Starting),
            ends_at: Cell::new(None),
            waiters: RefCell::default(),
            purge_count: Cell::new(MIN_PURGE_COUNT),
        }
    }
}

impl Lifecycle {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.shared.stage.get()
    }

    /// Advances to `stage`; does nothing if the current stage is the same or later.
    pub fn advance(&self, stage: Stage) {
        if stage <= self.stage() {
            return;
        }
        self.shared.stage.set(stage);
        let mut waiters = self.shared.waiters.borrow_mut();
        // Dropping the sender wakes the waiter.
        waiters.retain(|(awaited, sender)| *awaited > stage && !sender.is_canceled());
    }

    /// Completes once `stage` or a later one is reached.
    pub async fn reached(&self, stage: Stage) {
        if self.stage() >= stage {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.shared.waiters.borrow_mut();
            if waiters.len() >= self.shared.purge_count.get() {
                waiters.retain(|(_, sender)| !sender.is_canceled());
                // Doubling makes the cost of each waiter constant on average.
                self.shared.purge_count.set(MIN_PURGE_COUNT.max(2 * waiters.len()));
            }
            waiters.push((stage, sender));
        }
        let _ = receiver.await;
    }

    /// Begins to leave: requests that are still running at `ends_at` will not be finished.
    pub fn leave(&self, ends_at: Instant) {
        self.shared.ends_at.set(Some(ends_at));
        self.advance(Stage::Leaving);
    }

    /// Returns when the node stops working on requests, or `None` if it does not leave.
    pub fn ends_at(&self) -> Option<Instant> {
        self.shared.ends_at.get()
    }

    /// Returns the time that a leaving node still has for requests, or `None` if it does not leave.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.ends_at().map(|end| end.saturating_duration_since(now))
    }
}
