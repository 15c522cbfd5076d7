//! What this node has observed of a replica.
//!
//! Own observations come first: how calls ended, how long they took, whether a
//! probe got through. What the target reports of itself is a hint. Only a
//! report against itself (draining, cold) is believed, and "cold" only until
//! enough of its own answers are in.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName},
    random::Random,
    target::{HeldVersion, Phase, TargetStatus},
};

/// The weight of a new latency in the moving mean.
const LATENCY_WEIGHT: f64 = 0.1;
/// The same after a pause, when the mean tells of other times.
const STALE_WEIGHT: f64 = 0.5;
/// The pause after which the mean is stale.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// The longest latency that is believed, in seconds.
const MAX_LATENCY_S: f64 = 2.0;
/// The time after the first failure to connect until the next trial.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest time between two trials.
///
/// After a mass restart a target that is back stands idle until its next trial,
/// while all others are overrun; a trial that is refused costs next to nothing.
const MAX_BACKOFF: Duration = Duration::from_millis(150);
/// The answers after which a replica that restarted counts as warm.
pub const WARM_ANSWERS: u32 = 32;

/// The answers after which the latency of a replica that restarted tells of its slots.
const SETTLED_ANSWERS: u32 = 64;

/// Whether a replica may be given a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// It may.
    Ready,
    /// It takes no new work.
    Draining,
    /// It could not be reached.
    Down,
    /// It refuses calls until this time.
    Shedding(Instant),
}

/// What is known of one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    in_flight: u32,
    latency: Option<f64>,
    last_start: Option<Instant>,
    last_answer: Option<Instant>,
    phase: Phase,
    reported: u32,
    shed_until: Option<Instant>,
    held: Option<Vec<HeldVersion>>,
    incarnation: Option<u64>,
    down_until: Option<Instant>,
    failures: u32,
    restarted: bool,
    answers: u32,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica {
            in_flight: 0,
            latency: None,
            last_start: None,
            last_answer: None,
            phase: Phase::Ready,
            reported: 0,
            shed_until: None,
            held: None,
            incarnation: None,
            down_until: None,
            failures: 0,
            restarted: false,
            answers: 0,
        }
    }
}

impl Replica {
    /// Whether it may be given a call now.
    pub fn fitness(&self, now: Instant) -> Fitness {
        if self.phase == Phase::Draining {
            return Fitness::Draining;
        }
        if self.down_until.is_some() {
            return Fitness::Down;
        }
        match self.shed_until {
            Some(until) if until > now => Fitness::Shedding(until),
            _ => Fitness::Ready,
        }
    }

    /// Whether it serves `shard` at `version`; `None` before it was probed.
    pub fn holds(&self, shard: &ShardName, version: IndexVersion) -> Option<bool> {
        let held = self.held.as_ref()?;
        Some(held.iter().any(|held| held.version == version && held.shard == *shard))
    }

    /// Whether it serves `shard` at any version; `None` before it was probed.
    pub fn serves(&self, shard: &ShardName) -> Option<bool> {
        let held = self.held.as_ref()?;
        Some(held.iter().any(|held| held.shard == *shard))
    }

    /// The versions it holds.
    pub fn held(&self) -> &[HeldVersion] {
        self.held.as_deref().unwrap_or_default()
    }

    /// Whether a probe has got through to it.
    pub fn is_probed(&self) -> bool {
        self.held.is_some()
    }

    /// Whether its latencies are those of warm caches.
    pub fn is_settled(&self) -> bool {
        !self.restarted || self.answers > SETTLED_ANSWERS
    }

    /// The calls in flight to it from here.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The moving mean of its latency.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// The time since a call last started on it.
    pub fn idle(&self, now: Instant) -> Duration {
        self.last_start.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// When it was last heard of.
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// The load by its own word.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// The phase by its own word.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When it is worth trying again to reach it.
    pub fn down_until(&self) -> Option<Instant> {
        self.down_until
    }

    /// The life of its process, if it was told.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// A call started; the level it has in flight.
    pub fn on_start(&mut self, now: Instant) -> u32 {
        self.in_flight += 1;
        self.last_start = Some(now);
        self.in_flight
    }

    /// A call ended, however it did.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// A call was answered.
    pub fn on_answer(&mut self, latency: Duration, reported: u32, now: Instant) {
        let stale =
            self.last_answer.is_none_or(|at| now.saturating_duration_since(at) > STALE_AFTER);
        self.on_heard(now);
        self.reported = reported;
        self.answers = self.answers.saturating_add(1);
        let weight = if stale { STALE_WEIGHT } else { LATENCY_WEIGHT };
        self.add_latency(latency.as_secs_f64(), weight);
    }

    /// A call was given up after `elapsed` because another replica answered first.
    pub fn on_cancelled(&mut self, elapsed: Duration) {
        // Its latency would have been longer, nobody knows by how much; the mean
        // it had is the guess, as for a service time without memory. Left out, a
        // straggler whose calls are always won by their copies would keep its
        // good name.
        let elapsed = elapsed.as_secs_f64();
        let mean = self.latency.unwrap_or(elapsed);
        self.add_latency((elapsed + mean).min(MAX_LATENCY_S), LATENCY_WEIGHT);
    }

    /// It refused a call for this time.
    pub fn on_shed(&mut self, retry: Duration, now: Instant) {
        self.on_heard(now);
        self.shed_until = Some(now + retry);
    }

    /// It, or another node, said that it is draining.
    pub fn on_draining(&mut self) {
        self.phase = Phase::Draining;
    }

    /// It said that it doesn't hold a version.
    pub fn on_version_gone(&mut self, shard: &ShardName, version: IndexVersion) {
        let held = self.held.get_or_insert_default();
        held.retain(|held| held.version != version || held.shard != *shard);
    }

    /// It could not be reached, or crashed.
    pub fn on_unreachable(&mut self, now: Instant, random: &Random) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        // All nodes see a mass restart at once; without chance they would come
        // back in step, and each connection costs the target milliseconds.
        self.down_until = Some(now + random.jitter(backoff.min(MAX_BACKOFF)));
    }

    /// A probe got through; whether the target has restarted since the last one.
    pub fn on_probe(&mut self, status: &TargetStatus, now: Instant) -> bool {
        let was_down = self.down_until.is_some();
        self.on_heard(now);
        let known = self.incarnation.replace(status.incarnation);
        let restarted = known.is_some_and(|known| known != status.incarnation);
        if restarted || was_down {
            self.restarted = true;
            self.answers = 0;
            self.latency = None;
            self.shed_until = None;
        }
        self.phase = status.phase;
        self.reported = status.load;
        self.held = Some(status.held.clone());
        restarted
    }

    fn on_heard(&mut self, now: Instant) {
        self.last_answer = Some(now);
        self.down_until = None;
        self.failures = 0;
    }

    fn add_latency(&mut self, sample: f64, weight: f64) {
        match &mut self.latency {
            Some(latency) => *latency += (sample - *latency) * weight,
            None => self.latency = Some(sample),
        }
    }
}

/// The decision whether a replica is to be warmed in.
pub trait Warmup {
    /// Whether it should get a small share of calls only.
    fn is_warming(&self, replica: &Replica) -> bool;
}

/// Every replica gets its full share at once: the baseline.
#[derive(Debug, Default)]
pub struct NoWarmup;

impl Warmup for NoWarmup {
    fn is_warming(&self, _replica: &Replica) -> bool {
        false
    }
}

/// A cold or restarted replica is warming until it has answered a few calls.
///
/// After these its own latency says whether it is slow; a target that calls
/// itself cold for ever is not believed for ever.
#[derive(Debug, Default)]
pub struct GradualWarmup;

impl Warmup for GradualWarmup {
    fn is_warming(&self, replica: &Replica) -> bool {
        let new = replica.restarted || replica.phase == Phase::Cold;
        new && replica.answers < WARM_ANSWERS
    }
}
