//! Detects whether a replica crashed while it was running a request.

use std::{rc::Rc, time::Duration};

use http::header;
use kumquatnotch_core::{
    clock,
    ids::{Fingerprint, stable_hash},
};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, Refused};

use crate::{attempt::Call, replica::Replica, router::Router};

/// Delay between a broken connection and the check whether the replica has crashed.
///
/// A busy replica replies to another request in the meantime, which makes a connection for
/// the check unnecessary.
const CHECK_DELAY: Duration = Duration::from_millis(150);

/// Maximum time in which a running replica accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the connection opened by the check is kept for the next request.
const CHECK_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Checks whether `replica` has crashed after its connection broke during a request.
///
/// A replica that only lost the reply still accepts a new connection.
pub fn check(router: &Rc<Router>, call: &Call<'_>, replica: &Rc<Replica>) {
    let attempt = stable_hash(&[call.identity.as_bytes()]);
    let crash = Crash { fingerprint: fingerprint(call.request), attempt };
    let (router, replica) = (router.clone(), replica.clone());
    let (identity, service) = (call.identity.clone(), call.service.clone());
    monoio::spawn(async move {
        let clock = &*router.clock;
        let broken_at = clock.now();
        clock::sleep(clock, CHECK_DELAY).await;
        if replica.observed.has_replied_since(broken_at) {
            return;
        }
        if let Ok(link) = replica.pool.open(clock, clock.now() + CHECK_TIMEOUT).await {
            replica.pool.put(link, clock.now(), CHECK_KEEP_ALIVE);
            return;
        }
        metrics::counter!("kumquatnotch_crashes_seen_total").increment(1);
        tracing::info!(
            request = identity.to_str().unwrap_or_default(),
            replica = replica.id.as_str(),
            service = service.as_str(),
            print = %crash.fingerprint,
            "crashes: replica crashed while running a request"
        );
        router.crashes.note(crash, clock.now()).iter().for_each(log_refused);
    });
}

/// Logs that a request is refused from now on because it crashes replicas.
pub fn log_refused(refused: &Refused) {
    tracing::warn!(
        print = %refused.fingerprint,
        strikes = refused.strikes,
        refused_ms = refused.span.as_millis() as u64,
        "crashes: refusing a request that crashes replicas"
    );
}

/// Returns a hash of the request that is the same when the caller sends it again.
pub fn fingerprint(request: &Request) -> Fingerprint {
    let host = request.headers.get(header::HOST).map_or(&b""[..], |host| host.as_bytes());
    let Request { method, path, query, body, .. } = request;
    let parts = [method.as_str().as_bytes(), host, path.as_bytes(), query.as_bytes(), body];
    Fingerprint(stable_hash(&parts))
}
