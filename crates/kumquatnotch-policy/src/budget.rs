//! The budget for sending a request more than once.
//!
//! All nodes together may send each service only so many repeats in any window:
//! a share of its requests, and a fixed number. Each node keeps to that share of
//! its own requests and to its part of the fixed number, so that the sum holds
//! without a shared counter.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::ServiceName};

/// Into how many steps a window is cut.
const STEPS: usize = 10;

/// The part of the allowance that is used.
///
/// Windows of the platform slide, while those here move in steps; the rest pays
/// for the difference of one step.
const USED_PART: f64 = 0.85;

/// Options of [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetOptions {
    /// The repeats allowed for each request.
    pub ratio: f64,
    /// The repeats allowed besides, by all nodes together.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The budget for repeats, by service.
pub struct Budget {
    options: Cell<BudgetOptions>,
    start: Instant,
    part: Cell<f64>,
    windows: RefCell<HashMap<ServiceName, Window>>,
}

#[derive(Debug, Default)]
struct Window {
    step: u64,
    originals: [u32; STEPS],
    repeats: [u32; STEPS],
}

impl Window {
    /// Forgets the steps that have left the window.
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
    /// A budget from which nothing was spent.
    pub fn new(options: BudgetOptions, start: Instant) -> Budget {
        let part = Cell::new(1.0);
        let options = Cell::new(options);
        Budget { options, start, part, windows: RefCell::default() }
    }

    /// Sets the part of the fixed number that is for this node, from zero to one.
    pub fn set_part(&self, part: f64) {
        self.part.set(part);
    }

    /// Sets the repeats allowed for each request, and those allowed besides.
    pub fn set_allowance(&self, ratio: f64, slack: f64) {
        self.options.set(BudgetOptions { ratio, slack, ..self.options.get() });
    }

    /// Notes the first sending of a request.
    pub fn note_first(&self, service: &ServiceName, now: Instant) {
        self.with_window(service, now, |window| {
            let index = window.index();
            window.originals[index] += 1;
        });
    }

    /// Pays for a repeat; false if the budget is used up.
    pub fn spend(&self, service: &ServiceName, now: Instant) -> bool {
        let BudgetOptions { ratio, slack, .. } = self.options.get();
        let slack = slack * self.part.get();
        self.with_window(service, now, |window| {
            let originals: u32 = window.originals.iter().sum();
            let repeats: u32 = window.repeats.iter().sum();
            let allowance = USED_PART * (ratio * f64::from(originals) + slack);
            if f64::from(repeats + 1) > allowance {
                return false;
            }
            let index = window.index();
            window.repeats[index] += 1;
            true
        })
    }

    /// Which part of the repeats allowed in this window has been spent, up to one.
    pub fn spent(&self, service: &ServiceName, now: Instant) -> f64 {
        let BudgetOptions { ratio, slack, .. } = self.options.get();
        let slack = slack * self.part.get();
        self.with_window(service, now, |window| {
            let originals: u32 = window.originals.iter().sum();
            let repeats: u32 = window.repeats.iter().sum();
            let allowance = USED_PART * (ratio * f64::from(originals) + slack);
            (f64::from(repeats) / allowance.max(1.0)).min(1.0)
        })
    }

    fn with_window<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        work: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let passed = now.saturating_duration_since(self.start);
        let step =
            (passed.as_nanos() * STEPS as u128 / self.options.get().window.as_nanos()) as u64;
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.advance(step);
        work(window)
    }
}
