//! Detects whether a replica crashed while it was running a request.

use std::{rc::Rc, time::Duration};

use http::{HeaderValue, header};
use kumquatnotch_core::{
    clock,
    ids::{Fingerprint, ServiceName, stable_hash},
};
use kumquatnotch_net::message::{Reply, Request};
use kumquatnotch_policy::crashes::{Crash, CrashRecord};

use crate::{attempt::Call, crash_records, headers, replica::Replica, router::Router};

/// Delay between a broken connection and the check whether the replica has crashed.
///
/// A busy replica replies to another request in the meantime, which makes a connection for
/// the check unnecessary.
const CHECK_DELAY: Duration = Duration::from_millis(150);

/// Maximum time in which a running replica accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum duration of a check, with some time for its own work.
pub const MAX_DURATION: Duration = Duration::from_millis(700);

/// How long the connection opened by the check is kept for the next request.
const CHECK_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Checks whether `replica` has crashed after its connection broke during a request.
///
/// A replica that only lost the reply still accepts a new connection. If another replica of the
/// service replies to the request meanwhile, the request is not the reason of the crash.
pub fn check(router: &Rc<Router>, call: &Call<'_>, replica: &Rc<Replica>) {
    let fingerprint = fingerprint(call.request);
    let crash = crash(call.service, replica);
    let (router, replica) = (router.clone(), replica.clone());
    let (identity, service) = (call.identity.clone(), call.service.clone());
    let target = call.request.target();
    router.crashes.begin_check(fingerprint);
    monoio::spawn(async move {
        let has_crashed = has_crashed(&router, &replica).await;
        let has_replied = router.crashes.end_check(fingerprint, crash.service);
        if !has_crashed {
            return;
        }
        metrics::counter!("kumquatnotch_crashes_seen_total").increment(1);
        let record = CrashRecord::new(&target, crash_records::unix_seconds());
        let now = router.clock.now();
        let counted = !has_replied && router.crashes.note_crash(fingerprint, crash, record, now);
        router.crashes.note_confirmed(fingerprint);
        tracing::info!(
            request = %headers::log_text(&identity),
            replica = replica.id.as_str(),
            service = service.as_str(),
            print = %fingerprint,
            counted,
            "crashes: replica crashed while running a request"
        );
        if counted {
            router.publish_crashes(fingerprint);
        }
    });
}

/// Returns the crash of a replica while it ran a request.
pub fn crash(service: &ServiceName, replica: &Replica) -> Crash {
    Crash { incarnation: incarnation_hash(replica), service: service_hash(service) }
}

/// Returns a hash of the incarnation of a replica.
///
/// A replica may start again under its id. If crashes were counted by id, a request would never be
/// held back at a service with fewer replicas than crashes that count.
fn incarnation_hash(replica: &Replica) -> u64 {
    let id = replica.id.as_str().as_bytes();
    match replica.spec().born {
        Some(born) => stable_hash(&[id, &born.to_be_bytes()]),
        None => stable_hash(&[id]),
    }
}

/// Returns whether a replica whose connection has just broken no longer runs.
async fn has_crashed(router: &Router, replica: &Replica) -> bool {
    let clock = &*router.clock;
    let broken_at = clock.now();
    clock::sleep(clock, CHECK_DELAY).await;
    if has_restarted(router, replica) {
        return true;
    }
    if replica.observed.has_replied_since(broken_at) {
        return false;
    }
    match replica.pool.open(clock, clock.now() + CHECK_TIMEOUT).await {
        Ok(link) => {
            replica.pool.put(link, clock.now(), CHECK_KEEP_ALIVE);
            false
        }
        Err(_) => true,
    }
}

/// Whether a later incarnation of a replica is known, which may accept connections at its address.
fn has_restarted(router: &Router, replica: &Replica) -> bool {
    let current = router.directory.find(&replica.id);
    let current_born = current.and_then(|current| current.spec().born);
    matches!((replica.spec().born, current_born), (Some(known), Some(current)) if current > known)
}

/// Records a reply of a replica that has run a request, which did not crash it.
///
/// Only replies with a proof count: others do not show that the request was run.
pub fn note_reply(router: &Router, call: &Call<'_>, reply: &Reply) {
    if router.crashes.is_idle() || !is_proven(router, reply) {
        return;
    }
    let fingerprint = fingerprint(call.request);
    if router.crashes.note_reply(fingerprint, service_hash(call.service)) {
        acquit(router, fingerprint);
    }
}

/// Whether a reply shows that a replica has run the request to its end.
pub fn is_proven(router: &Router, reply: &Reply) -> bool {
    reply.headers.contains_key(&router.names.proof)
        && !reply.headers.contains_key(&router.names.rejected)
}

/// Forgets a suspect request that has turned out to be harmless.
pub fn acquit(router: &Router, fingerprint: Fingerprint) {
    tracing::info!(print = %fingerprint, "crashes: a suspect request is acquitted by a reply");
    router.forget_crashes(fingerprint);
}

/// Returns the hash of a service's name.
pub fn service_hash(service: &ServiceName) -> u64 {
    stable_hash(&[service.as_str().as_bytes()])
}

/// Returns a hash of the request that is the same when the caller sends it again.
///
/// The credentials tell the caller. Without them, the replies to others at the same path would speak
/// for a request that crashes replicas, or these others would be refused with it.
pub fn fingerprint(request: &Request) -> Fingerprint {
    let value = |name| request.headers.get(name).map(HeaderValue::as_bytes);
    let Request { method, path, query, body, .. } = request;
    let host = value(header::HOST).unwrap_or_default();
    let mut parts = vec![method.as_str().as_bytes(), host, path.as_bytes(), query.as_bytes(), body];
    parts.extend(value(header::AUTHORIZATION));
    Fingerprint(stable_hash(&parts))
}
