//! The background work: probes of targets and periodic dispatch of the queues.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{
    StreamExt,
    future::{Either, join_all, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, Result,
    answer::ShardVersions,
    clock::timeout_at,
    collections::HashSet,
    document::TargetSpec,
    ids::{ShardName, TargetName},
    marks::MarkKind,
    target::{Phase, TargetStatus},
};

use crate::{calls::DRAINING_TTL, core::Core, slots::expire_waiters, table::Table};

/// Interval between two rounds of the background work.
const TICK: Duration = Duration::from_millis(25);
/// Maximum number of concurrent probes.
///
/// After a mass restart all targets are due at once, and each new connection takes a target
/// milliseconds of work.
const MAX_CONCURRENT_PROBES: usize = 16;
/// Maximum delay of a timer that is due to the resolution of the runtime.
const TIMER_GRANULARITY: Duration = Duration::from_millis(2);
/// Maximum duration of a probe, in multiples of its timeout, while this node itself is late.
const MAX_TIMEOUT_FACTOR: u32 = 5;
/// Delay of the next probe after a failed one, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of consecutive failed probes after which a target counts as down.
const MAX_FAILED_PROBES: u32 = 2;

/// A probe in progress; dropping it allows the next one.
///
/// If a caller cancels its request while it waits for versions, the probe is dropped midway.
/// Without this guard the target would stay marked as being probed, and a restart or a new version
/// of it would never be noticed.
struct ProbeGuard<'a> {
    core: &'a Core,
    target: &'a TargetName,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut table = self.core.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(self.target) else {
            return;
        };
        entry.probing = false;
        if entry.next_probe.is_none_or(|at| at <= now) {
            table.schedule_probe(self.target, now);
        }
    }
}

impl Core {
    /// Does the background work until the future is dropped.
    pub async fn run_background(self: Rc<Self>) {
        let mut probes = FuturesUnordered::new();
        let mut due = self.now();
        let mut timer = self.clock.sleep_until(due);
        loop {
            let now = self.now();
            if now >= due {
                self.record_stall(now.saturating_duration_since(due));
                due = now + TICK;
                timer = self.clock.sleep_until(due);
                self.tick();
            }
            while probes.len() < MAX_CONCURRENT_PROBES {
                let Some(target) = self.next_due() else {
                    break;
                };
                let core = self.clone();
                probes.push(async move { core.probe(&target).await });
            }
            if probes.is_empty() {
                (&mut timer).await;
            } else {
                select(probes.next(), &mut timer).await;
            }
        }
    }

    fn tick(self: &Rc<Self>) {
        // Before the first document there are no targets.
        if self.refresh_document().is_ok() {
            self.apply_marks();
            self.dispatch_queues();
        }
    }

    /// Returns the versions of `shards`, after a probe of the targets that have none yet.
    pub async fn versions(self: &Rc<Self>, shards: &[ShardName]) -> Result<Vec<ShardVersions>> {
        self.refresh_document()?;
        let now = self.now();
        let unprobed: Vec<TargetName> = {
            let mut table = self.table.borrow_mut();
            for shard in shards {
                table.touch_shard(shard, now, self.new_queue);
            }
            let names = shards.iter().filter_map(|shard| table.index.get(shard)).flatten();
            let unprobed = names.filter(|name| {
                let entry = &table.entries[*name];
                !entry.replica.is_probed() && entry.is_usable(now)
            });
            unprobed.cloned().collect()
        };
        if !unprobed.is_empty() {
            let probes = join_all(unprobed.iter().map(|target| self.probe(target)));
            let _ = timeout_at(&*self.clock, now + self.options.probe_timeout, probes).await;
        }
        Ok(self.held_versions(shards))
    }

    /// Probes a target and records the result.
    async fn probe(self: &Rc<Self>, target: &TargetName) {
        let spec = {
            let mut table = self.table.borrow_mut();
            let Some(entry) = table.entries.get_mut(target) else {
                return;
            };
            entry.probing = true;
            entry.spec.clone()
        };
        let _guard = ProbeGuard { core: self, target };
        let (started, stalled) = (self.now(), self.stall_time.get());
        let status = self.query_status(target, &spec).await;
        self.on_probe(target, status, started, self.stall_time.get().saturating_sub(stalled));
    }

    /// Requests the status of a target; the timeout is extended by the delays of this node.
    ///
    /// A busy holder reads answers late. If it mistook its own delay for missing answers, it would
    /// refuse requests for all of its targets. The time by which its ticks were late therefore does
    /// not count towards the timeout.
    pub async fn query_status(
        &self,
        target: &TargetName,
        spec: &TargetSpec,
    ) -> Result<TargetStatus> {
        let span = self.options.probe_timeout;
        let (started, stalled) = (self.now(), self.stall_time.get());
        let mut probe = self.targets.probe(target, spec, started + span * MAX_TIMEOUT_FACTOR);
        let mut deadline = started + span;
        loop {
            let timer = self.clock.sleep_until(deadline);
            match select(probe, timer).await {
                Either::Left((status, _)) => return status,
                Either::Right(((), rest)) => probe = rest,
            }
            let now = self.now();
            // `stall_time` may not include the delay of this iteration yet.
            let late = now.saturating_duration_since(deadline) > TIMER_GRANULARITY;
            let end = started + span + self.stall_time.get().saturating_sub(stalled);
            let end = if late { end.max(now + TICK) } else { end };
            if end <= now || now >= started + span * MAX_TIMEOUT_FACTOR {
                return Err(Error::TimedOut);
            }
            deadline = end;
        }
    }

    fn record_stall(&self, late: Duration) {
        if late > TIMER_GRANULARITY {
            self.stall_time.set(self.stall_time.get() + late);
        }
    }

    fn on_probe(
        self: &Rc<Self>,
        target: &TargetName,
        status: Result<TargetStatus>,
        started: Instant,
        stalled: Duration,
    ) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return;
        };
        let mut next = now + self.random.jitter(self.options.probe_interval);
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                let elapsed = now.saturating_duration_since(started);
                // A connect error counts as a refusal only if it came before the timeout, and not
                // mainly because this node was late.
                let before_timeout = elapsed < self.options.probe_timeout && stalled <= elapsed / 2;
                let connect_failed = matches!(error, Error::ConnectFailed | Error::ConnectRefused);
                let refused = connect_failed && before_timeout;
                // A target that answered a call in the meantime is alive, and a probe that used the
                // maximum extension because this node was late is inconclusive.
                let answered = entry.replica.last_answer().is_some_and(|at| at > started);
                let inconclusive = elapsed >= self.options.probe_timeout * MAX_TIMEOUT_FACTOR;
                if !refused && (answered || inconclusive) {
                    table.schedule_probe(target, next);
                    return;
                }
                entry.failed_probes += 1;
                next = now + self.random.jitter(RETRY_INTERVAL);
                // A single missing answer does not prove that a target is down; a refused
                // connection does.
                if refused || entry.failed_probes >= MAX_FAILED_PROBES {
                    entry.replica.on_unreachable(now, &self.random);
                    next = entry.replica.down_until().unwrap_or(next);
                }
                table.schedule_probe(target, next);
                return;
            }
        };
        entry.failed_probes = 0;
        entry.abandoned_calls = 0;
        let was_draining = entry.replica.phase() == Phase::Draining;
        let versions_changed = entry.last_status.is_some() && entry.replica.held() != status.held;
        entry.last_status = Some(now);
        if entry.replica.on_probe(&status, now) {
            tracing::info!(%target, "holder: target has restarted");
        }
        table.reindex(target);
        table.schedule_probe(target, next);
        if versions_changed {
            table.schedule.on_version_change(now);
        }
        drop(table);
        if status.phase == Phase::Draining {
            self.set_mark(MarkKind::Draining(target.clone()), DRAINING_TTL);
            if !was_draining {
                tracing::info!(%target, "holder: target is draining");
            }
        }
    }

    /// Applies the draining marks; only targets that have or had a mark are visited.
    fn apply_marks(&self) {
        let marks = self.marks.all();
        let mut table = self.table.borrow_mut();
        if marks.is_empty() && table.marked_draining.is_empty() {
            return;
        }
        let draining = marks.into_iter().filter_map(|mark| match mark.kind {
            MarkKind::Draining(target) => Some(target),
            MarkKind::Contained(_) => None,
        });
        let draining: HashSet<TargetName> = draining.collect();
        let Table { entries, marked_draining, .. } = &mut *table;
        for name in marked_draining.drain(..) {
            if let Some(entry) = entries.get_mut(&name) {
                entry.marked_draining = draining.contains(&name);
            }
        }
        // Entries added by a new document start without their mark.
        for name in draining {
            if let Some(entry) = entries.get_mut(&name) {
                entry.marked_draining = true;
                marked_draining.push(name);
            }
        }
    }

    /// Returns the next target that is due for a probe.
    fn next_due(&self) -> Option<TargetName> {
        let now = self.now();
        let interval = || self.random.jitter(self.options.probe_interval);
        let mut table = self.table.borrow_mut();
        table.schedule_new_shards(&self.options, now);
        table.take_due(&self.options, &interval, now)
    }

    /// Dispatches every queue, as a replica can become usable by the passage of time alone.
    fn dispatch_queues(self: &Rc<Self>) {
        let now = self.now();
        let mut waiting = Vec::new();
        {
            let mut table = self.table.borrow_mut();
            let shards = table.shards.iter_mut();
            for (name, shard) in shards.filter(|(_, shard)| !shard.queue.is_empty()) {
                waiting.push(name.clone());
                expire_waiters(shard, now);
            }
        }
        waiting.sort_unstable();
        for shard in &waiting {
            self.dispatch(shard);
        }
    }
}
