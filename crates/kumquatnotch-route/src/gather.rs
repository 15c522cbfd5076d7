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
    call::{self, CallFault, CallTrace},
    names::ReplicaId,
    parts::Parts,
    relay::{self, Relayed},
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
    pub returning: bool,
}

/// How a search ended.
pub struct Gathered {
    /// The answer, if enough parts came.
    pub answer: Result<Reply, CallFault>,
    /// The parts in it, or that there were.
    pub parts: usize,
    /// The shards that it leaves out.
    pub missing: usize,
    /// The shards that were asked for through other nodes.
    pub relayed: usize,
}

/// What comes of a part of a search.
enum Piece {
    Shard(usize, Result<Reply, CallFault>),
    Group(Group, Relayed),
}

type Running<'a> = FuturesUnordered<LocalFuture<'a, Piece>>;

/// What has come of a search so far.
#[derive(Default)]
struct Progress {
    parts: Parts,
    /// Whether a replica may have run the request.
    ran: bool,
    /// When to come back, by the replicas that did not take it.
    retry: Duration,
    /// The shards whose parts are in, by their place in the set.
    covered: HashSet<usize>,
}

/// Asks a replica of each shard and merges their parts.
pub async fn gather(router: &Rc<Router>, search: &Search<'_>, trace: &CallTrace) -> Gathered {
    let clock = &*router.clock;
    let total = search.set.shards.len();
    let least = search.set.least_parts();
    let mut running = Running::default();
    if let Err(Refused { retry, reason }) = admission::admit(router, search) {
        let answer = Err(CallFault::NotRun { retry, reason });
        return Gathered { answer, parts: 0, missing: total, relayed: 0 };
    }
    let shards: Vec<usize> = (0..total).collect();
    let mut outstanding = total;
    let Plan { here, groups } = relay_plan::plan(router, search.route, search.set, &shards);
    let relayed = outstanding - here.len();
    for group in groups {
        running.push(Box::pin(async move {
            let ended = relay::relay(router, search, &group).await;
            Piece::Group(group, ended)
        }));
    }
    for index in here {
        running.push(ask(router, search, index, Vec::new(), false, trace));
    }
    let mut stop = clock.sleep_until(search.due).fuse();
    let mut over = clock.sleep_until(search.deadline).fuse();
    let mut progress = Progress::default();
    let mut completion = Completion::new(total, least);
    let mut timed_out = false;
    loop {
        match completion.next(progress.parts.len()) {
            Next::Wait => {}
            Next::Grace(span) => stop = clock::sleep(clock, span).fuse(),
            Next::Answer => break,
        }
        select_biased! {
            piece = running.next() => match piece {
                Some(Piece::Shard(index, result)) => {
                    outstanding -= 1;
                    progress.add(router, index, result);
                }
                Some(Piece::Group(group, ended)) => {
                    outstanding -= group.shards.len();
                    // The replicas that the other node may have asked get repeats.
                    let repeat = !matches!(ended, Relayed::NotRun);
                    let again = progress.add_group(ended, &group);
                    // What the other node misses is asked for from here only if
                    // there is no answer without it: it comes too late to be worth more.
                    let enough = !completion.needs_retry(progress.parts.len(), outstanding);
                    if repeat && enough {
                        continue;
                    }
                    for place in again {
                        outstanding += 1;
                        let index = group.shards[place];
                        let allowed = group.allowed[place].clone();
                        running.push(ask(router, search, index, allowed, repeat, trace));
                    }
                }
                None => break,
            },
            () = stop => completion.note_due(progress.parts.len()),
            () = over => {
                timed_out = true;
                break;
            }
        }
    }
    progress.ran |= !running.is_empty();
    drop(running);
    progress.tell_missing(search);
    let covered = progress.parts.len();
    let answer = if covered >= least {
        Ok(progress.parts.merge(router, search.set))
    } else if timed_out {
        Err(CallFault::TimedOut)
    } else if progress.ran {
        Err(CallFault::Unknown)
    } else {
        Err(CallFault::NotRun { retry: progress.retry, reason: "no shard took it" })
    };
    Gathered { answer, parts: covered, missing: total - covered, relayed }
}

/// Asks a replica of each shard from here, until all parts are in, or the answer is
/// due and `enough` of them are.
///
/// `allowed` names the replicas of each shard that may be asked; none means any.
/// Gives the parts, the places of the missing shards, and whether a replica may
/// have run the request.
pub async fn gather_here(
    router: &Rc<Router>,
    search: &Search<'_>,
    allowed: &[Vec<ReplicaId>],
    enough: usize,
    trace: &CallTrace,
) -> (Parts, Vec<usize>, bool) {
    let clock = &*router.clock;
    let mut running = Running::default();
    for (index, allowed) in allowed.iter().enumerate() {
        running.push(ask(router, search, index, allowed.clone(), false, trace));
    }
    let mut stop = clock.sleep_until(search.due).fuse();
    let mut over = clock.sleep_until(search.deadline).fuse();
    let mut stopping = false;
    let mut progress = Progress::default();
    let mut missing: Vec<usize> = (0..allowed.len()).collect();
    while !(stopping && progress.parts.len() >= enough) {
        select_biased! {
            piece = running.next() => match piece {
                Some(Piece::Shard(index, result)) => {
                    let before = progress.parts.len();
                    progress.add(router, index, result);
                    if progress.parts.len() > before {
                        missing.retain(|other| *other != index);
                    }
                }
                Some(Piece::Group(..)) => {}
                None => break,
            },
            () = stop => stopping = true,
            () = over => break,
        }
    }
    let ran = progress.ran || !running.is_empty();
    (progress.parts, missing, ran)
}

/// Asks a replica of one shard.
fn ask<'a>(
    router: &'a Rc<Router>,
    search: &'a Search<'a>,
    index: usize,
    allowed: Vec<ReplicaId>,
    repeat: bool,
    trace: &'a CallTrace,
) -> LocalFuture<'a, Piece> {
    Box::pin(async move {
        let call = Call {
            route: search.route,
            service: &search.set.shards[index],
            request: search.request,
            identity: search.identity,
            due: search.due,
            deadline: search.deadline,
            allowed,
            repeat,
            is_settled: Cell::new(false),
        };
        Piece::Shard(index, call::call(router, &call, trace).await)
    })
}

impl Progress {
    /// Writes a line that names the shards which are missing, if there are any.
    fn tell_missing(&self, search: &Search<'_>) {
        let shards = search.set.shards.iter().enumerate();
        let missing = shards.filter(|(index, _)| !self.covered.contains(index));
        let late: Vec<&str> = missing.map(|(_, shard)| shard.as_str()).collect();
        if late.is_empty() {
            return;
        }
        tracing::info!(
            request = search.identity.to_str().unwrap_or_default(),
            late = late.join(" "),
            "gather: shards are missing"
        );
    }

    /// Notes what came of a shard.
    fn add(&mut self, router: &Router, index: usize, result: Result<Reply, CallFault>) {
        match result {
            Ok(reply) => {
                self.ran = true;
                if self.parts.add(router, reply) {
                    self.covered.insert(index);
                }
            }
            Err(CallFault::NotRun { retry, .. }) => self.retry = self.retry.max(retry),
            Err(_) => self.ran = true,
        }
    }

    /// Notes what came of a group of shards; gives the places of those that did not come.
    fn add_group(&mut self, ended: Relayed, group: &Group) -> Vec<usize> {
        match ended {
            Relayed::Gathered(reply) => {
                self.ran |= reply.ran;
                self.parts.add_gathered(&reply);
                let missing = reply.missing;
                let came = |place: &usize| !missing.contains(place);
                let places = (0..group.shards.len()).filter(came);
                self.covered.extend(places.map(|place| group.shards[place]));
                missing.into_iter().filter(|place| *place < group.shards.len()).collect()
            }
            Relayed::NotRun => (0..group.shards.len()).collect(),
            Relayed::Lost => {
                self.ran = true;
                (0..group.shards.len()).collect()
            }
        }
    }
}
