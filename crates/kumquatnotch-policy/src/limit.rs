//! Concurrency limit per replica.
//!
//! A replica has a few slots. Their number is not reported, differs between vendors and changes.
//! [`LearnedLimit`] derives it from latencies alone. While there is a free slot, a call takes as
//! long as it would alone. Beyond the slots, the `n`th call is queued, and latency grows by a
//! factor of `n / (n - 1)` per level. The mean latency is therefore tracked for each level of
//! in-flight calls, and the limit is the last level before that growth. A replica that is slow at
//! every level keeps its limit, which a plain latency threshold would reduce.

use std::time::{Duration, Instant};

/// Limit on the calls in flight to one replica.
pub trait Limit {
    /// Maximum number of calls in flight, including the next one.
    fn allowed(&self) -> u32;

    /// Records the start of a call that became the `level`th in flight.
    fn on_start(&mut self, level: u32);

    /// Records an answer to a call that started as the `level`th, after `latency`.
    fn on_answer(&mut self, level: u32, latency: Duration, now: Instant);

    /// Records that the replica refused a call that would have been the `level`th.
    fn on_shed(&mut self, level: u32, now: Instant);
}

/// The share of `allowed` that each of `holders` may use, at least one.
pub fn share(allowed: u32, holders: u32) -> u32 {
    (allowed / holders.max(1)).max(1)
}

/// No limit. The baseline.
#[derive(Debug, Default)]
pub struct NoLimit;

impl Limit for NoLimit {
    fn allowed(&self) -> u32 {
        u32::MAX
    }

    fn on_start(&mut self, _level: u32) {}

    fn on_answer(&mut self, _level: u32, _latency: Duration, _now: Instant) {}

    fn on_shed(&mut self, _level: u32, _now: Instant) {}
}

/// A fixed limit set by an operator. The second baseline.
#[derive(Debug)]
pub struct FixedLimit(pub u32);

impl Limit for FixedLimit {
    fn allowed(&self) -> u32 {
        self.0
    }

    fn on_start(&mut self, _level: u32) {}

    fn on_answer(&mut self, _level: u32, _latency: Duration, _now: Instant) {}

    fn on_shed(&mut self, _level: u32, _now: Instant) {}
}

/// Initial limit of an unknown replica.
const INITIAL_LIMIT: u32 = 2;
/// Maximum limit.
const MAX_LIMIT: u32 = 64;
/// Number of answers between two probes of a neighbouring level.
const PROBE_INTERVAL: u32 = 64;
/// Maximum number of answers in the mean of a level.
const MAX_MEMORY: f64 = 512.0;
/// Number of answers in the fast mean.
const FAST_MEMORY: f64 = 32.0;
/// Ratio of the fast to the slow mean that restarts learning.
const JUMP_FACTOR: f64 = 1.35;
/// Half-life of a level's mean.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time without samples after which a level is probed.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Time without probes after the replica refused a call.
const SHED_PAUSE: Duration = Duration::from_secs(5);
/// Minimum time between two reductions after refusals, as several arrive at once.
const SHED_GAP: Duration = Duration::from_millis(100);
/// Maximum sample as a multiple of the mean, so that a stall is not learned.
const CLIP_FACTOR: f64 = 4.0;

/// A limit learned from latencies.
#[derive(Debug)]
pub struct LearnedLimit {
    limit: u32,
    climbing: bool,
    levels: Vec<Level>,
    fast: Mean,
    answers: u32,
    probe: Probe,
    probe_down_next: bool,
    shed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Probe {
    None,
    Up,
    Down,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, sample: f64, memory: f64) {
        self.count = (self.count + 1.0).min(memory);
        self.value += (sample - self.value) / self.count;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    mean: Mean,
    at: Option<Instant>,
}

impl Default for LearnedLimit {
    fn default() -> LearnedLimit {
        LearnedLimit {
            limit: INITIAL_LIMIT,
            climbing: true,
            levels: Vec::new(),
            fast: Mean::default(),
            answers: 0,
            probe: Probe::None,
            probe_down_next: false,
            shed_at: None,
        }
    }
}

impl Limit for LearnedLimit {
    fn allowed(&self) -> u32 {
        match self.probe {
            Probe::None => self.limit,
            Probe::Up => (self.limit + 1).min(MAX_LIMIT),
            Probe::Down => (self.limit - 1).max(1),
        }
    }

    fn on_start(&mut self, level: u32) {
        // A single call at the neighbouring level completes a probe.
        let done = match self.probe {
            Probe::None => false,
            Probe::Up => level > self.limit,
            Probe::Down => level + 1 >= self.limit,
        };
        if done {
            self.probe = Probe::None;
        }
    }

    fn on_answer(&mut self, level: u32, latency: Duration, now: Instant) {
        let sample = self.clip(latency.as_secs_f64());
        self.add_sample(level, sample, now);
        self.reset_on_jump(level, sample, now);
        if self.climbing {
            self.climb(now);
            return;
        }
        self.adjust(now);
        self.answers += 1;
        if self.answers >= PROBE_INTERVAL {
            self.answers = 0;
            self.start_probe(now);
        }
    }

    fn on_shed(&mut self, level: u32, now: Instant) {
        if self.shed_at.is_some_and(|at| now.saturating_duration_since(at) < SHED_GAP) {
            return;
        }
        self.shed_at = Some(now);
        self.climbing = false;
        self.probe = Probe::None;
        self.limit = self.limit.min(level.saturating_sub(1)).max(1);
    }
}

impl LearnedLimit {
    fn clip(&self, sample: f64) -> f64 {
        if self.fast.count < FAST_MEMORY / 2.0 {
            return sample;
        }
        sample.min(self.fast.value * CLIP_FACTOR)
    }

    fn add_sample(&mut self, level: u32, sample: f64, now: Instant) {
        let index = level.min(MAX_LIMIT + 1) as usize;
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        let memory = min_samples(level).max(128.0);
        self.levels[index].mean.add(sample, memory);
        self.levels[index].at = Some(now);
    }

    /// Restarts learning after a jump of the latency at the current limit.
    ///
    /// Slots lost by a target appear as such a jump. The lower levels, which would reveal the
    /// number of slots, do not occur under load, so the old means would keep the limit too high for
    /// minutes.
    fn reset_on_jump(&mut self, level: u32, sample: f64, now: Instant) {
        if level > self.limit {
            return;
        }
        self.fast.add(sample, FAST_MEMORY);
        let slow = self.baseline(self.limit + 1, now);
        let known = self.fast.count >= FAST_MEMORY && !self.climbing;
        let Some(slow) = slow.filter(|_| known) else {
            return;
        };
        if self.fast.value < slow * JUMP_FACTOR {
            return;
        }
        let limit = (self.limit / 2).max(1);
        let shed_at = self.shed_at;
        *self = LearnedLimit { limit, shed_at, ..LearnedLimit::default() };
    }

    /// Raises the limit level by level until calls queue.
    fn climb(&mut self, now: Instant) {
        let count = self.levels.get(self.limit as usize).map_or(0.0, |level| level.mean.count);
        if count < min_samples(self.limit) {
            return;
        }
        match self.is_queueing(self.limit, 0.5, now) {
            Some(true) => {
                self.limit = (self.limit - 1).max(1);
                self.climbing = false;
            }
            Some(false) if self.limit < MAX_LIMIT => self.limit += 1,
            Some(false) => self.climbing = false,
            // The level below never occurred, so queueing cannot be detected yet.
            None if self.limit == 1 => self.limit = 2,
            None => self.probe = Probe::Down,
        }
    }

    /// Moves the limit by one if the means of the neighbouring levels require it.
    fn adjust(&mut self, now: Instant) {
        // The thresholds differ, so that noise does not make the limit oscillate.
        if self.is_queueing(self.limit, 0.65, now) == Some(true) {
            self.limit = (self.limit - 1).max(1);
            return;
        }
        if self.limit < MAX_LIMIT && self.is_queueing(self.limit + 1, 0.35, now) == Some(false) {
            self.limit += 1;
        }
    }

    fn start_probe(&mut self, now: Instant) {
        self.probe_down_next = !self.probe_down_next;
        let shed = self.shed_at.is_some_and(|at| now.saturating_duration_since(at) < SHED_PAUSE);
        self.probe = match self.probe_down_next {
            true if self.limit > 1 && self.is_stale(self.limit - 1, now) => Probe::Down,
            _ if shed => Probe::None,
            _ => Probe::Up,
        };
    }

    /// Whether `level` has not occurred recently.
    ///
    /// A probe downwards delays calls, so it is reserved for loads under which the level never
    /// occurs by itself.
    fn is_stale(&self, level: u32, now: Instant) -> bool {
        let at = self.levels.get(level as usize).and_then(|level| level.at);
        at.is_none_or(|at| now.saturating_duration_since(at) > STALE_AFTER)
    }

    /// Whether calls at `level` queue for a slot; `None` if that is not known yet.
    ///
    /// `bound` is the fraction of the growth by queueing that counts as queueing.
    fn is_queueing(&self, level: u32, bound: f64, now: Instant) -> Option<bool> {
        let top = self.levels.get(level as usize)?;
        if level < 2 || top.mean.count < min_samples(level) {
            return None;
        }
        let baseline = self.baseline(level, now)?;
        let growth = 1.0 / f64::from(level - 1);
        Some(top.mean.value > baseline * (1.0 + bound * growth))
    }

    /// Mean latency below `level`, weighted towards recent levels.
    fn baseline(&self, level: u32, now: Instant) -> Option<f64> {
        let mut sum = 0.0;
        let mut weight = 0.0;
        let mut count = 0.0;
        for lower in self.levels.iter().take(level as usize) {
            let Some(at) = lower.at else { continue };
            let age = now.saturating_duration_since(at).as_secs_f64();
            let level_weight = lower.mean.count * 0.5f64.powf(age / HALF_LIFE.as_secs_f64());
            sum += lower.mean.value * level_weight;
            weight += level_weight;
            count += lower.mean.count;
        }
        let least = min_samples(level).min(16.0);
        (count >= least && weight > 0.0).then(|| sum / weight)
    }
}

/// Number of answers at `level` after which its mean is reliable.
///
/// Queueing adds a fraction of `1 / (level - 1)`, so the error of the mean must shrink as the level
/// grows; it shrinks with the square root of the number of answers.
fn min_samples(level: u32) -> f64 {
    let gap = f64::from(level.max(2) - 1);
    (8.0 * gap * gap).clamp(16.0, MAX_MEMORY)
}
