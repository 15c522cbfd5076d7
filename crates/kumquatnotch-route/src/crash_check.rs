//! Finding out whether a replica has crashed with a request.

use std::{rc::Rc, time::Duration};

use http::header;
use kumquatnotch_core::{
    clock,
    ids::{Fingerprint, stable_hash},
};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, Refused};

use crate::{attempt::Call, replica::Replica, router::Router};

/// How long after a broken connection it is looked whether the replica has crashed.
///
/// One that is busy answers another request meanwhile, which spares it a connection.
const CHECK_DELAY: Duration = Duration::from_millis(150);

/// How long a replica that lives takes at most to take a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the connection by which it was found to live is kept for the next request.
const CHECK_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Finds out whether `replica` has crashed, after its connection broke under a request.
///
/// One that only lost an answer takes the next connection.
pub fn check(router: &Rc<Router>, call: &Call<'_>, replica: &Rc<Replica>) {
    let attempt = stable_hash(&[call.identity.as_bytes()]);
    let crash = Crash { print: fingerprint(call.request), attempt };
    let (router, replica) = (router.clone(), replica.clone());
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
        tracing::info!(
            replica = replica.id.as_str(),
            print = %crash.print,
            "crashes: a replica crashed with a request"
        );
        router.crashes.note(crash, clock.now()).iter().for_each(log_refused);
    });
}

/// Writes a line for a request that is kept from replicas from now on.
pub fn log_refused(refused: &Refused) {
    tracing::warn!(
        print = %refused.print,
        strikes = refused.strikes,
        refused_ms = refused.span.as_millis() as u64,
        "crashes: a request is kept from replicas"
    );
}

/// What the same request has in common when it is sent again.
pub fn fingerprint(request: &Request) -> Fingerprint {
    let host = request.headers.get(header::HOST).map_or(&b""[..], |host| host.as_bytes());
    let Request { method, path, query, body, .. } = request;
    let parts = [method.as_str().as_bytes(), host, path.as_bytes(), query.as_bytes(), body];
    Fingerprint(stable_hash(&parts))
}
