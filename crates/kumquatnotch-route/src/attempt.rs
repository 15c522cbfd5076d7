//! Sending a request to one replica.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use kumquatnotch_core::Error;
use kumquatnotch_net::{
    OpaqueLink,
    message::{Reply, Request},
    opaque_link::OpaqueReply,
};
use kumquatnotch_policy::{mechanisms::Mechanism, observed::Fitness};

use crate::{
    crash_check,
    headers::HeaderNames,
    in_flight::{self, InFlight},
    names::{ReplicaId, ServiceName},
    probe,
    replica::Replica,
    route::{Route, RouteKind},
    router::Router,
};

/// How long a connection may have been idle before an exclusive request.
///
/// A replica closes idle connections, and a request that crosses the close can't
/// be told from one that ran. Opening a connection costs a few milliseconds.
const EXCLUSIVE_MAX_IDLE: Duration = Duration::from_millis(500);

/// The same for a request that may be repeated.
const IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(30);

/// A request to one service, of which each attempt is a copy.
pub struct Call<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service that is asked.
    pub service: &'a ServiceName,
    /// The request, without headers that concern one connection.
    pub request: &'a Request,
    /// The identity that the caller gave it.
    pub identity: &'a HeaderValue,
    /// Until when a reply is worth most.
    pub due: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// The replicas that may be asked; none means any.
    pub allowed: Vec<ReplicaId>,
    /// Whether even the first attempt is a repeat.
    pub is_retry: bool,
    /// Whether it has its reply, so that attempts which still run may end by themselves.
    pub is_answered: Cell<bool>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The replica replied.
    Replied(Reply),
    /// The replica did not run the request, by its own word.
    Rejected,
    /// Another replica has the address, and did not run the request.
    Replaced,
    /// Nothing was sent.
    NotSent,
    /// It was sent, and whether it has run is unknown.
    Lost(Error),
}

/// Sends a request to `replica` and waits for its reply.
///
/// Dropping it closes the connection, by which the replica learns that nobody
/// waits any more. `sent` is set as soon as the replica may have got it.
pub async fn attempt(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
    sent: &Cell<bool>,
) -> AttemptOutcome {
    let clock = &*router.clock;
    router.limit_connections(replica, call.service);
    let permit = replica.semaphore.acquire(call.route.priority).await;
    if !replica.takes_requests() {
        return AttemptOutcome::NotSent;
    }
    let Some(link) = connect(router, call, replica).await else {
        return AttemptOutcome::NotSent;
    };
    // It may have begun to drain while the connection was opened.
    if !replica.takes_requests() || clock.now() >= call.deadline {
        return AttemptOutcome::NotSent;
    }
    let at = clock.now();
    let request = build_request(router, call, replica, at);
    sent.set(true);
    replica.observed.note_sent(at);
    let usual = router.need(call.route).usual;
    let mut flight = InFlight { router, replica, call, held: Some((link, permit)), usual, at };
    let reply = match &mut flight.held {
        Some((link, _)) => exchange(router, call, link, &request).await,
        None => Err(Error::ConnectionLost),
    };
    match reply {
        Ok(OpaqueReply { reply, keep }) => {
            let (link, took) = flight.record_reply();
            if let (Some(link), Some(keep)) = (link, keep) {
                replica.pool.put(link, clock.now(), keep);
            }
            process_reply(router, call, replica, reply, took)
        }
        Err(error) => {
            flight.record_broken();
            replica.observed.note_outcome(true, clock.now());
            replica.observed.note_failed_after(clock.now().saturating_duration_since(at));
            // Whatever broke this connection has broken idle ones as well.
            replica.pool.drop_idle();
            crash_check::check(router, call, replica);
            AttemptOutcome::Lost(error)
        }
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
            // If the caller's time was over first, that says nothing of the replica.
            if clock.now() < call.deadline {
                probe::suspect(router, replica, "no connection");
            }
            None
        }
    }
}

/// The copy of the request for one replica.
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

/// Sends a request and reads its reply.
async fn exchange(
    router: &Router,
    call: &Call<'_>,
    link: &mut OpaqueLink,
    request: &Request,
) -> Result<OpaqueReply, Error> {
    link.send(request).await?;
    link.receive(&|reply| in_flight::is_reply_to(router, call.identity, reply)).await
}

/// The load of a replica.
#[derive(Clone, Copy)]
struct Load {
    running: u32,
    waiting: u32,
    /// How many times as long as usual its machine takes for all work, if it tells.
    burden: Option<f64>,
}

/// The load of a replica, by its own word.
fn reported_load(names: &HeaderNames, reply: &Reply) -> Option<Load> {
    let text = reply.headers.get(&names.load)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    // After the slots comes a percentage, from replicas that share their machine.
    let burden = figures.nth(1).and_then(|percent| percent.ok());
    Some(Load { running, waiting, burden: burden.map(|percent| f64::from(percent) / 100.0) })
}

/// What a reply says of the request and of its replica.
fn process_reply(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
    reply: Reply,
    took: Duration,
) -> AttemptOutcome {
    let now = router.clock.now();
    let load = reported_load(&router.names, &reply);
    if let Some(Load { running, waiting, burden }) = load {
        if router.uses(Mechanism::ToldLoad) {
            replica.observed.note_load(running + waiting, now);
        }
        if router.uses(Mechanism::ToldBurden) {
            replica.observed.note_burden(burden.unwrap_or(1.0), now);
        }
    }
    if reply.status.as_u16() == 421 {
        // Another replica has the address by now. Its own entry is, or will be,
        // in the directory; this one never comes back.
        replica.observed.set_fitness(Fitness::Replaced);
        replica.pool.drop_idle();
        return AttemptOutcome::Replaced;
    }
    if reply.headers.contains_key(&router.names.rejected) {
        replica.observed.note_outcome(true, now);
        replica.observed.note_failed_after(took);
        return AttemptOutcome::Rejected;
    }
    replica.observed.note_outcome(reply.status.is_server_error(), now);
    if reply.status.is_success() {
        let round_trip = replica.observed.known_trip().unwrap_or_default();
        let queue = load.map_or(0.0, |load| f64::from(load.waiting));
        // What waits there now waited before this request when it came.
        let slots = replica.observed.slots();
        let service_time = took.saturating_sub(round_trip).div_f64(1.0 + queue / slots);
        replica.observed.note_work(service_time);
        // What comes of its machine is told anew with each reply; the rest is its own.
        let service_time = service_time.div_f64(replica.observed.burden(now));
        replica.observed.note_speed(service_time, router.need(call.route).usual, now);
        router.paces.note(&call.route.name, call.route.objective, service_time);
    }
    AttemptOutcome::Replied(reply)
}
