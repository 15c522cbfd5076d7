//! Replica selection for calls to a shard.
//!
//! [`LeastTime`] selects the replica with the shortest expected time to an answer, based on this
//! node's own observations. All slots of that replica may be taken: a call that waits a few
//! milliseconds for a fast replica is answered before one that starts at once on a straggler. The
//! load reported by targets is not used, as it is outdated or misleading.

use std::{cell::Cell, time::Duration};

use kumquatnotch_core::random::Random;

/// State of a replica that could run a call.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Number of calls in flight from this node.
    pub in_flight: u32,
    /// Maximum number of calls in flight from this node.
    pub slots: u32,
    /// Latency observed by this node; `None` before the first answer.
    pub latency: Option<Duration>,
    /// One-way delay to its data centre.
    pub delay: Duration,
    /// Load reported by the target.
    pub reported: u32,
    /// Time since a call last started on it.
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

/// Properties of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallProfile {
    /// Number of calls queued before it for the same shard.
    pub ahead: usize,
    /// Whether it is of the desk class.
    pub urgent: bool,
}

/// Result of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Start on the candidate with this index.
    Take(usize),
    /// Wait for a slot.
    Wait,
}

/// Selects the replica that runs a call.
pub trait Choice {
    /// Selects one of `candidates` with a free slot, or waits.
    fn pick(&self, candidates: &[Candidate], profile: CallProfile, random: &Random) -> Pick;
}

/// Round robin. The baseline.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: Cell<usize>,
}

impl Choice for RoundRobin {
    fn pick(&self, candidates: &[Candidate], _profile: CallProfile, _random: &Random) -> Pick {
        let start = self.next.get();
        self.next.set(start.wrapping_add(1));
        (0..candidates.len())
            .map(|step| start.wrapping_add(step) % candidates.len())
            .find(|index| candidates[*index].is_free())
            .map_or(Pick::Wait, Pick::Take)
    }
}

/// The least load as reported by targets. The second baseline.
#[derive(Debug, Default)]
pub struct ReportedLoad;

impl Choice for ReportedLoad {
    fn pick(&self, candidates: &[Candidate], _profile: CallProfile, random: &Random) -> Pick {
        let free = candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_free());
        free.min_by_key(|(_, candidate)| (candidate.reported, random.number()))
            .map_or(Pick::Wait, |(index, _)| Pick::Take(index))
    }
}

/// Latency assumed of a replica without answers, excluding its distance.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// A replica idle for longer gets one call, so that its recovery is noticed.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Likewise for calls of the desk class.
const URGENT_PROBE_IDLE: Duration = Duration::from_secs(4);
/// Share of calls given to a cold replica so that it warms up.
///
/// It is below the hedge budget, so that most of these calls can be hedged.
const WARMUP_SHARE: f64 = 0.02;

/// The shortest expected time to an answer.
#[derive(Debug, Default)]
pub struct LeastTime;

impl Choice for LeastTime {
    fn pick(&self, candidates: &[Candidate], profile: CallProfile, random: &Random) -> Pick {
        if let Some(index) = probe(candidates, profile, random) {
            return Pick::Take(index);
        }
        let warm = candidates.iter().any(|candidate| !candidate.warming);
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            // A cold replica gets its full share only if there is no warm one.
            if warm && candidate.warming {
                continue;
            }
            let time = expected_time(candidate, profile.ahead);
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

/// Returns the candidate that gets this call as a probe, to refresh its latency or warm it up.
fn probe(candidates: &[Candidate], profile: CallProfile, random: &Random) -> Option<usize> {
    if candidates.len() < 2 {
        return None;
    }
    let idle = if profile.urgent { URGENT_PROBE_IDLE } else { PROBE_IDLE };
    candidates.iter().position(|candidate| {
        let quiet = candidate.in_flight == 0 && candidate.is_free();
        let due = candidate.idle >= idle;
        quiet && (due || (candidate.warming && random.chance(WARMUP_SHARE)))
    })
}

/// Expected time to the answer, in seconds.
fn expected_time(candidate: &Candidate, ahead: usize) -> f64 {
    let latency = candidate.latency.unwrap_or(INITIAL_LATENCY + 2 * candidate.delay).as_secs_f64();
    let slots = f64::from(candidate.slots.clamp(1, 1_000_000));
    if candidate.is_free() {
        // Prefers the one with more free slots among replicas of equal latency.
        return latency * (1.0 + 0.5 * f64::from(candidate.in_flight) / slots);
    }
    latency * (1.0 + (ahead as f64 + 1.0) / slots)
}
