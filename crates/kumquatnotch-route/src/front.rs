//! Entry point for callers: finds the route of a request and answers it.

use std::{
    borrow::Cow,
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use kumquatnotch_core::ids::Fingerprint;
use kumquatnotch_net::{
    message::{Reply, Request},
    opaque_link::remove_hop_headers,
    server::{Handler, Work},
};
use kumquatnotch_policy::{
    answer_time::{self, Due},
    caller_timeouts::CallerTimeouts,
    crashes::Verdict,
    mechanisms::Mechanism,
    overload::SearchOutcome,
    weights::Weights,
};

use crate::{
    admission,
    attempt::Call,
    call::{self, CallError},
    crash_check,
    gather::{self, FirstPart, Gathered, Search, losses_of},
    headers, leaving,
    names::ServiceName,
    request_log::{RequestContext, RequestLog},
    route::{Destination, RouteTable, ShardSet},
    router::Router,
    semaphore::PrioritySemaphore,
    trial::{self, Trial},
};

/// `Retry-After` when no service of a weighted route has a weight.
const NO_WEIGHT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` when there is no capacity for a late retry of a search.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of concurrent searches that are late retries.
///
/// During outages and traffic peaks, late retries without a limit make 1 in 100
/// first-time searches late. A limit of 1 instead of 3 refuses 1 in 300 of all searches
/// although they could have been answered late.
const MAX_LATE_RETRIES: u32 = 3;

/// Handles the requests of callers.
pub struct RouteFront {
    router: Rc<Router>,
    weights: Weights,
    caller_timeouts: CallerTimeouts,
    /// Limits concurrent late retries of searches.
    late_retries: Rc<PrioritySemaphore>,
}

/// A refusal or failure that this node generates itself.
#[derive(Clone, Debug)]
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    /// Value of `Retry-After`; set only if the request has not run.
    retry_after: Option<Duration>,
    /// Value of `Alt-Svc`: the nodes to use instead.
    alternatives: Option<HeaderValue>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { status, reason, retry_after: None, alternatives: None }
    }

    /// A refusal that guarantees that the request has not run and never will.
    fn not_run(reason: &'static str, retry_after: Duration) -> Refusal {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason);
        Refusal { retry_after: Some(retry_after), ..refusal }
    }

    /// A refusal by a leaving node, for a caller of `host`.
    fn leaving(router: &Router, host: &str) -> Refusal {
        let (retry_after, alternatives) = leaving::alternatives(router, host);
        Refusal { alternatives, ..Refusal::not_run(leaving::REASON, retry_after) }
    }

    fn reply(self) -> Reply {
        let mut reply = Reply::text(self.status, format!("{}\n", self.reason));
        if let Some(retry_after) = self.retry_after {
            // Whole seconds would exceed the duration of most requests.
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(alternatives) = self.alternatives {
            reply.headers.insert(header::ALT_SVC, alternatives);
        }
        reply
    }
}

impl RouteFront {
    /// Creates a handler for the routes and replicas of `router`.
    pub fn new(router: Rc<Router>) -> RouteFront {
        let late_retries = Rc::new(PrioritySemaphore::default());
        late_retries.set_limit(MAX_LATE_RETRIES);
        RouteFront {
            router,
            weights: Weights::default(),
            caller_timeouts: CallerTimeouts::default(),
            late_retries,
        }
    }

    async fn answer(&self, request: Request, arrival: Instant) -> Reply {
        let (context, table) = match self.resolve(&request, arrival) {
            Ok(context) => context,
            Err(refusal) => {
                let identity = request.headers.get(&self.router.names.request);
                tracing::info!(
                    request = %identity.map(headers::log_text).unwrap_or_default(),
                    status = refusal.status.as_u16(),
                    reason = refusal.reason,
                    "front: refused"
                );
                return refusal.reply();
            }
        };
        if request.body.len() > table.limits().body {
            return Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large").reply();
        }
        let log = RequestLog::new(&self.router, &context);
        let request = strip_hop_headers(request);
        let fingerprint = crash_check::fingerprint(&request);
        let outcome = match self.verdict(fingerprint, arrival) {
            Verdict::Free => self.send(&context, &request, None, &log).await,
            Verdict::Trial => {
                let trial = Trial::new(&self.router, &context, &request, fingerprint);
                self.send(&context, &request, Some(trial), &log).await
            }
            Verdict::Refused { retry_after } => Err(trial::refusal(retry_after)),
        };
        let (reply, reason) = into_reply(&self.router, &context.route.host, outcome);
        if reply.status.is_success() && log.missing.get() == 0 {
            self.router.crashes.note_answer(fingerprint, self.router.clock.now());
        }
        log.write(reply.status, reason);
        reply
    }

    /// Finds the route of a request and computes its deadlines.
    fn resolve(
        &self,
        request: &Request,
        arrival: Instant,
    ) -> Result<(RequestContext, Rc<RouteTable>), Refusal> {
        let names = &self.router.names;
        let host = header_text(&request.headers, &header::HOST).unwrap_or_default();
        if leaving::is_closing(&self.router) {
            return Err(Refusal::leaving(&self.router, host));
        }
        let caller_timeout =
            header_text(&request.headers, &names.deadline).and_then(|text| text.parse().ok());
        let caller_timeout = caller_timeout.map(Duration::from_millis);
        let table = self.router.table().filter(|_| self.router.is_ready());
        let Some(table) = table else {
            let retry_after = self.router.not_ready_retry(caller_timeout.unwrap_or_default());
            return Err(Refusal::not_run("no configuration yet", retry_after));
        };
        let Some(identity) = request.headers.get(&names.request).cloned() else {
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "the request has no identity"));
        };
        let Some(route) = table.find(host, &request.path).cloned() else {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "no route"));
        };
        if !leaving::can_finish(&self.router, &route, arrival) {
            return Err(Refusal::leaving(&self.router, host));
        }
        let deadline = arrival + caller_timeout.unwrap_or(Duration::MAX).min(route.timeout);
        let waited = caller_timeout.map_or(Duration::ZERO, |caller_timeout| {
            self.caller_timeouts.waited(&route.name, caller_timeout, route.timeout)
        });
        let time_to_answer = self.router.time_to_answer(&route, request.is_first);
        let Due { within, is_late_retry } = Due::new(time_to_answer, waited);
        let context = RequestContext {
            identity,
            route,
            version: table.version(),
            arrival,
            due: arrival + within,
            deadline,
            is_late_retry,
        };
        Ok((context, table))
    }

    /// Sends a request to the replicas that its route names, after a trial if it needs one.
    async fn send(
        &self,
        context: &RequestContext,
        request: &Request,
        trial: Option<Trial>,
        log: &RequestLog<'_>,
    ) -> Result<Reply, CallError> {
        let service = match &context.route.destination {
            Destination::Service(service) => service,
            Destination::Weighted(services) => {
                self.weights.pick(&context.route.name, services).ok_or(CallError::NotRun {
                    retry_after: NO_WEIGHT_RETRY_AFTER,
                    reason: "no service has a weight",
                })?
            }
            Destination::Shards(set) => {
                let first = match trial {
                    Some(trial) => Some(trial.run_search(set).await?),
                    None => None,
                };
                return self.search(context, set, request, first, log).await;
            }
        };
        match trial {
            Some(trial) => trial.run_single(service).await,
            None => self.call(context, service, request, log).await,
        }
    }

    async fn call(
        &self,
        context: &RequestContext,
        service: &ServiceName,
        request: &Request,
        log: &RequestLog<'_>,
    ) -> Result<Reply, CallError> {
        let call = Call {
            route: &context.route,
            service,
            request,
            identity: &context.identity,
            due: context.due,
            deadline: context.deadline,
            allowed: Vec::new(),
            is_retry: false,
            losses: None,
            is_answered: Cell::new(false),
        };
        call::call(&self.router, &call, &log.stats).await
    }

    async fn search(
        &self,
        context: &RequestContext,
        set: &ShardSet,
        request: &Request,
        first: Option<FirstPart>,
        log: &RequestLog<'_>,
    ) -> Result<Reply, CallError> {
        let mut search = Search {
            route: &context.route,
            set,
            request,
            identity: &context.identity,
            due: context.due,
            deadline: context.deadline,
            is_late_retry: context.is_late_retry,
            losses: losses_of(&self.router, request),
        };
        let mut permit = None;
        let may_wait = first.is_none() && self.router.uses(Mechanism::WaitingCallers);
        if context.is_late_retry && may_wait {
            permit =
                admission::wait_for_capacity(&self.router, &self.late_retries, &mut search).await;
            if permit.is_none() {
                return Err(CallError::NotRun {
                    retry_after: NO_CAPACITY_RETRY_AFTER,
                    reason: "no room for a late search",
                });
            }
        }
        let Gathered { answer, parts, missing, relayed } =
            gather::gather(&self.router, &search, first, &log.stats).await;
        drop(permit);
        if !context.is_late_retry {
            self.record_outcome(context, &answer);
        }
        log.parts.set(parts);
        log.missing.set(missing);
        log.relayed.set(relayed);
        answer
    }
}

impl RouteFront {
    /// Returns how a request may run, given the crashes that it was present at.
    fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        match self.router.uses(Mechanism::Containment) {
            true => self.router.crashes.verdict(fingerprint, now),
            false => Verdict::Free,
        }
    }

    /// Records whether an admitted search was answered in time.
    fn record_outcome(&self, context: &RequestContext, answer: &Result<Reply, CallError>) {
        let now = self.router.clock.now();
        let overdue = now.saturating_duration_since(context.due);
        if answer.is_ok() && !overdue.is_zero() {
            self.router.lags.note(overdue);
        }
        let in_time = answer_time::is_in_time(overdue);
        let outcome = match answer {
            Ok(_) if in_time => SearchOutcome::InTime,
            // A refusal does not show whether admitted searches are in time.
            Err(CallError::NotRun { .. }) => return,
            _ => SearchOutcome::Late,
        };
        self.router.overload.note(&context.route.name, outcome, now);
    }
}

impl Handler for RouteFront {
    fn start(&self, request: Request) -> Work<'_> {
        let arrival = self.router.clock.now();
        Work::new(self.answer(request, arrival))
    }

    fn identity<'a>(&self, request: &'a Request) -> Cow<'a, str> {
        let identity = request.headers.get(&self.router.names.request);
        identity.map(headers::log_text).unwrap_or_default()
    }

    fn refuse_unread(&self) -> Reply {
        Refusal::leaving(&self.router, "").reply()
    }
}

/// Removes the headers that only concern the connection to the caller.
fn strip_hop_headers(mut request: Request) -> Request {
    remove_hop_headers(&mut request.headers);
    request.headers.remove(header::CONTENT_LENGTH);
    request.headers.remove(header::EXPECT);
    request
}

/// Returns the reply to a caller of `host` and the reason for the log.
fn into_reply(
    router: &Router,
    host: &str,
    outcome: Result<Reply, CallError>,
) -> (Reply, &'static str) {
    let refusal = match outcome {
        Ok(reply) => return (reply, "answered"),
        Err(CallError::Failed(reply)) => return (reply, "failed at the replica"),
        Err(CallError::NotRun { reason, .. }) if leaving::is_leaving(router) => {
            Refusal { reason, ..Refusal::leaving(router, host) }
        }
        Err(CallError::NotRun { retry_after, reason }) => Refusal::not_run(reason, retry_after),
        Err(CallError::Unknown) => Refusal::new(StatusCode::BAD_GATEWAY, "outcome unknown"),
        Err(CallError::Ended) => Refusal::new(StatusCode::BAD_GATEWAY, "ended at the exit"),
        Err(CallError::TimedOut) => Refusal::new(StatusCode::GATEWAY_TIMEOUT, "timed out"),
    };
    let reason = refusal.reason;
    (refusal.reply(), reason)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
