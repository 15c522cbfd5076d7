//! Quantiles of recent latencies.
//!
//! Two histograms are rotated: the older one is dropped as a whole, so that a change of
//! load takes effect after a few seconds without storing individual samples.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// Age or number of samples at which the histograms are rotated.
const ROTATE_AFTER: Duration = Duration::from_secs(10);
const ROTATE_SAMPLES: u64 = 4_000;
/// Minimum number of samples for a meaningful quantile.
const MIN_SAMPLES: u64 = 32;
/// Longest recorded latency, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Recent latencies.
pub(crate) struct Latency {
    state: RefCell<State>,
}

struct State {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    since: Option<Instant>,
}

impl Default for Latency {
    fn default() -> Latency {
        let state = State { current: histogram(), previous: histogram(), since: None };
        Latency { state: RefCell::new(state) }
    }
}

/// Creates a histogram with two significant digits, which suffice for a delay.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_US, 2).expect("histogram bounds are valid constants")
}

impl Latency {
    /// Records a latency.
    pub fn record(&self, now: Instant, span: Duration) {
        let mut state = self.state.borrow_mut();
        let since = *state.since.get_or_insert(now);
        if now.saturating_duration_since(since) > ROTATE_AFTER
            || state.current.len() >= ROTATE_SAMPLES
        {
            state.rotate(now);
        }
        state.current.saturating_record(span.as_micros().clamp(1, MAX_US as u128) as u64);
    }

    /// Returns a quantile of the recent latencies; `None` if there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let state = self.state.borrow();
        // The current histogram if it has enough samples, or else the previous one.
        let has_enough = |histogram: &&Histogram<u32>| histogram.len() >= MIN_SAMPLES;
        let histogram = [&state.current, &state.previous].into_iter().find(has_enough)?;
        Some(Duration::from_micros(histogram.value_at_quantile(quantile)))
    }
}

impl State {
    fn rotate(&mut self, now: Instant) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.since = Some(now);
    }
}
