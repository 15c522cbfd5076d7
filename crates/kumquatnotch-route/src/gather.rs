//! Scatter-gather: calls each shard of a search and merges the parts received.
//!
//! Shards whose replicas are in another data centre are queried through a node there
//! ([`relay`](crate::relay)), and directly if that node fails.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use http::HeaderValue;
use kumquatnotch_core::{LocalFuture, clock, collections::HashSet};
use kumquatnotch_net::message::{Reply, Request};
use kumquatnotch_policy::{
    completion::{Completion, Next},
    mass_loss::MassLoss,
};

use crate::{
    admission::{self, Refused},
    attempt::Call,
    call::{self, CallError, CallStats},
    crash_alarm, crash_check, headers,
    names::ReplicaId,
    parts::Parts,
    relay::{self, RelayOutcome},
    relay_plan::{self, Group, Plan},
    route::{Route, ShardSet},
    router::Router,
};

/// A search over the shards of a route.
pub struct Search<'a> {
    /// The route.
    pub route: &'a Route,
    /// The shards; they do not change during the search.
    pub set: &'a ShardSet,
    /// The request.
    pub request: &'a Request,
    /// The identity that the caller gave it.
    pub identity: &'a HeaderValue,
    /// The latest time at which an answer meets the objective.
    pub due: Instant,
    /// The deadline.
    pub deadline: Instant,
    /// Whether the caller retries so late that the answer can't meet the objective.
    pub is_late_retry: bool,
    /// The parts that this node has lost.
    pub losses: MassLoss,
}

/// How a search ended.
pub struct Gathered {
    /// The merged answer, or why too few parts were received.
    pub answer: Result<Reply, CallError>,
    /// Number of parts received.
    pub parts: usize,
    /// Number of shards missing from the answer.
    pub missing: usize,
    /// Number of shards queried through other nodes.
    pub relayed: usize,
}

/// The outcome of one sub-request of a search.
enum PartOutcome {
    Shard(usize, Result<Reply, CallError>),
    Group(Group, RelayOutcome),
}

type Running<'a> = FuturesUnordered<LocalFuture<'a, PartOutcome>>;

/// The results of a search so far.
#[derive(Default)]
struct Progress {
    parts: Parts,
    /// Whether a replica may have run the request.
    ran: bool,
    /// The longest `Retry-After` of the shards that did not run the request.
    retry_after: Duration,
    /// Indices into the set of the shards whose parts were received.
    covered: HashSet<usize>,
}

/// Returns the state of the lost parts of a search that has lost none.
///
/// One that was answered a moment ago does not crash replicas, however many of its parts are lost.
pub(crate) fn losses_of(router: &Router, request: &Request) -> MassLoss {
    let fingerprint = crash_check::fingerprint(request);
    match router.crashes.was_answered(fingerprint, router.clock.now()) {
        true => MassLoss::harmless(),
        false => MassLoss::default(),
    }
}

/// A part that was received before the rest of its search was sent.
pub struct FirstPart {
    /// Index of its shard into the set.
    pub shard: usize,
    /// The reply of the replica.
    pub reply: Reply,
}

/// Queries one replica of each shard, except that of the `first` part, and merges the parts.
pub async fn gather(
    router: &Rc<Router>,
    search: &Search<'_>,
    first: Option<FirstPart>,
    stats: &CallStats,
) -> Gathered {
    let clock = &*router.clock;
    let total = search.set.shards.len();
    let min_parts = search.set.min_parts();
    let mut running = Running::default();
    // A search of which a part has run can't be refused as not run any more.
    let admitted = if first.is_none() { admission::admit(router, search) } else { Ok(()) };
    if let Err(Refused { retry_after, reason }) = admitted {
        let answer = Err(CallError::NotRun { retry_after, reason });
        return Gathered { answer, parts: 0, missing: total, relayed: 0 };
    }
    let mut progress = Progress::default();
    let mut shards: Vec<usize> = (0..total).collect();
    if let Some(FirstPart { shard, reply }) = first {
        shards.retain(|index| *index != shard);
        progress.record_shard(router, shard, Ok(reply));
    }
    let mut outstanding = shards.len();
    let Plan { direct, groups } = relay_plan::plan(router, search.route, search.set, &shards);
    let relayed = outstanding - direct.len();
    for group in groups {
        running.push(Box::pin(async move {
            let outcome = relay::relay(router, search, &group).await;
            PartOutcome::Group(group, outcome)
        }));
    }
    for index in direct {
        running.push(call_shard(router, search, index, Vec::new(), false, stats));
    }
    let mut due_timer = clock.sleep_until(search.due).fuse();
    let mut deadline_timer = clock.sleep_until(search.deadline).fuse();
    let mut completion = Completion::new(total, min_parts);
    let mut timed_out = false;
    loop {
        match completion.next(progress.parts.len()) {
            Next::Wait => {}
            Next::Grace(span) => due_timer = clock::sleep(clock, span).fuse(),
            Next::Answer => break,
        }
        select_biased! {
            outcome = running.next() => match outcome {
                Some(PartOutcome::Shard(index, result)) => {
                    outstanding -= 1;
                    progress.record_shard(router, index, result);
                }
                Some(PartOutcome::Group(group, outcome)) => {
                    outstanding -= group.shards.len();
                    // The relay may have queried replicas already, so asking again
                    // counts against the retry budget.
                    let is_retry = !matches!(outcome, RelayOutcome::NotRun);
                    let retry_positions = progress.record_group(outcome, &group);
                    // Shards that the relay could not cover are queried directly only if
                    // the answer is impossible without them, as their parts arrive too
                    // late to make an answer in time more complete.
                    let enough = !completion.needs_retry(progress.parts.len(), outstanding);
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
    if search.losses.is_alarming() {
        crash_alarm::wait_until_delivered(router, search.request, search.deadline).await;
    }
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

/// Queries one replica of each shard directly, without relays.
///
/// Ends when all parts were received, or when the answer is due and at least `enough`
/// parts were received. `allowed` lists the replicas of each shard that may be queried;
/// an empty list allows any. Returns the parts, the indices of the missing shards, and
/// whether a replica may have run the request.
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
    if search.losses.is_alarming() {
        crash_alarm::wait_until_delivered(router, search.request, search.deadline).await;
    }
    (progress.parts, missing, ran)
}

/// Queries one replica of a shard.
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
            losses: Some(&search.losses),
            is_answered: Cell::new(false),
        };
        PartOutcome::Shard(index, call::call(router, &call, stats).await)
    })
}

impl Progress {
    /// Logs the names of the missing shards, if any.
    fn log_missing(&self, search: &Search<'_>) {
        let shards = search.set.shards.iter().enumerate();
        let missing = shards.filter(|(index, _)| !self.covered.contains(index));
        let names: Vec<&str> = missing.map(|(_, shard)| shard.as_str()).collect();
        if names.is_empty() {
            return;
        }
        tracing::info!(
            request = %headers::log_text(search.identity),
            late = names.join(" "),
            "gather: shards are missing"
        );
    }

    /// Records the result of one shard.
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

    /// Records the result of a group; returns the positions in it of missing shards.
    fn record_group(&mut self, outcome: RelayOutcome, group: &Group) -> Vec<usize> {
        match outcome {
            RelayOutcome::Gathered(reply) => {
                self.ran |= reply.ran;
                self.parts.add_gathered(&reply);
                let missing = reply.missing;
                let received = |position: &usize| !missing.contains(position);
                let positions = (0..group.shards.len()).filter(received);
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
