//! Admission: which requests are refused at once under overload.
//!
//! A request that will wait until its caller has given up costs capacity and
//! helps nobody. What holders say of the wait for a slot, set against the time a
//! request can wait, gives the pressure on its class. Between a low and a high
//! mark requests are refused by chance, more of them as the pressure rises, so
//! that the queues stay filled and the refusals do not come in waves. A tenant
//! above its share of what runs here is refused more, one below it less.
//!
//! A wait that holders foretell is too short where more urgent requests keep
//! overtaking. So each class has a gate besides, which closes while requests that
//! were taken in starve in queues, and opens again slowly.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, document::Class, ids::TenantName, random::Random};

/// A request that asks to be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its tenant.
    pub tenant: TenantName,
    /// The tenant's share against other tenants.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// How long it can wait and still be of use.
    pub max_wait: Duration,
}

/// Decides which requests are taken in.
pub trait Admission {
    /// Takes the request in, or tells when to come back.
    fn enter(&self, now: Instant, request: &AdmissionRequest) -> Result<(), Duration>;

    /// A request that was taken in has ended.
    fn leave(&self, request: &AdmissionRequest);

    /// A holder says how long requests of `class` wait for a slot.
    fn observe_wait(&self, now: Instant, class: Class, wait: Duration);

    /// A request of `class` that was taken in has ended; it was `starved` if it was
    /// given up while it waited for slots.
    fn on_end(&self, now: Instant, class: Class, starved: bool);

    /// How long requests of `class` wait now, as far as is known.
    fn wait(&self, now: Instant, class: Class) -> Duration;

    /// How many requests run.
    fn running(&self) -> usize;
}

/// Where refusals of a class begin and where everything is refused, as shares of
/// the time that a request can wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Below this nothing is refused.
    pub low: f64,
    /// From here on everything is.
    pub high: f64,
    /// The share of [`AdmissionOptions::max_running`] that the class may fill.
    pub capacity_share: f64,
}

/// Options of [`GradedAdmission`].
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// The thresholds by class, the most urgent first.
    pub thresholds: [Thresholds; 3],
    /// How many requests run at once at most.
    pub max_running: usize,
    /// In which time an observed wait counts half.
    pub half_life: Duration,
    /// How often a gate moves.
    pub gate_interval: Duration,
    /// The share of starved requests up to which a gate opens.
    pub max_starved: f64,
    /// The shortest time to come back.
    pub min_retry: Duration,
    /// The longest time to come back.
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

/// The weight of a wait that is longer, or shorter, than the one known.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.1;
/// By how much a gate opens in a turn at first, and how far it closes at most.
const OPEN_STEP: f64 = 0.01;
const MIN_OPEN: f64 = 0.02;
/// The turns in a row without starving after which it opens twice as fast.
///
/// Where the load stays too high, requests starve again before that, and the gate
/// stays about where it should be. A shortage that has passed, as of a shard with
/// one replica draining and a straggler for the other, must not cost refusals for
/// many seconds more.
const CALM_INTERVALS: f64 = 4.0;
/// A turn with fewer requests than this is judged as if it had as many; else the
/// one request of a quiet turn that starves would close half of the gate.
const MIN_ENDED: u32 = 8;
/// How much of the starved share a gate closes by in a turn.
const CLOSE_FACTOR: f64 = 0.5;
/// With fewer requests than this, shares of tenants mean nothing.
const MIN_RUNNING: usize = 4;

/// Refuses by class, wait and share.
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

/// The share of a class's requests that may enter.
#[derive(Clone, Copy)]
struct Gate {
    open: f64,
    ended: u32,
    starved: u32,
    /// The turns without starving since the last one with it.
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
    /// An admission with nothing running.
    pub fn new(options: AdmissionOptions, random: Random) -> GradedAdmission {
        GradedAdmission { options, random, state: RefCell::default() }
    }

    /// The chance of being refused, from zero to one, before shares.
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

    /// The wait of a class; a less urgent one never waits less than a more urgent.
    fn seconds(&self, state: &State, now: Instant, class: Class) -> f64 {
        let waits = state.waits.iter().take(class as usize + 1);
        waits.map(|wait| wait.decayed(now, self.options.half_life)).fold(0.0, f64::max)
    }

    fn retry(&self, wait: f64, pressure: f64) -> Duration {
        let span = Duration::from_secs_f64(wait * (1.0 + pressure));
        let AdmissionOptions { min_retry, max_retry, .. } = self.options;
        // Callers that were refused together must not come back together.
        self.random.jitter(span.clamp(min_retry * 2, max_retry)).clamp(min_retry, max_retry)
    }
}

impl Admission for GradedAdmission {
    fn enter(&self, now: Instant, request: &AdmissionRequest) -> Result<(), Duration> {
        let mut state = self.state.borrow_mut();
        // Where almost all are refused hardly any ends, and the gate would not move.
        state.gates[request.class as usize].update_if_due(now, &self.options);
        let pressure = self.pressure(&state, now, request);
        if pressure > 0.0 {
            let chance = pressure * state.share_ratio(&request.tenant, request.weight);
            // At full pressure nobody enters, whatever its share.
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
    /// What was seen, fading with time: if everything is refused nobody brings
    /// news, and the class must open again by itself.
    fn decayed(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.seconds * (-age / half_life.as_secs_f64()).exp2()
    }
}

impl State {
    /// How far a tenant is above (more than one) or below its share of what runs.
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

/// Takes everything in; the baseline.
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
