//! Execution of one search, from its plan to its answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Error, Result,
    answer::{Answer, Coverage, GroupAnswer},
    document::{Class, Document, SelectorSpec, StopSpec},
    ids::{Fingerprint, IndexVersion, QueryId, SelectorName, ShardName, TenantName},
    query::{GroupRequest, Hit},
};
use kumquatnotch_policy::{admission::Admission, stop::StopRule};

use crate::{
    gather::{Gather, Round},
    merge::merge,
    meters,
    plan::{GoneShards, Plan},
    planner::Planner,
    router::{Deadlines, Router},
};

/// Divisor of the deadline for the time within which versions must be known.
const PLAN_DIVISOR: u32 = 2;
/// Timeout for requests for versions while a search is running.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(50);
/// Age up to which a report of versions is not refreshed.
const REFRESH_AGE: Duration = Duration::from_millis(50);

/// Admitted search, with everything needed to run it.
pub(crate) struct Search<'a> {
    pub clock: &'a dyn Clock,
    pub router: &'a Router,
    pub planner: &'a Planner,
    pub admission: &'a dyn Admission,
    pub stop_rule: &'a dyn StopRule,
    pub document: &'a Document,
    pub selector: (&'a SelectorName, &'a SelectorSpec),
    pub stop: StopSpec,
    pub query: QueryId,
    pub tenant: TenantName,
    pub body: String,
    pub limit: u32,
    pub fingerprint: Fingerprint,
    pub start: Instant,
    pub deadline: Duration,
    pub deadlines: Deadlines,
    pub margin: Duration,
    pub follow_up: bool,
    pub max_plans: usize,
    pub canary_initial: Duration,
}

impl Search<'_> {
    /// Runs the search; with `canary` it goes to one shard first.
    pub async fn run(&self, mut canary: bool) -> Result<Answer> {
        let plan_deadline = self.start + self.deadline / PLAN_DIVISOR;
        let mut plan = self.planner.plan(self.document, self.selector, plan_deadline).await?;
        let mut gone = GoneShards::new();
        for round in 0..self.max_plans.max(1) {
            let gather = Gather::new(self, &plan, round + 1 >= self.max_plans);
            match gather.run(canary, &mut gone).await? {
                Round::Done(hits, coverage) => return Ok(self.answer(hits, coverage)),
                Round::Replan { plan: next, covered } => {
                    // A canary that reached a shard at another version has not run the
                    // request.
                    canary &= covered == 0;
                    meters::replanned();
                    tracing::info!("front: search planned again at version {}", next.version);
                    plan = next;
                }
            }
        }
        Err(Error::NoSnapshot)
    }

    fn answer(&self, hits: Vec<Hit>, coverage: Coverage) -> Answer {
        let span = self.clock.now().saturating_duration_since(self.start);
        Answer {
            hits: merge(hits, self.limit as usize, &self.tenant),
            coverage,
            config: self.document.version,
            elapsed_us: span.as_micros() as u64,
        }
    }

    /// Returns whether there is time for another round.
    pub fn may_replan(&self) -> bool {
        self.clock.now() + self.margin < self.deadlines.partial
    }

    /// Requests the versions that have no recent report from the holders.
    pub async fn refresh(&self) {
        let until = self.deadlines.partial.min(self.clock.now() + REFRESH_TIMEOUT);
        self.planner.refresh_stale(self.document, self.selector, REFRESH_AGE, until).await;
    }

    /// Returns another plan for the whole answer, if there is a better one and enough
    /// time.
    pub fn replan(&self, old: &Plan, gone: &GoneShards) -> Option<Rc<Plan>> {
        if !self.may_replan() {
            return None;
        }
        self.planner.replan(self.document, self.selector, old, gone)
    }

    /// Returns the request for `shards`; the router fills in the times.
    pub fn request(&self, version: IndexVersion, shards: Vec<ShardName>) -> GroupRequest {
        GroupRequest {
            query: self.query,
            tenant: self.tenant.clone(),
            class: self.class(),
            selector: self.selector.0.clone(),
            version,
            shards,
            body: self.body.clone(),
            limit: self.limit,
            fingerprint: self.fingerprint,
            patience_ms: 0,
            deadline_ms: 0,
            hedge: false,
        }
    }

    /// Returns how long to wait for the first canary.
    pub fn canary_delay(&self) -> Duration {
        let max_delay = self.canary_end().saturating_duration_since(self.start);
        self.router.canary_delay(self.class(), self.canary_initial).min(max_delay)
    }

    /// Returns when to stop waiting for canaries, which leaves time for the other
    /// shards.
    pub fn canary_end(&self) -> Instant {
        self.start + self.deadlines.partial.saturating_duration_since(self.start) / 2
    }

    /// Records the versions and the queueing delay reported with an answer.
    pub fn record_answer(&self, answer: &GroupAnswer) {
        let now = self.clock.now();
        self.planner.view.update(now, &answer.held);
        self.admission.observe_wait(now, self.class(), Duration::from_micros(answer.wait_us));
    }

    /// Records the retry time of an overloaded holder as its queueing delay.
    pub fn record_refusal(&self, error: &Error) {
        if let (Error::Overloaded { .. }, Some(retry)) = (error, error.retry_after()) {
            self.admission.observe_wait(self.clock.now(), self.class(), retry);
        }
    }

    pub fn class(&self) -> Class {
        self.selector.1.class
    }
}
