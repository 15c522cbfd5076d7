//! How many calls may be in flight to a replica.
//!
//! A replica has a few slots; how many is not told, differs between vendors and
//! changes. [`LearnedLimit`] finds it from latencies alone. As long as there is
//! a free slot, a call takes as long as it would alone; past the slots, the
//! `n`th call is_queueing, and latency grows by a factor of `n / (n - 1)` for each
//! level. So the mean latency is kept for each level of in-flight calls, and
//! the limit is the last level before that growth. A replica that is slow at
//! every level keeps its limit, which a plain bound on latency would shrink.

use std::time::{Duration, Instant};

/// A bound on the calls in flight to one replica.
pub trait Limit {
    /// The most calls that may be in flight, the next one included.
    fn allowed(&self) -> u32;

    /// A call started and became the `level`th in flight.
    fn on_start(&mut self, level: u32);

    /// A call that started as the `level`th was answered after `latency`.
    fn on_answer(&mut self, level: u32, latency: Duration, now: Instant);

    /// The replica refused a call that would have been the `level`th.
    fn on_shed(&mut self, level: u32, now: Instant);
}

/// The part of `allowed` that each of `holders` may use, at least one.
pub fn share(allowed: u32, holders: u32) -> u32 {
    (allowed / holders.max(1)).max(1)
}

/// No bound: the baseline.
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

/// A bound that an operator guessed: the second baseline.
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

/// The limit of a replica that nothing is known of.
const INITIAL_LIMIT: u32 = 2;
/// The highest limit that is ever learned.
const MAX_LIMIT: u32 = 64;
/// How many answers lie between two trials of a neighbouring level.
const PROBE_INTERVAL: u32 = 64;
/// The longest memory of a level, in answers.
const MAX_MEMORY: f64 = 512.0;
/// The memory of the fast mean, in answers.
const FAST_MEMORY: f64 = 32.0;
/// The rise of the fast mean over the slow one that starts the learning afresh.
const JUMP_FACTOR: f64 = 1.35;
/// The time after which a level's mean counts for half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The time after which a level that was not met is tried on purpose.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// The time without trials after the replica refused a call.
const SHED_PAUSE: Duration = Duration::from_secs(5);
/// The time between two cuts for refusals, as several come at once.
const SHED_GAP: Duration = Duration::from_millis(100);
/// The longest sample taken, as a multiple of the mean, so that a stall isn't learned.
const CLIP_FACTOR: f64 = 4.0;

/// A limit that is learned from answers.
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
        // One call at the neighbouring level is enough for a trial.
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

    /// Starts afresh once latency at the usual level has jumped.
    ///
    /// Slots that a target loses show as a jump at the level we hold it at. The
    /// lower levels, by which the slots are told, aren't met under load, so the
    /// old means would keep the limit too high for minutes.
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

    /// Raises the limit level by level until calls begin to wait.
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
            // The level below was never met, so nothing can be told yet.
            None if self.limit == 1 => self.limit = 2,
            None => self.probe = Probe::Down,
        }
    }

    /// Moves the limit by one if the means of its neighbours say so.
    fn adjust(&mut self, now: Instant) {
        // The two bounds differ, so that noise doesn't move the limit to and fro.
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

    /// Whether `level` was not met lately.
    ///
    /// Holding calls back to meet it costs them time, so that is left to loads
    /// under which it never comes about by itself.
    fn is_stale(&self, level: u32, now: Instant) -> bool {
        let at = self.levels.get(level as usize).and_then(|level| level.at);
        at.is_none_or(|at| now.saturating_duration_since(at) > STALE_AFTER)
    }

    /// Whether calls at `level` wait for a slot; `None` if that can't be told yet.
    ///
    /// `bound` is the part of the growth by waiting that counts as waiting.
    fn is_queueing(&self, level: u32, bound: f64, now: Instant) -> Option<bool> {
        let top = self.levels.get(level as usize)?;
        if level < 2 || top.mean.count < min_samples(level) {
            return None;
        }
        let baseline = self.baseline(level, now)?;
        let growth = 1.0 / f64::from(level - 1);
        Some(top.mean.value > baseline * (1.0 + bound * growth))
    }

    /// The mean latency below `level`, recent levels counting more.
    fn baseline(&self, level: u32, now: Instant) -> Option<f64> {
        let mut sum = 0.0;
        let mut weight = 0.0;
        let mut count = 0.0;
        for lower in self.levels.iter().take(level as usize) {
            let Some(at) = lower.at else { continue };
            let age = now.saturating_duration_since(at).as_secs_f64();
            let part = lower.mean.count * 0.5f64.powf(age / HALF_LIFE.as_secs_f64());
            sum += lower.mean.value * part;
            weight += part;
            count += lower.mean.count;
        }
        let least = min_samples(level).min(16.0);
        (count >= least && weight > 0.0).then(|| sum / weight)
    }
}

/// The answers at `level` after which its mean is trusted.
///
/// Waiting adds a part of `1 / (level - 1)`, so the error of the mean has to
/// shrink with the level; it shrinks with the root of the answers.
fn min_samples(level: u32) -> f64 {
    let gap = f64::from(level.max(2) - 1);
    (8.0 * gap * gap).clamp(16.0, MAX_MEMORY)
}
