//! The state of a replica as observed by this node.
//!
//! Local observations take precedence: how calls ended, how long they took, whether a probe
//! succeeded. What the target reports about itself is a hint. Only unfavourable reports (draining,
//! cold) are trusted, and "cold" only until the target has answered enough calls.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName},
    random::Random,
    target::{HeldVersion, Phase, TargetStatus},
};

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of a new latency after a pause, when the average is outdated.
const STALE_WEIGHT: f64 = 0.5;
/// Time without answers after which the average is outdated.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Maximum latency recorded for a cancelled call, in seconds.
const MAX_LATENCY_S: f64 = 2.0;
/// Backoff after the first failure to connect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff.
///
/// After a mass restart, a recovered target stays idle until its next connection attempt while all
/// others are overloaded. A refused connection attempt is cheap by comparison.
const MAX_BACKOFF: Duration = Duration::from_millis(150);
/// Number of answers after which a restarted replica counts as warm.
pub const WARM_ANSWERS: u32 = 32;

/// Number of answers after which the latency of a restarted replica reflects its slots.
const SETTLED_ANSWERS: u32 = 64;

/// Whether a replica can be given a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// It can.
    Ready,
    /// It accepts no new work.
    Draining,
    /// It could not be reached.
    Down,
    /// It refuses calls until this time.
    Shedding(Instant),
}

/// Observed state of one replica.
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
    /// Returns whether it can be given a call now.
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

    /// Whether it serves `shard` at `version`; `None` before the first probe.
    pub fn holds(&self, shard: &ShardName, version: IndexVersion) -> Option<bool> {
        let held = self.held.as_ref()?;
        Some(held.iter().any(|held| held.version == version && held.shard == *shard))
    }

    /// Whether it serves `shard` at any version; `None` before the first probe.
    pub fn serves(&self, shard: &ShardName) -> Option<bool> {
        let held = self.held.as_ref()?;
        Some(held.iter().any(|held| held.shard == *shard))
    }

    /// The versions it holds.
    pub fn held(&self) -> &[HeldVersion] {
        self.held.as_deref().unwrap_or_default()
    }

    /// Whether a probe of it has succeeded.
    pub fn is_probed(&self) -> bool {
        self.held.is_some()
    }

    /// Whether its latencies are those of warm caches.
    pub fn is_settled(&self) -> bool {
        !self.restarted || self.answers > SETTLED_ANSWERS
    }

    /// Number of calls in flight to it from this node.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average of its latency.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// The time since a call last started on it.
    pub fn idle(&self, now: Instant) -> Duration {
        self.last_start.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// When it last answered a call or probe.
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// Load reported by the target.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Phase reported by the target.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When to try to connect again.
    pub fn down_until(&self) -> Option<Instant> {
        self.down_until
    }

    /// Incarnation of its process, if known.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Records the start of a call; returns the number of calls in flight.
    pub fn on_start(&mut self, now: Instant) -> u32 {
        self.in_flight += 1;
        self.last_start = Some(now);
        self.in_flight
    }

    /// Records the end of a call, whatever its outcome.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records an answer.
    pub fn on_answer(&mut self, latency: Duration, reported: u32, now: Instant) {
        let stale =
            self.last_answer.is_none_or(|at| now.saturating_duration_since(at) > STALE_AFTER);
        self.on_heard(now);
        self.reported = reported;
        self.answers = self.answers.saturating_add(1);
        let weight = if stale { STALE_WEIGHT } else { LATENCY_WEIGHT };
        self.add_latency(latency.as_secs_f64(), weight);
    }

    /// Records a call that was cancelled after `elapsed` because another replica answered first.
    pub fn on_cancelled(&mut self, elapsed: Duration) {
        // The true latency is unknown, but longer than `elapsed`. The known mean is taken as the
        // remaining time, as for an exponentially distributed (memoryless) service time. If
        // cancelled calls were ignored, a straggler whose calls are always won by their hedges
        // would keep its low latency.
        let elapsed = elapsed.as_secs_f64();
        let mean = self.latency.unwrap_or(elapsed);
        self.add_latency((elapsed + mean).min(MAX_LATENCY_S), LATENCY_WEIGHT);
    }

    /// Records that it refused a call and asked to retry after this time.
    pub fn on_shed(&mut self, retry: Duration, now: Instant) {
        self.on_heard(now);
        self.shed_until = Some(now + retry);
    }

    /// Records that it is draining, as reported by itself or another node.
    pub fn on_draining(&mut self) {
        self.phase = Phase::Draining;
    }

    /// Records that it does not hold a version.
    pub fn on_version_gone(&mut self, shard: &ShardName, version: IndexVersion) {
        let held = self.held.get_or_insert_default();
        held.retain(|held| held.version != version || held.shard != *shard);
    }

    /// Records a failure to connect, or a crash.
    pub fn on_unreachable(&mut self, now: Instant, random: &Random) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        // All nodes observe a mass restart at once. Without jitter they would reconnect in step,
        // and each connection costs the target milliseconds.
        self.down_until = Some(now + random.jitter(backoff.min(MAX_BACKOFF)));
    }

    /// Records a successful probe; returns whether the target has restarted since the last one.
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

/// Decides whether a replica is warming up.
pub trait Warmup {
    /// Whether it should get only a small share of calls.
    fn is_warming(&self, replica: &Replica) -> bool;
}

/// Gives every replica its full share at once. The baseline.
#[derive(Debug, Default)]
pub struct NoWarmup;

impl Warmup for NoWarmup {
    fn is_warming(&self, _replica: &Replica) -> bool {
        false
    }
}

/// Treats a cold or restarted replica as warming up until it has answered a few calls.
///
/// After that, its latency shows whether it is slow, so a target that always reports itself as cold
/// is not limited for ever.
#[derive(Debug, Default)]
pub struct GradualWarmup;

impl Warmup for GradualWarmup {
    fn is_warming(&self, replica: &Replica) -> bool {
        let new = replica.restarted || replica.phase == Phase::Cold;
        new && replica.answers < WARM_ANSWERS
    }
}
