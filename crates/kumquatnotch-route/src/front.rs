//! What callers reach: finds the route of a request and answers it.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use kumquatnotch_net::{
    message::{Reply, Request},
    opaque_link::remove_hop_headers,
    server::{Handler, Work},
};
use kumquatnotch_policy::{
    answer_time::{self, Due},
    caller_timeouts::CallerTimeouts,
    mechanisms::Mechanism,
    overload::SearchOutcome,
    weights::Weights,
};

use crate::{
    admission,
    attempt::Call,
    call::{self, CallFault},
    crash_check,
    gate::Gate,
    gather::{self, Gathered, Search},
    names::ServiceName,
    request_log::{Asked, RequestLog},
    route::{Destination, RouteTable, ShardSet},
    router::Router,
};

/// When to come back if the configuration leads nowhere.
const NO_WEIGHT_RETRY: Duration = Duration::from_millis(400);

/// When to come back if there was no room for a search that was late already.
const NO_ROOM_RETRY: Duration = Duration::from_millis(300);

/// How many searches of callers that come again run at once.
///
/// Measured on days of outages and of crowds: without a bound, one in a hundred of the
/// searches that come first is late for them; with one instead of three, one in three
/// hundred of all is refused that could be answered late.
const RETURNING_AT_ONCE: u32 = 3;

/// What callers reach.
pub struct RouteFront {
    router: Rc<Router>,
    weights: Weights,
    patience: CallerTimeouts,
    /// Lets in searches of callers that come again.
    returning: Rc<Gate>,
}

/// A refusal or failure of the node's own.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    /// When to come back; only if the request has not run.
    retry: Option<Duration>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { status, reason, retry: None }
    }

    /// A promise that the request has not run and never will.
    fn not_run(reason: &'static str, retry: Duration) -> Refusal {
        Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry: Some(retry) }
    }

    fn reply(self) -> Reply {
        let mut reply = Reply::text(self.status, format!("{}\n", self.reason));
        if let Some(retry) = self.retry {
            // Whole seconds would be longer than most requests last.
            let seconds = format!("{:.3}", retry.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers.insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

impl RouteFront {
    /// A front for what `router` knows.
    pub fn new(router: Rc<Router>) -> RouteFront {
        let returning = Rc::new(Gate::default());
        returning.set_limit(RETURNING_AT_ONCE);
        RouteFront {
            router,
            weights: Weights::default(),
            patience: CallerTimeouts::default(),
            returning,
        }
    }

    async fn answer(&self, request: Request, arrival: Instant) -> Reply {
        let (asked, table) = match self.ask(&request, arrival) {
            Ok(asked) => asked,
            Err(refusal) => {
                let identity = request.headers.get(&self.router.names.request);
                tracing::info!(
                    request = identity.and_then(|value| value.to_str().ok()).unwrap_or_default(),
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
        let log = RequestLog::new(&self.router, &asked);
        let request = strip(request);
        if let Some(span) = self.refused_for(&request, arrival) {
            let refusal = Refusal::not_run("the request has crashed replicas", span);
            log.write(refusal.status, refusal.reason);
            return refusal.reply();
        }
        let outcome = match &asked.route.destination {
            Destination::Service(service) => self.call(&asked, service, &request, &log).await,
            Destination::Weighted(services) => {
                match self.weights.pick(&asked.route.name, services) {
                    Some(service) => self.call(&asked, service, &request, &log).await,
                    None => Err(CallFault::NotRun {
                        retry: NO_WEIGHT_RETRY,
                        reason: "no service has a weight",
                    }),
                }
            }
            Destination::Shards(set) => self.search(&asked, set, &request, &log).await,
        };
        let (reply, reason) = finish(outcome);
        if reply.status.is_success() && log.missing.get() == 0 {
            self.clear(&request);
        }
        log.write(reply.status, reason);
        reply
    }

    /// Finds the route and the time of a request.
    fn ask(&self, request: &Request, arrival: Instant) -> Result<(Asked, Rc<RouteTable>), Refusal> {
        let names = &self.router.names;
        let told = text(&request.headers, &names.deadline).and_then(|text| text.parse().ok());
        let told = told.map(Duration::from_millis);
        let table = self.router.table().filter(|_| self.router.is_ready());
        let Some(table) = table else {
            let retry = self.router.not_ready_retry(told.unwrap_or_default());
            return Err(Refusal::not_run("no configuration yet", retry));
        };
        let Some(identity) = request.headers.get(&names.request).cloned() else {
            return Err(Refusal::new(StatusCode::BAD_REQUEST, "the request has no identity"));
        };
        let host = text(&request.headers, &header::HOST).unwrap_or_default();
        let Some(route) = table.find(host, &request.path).cloned() else {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "no route"));
        };
        let deadline = arrival + told.unwrap_or(Duration::MAX).min(route.timeout);
        let waited = told
            .map_or(Duration::ZERO, |told| self.patience.waited(&route.name, told, route.timeout));
        let waiting = self.router.waiting_time(&route, request.is_first);
        let Due { within, is_returning } = Due::new(waiting, waited);
        let asked = Asked {
            identity,
            route,
            version: table.version(),
            arrival,
            due: arrival + within,
            deadline,
            returning: is_returning,
        };
        Ok((asked, table))
    }

    async fn call(
        &self,
        asked: &Asked,
        service: &ServiceName,
        request: &Request,
        log: &RequestLog<'_>,
    ) -> Result<Reply, CallFault> {
        let call = Call {
            route: &asked.route,
            service,
            request,
            identity: &asked.identity,
            due: asked.due,
            deadline: asked.deadline,
            allowed: Vec::new(),
            repeat: false,
            is_settled: Cell::new(false),
        };
        call::call(&self.router, &call, &log.trace).await
    }

    async fn search(
        &self,
        asked: &Asked,
        set: &ShardSet,
        request: &Request,
        log: &RequestLog<'_>,
    ) -> Result<Reply, CallFault> {
        let mut search = Search {
            route: &asked.route,
            set,
            request,
            identity: &asked.identity,
            due: asked.due,
            deadline: asked.deadline,
            returning: asked.returning,
        };
        let mut permit = None;
        if asked.returning && self.router.uses(Mechanism::WaitingCallers) {
            permit = admission::await_room(&self.router, &self.returning, &mut search).await;
            if permit.is_none() {
                return Err(CallFault::NotRun {
                    retry: NO_ROOM_RETRY,
                    reason: "no room for a late search",
                });
            }
        }
        let Gathered { answer, parts, missing, relayed } =
            gather::gather(&self.router, &search, &log.trace).await;
        drop(permit);
        if !asked.returning {
            self.note_fate(asked, &answer);
        }
        log.parts.set(parts);
        log.missing.set(missing);
        log.relayed.set(relayed);
        answer
    }
}

impl RouteFront {
    /// For how long a request is refused because it crashes replicas.
    fn refused_for(&self, request: &Request, now: Instant) -> Option<Duration> {
        let crashes = &self.router.crashes;
        if crashes.is_empty() || !self.router.uses(Mechanism::Containment) {
            return None;
        }
        crashes.refused_for(crash_check::fingerprint(request), now)
    }

    /// Clears a request that was answered whole of the suspicion to crash replicas.
    fn clear(&self, request: &Request) {
        let crashes = &self.router.crashes;
        if !crashes.is_empty() {
            crashes.clear(crash_check::fingerprint(request));
        }
    }

    /// Notes whether a search that was let in was answered in time.
    fn note_fate(&self, asked: &Asked, answer: &Result<Reply, CallFault>) {
        let now = self.router.clock.now();
        let overdue = now.saturating_duration_since(asked.due);
        if answer.is_ok() && !overdue.is_zero() {
            self.router.lags.note(overdue);
        }
        let in_time = answer_time::is_in_time(overdue);
        let fate = match answer {
            Ok(_) if in_time => SearchOutcome::InTime,
            // It says nothing of those that were let in.
            Err(CallFault::NotRun { .. }) => return,
            _ => SearchOutcome::Late,
        };
        self.router.strains.note(&asked.route.name, fate, now);
    }
}

impl Handler for RouteFront {
    fn start(&self, request: Request) -> Work<'_> {
        let arrival = self.router.clock.now();
        Work::new(self.answer(request, arrival))
    }
}

/// The request without what concerns only the connection to its caller.
fn strip(mut request: Request) -> Request {
    remove_hop_headers(&mut request.headers);
    request.headers.remove(header::CONTENT_LENGTH);
    request.headers.remove(header::EXPECT);
    request
}

/// The reply to the caller, and why it is none of a replica.
fn finish(outcome: Result<Reply, CallFault>) -> (Reply, &'static str) {
    let refusal = match outcome {
        Ok(reply) => return (reply, "answered"),
        Err(CallFault::Failed(reply)) => return (reply, "failed at the replica"),
        Err(CallFault::NotRun { retry, reason }) => Refusal::not_run(reason, retry),
        Err(CallFault::Unknown) => Refusal::new(StatusCode::BAD_GATEWAY, "outcome unknown"),
        Err(CallFault::TimedOut) => Refusal::new(StatusCode::GATEWAY_TIMEOUT, "timed out"),
    };
    (refusal.reply(), refusal.reason)
}

fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
