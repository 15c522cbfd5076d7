//! One round of a search: sends requests to the groups and gathers their answers.
//!
//! At any time, every requested shard is in exactly one of four states: waiting, late,
//! covered or failed. Shards that are still waiting or late when the round ends are
//! listed as missing, so that the counts of the answer always add up.

use std::{collections::BTreeMap, rc::Rc, time::Instant};

use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, LocalFuture, Result,
    answer::{Coverage, GroupAnswer, Missing},
    collections::HashSet,
    ids::ShardName,
    query::Hit,
};
use kumquatnotch_policy::stop::Progress;

use crate::{
    canary::{HeldBack, canary_shard},
    groups::GroupId,
    meters,
    plan::{GoneShards, Plan, PlannedShard},
    refusal::nothing_covered,
    router::Deadlines,
    search::Search,
};

/// Result of a round.
pub(crate) enum Round {
    /// The round is complete, with its hits and their coverage.
    Done(Vec<Hit>, Coverage),
    /// Shards no longer have the version, and `plan` is better; `covered` is the number
    /// of shards that ran the request in this round.
    Replan { plan: Rc<Plan>, covered: u32 },
}

/// Shards of one request to a holder.
pub(crate) struct Part {
    pub(crate) group: GroupId,
    pub(crate) shards: Vec<ShardName>,
    pub(crate) canary: bool,
}

/// Event that a round waits for.
pub(crate) enum Event {
    /// A holder answered its part, or the request failed.
    Answered(Part, Result<GroupAnswer>),
    /// The versions of the shards were refreshed.
    Refreshed,
}

/// State of a round.
pub(crate) struct Gather<'a> {
    pub(crate) search: &'a Search<'a>,
    pub(crate) plan: &'a Plan,
    pub(crate) pending: FuturesUnordered<LocalFuture<'a, Event>>,
    pub(crate) held_back: Option<HeldBack<'a>>,
    pub(crate) waiting: HashSet<ShardName>,
    /// Shards that holders gave up at the deadline for partial answers.
    pub(crate) late: Vec<(ShardName, Error)>,
    pub(crate) covered: u32,
    pub(crate) failed_shards: Vec<(ShardName, Error)>,
    pub(crate) hits: Vec<Hit>,
    pub(crate) followed_up: bool,
    pub(crate) refreshing: bool,
    pub(crate) is_last: bool,
}

impl<'a> Gather<'a> {
    /// Creates a round over `plan`; no other follows if it `is_last`.
    pub fn new(search: &'a Search<'a>, plan: &'a Plan, is_last: bool) -> Gather<'a> {
        Gather {
            search,
            plan,
            pending: FuturesUnordered::new(),
            held_back: None,
            waiting: plan.shards.iter().map(|planned| planned.shard.clone()).collect(),
            late: Vec::new(),
            covered: 0,
            failed_shards: Vec::new(),
            hits: Vec::new(),
            followed_up: false,
            refreshing: false,
            is_last,
        }
    }

    /// Runs the round to its end and adds the shards that lack the version to `gone`.
    pub async fn run(mut self, canary: bool, gone: &mut GoneShards) -> Result<Round> {
        self.fan_out(canary);
        let search = self.search;
        loop {
            let now = search.clock.now();
            let is_over = now >= search.deadlines.root;
            let is_enough = search.stop_rule.is_enough(&search.stop, &self.progress(now));
            if is_over || (is_enough && !self.refreshing) {
                return self.finish(is_over);
            }
            if self.pending.is_empty() && self.held_back.is_none() {
                if !self.follow_up(now) {
                    return self.finish(is_over);
                }
                continue;
            }
            let timer = search.clock.sleep_until(self.next_timer(now));
            match select(self.pending.next(), timer).await {
                Either::Left((Some(Event::Answered(part, result)), _)) => {
                    let known = gone.len();
                    self.handle_answer(part, result, gone)?;
                    if gone.len() > known {
                        self.refresh();
                    }
                    self.release_due();
                }
                Either::Left((Some(Event::Refreshed), _)) => {
                    self.refreshing = false;
                    if let Some(next) = search.replan(self.plan, gone) {
                        return Ok(Round::Replan { plan: next, covered: self.covered });
                    }
                    self.release_due();
                }
                Either::Left((None, _)) | Either::Right(_) => self.release_due(),
            }
        }
    }

    /// Refreshes the versions before the search is planned again.
    ///
    /// The first shard that lacks the version reports only its own versions. A plan
    /// made from that report alone would assume that the other shards do not have the
    /// new version yet, and its coverage would be low.
    fn refresh(&mut self) {
        let search = self.search;
        if self.is_last || self.refreshing || !search.may_replan() {
            return;
        }
        self.refreshing = true;
        self.pending.push(Box::pin(async move {
            search.refresh().await;
            Event::Refreshed
        }));
    }

    pub(crate) fn progress(&self, now: Instant) -> Progress {
        let late = if self.may_follow_up(now) { self.late.len() } else { 0 };
        Progress {
            elapsed: now.saturating_duration_since(self.search.start),
            deadline: self.search.deadline,
            asked: self.plan.asked(),
            covered: self.covered,
            open: (self.waiting.len() + late) as u32,
        }
    }

    fn next_timer(&self, now: Instant) -> Instant {
        let search = self.search;
        let patience = search.start + search.stop_rule.patience(&search.stop, search.deadline);
        let release = self.held_back.as_ref().map(|held| held.due);
        let timers = [Some(patience), release, Some(search.deadlines.root)];
        timers.into_iter().flatten().filter(|at| *at > now).min().unwrap_or(search.deadlines.root)
    }

    /// Sends all parts, or only the canary.
    fn fan_out(&mut self, canary: bool) {
        let mut shards: Vec<&'a PlannedShard> = self.plan.shards.iter().collect();
        if !canary || shards.is_empty() {
            for part in self.parts(&shards) {
                self.send(part, self.search.deadlines);
            }
            return;
        }
        self.send_canary(&mut shards);
        let until = self.search.clock.now() + self.search.canary_delay();
        self.held_back = Some(HeldBack::new(shards, until));
    }

    /// Sends the request to its canary shard and removes that shard from `shards`.
    fn send_canary(&mut self, shards: &mut Vec<&'a PlannedShard>) {
        meters::canary();
        let first = shards.swap_remove(canary_shard(self.search.fingerprint, shards));
        for mut part in self.parts(&[first]) {
            part.canary = true;
            self.send(part, self.search.deadlines);
        }
    }

    fn parts(&self, shards: &[&PlannedShard]) -> Vec<Part> {
        let mut groups: BTreeMap<GroupId, Vec<ShardName>> = BTreeMap::new();
        for planned in shards {
            let group = self.search.router.group(self.search.document, &planned.declared);
            groups.entry(group).or_default().push(planned.shard.clone());
        }
        let parts = groups.into_iter();
        parts.map(|(group, shards)| Part { group, shards, canary: false }).collect()
    }

    fn send(&mut self, part: Part, deadlines: Deadlines) {
        let search = self.search;
        let request = search.request(self.plan.version, part.shards.clone());
        self.pending.push(Box::pin(async move {
            let answer =
                search.router.query_group(part.group, &request, deadlines, !part.canary).await;
            Event::Answered(part, answer)
        }));
    }

    /// Sends the request to the shards that were held back for the canary.
    fn release(&mut self) {
        let Some(held) = self.held_back.take() else {
            return;
        };
        for part in self.parts(&held.shards) {
            self.send(part, self.search.deadlines);
        }
    }

    /// Releases the held back shards after the result of a part, or sends another canary
    /// if this one failed without a crash.
    ///
    /// A shard that is lost, draining or at another version gives no evidence about the
    /// request. Fanning out then could crash a replica of each shard, so another canary
    /// is sent. The number of canaries is limited, since many shards may refuse.
    pub(crate) fn on_canary_result(&mut self, canary: bool, ran: bool) {
        let Some(held) = self.held_back.as_mut().filter(|_| canary && !ran) else {
            return self.release();
        };
        held.on_failed(self.search.clock.now(), self.search.canary_end());
    }

    /// Sends another canary, or the held back shards, if the canary is slow.
    ///
    /// The canary may have hit a straggler. It may also be crashing one replica after
    /// another, which its holder needs some time to detect; fanning out meanwhile would
    /// crash a replica of each shard. A second canary to another shard distinguishes
    /// the two cases, and the wait ends only after half of the patience.
    fn release_due(&mut self) {
        let search = self.search;
        let now = search.clock.now();
        // While versions are being refreshed, a canary may only reach the old one.
        let is_due = |held: &mut HeldBack<'_>| now >= held.due && !self.refreshing;
        let Some(mut held) = self.held_back.take_if(is_due) else {
            return;
        };
        if held.send_another && !held.shards.is_empty() {
            self.send_canary(&mut held.shards);
            held.on_sent(search.canary_end().max(now));
            self.held_back = Some(held);
            return;
        }
        self.held_back = Some(held);
        self.release();
    }

    fn may_follow_up(&self, now: Instant) -> bool {
        let search = self.search;
        search.follow_up && !self.followed_up && now + search.margin < search.deadlines.holder
    }

    /// Retries the late shards once if the coverage is insufficient.
    ///
    /// Holders abandoned these shards at the deadline for partial answers. That is
    /// correct for a tenant whose coverage is sufficient by then. Otherwise the shards
    /// get the rest of the deadline.
    fn follow_up(&mut self, now: Instant) -> bool {
        if self.late.is_empty() || !self.may_follow_up(now) {
            return false;
        }
        self.followed_up = true;
        let late: HashSet<ShardName> = self.late.drain(..).map(|(shard, _)| shard).collect();
        meters::followed_up(late.len());
        let plan = self.plan;
        let shards: Vec<&PlannedShard> =
            plan.shards.iter().filter(|planned| late.contains(&planned.shard)).collect();
        let parts = self.parts(&shards);
        self.waiting.extend(late);
        let deadlines =
            Deadlines { partial: self.search.deadlines.holder, ..self.search.deadlines };
        for part in parts {
            self.send(part, deadlines);
        }
        true
    }

    /// Lists the unanswered shards as missing; fails if no shard was covered.
    fn finish(mut self, is_over: bool) -> Result<Round> {
        let is_incomplete = !self.waiting.is_empty() || !self.late.is_empty();
        self.failed_shards.extend(self.waiting.drain().map(|shard| (shard, Error::TimedOut)));
        self.failed_shards.append(&mut self.late);
        self.failed_shards.sort_by(|a, b| a.0.cmp(&b.0));
        if self.covered == 0 {
            return Err(nothing_covered(&self.failed_shards));
        }
        let mut missing: Vec<Missing> = self
            .failed_shards
            .iter()
            .map(|(shard, error)| Missing::new(shard.clone(), error))
            .collect();
        missing.extend(self.plan.absent.iter().cloned());
        let coverage = Coverage {
            version: self.plan.version,
            asked: self.covered + missing.len() as u32,
            covered: self.covered,
            missing,
            stopped_early: is_incomplete && !is_over,
        };
        Ok(Round::Done(self.hits, coverage))
    }
}
