//! One request to one service: the first attempt, a second copy if it is late,
//! and another try if it failed.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::clock;
use kumquatnotch_net::message::Reply;
use kumquatnotch_policy::{
    attempts::{Allowance, AttemptOutcome, Attempts, Verdict},
    hedge_timing, lateness,
    mechanisms::Mechanism,
};

use crate::{
    attempt::{self, Call, Ended},
    names::ReplicaId,
    replica::{self, Pick, Replica},
    route::RouteKind,
    router::Router,
};

/// How often a late call looks again for a replica that could run a copy.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// When to come back if no replica is known.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(300);

/// When to come back if all replicas were full.
const FULL_RETRY: Duration = Duration::from_millis(60);

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
    attempts: Attempts,
    failed: Option<Reply>,
}

/// Sends a request to a replica of a service, and again as far as its kind, the
/// attempts of its route and the budget allow.
pub async fn call(
    router: &Rc<Router>,
    call: &Call<'_>,
    trace: &CallTrace,
) -> Result<Reply, CallFault> {
    let (tried, attempts) = (Vec::new(), Attempts::default());
    let mut progress = Progress { router, call, tried, attempts, failed: None };
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
        router.budget.note_first(call.service, clock.now());
    } else if !progress.spend() {
        return Err(progress.fault());
    }
    running.push(run(router, call, first, &sent));
    loop {
        select_biased! {
            (replica, ended) = running.select_next_some() => {
                match ended {
                    Ended::Replied(reply) if !reply.status.is_server_error() => {
                        call.is_settled.set(true);
                        return Ok(reply);
                    }
                    ended => progress.note(&replica, ended),
                }
                if !running.is_empty() {
                    continue;
                }
                let Some(next) = progress.next_try() else {
                    return Err(progress.fault());
                };
                trace.retries.set(trace.retries.get() + 1);
                late = clock::sleep(clock, progress.copy_delay(&next)).fuse();
                running.push(run(router, call, next, &sent));
            }
            () = late => {
                let may_copy = router.uses(Mechanism::Copies);
                if !may_copy || !progress.attempts.may_hedge(progress.allowance(), running.len() as u32) {
                    continue;
                }
                match progress.copy_target() {
                    Some(next) if progress.spend() => {
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
    fn allowance(&self) -> Allowance {
        let route = self.call.route;
        Allowance {
            is_idempotent: route.kind == RouteKind::Idempotent,
            attempts: route.attempts,
            deadline: self.call.deadline,
        }
    }

    fn best(&self) -> Option<Pick> {
        let router = self.router;
        let replicas = router.directory.of(self.call.service);
        let allowed = &self.call.allowed;
        let need = router.need_at(self.call.route, self.call.service);
        let now = router.clock.now();
        if allowed.is_empty() {
            return replica::pick(&replicas, &self.tried, need, now);
        }
        let allowed = replicas.iter().filter(|replica| allowed.contains(&replica.id));
        let allowed: Vec<Rc<Replica>> = allowed.cloned().collect();
        replica::pick(&allowed, &self.tried, need, now)
    }

    /// The replica that gets the next attempt.
    fn pick(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, .. } = self.best()?;
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// The replica that gets another try after a failure, if there may be one.
    fn next_try(&mut self) -> Option<Rc<Replica>> {
        if !self.attempts.may_try_again(self.allowance(), self.router.clock.now()) {
            return None;
        }
        let next = self.pick()?;
        if self.attempts.has_arrived() && !self.spend() {
            metrics::counter!("kumquatnotch_budget_refusals_total").increment(1);
            return None;
        }
        Some(next)
    }

    /// Pays for a repeat.
    fn spend(&self) -> bool {
        self.router.budget.spend(self.call.service, self.router.clock.now())
    }

    /// The replica that gets a copy; only one against which nothing speaks.
    fn copy_target(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, rating } = self.best()?;
        let now = self.router.clock.now();
        let left = self.call.due.saturating_duration_since(now);
        if !hedge_timing::is_worthwhile(&rating, left, || self.are_lost()) {
            return None;
        }
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// Whether all replicas that were asked answer nothing.
    fn are_lost(&self) -> bool {
        let now = self.router.clock.now();
        let usual = self.router.need(self.call.route).usual;
        let mut sent = self.tried.iter().filter_map(|id| self.router.directory.find(id));
        sent.all(|replica| lateness::is_silent(&replica.observed, usual, now))
    }

    /// Writes a line for a copy, with what decided it.
    fn tell_copy(&self, next: &Replica) {
        let now = self.router.clock.now();
        let need = self.router.need(self.call.route);
        tracing::info!(
            request = self.call.identity.to_str().unwrap_or_default(),
            service = self.call.service.as_str(),
            late = self.tried.first().map(ReplicaId::as_str),
            replica = next.id.as_str(),
            usual_ms = need.usual.as_millis() as u64,
            expected_ms = (next.rate(need, now).expected * 1e3) as u64,
            due_ms = self.call.due.saturating_duration_since(now).as_millis() as u64,
            "call: a copy is sent"
        );
    }

    fn copy_delay(&self, replica: &Replica) -> Duration {
        let now = self.router.clock.now();
        let usual = self.router.need(self.call.route).usual;
        let other = self.best().filter(|pick| pick.rating.is_healthy());
        let other = other.filter(|_| self.router.uses(Mechanism::CopyTime));
        let left = self.call.due.saturating_duration_since(now);
        let other = other.map(|pick| pick.rating.expected);
        hedge_timing::delay(&replica.observed, other, usual, left, now)
    }

    fn note(&mut self, replica: &Rc<Replica>, ended: Ended) {
        let ending = match ended {
            Ended::Replied(reply) => {
                self.failed = Some(reply);
                AttemptOutcome::Failed
            }
            Ended::Rejected | Ended::Replaced => AttemptOutcome::Rejected,
            Ended::NotSent => AttemptOutcome::NotSent,
            Ended::Lost(error) => {
                tracing::info!(
                    request = self.call.identity.to_str().unwrap_or_default(),
                    replica = replica.id.as_str(),
                    service = self.call.service.as_str(),
                    code = error.code(),
                    "call: the reply was lost"
                );
                AttemptOutcome::Lost
            }
        };
        self.attempts.note(ending);
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
        match (self.attempts.verdict(), self.failed.take()) {
            (Verdict::Failed, Some(reply)) => CallFault::Failed(reply),
            (Verdict::NotRun, _) => CallFault::NotRun { retry: FULL_RETRY, reason: "rejected" },
            // A reply that failed is there whenever the verdict says so.
            (Verdict::Failed | Verdict::Unknown, _) => CallFault::Unknown,
        }
    }
}
