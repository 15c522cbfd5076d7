//! The background work: probes of targets, and queues whose replicas come back.

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

use crate::{calls::DRAINING_SPAN, core::Core, slots::expire_waiters, table::Table};

/// The time between two rounds of the background work.
const TICK: Duration = Duration::from_millis(25);
/// The most probes at a time.
///
/// After a mass restart every target is due at once, and a new connection costs
/// each of them milliseconds.
const MAX_CONCURRENT_PROBES: usize = 16;
/// The lateness of a timer that is no more than the runtime's own grain.
const TIMER_GRANULARITY: Duration = Duration::from_millis(2);
/// How many times its time a probe may take while this node itself runs late.
const MAX_TIMEOUT_FACTOR: u32 = 5;
/// The pause after a probe that was not answered, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The probes without an answer after which a target counts as down.
const MAX_FAILED_PROBES: u32 = 2;

/// A probe that is on; dropping it lets the next one be made.
///
/// A caller that goes away while its request waits for versions drops the probe
/// in the middle. The target would count as being probed for ever, and a restart
/// or another version of it would never be heard of.
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
    /// Does the background work until it is dropped.
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
        // Without a document there is nothing to watch yet.
        if self.refresh_document().is_ok() {
            self.apply_marks();
            self.serve_queues();
        }
    }

    /// The versions of `shards`, asking the targets that were never asked.
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

    /// Asks a target for its state.
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

    /// Asks a target for its state, for the time of a probe and what this node lost.
    ///
    /// A holder that is busy reads answers late: the time passes while they wait
    /// to be read, and it would take its own delay for silence of its targets and
    /// refuse requests for all of them. Time that its own tick was late by is no
    /// time in which a target was silent.
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
            // The tick may not have told yet by how much this turn was late.
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
                let took = now.saturating_duration_since(started);
                // A connection that did not come about in time was not refused, and
                // the time may have run out because this node was late.
                let before_timeout = took < self.options.probe_timeout && stalled <= took / 2;
                let connect_failed = matches!(error, Error::ConnectFailed | Error::ConnectRefused);
                let refused = connect_failed && before_timeout;
                // One that answered a call meanwhile is not silent, and where this
                // node was late all the time nobody can tell.
                let answered = entry.replica.last_answer().is_some_and(|at| at > started);
                let inconclusive = took >= self.options.probe_timeout * MAX_TIMEOUT_FACTOR;
                if !refused && (answered || inconclusive) {
                    table.schedule_probe(target, next);
                    return;
                }
                entry.failed_probes += 1;
                next = now + self.random.jitter(RETRY_INTERVAL);
                // One late answer is no proof; a refused connection is.
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
            self.set_mark(MarkKind::Draining(target.clone()), DRAINING_SPAN);
            if !was_draining {
                tracing::info!(%target, "holder: target drains");
            }
        }
    }

    /// Takes over what other nodes say of targets, looking at these targets only.
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
        // An entry that the document has brought since starts without its mark.
        for name in draining {
            if let Some(entry) = entries.get_mut(&name) {
                entry.marked_draining = true;
                marked_draining.push(name);
            }
        }
    }

    /// The next target that is due for a probe.
    fn next_due(&self) -> Option<TargetName> {
        let now = self.now();
        let pause = || self.random.jitter(self.options.probe_interval);
        let mut table = self.table.borrow_mut();
        table.schedule_new_shards(&self.options, now);
        table.take_due(&self.options, &pause, now)
    }

    /// Looks at every queue again, as time alone can free a replica.
    fn serve_queues(self: &Rc<Self>) {
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
