//! Admission control: which requests are refused at once under overload.
//!
//! A request that waits until its caller has given up wastes capacity. The queueing delay reported
//! by holders, relative to the time that a request can wait, gives the pressure on its class.
//! Between a low and a high threshold, requests are refused at random with a probability that rises
//! with the pressure, so that queues stay filled and refusals do not come in waves. A tenant above
//! its fair share of the running requests is refused more often, one below it less often.
//!
//! The delay predicted by holders is too short while more urgent requests keep overtaking. Each
//! class therefore also has a gate, which closes while admitted requests starve in queues, and
//! reopens gradually.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, document::Class, ids::TenantName, random::Random};

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its tenant.
    pub tenant: TenantName,
    /// Weight of the tenant relative to other tenants.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// Maximum time that the request can wait and still be of use.
    pub max_wait: Duration,
}

/// Decides which requests are admitted.
pub trait Admission {
    /// Admits the request, or returns the time after which to retry.
    fn enter(&self, now: Instant, request: &AdmissionRequest) -> Result<(), Duration>;

    /// Records that an admitted request has ended.
    fn leave(&self, request: &AdmissionRequest);

    /// Records the time that requests of `class` wait for a slot, as reported by a holder.
    fn observe_wait(&self, now: Instant, class: Class, wait: Duration);

    /// Records the end of an admitted request of `class`; `starved` if it was given up while it
    /// waited for slots.
    fn on_end(&self, now: Instant, class: Class, starved: bool);

    /// Estimated time that requests of `class` currently wait.
    fn wait(&self, now: Instant, class: Class) -> Duration;

    /// Number of running requests.
    fn running(&self) -> usize;
}

/// Refusal thresholds of a class, as fractions of the time that a request can wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Nothing is refused below this.
    pub low: f64,
    /// Everything is refused from here on.
    pub high: f64,
    /// Fraction of [`AdmissionOptions::max_running`] that the class may fill.
    pub capacity_share: f64,
}

/// Options of [`GradedAdmission`].
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// Thresholds by class, the most urgent first.
    pub thresholds: [Thresholds; 3],
    /// Maximum number of running requests.
    pub max_running: usize,
    /// Half-life of an observed wait.
    pub half_life: Duration,
    /// Interval between two updates of a gate.
    pub gate_interval: Duration,
    /// Maximum fraction of starved requests at which a gate still opens.
    pub max_starved: f64,
    /// Minimum retry delay.
    pub min_retry: Duration,
    /// Maximum retry delay.
    pub max_retry: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> AdmissionOptions {
        AdmissionOptions {
            thresholds: [
                Thresholds { low: 0.3, high: 0.9, capacity_share: 1.0 },
                Thresholds { low: 0.2, high: 0.6, capacity_share: 0.8 },
                Thresholds { low: 0.1, high: 0.4, capacity_share: 0.5 },
            ],
            max_running: 2_048,
            half_life: Duration::from_millis(200),
            gate_interval: Duration::from_millis(100),
            max_starved: 0.05,
            min_retry: Duration::from_millis(50),
            max_retry: Duration::from_secs(5),
        }
    }
}

/// Weights of an observed wait that is longer, or shorter, than the estimate.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.1;
/// Initial step by which a gate opens per interval, and its minimum opening.
const OPEN_STEP: f64 = 0.01;
const MIN_OPEN: f64 = 0.02;
/// Number of consecutive intervals without starvation after which a gate opens twice as fast.
///
/// Under lasting overload, requests starve again before that, and the gate stays about where it
/// should be. After a temporary shortage, such as a shard with one draining replica and a
/// straggler, the gate must not keep refusing requests for many seconds.
const CALM_INTERVALS: f64 = 4.0;
/// Minimum number of ended requests assumed per interval. Otherwise a single starved request in a
/// quiet interval would close half of the gate.
const MIN_ENDED: u32 = 8;
/// Fraction of the starved share by which a gate closes per interval.
const CLOSE_FACTOR: f64 = 0.5;
/// Minimum number of running requests at which tenant shares are compared.
const MIN_RUNNING: usize = 4;

/// Refuses requests by class, expected wait and tenant share.
pub struct GradedAdmission {
    options: AdmissionOptions,
    random: Random,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    waits: [WaitEstimate; 3],
    gates: [Gate; 3],
    running: usize,
    tenants: HashMap<TenantName, Running>,
}

#[derive(Clone, Copy, Default)]
struct WaitEstimate {
    seconds: f64,
    at: Option<Instant>,
}

/// Fraction of a class's requests that may enter.
#[derive(Clone, Copy)]
struct Gate {
    open: f64,
    ended: u32,
    starved: u32,
    /// Consecutive intervals without starvation.
    calm_intervals: u32,
    since: Option<Instant>,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate { open: 1.0, ended: 0, starved: 0, calm_intervals: 0, since: None }
    }
}

#[derive(Clone, Copy)]
struct Running {
    count: usize,
    weight: u32,
}

impl GradedAdmission {
    /// Creates an admission control without running requests.
    pub fn new(options: AdmissionOptions, random: Random) -> GradedAdmission {
        GradedAdmission { options, random, state: RefCell::default() }
    }

    /// Probability of refusal, from zero to one, before tenant shares are applied.
    fn pressure(&self, state: &State, now: Instant, request: &AdmissionRequest) -> f64 {
        let thresholds = self.options.thresholds[request.class as usize];
        let max_running = self.options.max_running as f64 * thresholds.capacity_share;
        if state.running as f64 >= max_running {
            return 1.0;
        }
        let wait = self.seconds(state, now, request.class);
        let ratio = wait / request.max_wait.as_secs_f64().max(f64::EPSILON);
        let by_wait =
            ((ratio - thresholds.low) / (thresholds.high - thresholds.low)).clamp(0.0, 1.0);
        by_wait.max(1.0 - state.gates[request.class as usize].open)
    }

    /// Estimated wait of a class in seconds, never less than that of a more urgent class.
    fn seconds(&self, state: &State, now: Instant, class: Class) -> f64 {
        let waits = state.waits.iter().take(class as usize + 1);
        waits.map(|wait| wait.decayed(now, self.options.half_life)).fold(0.0, f64::max)
    }

    fn retry(&self, wait: f64, pressure: f64) -> Duration {
        let span = Duration::from_secs_f64(wait * (1.0 + pressure));
        let AdmissionOptions { min_retry, max_retry, .. } = self.options;
        // Jitter keeps callers that were refused together from retrying together.
        self.random.jitter(span.clamp(min_retry * 2, max_retry)).clamp(min_retry, max_retry)
    }
}

impl Admission for GradedAdmission {
    fn enter(&self, now: Instant, request: &AdmissionRequest) -> Result<(), Duration> {
        let mut state = self.state.borrow_mut();
        // When almost everything is refused, hardly any request ends, and only this updates the
        // gate.
        state.gates[request.class as usize].update_if_due(now, &self.options);
        let pressure = self.pressure(&state, now, request);
        if pressure > 0.0 {
            let chance = pressure * state.share_ratio(&request.tenant, request.weight);
            // At full pressure nothing is admitted, whatever the tenant's share.
            if pressure >= 1.0 || self.random.chance(chance) {
                return Err(self.retry(self.seconds(&state, now, request.class), pressure));
            }
        }
        state.running += 1;
        let running = state
            .tenants
            .entry(request.tenant.clone())
            .or_insert(Running { count: 0, weight: request.weight });
        running.count += 1;
        running.weight = request.weight;
        Ok(())
    }

    fn leave(&self, request: &AdmissionRequest) {
        let mut state = self.state.borrow_mut();
        state.running = state.running.saturating_sub(1);
        let Some(running) = state.tenants.get_mut(&request.tenant) else {
            return;
        };
        running.count = running.count.saturating_sub(1);
        if running.count == 0 {
            state.tenants.remove(&request.tenant);
        }
    }

    fn observe_wait(&self, now: Instant, class: Class, wait: Duration) {
        let mut state = self.state.borrow_mut();
        let known = &mut state.waits[class as usize];
        let decayed = known.decayed(now, self.options.half_life);
        let seen = wait.as_secs_f64();
        let share = if seen > decayed { RISE_WEIGHT } else { FALL_WEIGHT };
        *known = WaitEstimate { seconds: decayed + share * (seen - decayed), at: Some(now) };
    }

    fn on_end(&self, now: Instant, class: Class, starved: bool) {
        let mut state = self.state.borrow_mut();
        let gate = &mut state.gates[class as usize];
        gate.ended += 1;
        gate.starved += u32::from(starved);
        gate.update_if_due(now, &self.options);
    }

    fn wait(&self, now: Instant, class: Class) -> Duration {
        Duration::from_secs_f64(self.seconds(&self.state.borrow(), now, class))
    }

    fn running(&self) -> usize {
        self.state.borrow().running
    }
}

impl Gate {
    fn update_if_due(&mut self, now: Instant, options: &AdmissionOptions) {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= options.gate_interval {
            self.update(now, options.max_starved);
        }
    }

    fn update(&mut self, now: Instant, max_starved: f64) {
        let share = f64::from(self.starved) / f64::from(self.ended.max(MIN_ENDED));
        let (open, calm_intervals) = if share > max_starved {
            ((self.open * (1.0 - CLOSE_FACTOR * share)).max(MIN_OPEN), 0)
        } else {
            let step = OPEN_STEP * (1.0 + f64::from(self.calm_intervals) / CALM_INTERVALS);
            ((self.open + step).min(1.0), self.calm_intervals.saturating_add(1))
        };
        *self = Gate { open, ended: 0, starved: 0, calm_intervals, since: Some(now) };
    }
}

impl WaitEstimate {
    /// The observed wait, decayed over time. When everything is refused no new waits are observed,
    /// and the class must reopen by itself.
    fn decayed(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.seconds * (-age / half_life.as_secs_f64()).exp2()
    }
}

impl State {
    /// Ratio of a tenant's running requests to its fair share.
    fn share_ratio(&self, tenant: &TenantName, weight: u32) -> f64 {
        if self.running < MIN_RUNNING {
            return 1.0;
        }
        let own = self.tenants.get(tenant).map_or(0, |running| running.count) as f64;
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let weights: u32 = others.map(|(_, running)| running.weight.max(1)).sum();
        let weight = f64::from(weight.max(1));
        let fair = weight / (weight + f64::from(weights));
        own / self.running as f64 / fair
    }
}

/// Admits everything. The baseline.
#[derive(Default)]
pub struct AdmitAll {
    running: RefCell<usize>,
}

impl Admission for AdmitAll {
    fn enter(&self, _now: Instant, _request: &AdmissionRequest) -> Result<(), Duration> {
        *self.running.borrow_mut() += 1;
        Ok(())
    }

    fn leave(&self, _request: &AdmissionRequest) {
        let mut running = self.running.borrow_mut();
        *running = running.saturating_sub(1);
    }

    fn observe_wait(&self, _now: Instant, _class: Class, _wait: Duration) {}

    fn on_end(&self, _now: Instant, _class: Class, _starved: bool) {}

    fn wait(&self, _now: Instant, _class: Class) -> Duration {
        Duration::ZERO
    }

    fn running(&self) -> usize {
        *self.running.borrow()
    }
}
