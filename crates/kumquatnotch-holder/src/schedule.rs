//! Which target is probed when.
//!
//! A search through all held targets whenever a probe ends costs the square of
//! their number. Instead the times wait in a heap, and one that was changed
//! since is skipped when its turn comes.

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

/// How long a target that answers calls goes without a probe.
///
/// Its answers are fresher news of its life than a probe, but only a probe
/// tells which versions it holds. With the pause until the next look a target is
/// probed every 2.5 to 3.3 s; one that drains refuses calls, which tells it sooner.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_500);
/// How many times within the time between two probes it is looked at whether a
/// target still answers calls.
const CHECKS_PER_INTERVAL: u32 = 2;
/// How long every target is probed at the usual rate once one tells of other versions.
///
/// A version is published to all targets at about the same time. The first that
/// tells of it is found early, as the probes of many targets fall at different
/// times; all others are then asked within the usual time.
const FULL_RATE_PERIOD: Duration = Duration::from_secs(10);

/// The times of the probes that are to come.
#[derive(Default)]
pub struct ProbeSchedule {
    heap: BinaryHeap<Reverse<(Instant, TargetName)>>,
    /// The shards that were asked for again after a pause.
    resumed_shards: Vec<ShardName>,
    /// Whether all has to be planned again, as the document has changed.
    stale: bool,
    full_rate_until: Option<Instant>,
}

impl ProbeSchedule {
    /// Adds a probe; it counts while it is the target's next one.
    pub fn push(&mut self, name: &TargetName, at: Instant) {
        self.heap.push(Reverse((at, name.clone())));
    }

    /// A shard is asked for that was not for a while.
    pub fn add_shard(&mut self, shard: &ShardName) {
        self.resumed_shards.push(shard.clone());
    }

    /// The document has changed.
    pub fn invalidate(&mut self) {
        self.stale = true;
    }

    /// A target holds other versions than before.
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

    /// Plans the targets of the shards that are asked for now and were not before.
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

    /// A target that is due; it counts as being probed from now on.
    pub fn take_due(
        &mut self,
        options: &HolderOptions,
        pause: &dyn Fn() -> Duration,
        now: Instant,
    ) -> Option<TargetName> {
        while self.schedule.heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Reverse((at, name)) = self.schedule.heap.pop()?;
            let Some(entry) = self.entries.get(&name) else {
                continue;
            };
            // One that nobody asks for any more leaves; the next request plans it again.
            if entry.probing
                || entry.next_probe != Some(at)
                || !self.is_requested(entry, options, now)
            {
                continue;
            }
            if !self.schedule.is_full_rate(now) && can_defer_probe(entry, options, now) {
                self.schedule_probe(&name, now + pause() / CHECKS_PER_INTERVAL);
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

/// Whether a target answers calls, so that a probe can wait.
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
