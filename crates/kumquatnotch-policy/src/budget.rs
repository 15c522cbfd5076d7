//! Retry budget: how often requests are sent more than once.
//!
//! In any window, all nodes together may send each service a limited number of repeats (retries and
//! hedges): a fraction of its requests, and a fixed number. Each node applies the fraction to its
//! own requests and takes its share of the fixed number, so that the total holds without a shared
//! counter.
//!
//! What was sent within the window counts, also by a node that has ended since and by the earlier
//! life of one that has started again. So a share that grows, or starts from nothing, is used only
//! after a window: until then, others may have spent that part.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::ServiceName};

/// Number of steps of a window.
const STEPS: usize = 10;

/// Used share of the allowance.
///
/// The platform's windows slide continuously, while these advance in steps; the rest covers the
/// difference of one step.
const USED_SHARE: f64 = 0.85;

/// Options of [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetOptions {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Additional repeats allowed, by all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Budget for repeats, by service.
pub struct Budget {
    options: Cell<BudgetOptions>,
    start: Instant,
    shares: Cell<ShareHistory>,
    windows: RefCell<HashMap<ServiceName, Window>>,
}

/// Shares of this node in the current window.
#[derive(Clone, Copy, Debug)]
struct ShareHistory {
    step: u64,
    /// Smallest share in each step.
    smallest: [f64; STEPS],
    latest: f64,
}

impl ShareHistory {
    fn new(share: f64) -> ShareHistory {
        ShareHistory { step: 0, smallest: [share; STEPS], latest: share }
    }

    /// Begins a step, with the latest share.
    fn advance(&mut self, step: u64) {
        let passed = step.saturating_sub(self.step).min(STEPS as u64);
        for past in 0..passed {
            self.smallest[((step - past) % STEPS as u64) as usize] = self.latest;
        }
        self.step = self.step.max(step);
    }

    fn set(&mut self, share: f64) {
        let smallest = &mut self.smallest[(self.step % STEPS as u64) as usize];
        *smallest = smallest.min(share);
        self.latest = share;
    }

    /// The share that this node may use.
    fn usable(&self) -> f64 {
        self.smallest.iter().copied().fold(self.latest, f64::min)
    }
}

#[derive(Debug, Default)]
struct Window {
    step: u64,
    originals: [u32; STEPS],
    repeats: [u32; STEPS],
}

impl Window {
    /// Clears the steps that have left the window.
    fn advance(&mut self, step: u64) {
        let passed = step.saturating_sub(self.step).min(STEPS as u64);
        for past in 0..passed {
            let index = ((step - past) % STEPS as u64) as usize;
            self.originals[index] = 0;
            self.repeats[index] = 0;
        }
        self.step = self.step.max(step);
    }

    fn index(&self) -> usize {
        (self.step % STEPS as u64) as usize
    }
}

impl Budget {
    /// Creates an unspent budget of a node that has not run before.
    pub fn new(options: BudgetOptions, start: Instant) -> Budget {
        Budget::with_share(options, start, 1.0)
    }

    /// Creates the budget of a node that may have run before, and may have spent its part.
    pub fn after_restart(options: BudgetOptions, start: Instant) -> Budget {
        Budget::with_share(options, start, 0.0)
    }

    fn with_share(options: BudgetOptions, start: Instant, share: f64) -> Budget {
        let shares = Cell::new(ShareHistory::new(share));
        Budget { options: Cell::new(options), start, shares, windows: RefCell::default() }
    }

    /// Sets this node's share of the fixed number, from zero to one.
    pub fn set_share(&self, share: f64, now: Instant) {
        let mut shares = self.shares.get();
        shares.advance(self.step(now));
        shares.set(share);
        self.shares.set(shares);
    }

    fn step(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.start);
        (passed.as_nanos() * STEPS as u128 / self.options.get().window.as_nanos()) as u64
    }

    /// Part of the fixed number that this node may use.
    fn own_slack(&self) -> f64 {
        self.options.get().slack * self.shares.get().usable()
    }

    /// Sets the repeats allowed per request, and the fixed number allowed in addition.
    pub fn set_allowance(&self, ratio: f64, slack: f64) {
        self.options.set(BudgetOptions { ratio, slack, ..self.options.get() });
    }

    /// Records the first attempt of a request.
    pub fn note_first(&self, service: &ServiceName, now: Instant) {
        self.with_window(service, now, |window| {
            let index = window.index();
            window.originals[index] += 1;
        });
    }

    /// Takes a repeat out of the budget; false if the budget is used up.
    pub fn spend(&self, service: &ServiceName, now: Instant) -> bool {
        let (ratio, slack) = (self.options.get().ratio, self.own_slack());
        self.with_window(service, now, |window| {
            let originals: u32 = window.originals.iter().sum();
            let repeats: u32 = window.repeats.iter().sum();
            let allowance = USED_SHARE * (ratio * f64::from(originals) + slack);
            if f64::from(repeats + 1) > allowance {
                return false;
            }
            let index = window.index();
            window.repeats[index] += 1;
            true
        })
    }

    /// Spent fraction of the repeats allowed in the current window, at most one.
    pub fn spent(&self, service: &ServiceName, now: Instant) -> f64 {
        let (ratio, slack) = (self.options.get().ratio, self.own_slack());
        self.with_window(service, now, |window| {
            let originals: u32 = window.originals.iter().sum();
            let repeats: u32 = window.repeats.iter().sum();
            let allowance = USED_SHARE * (ratio * f64::from(originals) + slack);
            (f64::from(repeats) / allowance.max(1.0)).min(1.0)
        })
    }

    fn with_window<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        work: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let step = self.step(now);
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.advance(step);
        work(window)
    }
}
