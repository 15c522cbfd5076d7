//! When a second copy of a late call is sent.
//!
//! A call that is later than most others gets a copy on another replica; the
//! first answer wins and the other call is cancelled. [`QuantileHedge`] learns
//! what "late" means from the answers of all replicas together, and pays for
//! each copy out of a budget that grows with the calls, so that the extra load
//! stays at a few per cent even if everything is late.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The decision when a second copy of a call is sent.
pub trait Hedge {
    /// A first copy was sent.
    fn on_call(&mut self);

    /// A call was answered after `latency`, or was given up after it.
    fn on_latency(&mut self, latency: Duration);

    /// How long a call may last before a copy is sent; `None` for never.
    fn delay(&self) -> Option<Duration>;

    /// Whether a copy may be sent now; the budget pays for it.
    fn spend(&mut self) -> bool;
}

/// No copies: the baseline.
#[derive(Debug, Default)]
pub struct NoHedge;

impl Hedge for NoHedge {
    fn on_call(&mut self) {}

    fn on_latency(&mut self, _latency: Duration) {}

    fn delay(&self) -> Option<Duration> {
        None
    }

    fn spend(&mut self) -> bool {
        false
    }
}

/// Copies after a fixed delay without a budget: the second baseline.
#[derive(Debug)]
pub struct FixedHedge(pub Duration);

impl Hedge for FixedHedge {
    fn on_call(&mut self) {}

    fn on_latency(&mut self, _latency: Duration) {}

    fn delay(&self) -> Option<Duration> {
        Some(self.0)
    }

    fn spend(&mut self) -> bool {
        true
    }
}

/// Options of a [`QuantileHedge`].
#[derive(Clone, Debug)]
pub struct HedgeOptions {
    /// The quantile of latency after which a call is late.
    pub quantile: f64,
    /// The copies allowed for each call.
    pub budget: f64,
}

impl Default for HedgeOptions {
    fn default() -> HedgeOptions {
        HedgeOptions { quantile: 0.97, budget: 0.025 }
    }
}

/// The answers after which the older half of what was learned is forgotten.
const WINDOW: u64 = 4096;
/// The answers before the first copy, and between two readings of the quantile.
const UPDATE_INTERVAL: u64 = 64;
/// The most copies saved up.
///
/// It pays for the calls that a whole data centre holds when it is cut off.
const MAX_TOKENS: f64 = 100.0;
/// The longest delay, as a multiple of the median.
///
/// If more replicas are slow than the quantile leaves out, the quantile is
/// their latency and copies would come too late to help.
const MAX_MEDIANS: u32 = 4;
/// The shortest delay.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Copies after a learned quantile, out of a budget.
#[derive(Debug)]
pub struct QuantileHedge {
    options: HedgeOptions,
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    unread_samples: u64,
    delay: Option<Duration>,
    tokens: f64,
}

impl Default for QuantileHedge {
    fn default() -> QuantileHedge {
        QuantileHedge::new(HedgeOptions::default())
    }
}

impl QuantileHedge {
    /// A hedge that has learned nothing yet.
    pub fn new(options: HedgeOptions) -> QuantileHedge {
        QuantileHedge {
            options,
            recent: new_histogram(),
            previous: new_histogram(),
            unread_samples: 0,
            delay: None,
            tokens: 0.0,
        }
    }

    fn update_delay(&mut self) {
        self.unread_samples = 0;
        let source = if self.previous.is_empty() { &self.recent } else { &self.previous };
        let late = source.value_at_quantile(self.options.quantile);
        let median = source.value_at_quantile(0.5);
        let late = late.min(median * u64::from(MAX_MEDIANS));
        self.delay = Some(Duration::from_micros(late).max(MIN_DELAY));
        if self.recent.len() >= WINDOW / 2 {
            std::mem::swap(&mut self.recent, &mut self.previous);
            self.recent.reset();
        }
    }
}

impl Hedge for QuantileHedge {
    fn on_call(&mut self) {
        self.tokens = (self.tokens + self.options.budget).min(MAX_TOKENS);
    }

    fn on_latency(&mut self, latency: Duration) {
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        self.recent.saturating_record(micros);
        self.unread_samples += 1;
        if self.unread_samples >= UPDATE_INTERVAL {
            self.update_delay();
        }
    }

    fn delay(&self) -> Option<Duration> {
        self.delay
    }

    fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_US, 2).expect("the bounds are constants that fit")
}
