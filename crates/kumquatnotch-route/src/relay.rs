//! Queries several shards through a relay node in the data centre of their replicas.
//!
//! Every part that leaves its data centre adds headers and records to the traffic
//! between data centres. The relay merges the parts, so that a single short reply is
//! sent instead of one for each shard: the greatest records of all parts and the proofs
//! of the parts.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{HeaderValue, StatusCode};
use kumquatnotch_core::{Error, Result, clock, codec, lifecycle::Stage};
use kumquatnotch_net::{message::Request, opaque_link::KeptLink};
use kumquatnotch_policy::observed::Fitness;

use crate::{
    gather::Search,
    headers, probe,
    relay_message::{RelayReply, RelayRequest},
    relay_plan::Group,
    replica::Replica,
    route::ShardSet,
    router::Router,
};

/// Path of gather requests of other nodes.
pub const RELAY_PATH: &str = "/v1/gather";

/// Path of probes of other nodes.
pub const PROBE_PATH: &str = "/v1/health";

/// Path at which a node reports whether it is running a request.
pub const RUNNING_PATH: &str = "/v1/running";

/// Header with the address at which the sending node accepts other nodes.
pub const PEER_ADDRESS_HEADER: &str = "x-kumquatnotch-node";

/// Timeout of the check whether a relay is running a request.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between these checks.
const RUNNING_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum idle time of a connection between nodes.
pub(crate) const PEER_MAX_IDLE: Duration = Duration::from_secs(30);

/// Time that both nodes spend on a relayed gather, excluding the round trip.
///
/// Sufficient for nodes with a quarter of a core.
const RELAY_OVERHEAD: Duration = Duration::from_millis(8);

/// Minimum time given to the relay, as a multiple of the usual service time.
const MIN_DUE_FACTOR: f64 = 2.5;

/// How long past the due time the reply of a relay may arrive.
///
/// After that, the relay is asked whether it is running the request at all.
const REPLY_SLACK: Duration = Duration::from_millis(40);

/// The outcome of a relayed group of shards.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The relay has gathered these parts.
    Gathered(RelayReply),
    /// The relay did not run the request at all.
    NotRun,
    /// Whether the relay has run the request is unknown.
    Lost,
}

/// Asks a relay to gather the parts of a group of shards.
pub async fn relay(router: &Rc<Router>, search: &Search<'_>, group: &Group) -> RelayOutcome {
    let peer = &group.peer;
    let sent = Cell::new(false);
    let send_gather = std::pin::pin!(send_gather(router, search, group, &sent));
    let lost = std::pin::pin!(wait_until_lost(router, search, peer));
    let ended = std::pin::pin!(router.lifecycle.reached(Stage::Ending));
    let result = match select(send_gather, select(lost, ended)).await {
        Either::Left((result, _)) => result,
        Either::Right((Either::Left(_), _)) => Err(Error::ConnectionSilent),
        Either::Right((Either::Right(_), _)) => {
            return if sent.get() { RelayOutcome::Lost } else { RelayOutcome::NotRun };
        }
    };
    match result {
        Ok(reply) => RelayOutcome::Gathered(reply),
        Err(error) => {
            tracing::info!(
                request = %headers::log_text(search.identity),
                node = peer.id.as_str(),
                shards = group.shards.len(),
                sent = sent.get(),
                code = error.code(),
                "relay: failed"
            );
            if sent.get() {
                probe::suspect(router, peer, "no reply to a gathering");
                RelayOutcome::Lost
            } else {
                probe::suspect(router, peer, "no connection");
                RelayOutcome::NotRun
            }
        }
    }
}

/// Completes when the relay is found not to be running the request.
///
/// A relay replies when the answer is due, unless too many parts are missing. If it is
/// silent for longer, its process may have ended or the connection may be lost, so it is
/// asked on another connection whether it is running the request.
async fn wait_until_lost(router: &Router, search: &Search<'_>, peer: &Replica) {
    let clock = &*router.clock;
    let first = search.due + REPLY_SLACK;
    clock.sleep_until(first.max(clock.now() + REPLY_SLACK)).await;
    loop {
        let deadline = clock.now() + RUNNING_TIMEOUT;
        let running = clock::timeout_at(clock, deadline, is_running(router, search, peer)).await;
        if !matches!(running, Ok(Ok(true))) {
            return;
        }
        clock::sleep(clock, RUNNING_INTERVAL).await;
    }
}

/// Asks a node whether it is running a request.
async fn is_running(router: &Router, search: &Search<'_>, peer: &Replica) -> Result<bool> {
    let clock = &*router.clock;
    let link = peer.pool.open(clock, clock.now() + RUNNING_TIMEOUT).await?;
    let mut request = Request::get(RUNNING_PATH).with_param("request", search.identity);
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    let answer = link.exchange(&request, None).await?;
    if let Some(KeptLink { link, idle_limit }) = answer.kept {
        peer.pool.put(link, clock.now(), idle_limit);
    }
    Ok(answer.reply.status == StatusCode::OK)
}

async fn send_gather(
    router: &Rc<Router>,
    search: &Search<'_>,
    group: &Group,
    sent: &Cell<bool>,
) -> Result<RelayReply> {
    let clock = &*router.clock;
    let peer = &group.peer;
    let start = clock.now();
    let link = match peer.pool.take(start, PEER_MAX_IDLE) {
        Some(link) => link,
        None => {
            let link = peer.pool.open(clock, search.due).await?;
            peer.observed.note_connect(clock.now().saturating_duration_since(start));
            link
        }
    };
    let message = codec::encode(&relay_request(router, search, group))?;
    let mut request = Request::post(RELAY_PATH, "application/msgpack", message);
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    let sent_at = clock.now();
    sent.set(true);
    peer.observed.note_sent(sent_at);
    let _open = OpenRequest { peer, sent_at };
    let answer = link.exchange(&request, None).await?;
    if let Some(KeptLink { link, idle_limit }) = answer.kept {
        peer.pool.put(link, clock.now(), idle_limit.max(PEER_MAX_IDLE));
    }
    if answer.reply.status != StatusCode::OK {
        // A relay that refuses has not queried any replica.
        sent.set(false);
        let status = answer.reply.status.as_u16();
        return Err(Error::protocol(format!("relay replied with status {status}")));
    }
    let reply = RelayReply::decode(&answer.reply.body, group.shards.len())?;
    // Connections are long-lived, so connects alone give too few round-trip samples.
    let took = clock.now().saturating_duration_since(sent_at);
    peer.observed.note_connect(took.saturating_sub(Duration::from_micros(reply.took_us)));
    Ok(reply)
}

/// Guard that counts a request to a node as open until it is dropped.
struct OpenRequest<'a> {
    peer: &'a Replica,
    sent_at: std::time::Instant,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.peer.observed.note_end(self.sent_at, None);
    }
}

fn relay_request(router: &Router, search: &Search<'_>, group: &Group) -> RelayRequest {
    let now = router.clock.now();
    let left = search.deadline.saturating_duration_since(now);
    // Leaves time for the reply to travel back.
    let due = search.due.saturating_duration_since(now);
    let route = search.route;
    let due = due.saturating_sub(group.peer.observed.round_trip() + RELAY_OVERHEAD);
    let due = due.max(router.profile(route).usual.mul_f64(MIN_DUE_FACTOR));
    let headers = search.request.headers.iter();
    RelayRequest {
        route: route.name.as_str().to_owned(),
        attempts: route.attempts,
        priority: route.priority,
        objective_us: route.objective.as_micros() as u64,
        due_us: due.as_micros() as u64,
        left_us: left.as_micros() as u64,
        top: search.set.top,
        enough: min_group_parts(search.set, group),
        shards: group
            .shards
            .iter()
            .zip(&group.allowed)
            .map(|(index, allowed)| {
                let allowed = allowed.iter().map(|id| id.as_str().to_owned()).collect();
                (search.set.shards[*index].as_str().to_owned(), allowed)
            })
            .collect(),
        method: search.request.method.as_str().to_owned(),
        target: search.request.target(),
        headers: headers
            .map(|(name, value)| {
                (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
            })
            .collect(),
        body: search.request.body.clone(),
    }
}

/// Number of parts of a group that are enough when the answer is due.
///
/// With fewer, too many parts would be missing even if all other shards replied.
fn min_group_parts(set: &ShardSet, group: &Group) -> usize {
    let max_missing = set.shards.len() - set.min_parts().min(set.shards.len());
    group.shards.len().saturating_sub(max_missing).max(1)
}

/// Whether requests can be sent to a node.
pub(crate) fn is_usable(peer: &Replica) -> bool {
    peer.observed.fitness() == Fitness::Fit && peer.takes_requests()
}
