//! One request to one service: the first attempt, a second copy if it is late,
//! and another try if it failed.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::clock;
use kumquatnotch_net::message::Reply;

use crate::{
    attempt::{self, Call, Ended},
    choice::{self, Pick},
    names::ReplicaId,
    replica::Replica,
    route::RouteKind,
    router::Router,
};

/// How often a late call looks again for a replica that could run a copy.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// When to come back if no replica is known.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(300);

/// When to come back if all replicas were full.
const FULL_RETRY: Duration = Duration::from_millis(60);

/// The most replicas that are tried without any having run the request.
///
/// Each rejection costs a repeat of the budget, so this bounds what one request
/// takes from the others.
const MOST_REJECTIONS: u32 = 3;

/// Why a call has no reply that a caller can use.
#[derive(Debug)]
pub enum CallFault {
    /// No replica has run the request or ever will.
    NotRun {
        /// When it may be worth another try.
        retry: Duration,
        /// Why.
        reason: &'static str,
    },
    /// A replica ran the request and failed; this is its reply.
    Failed(Reply),
    /// A replica may have run the request; its reply was lost.
    Unknown,
    /// The time was over while a replica was at work.
    TimedOut,
}

/// What a call did besides its outcome.
#[derive(Debug, Default)]
pub struct CallTrace {
    /// Copies that were sent because a reply was late.
    pub hedges: Cell<u32>,
    /// Further tries after a failure.
    pub retries: Cell<u32>,
}

/// The state of one call.
struct Progress<'a> {
    router: &'a Rc<Router>,
    call: &'a Call<'a>,
    tried: Vec<ReplicaId>,
    /// The attempts that a replica may have run.
    runs: u32,
    rejections: u32,
    /// Whether an attempt that may have run has been lost.
    lost: bool,
    failed: Option<Reply>,
}

/// Sends a request to a replica of a service, and again as far as its kind, the
/// attempts of its route and the budget allow.
pub async fn call(
    router: &Rc<Router>,
    call: &Call<'_>,
    trace: &CallTrace,
) -> Result<Reply, CallFault> {
    let mut progress = Progress {
        router,
        call,
        tried: Vec::new(),
        runs: 0,
        rejections: 0,
        lost: false,
        failed: None,
    };
    let clock = &*router.clock;
    let sent = Cell::new(false);
    let mut running = FuturesUnordered::new();
    let Some(first) = progress.pick() else {
        return Err(CallFault::NotRun { retry: NO_REPLICA_RETRY, reason: "no replica" });
    };
    let mut over = clock.sleep_until(call.deadline).fuse();
    let mut late = clock::sleep(clock, progress.copy_delay(&first)).fuse();
    router.budget.set_part(router.own_part());
    if !call.repeat {
        router.budget.note_first(call.service);
    } else if !router.budget.spend(call.service) {
        return Err(progress.fault());
    }
    running.push(run(router, call, first, &sent));
    loop {
        select_biased! {
            (replica, ended) = running.select_next_some() => {
                match ended {
                    Ended::Replied(reply) if !reply.status.is_server_error() => return Ok(reply),
                    ended => progress.note(&replica, ended),
                }
                if !running.is_empty() {
                    continue;
                }
                if !progress.may_try_again() {
                    return Err(progress.fault());
                }
                let Some(next) = progress.pick() else {
                    return Err(progress.fault());
                };
                if progress.has_arrived() && !router.budget.spend(call.service) {
                    metrics::counter!("kumquatnotch_budget_refusals_total").increment(1);
                    return Err(progress.fault());
                }
                trace.retries.set(trace.retries.get() + 1);
                late = clock::sleep(clock, progress.copy_delay(&next)).fuse();
                running.push(run(router, call, next, &sent));
            }
            () = late => {
                if !progress.may_copy(running.len() as u32) {
                    continue;
                }
                match progress.copy_target() {
                    Some(next) if router.budget.spend(call.service) => {
                        progress.tell_copy(&next);
                        trace.hedges.set(trace.hedges.get() + 1);
                        running.push(run(router, call, next, &sent));
                    }
                    // Nothing that could run it now, or no budget: later perhaps.
                    _ => late = clock::sleep(clock, LOOK_AGAIN).fuse(),
                }
            }
            () = over => {
                let at_work = sent.get() && !running.is_empty();
                return Err(progress.timeout(at_work));
            }
        }
    }
}

/// Runs an attempt, and tells which replica it was.
async fn run(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: Rc<Replica>,
    sent: &Cell<bool>,
) -> (Rc<Replica>, Ended) {
    let ended = attempt::attempt(router, call, &replica, sent).await;
    (replica, ended)
}

impl Progress<'_> {
    fn best(&self) -> Option<Pick> {
        let router = self.router;
        let replicas = router.directory.of(self.call.service);
        let allowed = &self.call.allowed;
        let need = router.paces.need(self.call.route);
        let now = router.clock.now();
        if allowed.is_empty() {
            return choice::best(&replicas, &self.tried, need, now);
        }
        let allowed = replicas.iter().filter(|replica| allowed.contains(&replica.id));
        let allowed: Vec<Rc<Replica>> = allowed.cloned().collect();
        choice::best(&allowed, &self.tried, need, now)
    }

    /// The replica that gets the next attempt.
    fn pick(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, .. } = self.best()?;
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// The replica that gets a copy; only one against which nothing speaks.
    fn copy_target(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, reluctance, expected, .. } = self.best()?;
        if reluctance > 0 || !self.helps(&replica, expected) {
            return None;
        }
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// Writes a line for a copy, with what decided it.
    fn tell_copy(&self, next: &Replica) {
        let now = self.router.clock.now();
        let usual = self.router.paces.usual(self.call.route);
        tracing::info!(
            request = self.call.identity.to_str().unwrap_or_default(),
            service = self.call.service.as_str(),
            late = self.tried.first().map(ReplicaId::as_str),
            replica = next.id.as_str(),
            usual_ms = usual.as_millis() as u64,
            expected_ms = (choice::expected(next, usual, now) * 1e3) as u64,
            due_ms = self.call.due.saturating_duration_since(now).as_millis() as u64,
            "call: a copy is sent"
        );
    }

    /// Whether a copy to `replica`, whose reply is expected after so many seconds, is
    /// worth sending.
    ///
    /// It is if it can still be in time and takes nothing from others, as a slot is
    /// free. Otherwise only if what was sent so far seems lost: where replicas are
    /// slow or crowded, copies make them more so.
    fn helps(&self, replica: &Replica, expected: f64) -> bool {
        let now = self.router.clock.now();
        let left = self.call.due.saturating_duration_since(now).as_secs_f64();
        if expected <= left && !replica.is_full(now) {
            return true;
        }
        let usual = self.router.paces.usual(self.call.route);
        let sent = self.tried.iter().filter_map(|id| self.router.directory.find(id));
        let all_silent = sent.into_iter().all(|replica| choice::is_silent(&replica, usual, now));
        (expected <= left || left == 0.0) && all_silent
    }

    fn copy_delay(&self, replica: &Replica) -> Duration {
        let now = self.router.clock.now();
        let usual = self.router.paces.usual(self.call.route);
        let other = self.best().filter(|pick| pick.reluctance == 0).map(|pick| pick.expected);
        let left = self.call.due.saturating_duration_since(now);
        choice::copy_delay(replica, other, usual, left, now)
    }

    fn note(&mut self, replica: &Rc<Replica>, ended: Ended) {
        match ended {
            Ended::Replied(reply) => {
                self.runs += 1;
                self.failed = Some(reply);
            }
            Ended::Rejected => self.rejections += 1,
            Ended::Replaced => self.rejections += 1,
            Ended::NotSent => {}
            Ended::Lost(error) => {
                self.runs += 1;
                self.lost = true;
                tracing::info!(
                    request = self.call.identity.to_str().unwrap_or_default(),
                    replica = replica.id.as_str(),
                    service = self.call.service.as_str(),
                    code = error.code(),
                    "call: the reply was lost"
                );
            }
        }
    }

    /// Whether an attempt has reached a replica.
    fn has_arrived(&self) -> bool {
        self.runs + self.rejections > 0
    }

    fn may_try_again(&self) -> bool {
        let ran = self.runs > 0;
        if ran && self.call.route.kind == RouteKind::Exclusive {
            return false;
        }
        self.runs < self.call.route.attempts
            && self.rejections < MOST_REJECTIONS
            && self.router.clock.now() < self.call.deadline
    }

    fn may_copy(&self, running: u32) -> bool {
        self.call.route.kind == RouteKind::Idempotent
            && self.runs + running < self.call.route.attempts
    }

    /// Why the call has no reply when its time is over.
    fn timeout(&mut self, at_work: bool) -> CallFault {
        match self.fault() {
            CallFault::NotRun { .. } if at_work => CallFault::TimedOut,
            CallFault::NotRun { retry, .. } => {
                CallFault::NotRun { retry, reason: "expired in queue" }
            }
            fault => fault,
        }
    }

    fn fault(&mut self) -> CallFault {
        if let Some(reply) = self.failed.take() {
            return CallFault::Failed(reply);
        }
        if self.lost {
            return CallFault::Unknown;
        }
        CallFault::NotRun { retry: FULL_RETRY, reason: "rejected" }
    }
}
