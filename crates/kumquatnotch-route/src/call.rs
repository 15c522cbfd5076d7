//! One request to one service: the first attempt, a hedged request if the reply is
//! late, and retries after failures.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::{clock, lifecycle::Stage};
use kumquatnotch_net::message::Reply;
use kumquatnotch_policy::{
    attempts::{Allowance, AttemptOutcome, Attempts, Verdict},
    hedge_timing, lateness,
    mass_loss::{Advice, MassLoss},
    mechanisms::Mechanism,
};

use crate::{
    attempt::{self, AttemptResult, Call, SentCount},
    crash_alarm, crash_check, headers, leaving,
    names::ReplicaId,
    replica::{self, Pick, Replica},
    route::RouteKind,
    router::Router,
};

/// Interval at which a late call looks again for a replica to hedge to.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a lost part of a search checks whether it may be sent again.
const LOSS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// `Retry-After` when no replica is known.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` when no replica ran the request, as all of them were full.
const ALL_FULL_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Why a call has no usable reply.
#[derive(Debug)]
pub enum CallError {
    /// No replica has run the request or ever will.
    NotRun {
        /// When the caller may retry.
        retry_after: Duration,
        /// The reason, for the log and the body of the refusal.
        reason: &'static str,
    },
    /// A replica ran the request and failed, with this reply.
    Failed(Reply),
    /// A replica may have run the request; its reply was lost.
    Unknown,
    /// The deadline passed while a replica was running the request.
    TimedOut,
    /// The node exits while a replica is running the request.
    Ended,
}

/// Counters of a call.
#[derive(Debug, Default)]
pub struct CallStats {
    /// Hedged requests sent because a reply was late.
    pub hedges: Cell<u32>,
    /// Retries after a failure.
    pub retries: Cell<u32>,
}

/// The state of one call.
struct Progress<'a> {
    router: &'a Rc<Router>,
    call: &'a Call<'a>,
    tried: Vec<ReplicaId>,
    attempts: Attempts,
    failed: Option<Reply>,
    /// Whether an attempt after a loss is running, which the other lost parts wait for.
    is_probing: Cell<bool>,
}

/// Sends a request to a replica of a service, with retries and hedged requests as far as
/// its kind, the attempts of its route and the retry budget allow.
pub async fn call(
    router: &Rc<Router>,
    call: &Call<'_>,
    stats: &CallStats,
) -> Result<Reply, CallError> {
    let (tried, attempts) = (Vec::new(), Attempts::default());
    let is_probing = Cell::new(false);
    let mut progress = Progress { router, call, tried, attempts, failed: None, is_probing };
    let clock = &*router.clock;
    let sent = SentCount::default();
    let mut running = FuturesUnordered::new();
    if router.lifecycle.stage() >= Stage::Ending {
        return Err(progress.exit_error(false));
    }
    if call.is_retry {
        progress.note_lost(None);
        if !progress.admit_retry().await {
            return Err(CallError::Unknown);
        }
    }
    let Some(first) = progress.pick() else {
        return Err(CallError::NotRun {
            retry_after: NO_REPLICA_RETRY_AFTER,
            reason: "no replica",
        });
    };
    let mut deadline_timer = clock.sleep_until(call.deadline).fuse();
    let mut hedge_timer = clock::sleep(clock, progress.hedge_delay(&first)).fuse();
    let mut too_late = pin!(leaving::too_late(router, call).fuse());
    let mut ended = pin!(router.lifecycle.reached(Stage::Ending).fuse());
    router.budget.set_share(router.own_share(), clock.now());
    if !call.is_retry {
        router.budget.note_first(call.service, clock.now());
    } else if !progress.spend_budget() {
        return Err(progress.final_error());
    }
    running.push(run_attempt(router, call, first, &sent));
    loop {
        select_biased! {
            (replica, result) = running.select_next_some() => {
                match result {
                    AttemptResult::Replied(reply) if !reply.status.is_server_error() => {
                        progress.end_retry(true);
                        call.is_answered.set(true);
                        return Ok(reply);
                    }
                    result => progress.record_failure(&replica, result),
                }
                if !running.is_empty() {
                    continue;
                }
                if !leaving::can_finish(router, call.route, clock.now()) {
                    return Err(progress.exit_error(false));
                }
                if !progress.admit_retry().await {
                    return Err(progress.final_error());
                }
                let Some(next) = progress.next_retry() else {
                    return Err(progress.final_error());
                };
                stats.retries.set(stats.retries.get() + 1);
                too_late.set(leaving::too_late(router, call).fuse());
                hedge_timer = clock::sleep(clock, progress.hedge_delay(&next)).fuse();
                running.push(run_attempt(router, call, next, &sent));
            }
            () = hedge_timer => {
                let may_hedge = router.uses(Mechanism::Copies)
                    && !progress.is_loss_alarming()
                    && leaving::can_finish(router, call.route, clock.now());
                if !may_hedge || !progress.attempts.may_hedge(progress.allowance(), running.len() as u32) {
                    continue;
                }
                match progress.hedge_target() {
                    Some(next) if progress.spend_budget() => {
                        progress.log_hedge(&next);
                        stats.hedges.set(stats.hedges.get() + 1);
                        running.push(run_attempt(router, call, next, &sent));
                    }
                    // No suitable replica or no budget at the moment.
                    _ => hedge_timer = clock::sleep(clock, HEDGE_RETRY_INTERVAL).fuse(),
                }
            }
            () = deadline_timer => {
                return Err(progress.timeout_error(sent.is_running()));
            }
            () = too_late => {
                if !sent.is_running() {
                    return Err(progress.exit_error(false));
                }
            }
            () = ended => {
                return Err(progress.exit_error(sent.is_running()));
            }
        }
    }
}

/// Runs an attempt and returns its result together with the replica.
async fn run_attempt(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: Rc<Replica>,
    sent: &SentCount,
) -> (Rc<Replica>, AttemptResult) {
    let result = attempt::attempt(router, call, &replica, sent).await;
    (replica, result)
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        self.end_retry(false);
    }
}

impl Progress<'_> {
    /// Records that this part of a search was lost, and with which replica.
    fn note_lost(&self, replica: Option<&Replica>) {
        let Some(losses) = self.call.losses else {
            return;
        };
        let crash = replica.map(|replica| crash_check::crash(self.call.service, replica));
        if let Some(crashes) = losses.note_lost(crash) {
            crash_alarm::raise(self.router, self.call, crashes);
        }
    }

    /// Whether so many parts of the search were lost that it may have crashed the replicas.
    fn is_loss_alarming(&self) -> bool {
        self.call.losses.is_some_and(MassLoss::is_alarming)
    }

    /// Waits until a lost part may be sent again; false if it may not.
    async fn admit_retry(&self) -> bool {
        let Some(losses) = self.call.losses else {
            return true;
        };
        loop {
            match losses.advice() {
                Advice::Retry => break,
                Advice::Wait => clock::sleep(&*self.router.clock, LOSS_POLL_INTERVAL).await,
                Advice::GiveUp => return false,
            }
        }
        if !self.is_probing.replace(true) {
            losses.begin_retry();
        }
        true
    }

    /// Records the outcome of an attempt after a loss, if there was one.
    fn end_retry(&self, replied: bool) {
        if let Some(losses) = self.call.losses
            && self.is_probing.replace(false)
        {
            losses.end_retry(replied);
        }
    }

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
        let profile = router.profile_for(self.call.route, self.call.service);
        let now = router.clock.now();
        if allowed.is_empty() {
            return replica::pick(&replicas, &self.tried, profile, now);
        }
        let allowed = replicas.iter().filter(|replica| allowed.contains(&replica.id));
        let allowed: Vec<Rc<Replica>> = allowed.cloned().collect();
        replica::pick(&allowed, &self.tried, profile, now)
    }

    /// Picks the replica for the next attempt.
    fn pick(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, .. } = self.best()?;
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// Picks the replica for a retry after a failure, if a retry is allowed.
    fn next_retry(&mut self) -> Option<Rc<Replica>> {
        if !self.attempts.may_try_again(self.allowance(), self.router.clock.now()) {
            return None;
        }
        let next = self.pick()?;
        if self.attempts.has_arrived() && !self.spend_budget() {
            metrics::counter!("kumquatnotch_budget_refusals_total").increment(1);
            return None;
        }
        Some(next)
    }

    /// Takes a retry or hedged request from the budget; false if it is exhausted.
    fn spend_budget(&self) -> bool {
        self.router.budget.spend(self.call.service, self.router.clock.now())
    }

    /// Picks a healthy replica for a hedged request, if the hedge is worthwhile.
    fn hedge_target(&mut self) -> Option<Rc<Replica>> {
        let Pick { replica, rating } = self.best()?;
        let now = self.router.clock.now();
        let left = self.call.due.saturating_duration_since(now);
        if !hedge_timing::is_worthwhile(&rating, left, || self.all_silent()) {
            return None;
        }
        self.tried.push(replica.id.clone());
        Some(replica)
    }

    /// Whether all replicas tried so far have stopped responding.
    fn all_silent(&self) -> bool {
        let now = self.router.clock.now();
        let usual = self.router.profile(self.call.route).usual;
        let mut tried = self.tried.iter().filter_map(|id| self.router.directory.find(id));
        tried.all(|replica| lateness::is_silent(&replica.observed, usual, now))
    }

    /// Logs a hedged request and the figures behind the decision.
    fn log_hedge(&self, next: &Replica) {
        let now = self.router.clock.now();
        let profile = self.router.profile(self.call.route);
        tracing::info!(
            request = %headers::log_text(self.call.identity),
            service = self.call.service.as_str(),
            late = self.tried.first().map(ReplicaId::as_str),
            replica = next.id.as_str(),
            usual_ms = profile.usual.as_millis() as u64,
            expected_ms = (next.rate(profile, now).expected * 1e3) as u64,
            due_ms = self.call.due.saturating_duration_since(now).as_millis() as u64,
            "call: a copy is sent"
        );
    }

    fn hedge_delay(&self, replica: &Replica) -> Duration {
        let now = self.router.clock.now();
        let usual = self.router.profile(self.call.route).usual;
        let other = self.best().filter(|pick| pick.rating.is_healthy());
        let other = other.filter(|_| self.router.uses(Mechanism::CopyTime));
        let left = self.call.due.saturating_duration_since(now);
        let other = other.map(|pick| pick.rating.expected);
        hedge_timing::delay(&replica.observed, other, usual, left, now)
    }

    fn record_failure(&mut self, replica: &Rc<Replica>, result: AttemptResult) {
        let outcome = match result {
            AttemptResult::Replied(reply) => {
                self.failed = Some(reply);
                AttemptOutcome::Failed
            }
            AttemptResult::Rejected | AttemptResult::Replaced => AttemptOutcome::Rejected,
            AttemptResult::NotSent => AttemptOutcome::NotSent,
            AttemptResult::Lost(error) => {
                self.end_retry(false);
                self.note_lost(Some(replica));
                tracing::info!(
                    request = %headers::log_text(self.call.identity),
                    replica = replica.id.as_str(),
                    service = self.call.service.as_str(),
                    code = error.code(),
                    "call: the reply was lost"
                );
                AttemptOutcome::Lost
            }
        };
        self.attempts.note(outcome);
    }

    /// Returns the error for a call that reaches its deadline.
    fn timeout_error(&mut self, in_progress: bool) -> CallError {
        match self.final_error() {
            CallError::NotRun { .. } if in_progress => CallError::TimedOut,
            CallError::NotRun { retry_after, .. } => {
                CallError::NotRun { retry_after, reason: "expired in queue" }
            }
            error => error,
        }
    }

    /// Returns the error for a call that is still running when the node exits.
    fn exit_error(&mut self, in_progress: bool) -> CallError {
        match self.final_error() {
            CallError::NotRun { .. } if in_progress => CallError::Ended,
            CallError::NotRun { retry_after, .. } => {
                CallError::NotRun { retry_after, reason: leaving::REASON }
            }
            error => error,
        }
    }

    fn final_error(&mut self) -> CallError {
        match (self.attempts.verdict(), self.failed.take()) {
            (Verdict::Failed, Some(reply)) => CallError::Failed(reply),
            (Verdict::NotRun, _) => {
                CallError::NotRun { retry_after: ALL_FULL_RETRY_AFTER, reason: "rejected" }
            }
            // `Verdict::Failed` implies that a failed reply is present.
            (Verdict::Failed | Verdict::Unknown, _) => CallError::Unknown,
        }
    }
}
