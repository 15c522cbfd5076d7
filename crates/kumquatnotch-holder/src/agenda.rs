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
const STATUS_EVERY: Duration = Duration::from_millis(2_500);
/// How many times within the time between two probes it is looked at whether a
/// target still answers calls.
const LOOKS: u32 = 2;
/// How long every target is probed at the usual rate once one tells of other versions.
///
/// A version is published to all targets at about the same time. The first that
/// tells of it is found early, as the probes of many targets fall at different
/// times; all others are then asked within the usual time.
const NEWS_SPAN: Duration = Duration::from_secs(10);

/// The times of the probes that are to come.
#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(Instant, TargetName)>>,
    /// The shards that were asked for again after a pause.
    fresh: Vec<ShardName>,
    /// Whether all has to be planned again, as the document has changed.
    stale: bool,
    news_until: Option<Instant>,
}

impl Agenda {
    /// Adds a probe; it counts while it is the target's next one.
    pub fn push(&mut self, name: &TargetName, at: Instant) {
        self.heap.push(Reverse((at, name.clone())));
    }

    /// A shard is asked for that was not for a while.
    pub fn add_shard(&mut self, shard: &ShardName) {
        self.fresh.push(shard.clone());
    }

    /// The document has changed.
    pub fn spoil(&mut self) {
        self.stale = true;
    }

    /// A target holds other versions than before.
    pub fn on_news(&mut self, now: Instant) {
        self.news_until = Some(now + NEWS_SPAN);
    }

    fn has_news(&self, now: Instant) -> bool {
        self.news_until.is_some_and(|until| now < until)
    }
}

impl Table {
    /// Sets the time of the next probe of a target.
    pub fn plan(&mut self, name: &TargetName, at: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.next_probe = Some(at);
            self.agenda.push(name, at);
        }
    }

    /// Plans the targets of the shards that are asked for now and were not before.
    pub fn plan_fresh(&mut self, options: &HolderOptions, now: Instant) {
        if std::mem::take(&mut self.agenda.stale) {
            self.agenda.heap.clear();
            self.agenda.fresh.clear();
            for (shard, state) in &self.shards {
                if now.saturating_duration_since(state.asked) <= options.asked_for {
                    self.agenda.fresh.push(shard.clone());
                }
            }
        }
        for shard in std::mem::take(&mut self.agenda.fresh) {
            let names = self.index.get(&shard).map(Vec::as_slice).unwrap_or_default();
            for name in names {
                let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.probing) else {
                    continue;
                };
                let at = *entry.next_probe.get_or_insert(now);
                self.agenda.push(name, at);
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
        while self.agenda.heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Reverse((at, name)) = self.agenda.heap.pop()?;
            let Some(entry) = self.entries.get(&name) else {
                continue;
            };
            // One that nobody asks for any more leaves; the next request plans it again.
            if entry.probing || entry.next_probe != Some(at) || !self.is_asked(entry, options, now)
            {
                continue;
            }
            if !self.agenda.has_news(now) && is_heard(entry, options, now) {
                self.plan(&name, now + pause() / LOOKS);
                continue;
            }
            self.entries.get_mut(&name)?.probing = true;
            return Some(name);
        }
        None
    }

    fn is_asked(&self, entry: &Entry, options: &HolderOptions, now: Instant) -> bool {
        let asked = |shard: &ShardName| {
            let shard = self.shards.get(shard);
            let asked = shard.map(|shard| now.saturating_duration_since(shard.asked));
            asked.is_some_and(|since| since <= options.asked_for)
        };
        entry.indexed.iter().any(asked)
    }
}

/// Whether a target answers calls, so that a probe can wait.
fn is_heard(entry: &Entry, options: &HolderOptions, now: Instant) -> bool {
    let (Some(told), Some(heard)) = (entry.told, entry.replica.last_answer()) else {
        return false;
    };
    let calm = entry.unheard == 0 && !entry.is_quiet() && entry.replica.is_settled();
    calm && entry.replica.phase() == Phase::Ready
        && heard > told
        && now.saturating_duration_since(heard) < options.probe_every / LOOKS
        && now.saturating_duration_since(told) < STATUS_EVERY
}
