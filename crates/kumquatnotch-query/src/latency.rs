//! Recent spans of time and their quantiles.
//!
//! Two histograms take turns: the older half of what is known is dropped at a
//! time, so that a change of load shows after a few seconds without a sample
//! being stored by itself.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// After this time or this many samples the older histogram is dropped.
const ROTATE_AFTER: Duration = Duration::from_secs(10);
const ROTATE_SAMPLES: u64 = 4_000;
/// Fewer samples than this tell nothing about a quantile.
const MIN_SAMPLES: u64 = 32;
/// The longest span kept, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Recent spans of time.
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

/// Two significant digits are enough for a delay.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_US, 2).expect("the bounds are constants that fit")
}

impl Latency {
    /// Takes a span that was observed.
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

    /// The quantile of recent spans; `None` while too few are known.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let state = self.state.borrow();
        // The current histogram alone, once it tells enough; before, the last one.
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
