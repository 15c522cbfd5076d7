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

use crate::{calls::DRAINING_SPAN, core::Core, slots::expire, table::Table};

/// The time between two rounds of the background work.
const TICK: Duration = Duration::from_millis(25);
/// The most probes at a time.
///
/// After a mass restart every target is due at once, and a new connection costs
/// each of them milliseconds.
const MOST_PROBES: usize = 16;
/// The lateness of a timer that is no more than the runtime's own grain.
const GRAIN: Duration = Duration::from_millis(2);
/// How many times its time a probe may take while this node itself runs late.
const MOST_PATIENCE: u32 = 5;
/// The pause after a probe that was not answered, before jitter.
const NEXT_TRY: Duration = Duration::from_millis(100);
/// The probes without an answer after which a target counts as down.
const MOST_UNHEARD: u32 = 2;

/// A probe that is on; dropping it lets the next one be made.
///
/// A caller that goes away while its request waits for versions drops the probe
/// in the middle. The target would count as being probed for ever, and a restart
/// or another version of it would never be heard of.
struct Probing<'a> {
    core: &'a Core,
    target: &'a TargetName,
}

impl Drop for Probing<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut table = self.core.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(self.target) else {
            return;
        };
        entry.probing = false;
        if entry.next_probe.is_none_or(|at| at <= now) {
            table.plan(self.target, now);
        }
    }
}

impl Core {
    /// Does the background work until it is dropped.
    pub async fn watch(self: Rc<Self>) {
        let mut probes = FuturesUnordered::new();
        let mut due = self.now();
        let mut timer = self.clock.sleep_until(due);
        loop {
            let now = self.now();
            if now >= due {
                self.note_late(now.saturating_duration_since(due));
                due = now + TICK;
                timer = self.clock.sleep_until(due);
                self.tick();
            }
            while probes.len() < MOST_PROBES {
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
        if self.follow_document().is_ok() {
            self.read_marks();
            self.serve_queues();
        }
    }

    /// The versions of `shards`, asking the targets that were never asked.
    pub async fn versions(self: &Rc<Self>, shards: &[ShardName]) -> Result<Vec<ShardVersions>> {
        self.follow_document()?;
        let now = self.now();
        let unknown: Vec<TargetName> = {
            let mut table = self.table.borrow_mut();
            for shard in shards {
                table.ask(shard, now, self.new_queue);
            }
            let names = shards.iter().filter_map(|shard| table.index.get(shard)).flatten();
            let unknown = names.filter(|name| {
                let entry = &table.entries[*name];
                !entry.replica.is_probed() && entry.is_usable(now)
            });
            unknown.cloned().collect()
        };
        if !unknown.is_empty() {
            let probes = join_all(unknown.iter().map(|target| self.probe(target)));
            let _ = timeout_at(&*self.clock, now + self.options.probe_timeout, probes).await;
        }
        Ok(self.held(shards))
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
        let _probing = Probing { core: self, target };
        let (began, lost) = (self.now(), self.lost.get());
        let status = self.ask(target, &spec).await;
        self.on_probe(target, status, began, self.lost.get().saturating_sub(lost));
    }

    /// Asks a target for its state, for the time of a probe and what this node lost.
    ///
    /// A holder that is busy reads answers late: the time passes while they wait
    /// to be read, and it would take its own delay for silence of its targets and
    /// refuse requests for all of them. Time that its own tick was late by is no
    /// time in which a target was silent.
    pub async fn ask(&self, target: &TargetName, spec: &TargetSpec) -> Result<TargetStatus> {
        let span = self.options.probe_timeout;
        let (began, lost) = (self.now(), self.lost.get());
        let mut probe = self.targets.probe(target, spec, began + span * MOST_PATIENCE);
        let mut deadline = began + span;
        loop {
            let timer = self.clock.sleep_until(deadline);
            match select(probe, timer).await {
                Either::Left((status, _)) => return status,
                Either::Right(((), rest)) => probe = rest,
            }
            let now = self.now();
            // The tick may not have told yet by how much this turn was late.
            let late = now.saturating_duration_since(deadline) > GRAIN;
            let end = began + span + self.lost.get().saturating_sub(lost);
            let end = if late { end.max(now + TICK) } else { end };
            if end <= now || now >= began + span * MOST_PATIENCE {
                return Err(Error::TimedOut);
            }
            deadline = end;
        }
    }

    fn note_late(&self, late: Duration) {
        if late > GRAIN {
            self.lost.set(self.lost.get() + late);
        }
    }

    fn on_probe(
        self: &Rc<Self>,
        target: &TargetName,
        status: Result<TargetStatus>,
        began: Instant,
        lost: Duration,
    ) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return;
        };
        let mut next = now + self.random.jitter(self.options.probe_every);
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                let took = now.saturating_duration_since(began);
                // A connection that did not come about in time was not refused, and
                // the time may have run out because this node was late.
                let early = took < self.options.probe_timeout && lost <= took / 2;
                let unopened = matches!(error, Error::ConnectFailed | Error::ConnectRefused);
                let refused = unopened && early;
                // One that answered a call meanwhile is not silent, and where this
                // node was late all the time nobody can tell.
                let heard = entry.replica.last_answer().is_some_and(|at| at > began);
                let blind = took >= self.options.probe_timeout * MOST_PATIENCE;
                if !refused && (heard || blind) {
                    table.plan(target, next);
                    return;
                }
                entry.unheard += 1;
                next = now + self.random.jitter(NEXT_TRY);
                // One late answer is no proof; a refused connection is.
                if refused || entry.unheard >= MOST_UNHEARD {
                    entry.replica.on_unreachable(now, &self.random);
                    next = entry.replica.down_until().unwrap_or(next);
                }
                table.plan(target, next);
                return;
            }
        };
        entry.unheard = 0;
        entry.given_up = 0;
        let drained = entry.replica.phase() == Phase::Draining;
        let news = entry.told.is_some() && entry.replica.held() != status.held;
        entry.told = Some(now);
        if entry.replica.on_probe(&status, now) {
            tracing::info!(%target, "holder: target has restarted");
        }
        table.reindex(target);
        table.plan(target, next);
        if news {
            table.agenda.on_news(now);
        }
        drop(table);
        if status.phase == Phase::Draining {
            self.mark(MarkKind::Draining(target.clone()), DRAINING_SPAN);
            if !drained {
                tracing::info!(%target, "holder: target drains");
            }
        }
    }

    /// Takes over what other nodes say of targets, looking at these targets only.
    fn read_marks(&self) {
        let marks = self.marks.all();
        let mut table = self.table.borrow_mut();
        if marks.is_empty() && table.marked.is_empty() {
            return;
        }
        let draining = marks.into_iter().filter_map(|mark| match mark.kind {
            MarkKind::Draining(target) => Some(target),
            MarkKind::Contained(_) => None,
        });
        let draining: HashSet<TargetName> = draining.collect();
        let Table { entries, marked, .. } = &mut *table;
        for name in marked.drain(..) {
            if let Some(entry) = entries.get_mut(&name) {
                entry.marked = draining.contains(&name);
            }
        }
        // An entry that the document has brought since starts without its mark.
        for name in draining {
            if let Some(entry) = entries.get_mut(&name) {
                entry.marked = true;
                marked.push(name);
            }
        }
    }

    /// The next target that is due for a probe.
    fn next_due(&self) -> Option<TargetName> {
        let now = self.now();
        let pause = || self.random.jitter(self.options.probe_every);
        let mut table = self.table.borrow_mut();
        table.plan_fresh(&self.options, now);
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
                expire(shard, now);
            }
        }
        waiting.sort_unstable();
        for shard in &waiting {
            self.dispatch(shard);
        }
    }
}
