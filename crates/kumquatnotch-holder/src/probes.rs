//! The background work: probes of targets, and queues whose replicas come back.

use std::{rc::Rc, time::Duration};

use futures_util::{
    StreamExt,
    future::{join_all, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, Result,
    answer::ShardVersions,
    clock::timeout_at,
    collections::HashSet,
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
        let deadline = self.now() + self.options.probe_timeout;
        let probe = self.targets.probe(target, &spec, deadline);
        let status = timeout_at(&*self.clock, deadline, probe).await.and_then(|status| status);
        self.on_probe(target, status);
    }

    fn on_probe(self: &Rc<Self>, target: &TargetName, status: Result<TargetStatus>) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return;
        };
        let mut next = now + self.random.jitter(self.options.probe_every);
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                entry.unheard += 1;
                // One late answer is no proof; a refused connection is.
                if error == Error::ConnectFailed || entry.unheard >= MOST_UNHEARD {
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
