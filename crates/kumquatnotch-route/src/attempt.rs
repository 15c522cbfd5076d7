//! A single attempt: sends a request to one replica.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue};
use kumquatnotch_core::{Error, Result};
use kumquatnotch_net::{
    OpaqueLink,
    message::{Reply, Request},
    opaque_link::{Echo, KeptLink, OpaqueReply},
};
use kumquatnotch_policy::{mass_loss::MassLoss, mechanisms::Mechanism, observed::Fitness};

use crate::{
    crash_check,
    headers::HeaderNames,
    in_flight::InFlight,
    names::{ReplicaId, ServiceName},
    probe,
    replica::Replica,
    route::{Route, RouteKind},
    router::Router,
};

/// Maximum idle time of a connection that is reused for an exclusive request.
///
/// Replicas close idle connections. If a request races with the close, whether it ran is
/// unknown, while opening a new connection takes only a few milliseconds.
const EXCLUSIVE_MAX_IDLE: Duration = Duration::from_millis(500);

/// Maximum idle time of a connection that is reused for an idempotent request.
const IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(30);

/// A request to one service; each attempt sends a copy of it.
pub struct Call<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service to call.
    pub service: &'a ServiceName,
    /// The request, without hop-by-hop headers.
    pub request: &'a Request,
    /// The request identity that the caller set.
    pub identity: &'a HeaderValue,
    /// The latest time at which a reply meets the objective.
    pub due: Instant,
    /// The deadline.
    pub deadline: Instant,
    /// The replicas that may be used; an empty list allows any.
    pub allowed: Vec<ReplicaId>,
    /// Whether even the first attempt counts as a retry.
    pub is_retry: bool,
    /// What was lost of the search that this is a part of, if it is one.
    pub losses: Option<&'a MassLoss>,
    /// Whether a reply was received, so that attempts still running may end by themselves.
    pub is_answered: Cell<bool>,
}

/// Number of running attempts of a call whose replica may have received the request.
#[derive(Debug, Default)]
pub struct SentCount(Cell<u32>);

impl SentCount {
    /// Whether a replica may be running the request.
    pub fn is_running(&self) -> bool {
        self.0.get() > 0
    }

    fn enter(&self) -> SentGuard<'_> {
        self.0.set(self.0.get() + 1);
        SentGuard(self)
    }
}

/// Guard that counts an attempt as sent until it is dropped.
struct SentGuard<'a>(&'a SentCount);

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The replica replied.
    Replied(Reply),
    /// The replica replied that it did not run the request.
    Rejected,
    /// The address belongs to another replica now, which did not run the request.
    Replaced,
    /// Nothing was sent.
    NotSent,
    /// The request was sent; whether it has run is unknown.
    Lost(Error),
}

/// Sends a request to `replica` and waits for its reply.
///
/// Dropping the future closes the connection, which tells the replica to stop working on
/// the request. `sent` counts the attempt from when the replica may have received the request.
pub async fn attempt(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
    sent: &SentCount,
) -> AttemptResult {
    let clock = &*router.clock;
    router.limit_connections(replica, call.service);
    let permit = replica.semaphore.acquire(call.route.priority).await;
    if !replica.takes_requests() {
        return AttemptResult::NotSent;
    }
    let Some(link) = connect(router, call, replica).await else {
        return AttemptResult::NotSent;
    };
    // The replica may have started draining while the connection was opened.
    if !replica.takes_requests() || clock.now() >= call.deadline {
        return AttemptResult::NotSent;
    }
    let sent_at = clock.now();
    let request = build_request(router, call, replica, sent_at);
    let _sent = sent.enter();
    replica.observed.note_sent(sent_at);
    let usual = router.profile(call.route).usual;
    let echo = Echo { name: router.names.request.clone(), identity: call.identity.clone() };
    let exchange = link.exchange(&request, Some(echo));
    let mut in_flight =
        InFlight { router, replica, call, held: Some((exchange, permit)), usual, sent_at };
    let reply = match &mut in_flight.held {
        Some((exchange, _)) => exchange.await,
        None => Err(Error::ConnectionLost),
    };
    match reply.and_then(|answer| check_proof(router, answer)) {
        Ok(OpaqueReply { reply, kept }) => {
            crash_check::note_reply(router, call, &reply);
            let took = in_flight.record_reply();
            if let Some(KeptLink { link, idle_limit }) = kept {
                replica.pool.put(link, clock.now(), idle_limit);
            }
            process_reply(router, call, replica, reply, took)
        }
        Err(error) => {
            in_flight.record_broken();
            replica.observed.note_outcome(true, clock.now());
            replica.observed.note_failed_after(clock.now().saturating_duration_since(sent_at));
            if matches!(error, Error::Protocol { .. }) {
                probe::suspect(router, replica, "no valid reply");
            }
            // The idle connections to this replica are probably broken too.
            replica.pool.drop_idle();
            crash_check::check(router, call, replica);
            AttemptResult::Lost(error)
        }
    }
}

/// Rejects a success that does not prove that the replica has run the request.
///
/// Callers could not tell it from the reply of the replica, for example if it is that of a probe.
fn check_proof(router: &Router, answer: OpaqueReply) -> Result<OpaqueReply> {
    let Reply { status, headers, .. } = &answer.reply;
    if status.is_success() && !has_proof(headers, &router.names) {
        return Err(Error::protocol("success without a proof"));
    }
    Ok(answer)
}

/// Whether a reply has a single proof.
///
/// Callers get the proofs of parts separated by commas, and reject them all if one is none.
fn has_proof(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let mut proofs = headers.get_all(&names.proof).iter();
    match (proofs.next(), proofs.next()) {
        (Some(proof), None) => !proof.is_empty() && !proof.as_bytes().contains(&b','),
        _ => false,
    }
}

async fn connect(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
) -> Option<OpaqueLink> {
    let clock = &*router.clock;
    let max_idle = match call.route.kind {
        RouteKind::Idempotent => IDEMPOTENT_MAX_IDLE,
        RouteKind::Exclusive => EXCLUSIVE_MAX_IDLE,
    };
    if let Some(link) = replica.pool.take(clock.now(), max_idle) {
        return Some(link);
    }
    let start = clock.now();
    match replica.pool.open(clock, call.deadline).await {
        Ok(link) => {
            replica.observed.note_connect(clock.now().saturating_duration_since(start));
            metrics::counter!("kumquatnotch_connections_opened_total").increment(1);
            Some(link)
        }
        Err(_) => {
            // If the deadline of the caller passed first, the replica is not at fault.
            if clock.now() < call.deadline {
                probe::suspect(router, replica, "no connection");
            }
            None
        }
    }
}

/// Builds the copy of the request for one replica.
fn build_request(router: &Router, call: &Call<'_>, replica: &Replica, now: Instant) -> Request {
    let mut request = call.request.clone();
    let left = call.deadline.saturating_duration_since(now).as_millis() as u64;
    let names = &router.names;
    request.headers.insert(names.deadline.clone(), HeaderValue::from(left.max(1)));
    if let Ok(id) = HeaderValue::from_str(replica.id.as_str()) {
        request.headers.insert(names.expected.clone(), id);
    }
    request
}

/// Maximum number of running or waiting requests that is taken from a replica.
///
/// The load is assumed to be worked off before the replica gets requests again.
const MAX_REPORTED: u32 = 5_000;

/// The load that a replica reports.
#[derive(Clone, Copy)]
struct Load {
    running: u32,
    waiting: u32,
    /// Slowdown of its machine as a multiple of the usual service time, if reported.
    slowdown: Option<f64>,
}

/// Reads the load that a replica reports in a reply.
fn reported_load(names: &HeaderNames, reply: &Reply) -> Option<Load> {
    let text = reply.headers.get(&names.load)?.to_str().ok()?;
    let mut values = text.split(',').map(|value| value.trim().parse::<u32>());
    let running = values.next()?.ok()?.min(MAX_REPORTED);
    let waiting = values.next()?.ok()?.min(MAX_REPORTED);
    // Replicas that share their machine report a percentage after the slots.
    let slowdown = values.nth(1).and_then(|percent| percent.ok());
    Some(Load { running, waiting, slowdown: slowdown.map(|percent| f64::from(percent) / 100.0) })
}

/// Classifies a reply and updates the statistics of its replica.
fn process_reply(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
    reply: Reply,
    took: Duration,
) -> AttemptResult {
    let now = router.clock.now();
    let load = reported_load(&router.names, &reply);
    if let Some(Load { running, waiting, slowdown }) = load {
        if router.uses(Mechanism::ToldLoad) {
            replica.observed.note_load(running + waiting, now);
        }
        if router.uses(Mechanism::ToldBurden) {
            replica.observed.note_machine_slowdown(slowdown.unwrap_or(1.0), now);
        }
    }
    if reply.status.as_u16() == 421 {
        // 421 Misdirected Request: another replica has the address now and has, or will
        // get, an entry of its own in the directory. This one never comes back.
        replica.observed.set_fitness(Fitness::Replaced);
        replica.pool.drop_idle();
        return AttemptResult::Replaced;
    }
    if reply.headers.contains_key(&router.names.rejected) {
        replica.observed.note_outcome(true, now);
        replica.observed.note_failed_after(took);
        return AttemptResult::Rejected;
    }
    replica.observed.note_outcome(reply.status.is_server_error(), now);
    if reply.status.is_success() {
        let round_trip = replica.observed.measured_round_trip().unwrap_or_default();
        let queue = load.map_or(0.0, |load| f64::from(load.waiting));
        // Assumes that the queue was as long when this request arrived as it is now.
        let slots = replica.observed.slots();
        let service_time = took.saturating_sub(round_trip).div_f64(1.0 + queue / slots);
        replica.observed.note_service_time(service_time);
        // Each reply reports the slowdown of the machine anew, so it is divided out; the
        // rest is the speed of the replica itself.
        let service_time = service_time.div_f64(replica.observed.machine_slowdown(now));
        replica.observed.note_speed(service_time, router.profile(call.route).usual, now);
        router.service_times.note(&call.route.name, call.route.objective, service_time);
    }
    AttemptResult::Replied(reply)
}
