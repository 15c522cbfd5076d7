//! Which replica of a shard runs a call.
//!
//! [`LeastTime`] takes the replica from which the answer is expected first, by
//! this node's own observations. That may be one whose slots are all taken: a
//! call that waits a few milliseconds for a quick replica is answered before
//! one that starts at once on a straggler. What targets report of their load is
//! not used, as it lags or misleads.

use std::{cell::Cell, time::Duration};

use kumquatnotch_core::random::Random;

/// What is known of a replica that could run a call.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The calls in flight to it from here.
    pub in_flight: u32,
    /// The most calls that may be in flight from here.
    pub slots: u32,
    /// The latency observed from here; `None` before the first answer.
    pub latency: Option<Duration>,
    /// The one-way delay to its data centre.
    pub delay: Duration,
    /// The load by its own word.
    pub reported: u32,
    /// The time since a call last started on it.
    pub idle: Duration,
    /// Whether its caches are still cold.
    pub warming: bool,
}

impl Candidate {
    /// Whether a call could start on it now.
    pub fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }
}

/// What is known of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallProfile {
    /// The calls that wait for the same shard before it.
    pub ahead: usize,
    /// Whether a caller waits at the desk for it.
    pub urgent: bool,
}

/// A choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Start on the candidate of this index.
    Take(usize),
    /// Wait for a slot.
    Wait,
}

/// The decision which replica runs a call.
pub trait Choice {
    /// Picks one of `candidates`, of those with a free slot only.
    fn pick(&self, candidates: &[Candidate], need: CallProfile, random: &Random) -> Pick;
}

/// Each in turn: the baseline.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: Cell<usize>,
}

impl Choice for RoundRobin {
    fn pick(&self, candidates: &[Candidate], _need: CallProfile, _random: &Random) -> Pick {
        let start = self.next.get();
        self.next.set(start.wrapping_add(1));
        (0..candidates.len())
            .map(|step| start.wrapping_add(step) % candidates.len())
            .find(|index| candidates[*index].is_free())
            .map_or(Pick::Wait, Pick::Take)
    }
}

/// The least load by the targets' own word: the second baseline.
#[derive(Debug, Default)]
pub struct ReportedLoad;

impl Choice for ReportedLoad {
    fn pick(&self, candidates: &[Candidate], _need: CallProfile, random: &Random) -> Pick {
        let free = candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_free());
        free.min_by_key(|(_, candidate)| (candidate.reported, random.number()))
            .map_or(Pick::Wait, |(index, _)| Pick::Take(index))
    }
}

/// The latency assumed of a replica that has not answered yet, without its distance.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// A replica idle for longer gets one call, so that its recovery is seen.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// The same for calls that someone waits for at the desk.
const URGENT_PROBE_IDLE: Duration = Duration::from_secs(4);
/// The share of calls given to a cold replica, so that it gets warm.
///
/// It lies below the hedge budget, so that most of them can be rescued.
const WARMUP_SHARE: f64 = 0.02;

/// The least expected time to the answer.
#[derive(Debug, Default)]
pub struct LeastTime;

impl Choice for LeastTime {
    fn pick(&self, candidates: &[Candidate], need: CallProfile, random: &Random) -> Pick {
        if let Some(index) = probe(candidates, need, random) {
            return Pick::Take(index);
        }
        let warm = candidates.iter().any(|candidate| !candidate.warming);
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            // A cold replica is used in full only if there is no warm one.
            if warm && candidate.warming {
                continue;
            }
            let time = expected_time(candidate, need.ahead);
            if best.is_none_or(|(least, _)| time < least) {
                best = Some((time, index));
            }
        }
        match best {
            Some((_, index)) if candidates[index].is_free() => Pick::Take(index),
            _ => Pick::Wait,
        }
    }
}

/// The candidate that gets this call for the sake of knowing it.
fn probe(candidates: &[Candidate], need: CallProfile, random: &Random) -> Option<usize> {
    if candidates.len() < 2 {
        return None;
    }
    let idle = if need.urgent { URGENT_PROBE_IDLE } else { PROBE_IDLE };
    candidates.iter().position(|candidate| {
        let quiet = candidate.in_flight == 0 && candidate.is_free();
        let due = candidate.idle >= idle;
        quiet && (due || (candidate.warming && random.chance(WARMUP_SHARE)))
    })
}

/// The expected time to the answer, in seconds.
fn expected_time(candidate: &Candidate, ahead: usize) -> f64 {
    let latency = candidate.latency.unwrap_or(INITIAL_LATENCY + 2 * candidate.delay).as_secs_f64();
    let slots = f64::from(candidate.slots.clamp(1, 1_000_000));
    if candidate.is_free() {
        // Of equal replicas the one with more free slots is taken.
        return latency * (1.0 + 0.5 * f64::from(candidate.in_flight) / slots);
    }
    latency * (1.0 + (ahead as f64 + 1.0) / slots)
}
