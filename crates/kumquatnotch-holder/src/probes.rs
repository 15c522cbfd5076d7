//! The background work: probes of targets, and queues whose replicas come back.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{
    StreamExt,
    future::{join_all, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, Result,
    answer::ShardVersions,
    clock::{sleep, timeout_at},
    collections::HashSet,
    ids::{ShardName, TargetName},
    marks::MarkKind,
    target::{Phase, TargetStatus},
};

use crate::{calls::DRAINING_SPAN, core::Core, slots::expire};

/// The time between two rounds of the background work.
const TICK: Duration = Duration::from_millis(25);
/// The most probes at a time.
///
/// After a mass restart every target is due at once, and a new connection costs
/// each of them milliseconds.
const MOST_PROBES: usize = 16;
/// The probes without an answer after which a target counts as down.
const MOST_UNHEARD: u32 = 2;

impl Core {
    /// Does the background work until it is dropped.
    pub async fn watch(self: Rc<Self>) {
        let mut probes = FuturesUnordered::new();
        loop {
            // Without a document there is nothing to watch yet.
            if self.follow_document().is_ok() {
                self.read_marks();
                for target in self.due(MOST_PROBES - probes.len()) {
                    let core = self.clone();
                    probes.push(async move { core.probe(&target).await });
                }
                self.serve_queues();
            }
            let tick = sleep(&*self.clock, TICK);
            if probes.is_empty() {
                tick.await;
            } else {
                select(probes.next(), tick).await;
            }
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
        entry.probing = false;
        entry.next_probe = Some(now + self.random.jitter(self.options.probe_every));
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                entry.unheard += 1;
                // One late answer is no proof; a refused connection is.
                if error == Error::ConnectFailed || entry.unheard >= MOST_UNHEARD {
                    entry.replica.on_unreachable(now, &self.random);
                    entry.next_probe = entry.replica.down_until();
                }
                return;
            }
        };
        entry.unheard = 0;
        entry.given_up = 0;
        let drained = entry.replica.phase() == Phase::Draining;
        let held = entry.replica.held() != status.held;
        if entry.replica.on_probe(&status, now) {
            tracing::info!(%target, "holder: target has restarted");
        }
        if held {
            table.rebuild_index();
        }
        drop(table);
        if status.phase == Phase::Draining {
            self.mark(MarkKind::Draining(target.clone()), DRAINING_SPAN);
            if !drained {
                tracing::info!(%target, "holder: target drains");
            }
        }
    }

    fn read_marks(&self) {
        let marks = self.marks.all();
        let draining: HashSet<&TargetName> = marks
            .iter()
            .filter_map(|mark| match &mark.kind {
                MarkKind::Draining(target) => Some(target),
                MarkKind::Contained(_) => None,
            })
            .collect();
        for (name, entry) in &mut self.table.borrow_mut().entries {
            entry.marked = draining.contains(name);
        }
    }

    /// The targets that are due for a probe, at most `most`.
    fn due(&self, most: usize) -> Vec<TargetName> {
        let now = self.now();
        let table = self.table.borrow();
        let mut due: Vec<(Option<Instant>, &TargetName)> = Vec::new();
        for (shard, state) in &table.shards {
            if now.saturating_duration_since(state.asked) > self.options.asked_for {
                continue;
            }
            let names = table.index.get(shard).map(Vec::as_slice).unwrap_or_default();
            for name in names {
                let entry = &table.entries[name];
                if !entry.probing && entry.next_probe.is_none_or(|at| at <= now) {
                    due.push((entry.next_probe, name));
                }
            }
        }
        due.sort_unstable();
        due.dedup();
        due.truncate(most);
        due.into_iter().map(|(_, name)| name.clone()).collect()
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
