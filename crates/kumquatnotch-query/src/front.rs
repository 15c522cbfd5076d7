//! The front: the service for callers, independent of any protocol.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result,
    answer::Answer,
    clock::sleep,
    document::{Class, Document, Documents, SelectorSpec},
    front::{EntryAdvice, ExclusiveBody, Front, TicketGrant},
    ids::{QueryId, TenantName},
    lifecycle::{Lifecycle, Stage},
    marks::{MarkKind, Marks},
    member::Members,
    query::SearchRequest,
    random::Random,
    registry::Registry,
    services,
    ticket::Outcome,
};
use kumquatnotch_policy::{
    admission::{Admission, AdmissionOptions, AdmissionRequest, AdmitAll, GradedAdmission},
    advice::{EntryPolicy, NearestEntry, SpreadEntry},
    stop::{StopRule, TenantStop, WaitForAll},
};

use crate::{
    FrontOptions,
    access::{Access, permitted},
    canary::ProvenRequests,
    entry::advise,
    meters,
    planner::Planner,
    router::{Deadlines, ROUTER, Router},
    search::Search,
    tickets::{TICKETS, TicketService},
};

/// Queueing delay at which the entry advice ranks a node as if it were farther away.
const BUSY_NODE_WAIT: Duration = Duration::from_millis(50);

/// Serves the requests of callers.
pub struct FrontService {
    options: FrontOptions,
    clock: Rc<dyn Clock>,
    random: Random,
    members: Rc<dyn Members>,
    marks: Rc<dyn Marks>,
    documents: Rc<dyn Documents>,
    lifecycle: Lifecycle,
    router: Rc<Router>,
    tickets: Rc<TicketService>,
    planner: Planner,
    access: Access,
    proven: ProvenRequests,
    admission: Box<dyn Admission>,
    stop_rule: Box<dyn StopRule>,
    entry: Box<dyn EntryPolicy>,
}

impl FrontService {
    /// Creates a front that uses the services in `registry`.
    pub fn try_new(options: FrontOptions, registry: &Registry) -> Result<Rc<FrontService>> {
        let clock: Rc<dyn Clock> = registry.find(services::CLOCK)?;
        let random: Random = registry.find(services::RANDOM)?;
        let router: Rc<Router> = registry.find(ROUTER)?;
        Ok(Rc::new(FrontService {
            planner: Planner::new(clock.clone(), router.clone(), options.version_timeout),
            proven: ProvenRequests::new(options.canary_ttl, options.canary_entries),
            admission: admission(&options, &random),
            stop_rule: stop_rule(&options),
            entry: entry(&options, &random),
            access: Access::default(),
            members: registry.find(services::MEMBERS)?,
            marks: registry.find(services::MARKS)?,
            documents: registry.find(services::DOCUMENTS)?,
            lifecycle: registry.find(services::LIFECYCLE)?,
            tickets: registry.find(TICKETS)?,
            options,
            clock,
            random,
            router,
        }))
    }

    /// Starts the background tasks; must be called inside a runtime.
    pub fn start(self: &Rc<Self>) {
        let front = self.clone();
        monoio::spawn(async move {
            while front.lifecycle.stage() < Stage::Closing {
                let age = front.options.version_age;
                sleep(&*front.clock, front.random.jitter(age)).await;
                if let Some(document) = front.documents.current() {
                    front.planner.refresh_used_selectors(&document, age).await;
                }
            }
        });
    }

    /// Returns the number of caller requests running on this node.
    pub fn running(&self) -> usize {
        self.admission.running() + self.tickets.running()
    }

    /// Returns the state of the root as text for the status page.
    pub fn status_text(&self) -> String {
        let now = self.clock.now();
        let waits = Class::ALL
            .map(|class| format!("{} {:?}", class.as_str(), self.admission.wait(now, class)));
        format!(
            "searches: {} running; wait {}\nversions: {} shards known\n{}{}",
            self.admission.running(),
            waits.join(", "),
            self.planner.view.len(),
            self.router.status_text(),
            self.tickets.status_text(),
        )
    }

    /// Returns the document if this node accepts requests.
    fn serving_document(&self) -> Result<Rc<Document>> {
        match self.lifecycle.stage() {
            Stage::Starting => Err(Error::NotReady),
            // Callers cache the entry advice, so a leaving node still serves.
            Stage::Serving | Stage::Leaving => self.documents.current().ok_or(Error::NotReady),
            Stage::Closing | Stage::Ending => Err(Error::Leaving),
        }
    }

    async fn handle_search(&self, key: &str, request: SearchRequest) -> Result<Answer> {
        let document = self.serving_document()?;
        let tenant = self.access.tenant(&document, key)?;
        let spec = permitted(&document, &request.selector, &tenant, false)?;
        let result = self.run_search(&document, &tenant, spec, request).await;
        match &result {
            Ok(answer) => {
                let span = Duration::from_micros(answer.elapsed_us);
                meters::answered(&tenant, spec.class, span, &answer.coverage);
            }
            Err(error) => meters::refused("search", Some(spec.class), error),
        }
        result
    }

    async fn run_search(
        &self,
        document: &Document,
        tenant: &TenantName,
        spec: &SelectorSpec,
        request: SearchRequest,
    ) -> Result<Answer> {
        let start = self.clock.now();
        let (body, deadline) = self.check(spec, &request)?;
        let fingerprint = request.fingerprint(tenant);
        if let Some(retry_ms) = self.marks.left_ms(&MarkKind::Contained(fingerprint)) {
            return Err(Error::Contained { retry_ms });
        }
        let Some(declared) = document.rules.tenants.get(tenant) else {
            return Err(Error::Unauthorised);
        };
        let patience = self.stop_rule.patience(&declared.stop, deadline);
        let admission_request = AdmissionRequest {
            tenant: tenant.clone(),
            weight: declared.weight,
            class: spec.class,
            max_wait: patience,
        };
        let _running = Running::enter(&*self.admission, admission_request, start)?;
        let margin = self.options.margin.min(deadline / 10);
        let root_deadline = start + deadline - margin;
        let search = Search {
            clock: &*self.clock,
            router: &self.router,
            planner: &self.planner,
            admission: &*self.admission,
            stop_rule: &*self.stop_rule,
            document,
            selector: (&request.selector, spec),
            stop: declared.stop,
            query: QueryId(self.random.number()),
            tenant: tenant.clone(),
            body,
            limit: request.limit,
            fingerprint,
            start,
            deadline,
            deadlines: deadlines(start + patience, root_deadline, margin),
            margin,
            follow_up: self.options.follow_up,
            max_plans: self.options.max_plans,
            canary_initial: self.options.canary_initial,
        };
        let canary = self.options.canary && !self.proven.contains(start, fingerprint);
        let result = search.run(canary).await;
        let now = self.clock.now();
        self.admission.on_end(now, spec.class, is_starved(&result));
        match may_have_crashed_target(&result) {
            true => self.proven.remove(fingerprint),
            false if result.is_ok() => self.proven.insert(now, fingerprint),
            false => {}
        }
        result
    }

    /// Returns the serialized body and the deadline if both are within their limits.
    fn check(&self, spec: &SelectorSpec, request: &SearchRequest) -> Result<(String, Duration)> {
        let body = request.query.to_string();
        if body.len() > self.options.body_limit {
            return Err(Error::BodyTooLarge { limit: self.options.body_limit as u64 });
        }
        if request.limit == 0 || request.limit > self.options.max_hits {
            let max_hits = self.options.max_hits;
            return Err(Error::bad_request(format!("limit must be from 1 to {max_hits}")));
        }
        let requested = request.deadline_ms.map(Duration::from_millis);
        let deadline = requested.unwrap_or(spec.deadline()).min(spec.deadline());
        if deadline < self.options.min_deadline {
            let min_ms = self.options.min_deadline.as_millis();
            return Err(Error::bad_request(format!("deadline_ms must be at least {min_ms}")));
        }
        Ok((body, deadline))
    }

    fn issue_ticket(&self, key: &str) -> Result<TicketGrant> {
        let document = self.serving_document()?;
        let tenant = self.access.tenant(&document, key)?;
        self.tickets.issue(&tenant)
    }

    async fn handle_exclusive(&self, key: &str, body: ExclusiveBody) -> Result<Outcome> {
        // A "not run" error returned here might be false: a copy of the request sent
        // through another node may have run, and only the issuer knows. If this node
        // cannot reach the issuer, it tells the caller to retry.
        let Some(document) = self.documents.current() else {
            return Err(Error::IssuerUnreachable);
        };
        let tenant = self.access.tenant(&document, key)?;
        self.tickets.exclusive(&document, &tenant, body).await
    }
}

impl Front for FrontService {
    fn search<'a>(
        &'a self,
        key: &'a str,
        request: SearchRequest,
    ) -> LocalFuture<'a, Result<Answer>> {
        Box::pin(self.handle_search(key, request))
    }

    fn ticket(&self, key: &str) -> Result<TicketGrant> {
        self.issue_ticket(key).inspect_err(|error| meters::refused("ticket", None, error))
    }

    fn exclusive<'a>(
        &'a self,
        key: &'a str,
        body: ExclusiveBody,
    ) -> LocalFuture<'a, Result<Outcome>> {
        Box::pin(async move {
            let result = self.handle_exclusive(key, body).await;
            if let Err(error) | Ok(Outcome::Failed(error)) = &result {
                meters::refused("exclusive", None, error);
            }
            result
        })
    }

    fn advice(&self, near: Option<&str>) -> EntryAdvice {
        let document = self.documents.current();
        let caller = (self.lifecycle.stage(), near);
        let valid = self.options.advice_valid;
        advise(&*self.entry, &*self.members, &self.router, document.as_deref(), caller, valid)
    }
}

/// Computes the deadlines: holders finish one margin before the root, and return
/// partial answers at least one margin before that.
fn deadlines(patience: Instant, root: Instant, margin: Duration) -> Deadlines {
    let holder = root - margin;
    Deadlines { partial: patience.min(holder - margin), holder, root }
}

fn admission(options: &FrontOptions, random: &Random) -> Box<dyn Admission> {
    if options.admission {
        Box::new(GradedAdmission::new(AdmissionOptions::default(), random.clone()))
    } else {
        Box::new(AdmitAll::default())
    }
}

fn stop_rule(options: &FrontOptions) -> Box<dyn StopRule> {
    if options.stop_early { Box::new(TenantStop) } else { Box::new(WaitForAll) }
}

fn entry(options: &FrontOptions, random: &Random) -> Box<dyn EntryPolicy> {
    if options.advice_spread {
        Box::new(SpreadEntry::new(random.clone(), BUSY_NODE_WAIT))
    } else {
        Box::new(NearestEntry)
    }
}

/// Share of shards refused for lack of capacity above which a request counts as
/// starved.
const STARVED_SHARE: f64 = 0.1;

/// Returns whether a request failed or lost coverage for lack of capacity.
fn is_starved(result: &Result<Answer>) -> bool {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) => return matches!(error, Error::Overloaded { .. } | Error::GivenUp { .. }),
    };
    let codes = [Error::ExpiredInQueue.code(), Error::overloaded(Duration::ZERO).code()];
    let coverage = &answer.coverage;
    let starved = coverage.missing.iter().filter(|missing| codes.contains(&missing.code)).count();
    starved as f64 > STARVED_SHARE * f64::from(coverage.asked)
}

/// Returns whether a target was lost while running the request, which may be the cause.
fn may_have_crashed_target(result: &Result<Answer>) -> bool {
    let lost = Error::ConnectionLost.code();
    match result {
        Ok(answer) => answer.coverage.missing.iter().any(|missing| missing.code == lost),
        Err(error) => matches!(
            error,
            Error::ConnectionLost | Error::Contained { .. } | Error::TargetFailed { .. }
        ),
    }
}

/// Counts a request as running until it is dropped, also when its caller disconnects.
struct Running<'a> {
    admission: &'a dyn Admission,
    admission_request: AdmissionRequest,
}

impl<'a> Running<'a> {
    fn enter(
        admission: &'a dyn Admission,
        admission_request: AdmissionRequest,
        now: Instant,
    ) -> Result<Running<'a>> {
        admission.enter(now, &admission_request).map_err(Error::overloaded)?;
        meters::running(admission.running());
        Ok(Running { admission, admission_request })
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.admission.leave(&self.admission_request);
        meters::running(self.admission.running());
    }
}
