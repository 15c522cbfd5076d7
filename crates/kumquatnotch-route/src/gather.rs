//! One search: a call to each shard, and an answer from the parts that came.
//!
//! Shards whose replicas are in another region are asked for through a node
//! there ([`relay`](crate::relay)), and from here if that node fails.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use http::HeaderValue;
use kumquatnotch_core::{LocalFuture, clock, collections::HashSet};
use kumquatnotch_net::message::{Reply, Request};
use kumquatnotch_policy::completion::{Completion, Next};

use crate::{
    admission::{self, Refused},
    attempt::Call,
    call::{self, CallError, CallStats},
    names::ReplicaId,
    parts::Parts,
    relay::{self, RelayOutcome},
    relay_plan::{self, Group, Plan},
    route::{Route, ShardSet},
    router::Router,
};

/// A search.
pub struct Search<'a> {
    /// The route.
    pub route: &'a Route,
    /// The shards, fixed for this answer.
    pub set: &'a ShardSet,
    /// The request.
    pub request: &'a Request,
    /// The identity that the caller gave it.
    pub identity: &'a HeaderValue,
    /// Until when an answer is worth most.
    pub due: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Whether its caller comes again, so late that the answer can't be in time.
    pub is_late_retry: bool,
}

/// How a search ended.
pub struct Gathered {
    /// The answer, if enough parts came.
    pub answer: Result<Reply, CallError>,
    /// The parts in it, or that there were.
    pub parts: usize,
    /// The shards that it leaves out.
    pub missing: usize,
    /// The shards that were asked for through other nodes.
    pub relayed: usize,
}

/// What comes of a part of a search.
enum PartOutcome {
    Shard(usize, Result<Reply, CallError>),
    Group(Group, RelayOutcome),
}

type Running<'a> = FuturesUnordered<LocalFuture<'a, PartOutcome>>;

/// What has come of a search so far.
#[derive(Default)]
struct Progress {
    parts: Parts,
    /// Whether a replica may have run the request.
    ran: bool,
    /// When to come back, by the replicas that did not take it.
    retry_after: Duration,
    /// The shards whose parts are in, by their place in the set.
    covered: HashSet<usize>,
}

/// Asks a replica of each shard and merges their parts.
pub async fn gather(router: &Rc<Router>, search: &Search<'_>, stats: &CallStats) -> Gathered {
    let clock = &*router.clock;
    let total = search.set.shards.len();
    let min_parts = search.set.min_parts();
    let mut running = Running::default();
    if let Err(Refused { retry_after, reason }) = admission::admit(router, search) {
        let answer = Err(CallError::NotRun { retry_after, reason });
        return Gathered { answer, parts: 0, missing: total, relayed: 0 };
    }
    let shards: Vec<usize> = (0..total).collect();
    let mut outstanding = total;
    let Plan { direct, groups } = relay_plan::plan(router, search.route, search.set, &shards);
    let relayed = outstanding - direct.len();
    for group in groups {
        running.push(Box::pin(async move {
            let ended = relay::relay(router, search, &group).await;
            PartOutcome::Group(group, ended)
        }));
    }
    for index in direct {
        running.push(call_shard(router, search, index, Vec::new(), false, stats));
    }
    let mut due_timer = clock.sleep_until(search.due).fuse();
    let mut deadline_timer = clock.sleep_until(search.deadline).fuse();
    let mut progress = Progress::default();
    let mut completion = Completion::new(total, min_parts);
    let mut timed_out = false;
    loop {
        match completion.next(progress.parts.len()) {
            Next::Wait => {}
            Next::Linger(span) => due_timer = clock::sleep(clock, span).fuse(),
            Next::Answer => break,
        }
        select_biased! {
            outcome = running.next() => match outcome {
                Some(PartOutcome::Shard(index, result)) => {
                    outstanding -= 1;
                    progress.record_shard(router, index, result);
                }
                Some(PartOutcome::Group(group, ended)) => {
                    outstanding -= group.shards.len();
                    // The replicas that the other node may have asked get repeats.
                    let is_retry = !matches!(ended, RelayOutcome::NotRun);
                    let retry_positions = progress.record_group(ended, &group);
                    // What the other node misses is asked for from here only if
                    // there is no answer without it: it comes too late to be worth more.
                    let enough = !completion.needs_more(progress.parts.len(), outstanding);
                    if is_retry && enough {
                        continue;
                    }
                    for position in retry_positions {
                        outstanding += 1;
                        let index = group.shards[position];
                        let allowed = group.allowed[position].clone();
                        running.push(call_shard(router, search, index, allowed, is_retry, stats));
                    }
                }
                None => break,
            },
            () = due_timer => completion.note_due(progress.parts.len()),
            () = deadline_timer => {
                timed_out = true;
                break;
            }
        }
    }
    progress.ran |= !running.is_empty();
    drop(running);
    progress.log_missing(search);
    let covered = progress.parts.len();
    let answer = if covered >= min_parts {
        Ok(progress.parts.merge(router, search.set))
    } else if timed_out {
        Err(CallError::TimedOut)
    } else if progress.ran {
        Err(CallError::Unknown)
    } else {
        Err(CallError::NotRun { retry_after: progress.retry_after, reason: "no shard took it" })
    };
    Gathered { answer, parts: covered, missing: total - covered, relayed }
}

/// Asks a replica of each shard from here, until all parts are in, or the answer is
/// due and `enough` of them are.
///
/// `allowed` names the replicas of each shard that may be asked; none means any.
/// Gives the parts, the places of the missing shards, and whether a replica may
/// have run the request.
pub async fn gather_direct(
    router: &Rc<Router>,
    search: &Search<'_>,
    allowed: &[Vec<ReplicaId>],
    enough: usize,
    stats: &CallStats,
) -> (Parts, Vec<usize>, bool) {
    let clock = &*router.clock;
    let mut running = Running::default();
    for (index, allowed) in allowed.iter().enumerate() {
        running.push(call_shard(router, search, index, allowed.clone(), false, stats));
    }
    let mut due_timer = clock.sleep_until(search.due).fuse();
    let mut deadline_timer = clock.sleep_until(search.deadline).fuse();
    let mut is_due = false;
    let mut progress = Progress::default();
    let mut missing: Vec<usize> = (0..allowed.len()).collect();
    while !(is_due && progress.parts.len() >= enough) {
        select_biased! {
            outcome = running.next() => match outcome {
                Some(PartOutcome::Shard(index, result)) => {
                    let before = progress.parts.len();
                    progress.record_shard(router, index, result);
                    if progress.parts.len() > before {
                        missing.retain(|other| *other != index);
                    }
                }
                Some(PartOutcome::Group(..)) => {}
                None => break,
            },
            () = due_timer => is_due = true,
            () = deadline_timer => break,
        }
    }
    let ran = progress.ran || !running.is_empty();
    (progress.parts, missing, ran)
}

/// Asks a replica of one shard.
fn call_shard<'a>(
    router: &'a Rc<Router>,
    search: &'a Search<'a>,
    index: usize,
    allowed: Vec<ReplicaId>,
    is_retry: bool,
    stats: &'a CallStats,
) -> LocalFuture<'a, PartOutcome> {
    Box::pin(async move {
        let call = Call {
            route: search.route,
            service: &search.set.shards[index],
            request: search.request,
            identity: search.identity,
            due: search.due,
            deadline: search.deadline,
            allowed,
            is_retry,
            is_answered: Cell::new(false),
        };
        PartOutcome::Shard(index, call::call(router, &call, stats).await)
    })
}

impl Progress {
    /// Writes a line that names the shards which are missing, if there are any.
    fn log_missing(&self, search: &Search<'_>) {
        let shards = search.set.shards.iter().enumerate();
        let missing = shards.filter(|(index, _)| !self.covered.contains(index));
        let names: Vec<&str> = missing.map(|(_, shard)| shard.as_str()).collect();
        if names.is_empty() {
            return;
        }
        tracing::info!(
            request = search.identity.to_str().unwrap_or_default(),
            late = names.join(" "),
            "gather: shards are missing"
        );
    }

    /// Notes what came of a shard.
    fn record_shard(&mut self, router: &Router, index: usize, result: Result<Reply, CallError>) {
        match result {
            Ok(reply) => {
                self.ran = true;
                if self.parts.add(router, reply) {
                    self.covered.insert(index);
                }
            }
            Err(CallError::NotRun { retry_after, .. }) => {
                self.retry_after = self.retry_after.max(retry_after)
            }
            Err(_) => self.ran = true,
        }
    }

    /// Notes what came of a group of shards; gives the places of those that did not come.
    fn record_group(&mut self, ended: RelayOutcome, group: &Group) -> Vec<usize> {
        match ended {
            RelayOutcome::Gathered(reply) => {
                self.ran |= reply.ran;
                self.parts.add_gathered(&reply);
                let missing = reply.missing;
                let came = |position: &usize| !missing.contains(position);
                let positions = (0..group.shards.len()).filter(came);
                self.covered.extend(positions.map(|position| group.shards[position]));
                missing.into_iter().filter(|position| *position < group.shards.len()).collect()
            }
            RelayOutcome::NotRun => (0..group.shards.len()).collect(),
            RelayOutcome::Lost => {
                self.ran = true;
                (0..group.shards.len()).collect()
            }
        }
    }
}
