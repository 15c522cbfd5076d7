//! Health probes of suspected replicas.
//!
//! A replica that breaks connections or stops responding gets no more requests, so its
//! recovery must be detected actively. One task per suspect sends probe requests, which
//! run no work on the replica, until the replica answers.

use std::{rc::Rc, time::Duration};

use http::HeaderValue;
use kumquatnotch_core::clock;
use kumquatnotch_net::{
    message::{Reply, Request},
    opaque_link::OpaqueReply,
};
use kumquatnotch_policy::{mechanisms::Mechanism, observed::Fitness};

use crate::{fleet::PEER_SERVICE, relay::PEER_ADDRESS_HEADER, replica::Replica, router::Router};

/// Timeout of a probe.
///
/// Longer than the pauses of a quarter of a second in which replicas do not respond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a failed probe, before jitter.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Marks a replica as suspect and probes it until it recovers or is gone.
pub fn suspect(router: &Rc<Router>, replica: &Rc<Replica>, reason: &'static str) {
    if replica.observed.fitness() != Fitness::Fit || replica.is_gone() {
        return;
    }
    let is_peer = replica.spec().service.as_str() == PEER_SERVICE;
    if !is_peer && !router.uses(Mechanism::Suspicion) {
        return;
    }
    replica.observed.set_fitness(Fitness::Suspect);
    replica.pool.drop_idle();
    metrics::counter!("kumquatnotch_suspects_total", "reason" => reason).increment(1);
    let spec = replica.spec();
    tracing::info!(
        replica = replica.id.as_str(),
        service = spec.service.as_str(),
        reason,
        "replica: suspected"
    );
    drop(spec);
    monoio::spawn(probe_until_recovered(router.clone(), replica.clone()));
}

async fn probe_until_recovered(router: Rc<Router>, replica: Rc<Replica>) {
    let clock = &*router.clock;
    while replica.observed.fitness() == Fitness::Suspect && replica.takes_requests() {
        let deadline = clock.now() + PROBE_TIMEOUT;
        let reply = clock::timeout_at(clock, deadline, probe(&router, &replica)).await;
        match reply.ok().flatten() {
            Some(reply) if !is_same_incarnation(&router, &replica, &reply) => {
                replica.observed.set_fitness(Fitness::Replaced);
                tracing::info!(
                    replica = replica.id.as_str(),
                    "replica: address belongs to another incarnation"
                );
                return;
            }
            Some(reply) if reply.status.is_success() => {
                replica.observed.set_fitness(Fitness::Fit);
                tracing::info!(replica = replica.id.as_str(), "replica: answers again");
                return;
            }
            _ => clock::sleep(clock, router.random.jitter(PROBE_RETRY_DELAY)).await,
        }
    }
}

async fn probe(router: &Router, replica: &Replica) -> Option<Reply> {
    let clock = &*router.clock;
    let service = replica.spec().service.clone();
    let path = router.probe_path(&service)?;
    let start = clock.now();
    let link = replica.pool.open(clock, start + PROBE_TIMEOUT).await.ok()?;
    replica.observed.note_connect(clock.now().saturating_duration_since(start));
    let mut request = Request::get(&path);
    let host = replica.spec().address.to_string();
    request.headers.insert(http::header::HOST, HeaderValue::from_str(&host).ok()?);
    // A node that starts during a store outage only knows the nodes that contact it, so
    // probes carry the address of the sender.
    let own = router.fleet.peer_address(&router.local_node.name);
    if let (PEER_SERVICE, Some(own)) = (service.as_str(), own) {
        let own = HeaderValue::from_str(&own.to_string()).ok()?;
        request.headers.insert(PEER_ADDRESS_HEADER, own);
    }
    metrics::counter!("kumquatnotch_probes_total").increment(1);
    // The connection is closed: a probe has no identity, so that a second copy of its reply would be
    // taken for the reply to the next request.
    let OpaqueReply { reply, .. } = link.exchange(&request, None).await.ok()?;
    Some(reply)
}

/// Whether a reply comes from this incarnation; true if it does not say.
fn is_same_incarnation(router: &Router, replica: &Replica, reply: &Reply) -> bool {
    let reported = reply.headers.get(&router.names.incarnation);
    reported.is_none_or(|reported| reported.as_bytes() == replica.id.as_str().as_bytes())
}
