//! The schedule of probes.
//!
//! Searching all targets for the next one after each probe would take time quadratic in their
//! number. Probe times are stored in a heap instead, and outdated entries are skipped when they
//! are due.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    ids::{ShardName, TargetName},
    target::Phase,
};

use crate::{
    HolderOptions,
    table::{Entry, Table},
};

/// Maximum age of the status of a target that answers calls.
///
/// Answers show more recently than a probe that the target is alive, but only a probe returns the
/// versions it holds. Including the time until the next check, such a target is probed every 2.5
/// to 3.3 s. A draining target is noticed earlier, as it refuses calls.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_500);
/// Number of checks per probe interval whether a target still answers calls.
const CHECKS_PER_INTERVAL: u32 = 2;
/// How long all targets are probed at the full rate after one reports changed versions.
///
/// A version is published to all targets at about the same time. As the probes of the targets are
/// spread over time, the first target that holds it is found early, and all others are then
/// probed within one probe interval.
const FULL_RATE_PERIOD: Duration = Duration::from_secs(10);

/// Times of the upcoming probes.
#[derive(Default)]
pub struct ProbeSchedule {
    heap: BinaryHeap<Reverse<(Instant, TargetName)>>,
    /// Shards requested for the first time, or again after the idle timeout.
    resumed_shards: Vec<ShardName>,
    /// Whether the schedule must be rebuilt because the document has changed.
    stale: bool,
    /// When the period of full-rate probing after a version change ends.
    full_rate_until: Option<Instant>,
}

impl ProbeSchedule {
    /// Adds a probe; it is skipped if the target's `next_probe` changes before it is due.
    pub fn push(&mut self, name: &TargetName, at: Instant) {
        self.heap.push(Reverse((at, name.clone())));
    }

    /// Adds a shard that is requested for the first time or again after the idle timeout.
    pub fn add_shard(&mut self, shard: &ShardName) {
        self.resumed_shards.push(shard.clone());
    }

    /// Marks the schedule for a rebuild after a change of the document.
    pub fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Starts a period of full-rate probing after a target has reported changed versions.
    pub fn on_version_change(&mut self, now: Instant) {
        self.full_rate_until = Some(now + FULL_RATE_PERIOD);
    }

    fn is_full_rate(&self, now: Instant) -> bool {
        self.full_rate_until.is_some_and(|until| now < until)
    }
}

impl Table {
    /// Sets the time of the next probe of a target.
    pub fn schedule_probe(&mut self, name: &TargetName, at: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.next_probe = Some(at);
            self.schedule.push(name, at);
        }
    }

    /// Schedules the targets of newly requested shards, or of all active shards after a rebuild.
    pub fn schedule_new_shards(&mut self, options: &HolderOptions, now: Instant) {
        if std::mem::take(&mut self.schedule.stale) {
            self.schedule.heap.clear();
            self.schedule.resumed_shards.clear();
            for (shard, state) in &self.shards {
                if now.saturating_duration_since(state.last_request) <= options.idle_timeout {
                    self.schedule.resumed_shards.push(shard.clone());
                }
            }
        }
        for shard in std::mem::take(&mut self.schedule.resumed_shards) {
            let names = self.index.get(&shard).map(Vec::as_slice).unwrap_or_default();
            for name in names {
                let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.probing) else {
                    continue;
                };
                let at = *entry.next_probe.get_or_insert(now);
                self.schedule.push(name, at);
            }
        }
    }

    /// Returns a target that is due and marks it as being probed.
    pub fn take_due(
        &mut self,
        options: &HolderOptions,
        interval: &dyn Fn() -> Duration,
        now: Instant,
    ) -> Option<TargetName> {
        while self.schedule.heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Reverse((at, name)) = self.schedule.heap.pop()?;
            let Some(entry) = self.entries.get(&name) else {
                continue;
            };
            // Targets of idle shards are dropped; the next request schedules them again.
            if entry.probing
                || entry.next_probe != Some(at)
                || !self.is_requested(entry, options, now)
            {
                continue;
            }
            if !self.schedule.is_full_rate(now) && can_defer_probe(entry, options, now) {
                self.schedule_probe(&name, now + interval() / CHECKS_PER_INTERVAL);
                continue;
            }
            self.entries.get_mut(&name)?.probing = true;
            return Some(name);
        }
        None
    }

    fn is_requested(&self, entry: &Entry, options: &HolderOptions, now: Instant) -> bool {
        let is_recent = |shard: &ShardName| {
            let shard = self.shards.get(shard);
            let since = shard.map(|shard| now.saturating_duration_since(shard.last_request));
            since.is_some_and(|since| since <= options.idle_timeout)
        };
        entry.indexed_shards.iter().any(is_recent)
    }
}

/// Returns whether the probe of a target can be deferred because it answers calls.
fn can_defer_probe(entry: &Entry, options: &HolderOptions, now: Instant) -> bool {
    let (Some(last_status), Some(last_answer)) = (entry.last_status, entry.replica.last_answer())
    else {
        return false;
    };
    let healthy =
        entry.failed_probes == 0 && !entry.is_unresponsive() && entry.replica.is_settled();
    healthy
        && entry.replica.phase() == Phase::Ready
        && last_answer > last_status
        && now.saturating_duration_since(last_answer) < options.probe_interval / CHECKS_PER_INTERVAL
        && now.saturating_duration_since(last_status) < MAX_STATUS_AGE
}
