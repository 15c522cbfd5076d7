//! Hedging: when a second copy of a slow call is sent.
//!
//! A call that is slower than most others is hedged by a copy on another replica; the first answer
//! wins and the other call is cancelled. [`QuantileHedge`] derives the hedge delay from the
//! latencies of all replicas together. Each hedge is paid out of a budget that grows with the
//! calls, so that the extra load stays at a few per cent even if every call is slow.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Decides when a hedge of a call is sent.
pub trait Hedge {
    /// Records the first attempt of a call.
    fn on_call(&mut self);

    /// Records the latency of a call that was answered, or given up after it.
    fn on_latency(&mut self, latency: Duration);

    /// Time after which a call is hedged; `None` for never.
    fn delay(&self) -> Option<Duration>;

    /// Takes a hedge out of the budget; false if the budget is used up.
    fn spend(&mut self) -> bool;
}

/// No hedges. The baseline.
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

/// Hedges after a fixed delay without a budget. The second baseline.
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
    /// Latency quantile after which a call is hedged.
    pub quantile: f64,
    /// Hedges allowed per call.
    pub budget: f64,
}

impl Default for HedgeOptions {
    fn default() -> HedgeOptions {
        HedgeOptions { quantile: 0.97, budget: 0.025 }
    }
}

/// Number of answers covered by both histograms; the older half is then discarded.
const WINDOW: u64 = 4096;
/// Number of answers before the first hedge, and between two updates of the delay.
const UPDATE_INTERVAL: u64 = 64;
/// Maximum number of hedges saved up.
///
/// It covers the calls in flight to a whole data centre when it is cut off.
const MAX_TOKENS: f64 = 100.0;
/// Maximum delay, as a multiple of the median.
///
/// If more replicas are slow than the quantile leaves out, the quantile is their latency and hedges
/// would be too late to help.
const MAX_MEDIANS: u32 = 4;
/// Minimum delay.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Maximum recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Hedges after a latency quantile, within a budget.
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
    /// Creates a hedge without recorded latencies.
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
    Histogram::new_with_max(MAX_LATENCY_US, 2).expect("histogram bounds are valid constants")
}
