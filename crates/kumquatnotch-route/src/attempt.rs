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
const EXCLUSIVE_IDLE: Duration = Duration::from_millis(500);

/// The same for a request that may be repeated.
const IDEMPOTENT_IDLE: Duration = Duration::from_secs(30);

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
    pub repeat: bool,
    /// Whether it has its reply, so that attempts which still run may end by themselves.
    pub is_settled: Cell<bool>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ended {
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
) -> Ended {
    let clock = &*router.clock;
    router.bound_connections(replica, call.service);
    let permit = replica.gate.acquire(call.route.priority).await;
    if !replica.takes_requests() {
        return Ended::NotSent;
    }
    let Some(link) = connect(router, call, replica).await else {
        return Ended::NotSent;
    };
    // It may have begun to drain while the connection was opened.
    if !replica.takes_requests() || clock.now() >= call.deadline {
        return Ended::NotSent;
    }
    let at = clock.now();
    let request = prepare(router, call, replica, at);
    sent.set(true);
    replica.observed.note_sent(at);
    let usual = router.need(call.route).usual;
    let mut flight = InFlight { router, replica, call, held: Some((link, permit)), usual, at };
    let reply = match &mut flight.held {
        Some((link, _)) => exchange(router, call, link, &request).await,
        None => Err(Error::ConnectionLost),
    };
    match reply {
        Ok(OpaqueReply { reply, idle_limit: keep }) => {
            let (link, took) = flight.replied();
            if let (Some(link), Some(keep)) = (link, keep) {
                replica.links.put(link, clock.now(), keep);
            }
            judge(router, call, replica, reply, took)
        }
        Err(error) => {
            flight.broke();
            replica.observed.note_outcome(true, clock.now());
            replica.observed.note_failed_after(clock.now().saturating_duration_since(at));
            // Whatever broke this connection has broken idle ones as well.
            replica.links.drop_idle();
            crash_check::check(router, call, replica);
            Ended::Lost(error)
        }
    }
}

async fn connect(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
) -> Option<OpaqueLink> {
    let clock = &*router.clock;
    let most_idle = match call.route.kind {
        RouteKind::Idempotent => IDEMPOTENT_IDLE,
        RouteKind::Exclusive => EXCLUSIVE_IDLE,
    };
    if let Some(link) = replica.links.take(clock.now(), most_idle) {
        return Some(link);
    }
    let start = clock.now();
    match replica.links.open(clock, call.deadline).await {
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
fn prepare(router: &Router, call: &Call<'_>, replica: &Replica, now: Instant) -> Request {
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
    link.receive(&|reply| in_flight::belongs(router, call.identity, reply)).await
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
fn told_load(names: &HeaderNames, reply: &Reply) -> Option<Load> {
    let text = reply.headers.get(&names.load)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    // After the slots comes a percentage, from replicas that share their machine.
    let burden = figures.nth(1).and_then(|percent| percent.ok());
    Some(Load { running, waiting, burden: burden.map(|percent| f64::from(percent) / 100.0) })
}

/// What a reply says of the request and of its replica.
fn judge(
    router: &Rc<Router>,
    call: &Call<'_>,
    replica: &Rc<Replica>,
    reply: Reply,
    took: Duration,
) -> Ended {
    let now = router.clock.now();
    let load = told_load(&router.names, &reply);
    if let Some(Load { running, waiting, burden }) = load {
        if router.uses(Mechanism::ToldLoad) {
            replica.observed.note_load(running + waiting, now);
        }
        if router.uses(Mechanism::ToldBurden) {
            replica.observed.note_machine_slowdown(burden.unwrap_or(1.0), now);
        }
    }
    if reply.status.as_u16() == 421 {
        // Another replica has the address by now. Its own entry is, or will be,
        // in the directory; this one never comes back.
        replica.observed.set_fitness(Fitness::Replaced);
        replica.links.drop_idle();
        return Ended::Replaced;
    }
    if reply.headers.contains_key(&router.names.rejected) {
        replica.observed.note_outcome(true, now);
        replica.observed.note_failed_after(took);
        return Ended::Rejected;
    }
    replica.observed.note_outcome(reply.status.is_server_error(), now);
    if reply.status.is_success() {
        let way = replica.observed.measured_round_trip().unwrap_or_default();
        let queue = load.map_or(0.0, |load| f64::from(load.waiting));
        // What waits there now waited before this request when it came.
        let slots = replica.observed.slots();
        let work = took.saturating_sub(way).div_f64(1.0 + queue / slots);
        replica.observed.note_service_time(work);
        // What comes of its machine is told anew with each reply; the rest is its own.
        let work = work.div_f64(replica.observed.machine_slowdown(now));
        replica.observed.note_speed(work, router.need(call.route).usual, now);
        router.paces.note(&call.route.name, call.route.objective, work);
    }
    Ended::Replied(reply)
}
