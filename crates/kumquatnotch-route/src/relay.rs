//! Asking a node beside the replicas for the merged parts of several shards.
//!
//! Each part that leaves its data centre costs its head and its records. A node
//! beside the replicas merges them, so that one short reply crosses instead of one
//! for each shard: the greatest records of all, and the proofs of the parts.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{HeaderValue, StatusCode};
use kumquatnotch_core::{Error, Result, clock, codec};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::observed::Fitness;

use crate::{
    gather::Search,
    probe,
    relay_message::{RelayReply, RelayRequest},
    relay_plan::Group,
    replica::Replica,
    route::ShardSet,
    router::Router,
};

/// Where nodes take what other nodes ask them to gather.
pub const RELAY_PATH: &str = "/v1/gather";

/// Where nodes answer probes of other nodes.
pub const PROBE_PATH: &str = "/v1/health";

/// Where nodes tell whether they have a request.
pub const RUNNING_PATH: &str = "/v1/running";

/// In which a node tells another one where it takes other nodes itself.
pub const PEER_ADDRESS_HEADER: &str = "x-kumquatnotch-node";

/// How long a node may take to tell whether it has a request.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(250);

/// How often it is asked.
const RUNNING_INTERVAL: Duration = Duration::from_millis(250);

/// How long a connection between nodes may be idle.
const PEER_MAX_IDLE: Duration = Duration::from_secs(30);

/// The time that both nodes take for a relayed gathering, besides the ways.
///
/// Measured on nodes with a quarter of a core.
const RELAY_OVERHEAD: Duration = Duration::from_millis(8);

/// The least time that the other node gets, as a multiple of the usual time.
const MIN_DUE_FACTOR: f64 = 2.5;

/// How much later than due the reply of another node may come.
///
/// Then it is asked whether it works on the request at all.
const REPLY_SLACK: Duration = Duration::from_millis(40);

/// How a relayed group of shards ended.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The other node has gathered these parts.
    Gathered(RelayReply),
    /// It did not run the request at all.
    NotRun,
    /// Whether it has is unknown.
    Lost,
}

/// Asks a node to gather the parts of a group of shards.
pub async fn relay(router: &Rc<Router>, search: &Search<'_>, group: &Group) -> RelayOutcome {
    let peer = &group.peer;
    let sent = Cell::new(false);
    let send_gather = std::pin::pin!(send_gather(router, search, group, &sent));
    let lost = std::pin::pin!(wait_until_lost(router, search, peer));
    let result = match select(send_gather, lost).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Error::ConnectionSilent),
    };
    match result {
        Ok(reply) => RelayOutcome::Gathered(reply),
        Err(error) => {
            tracing::info!(
                request = search.identity.to_str().unwrap_or_default(),
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

/// Completes if the other node doesn't work on the request.
///
/// It replies when the answer is due unless too many parts are missing. One that
/// is silent for longer may have ended, or the connection to it may be lost; so
/// it is asked, on another connection, whether it has the request.
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

/// Whether a node has a request, by its own word.
async fn is_running(router: &Router, search: &Search<'_>, peer: &Replica) -> Result<bool> {
    let clock = &*router.clock;
    let mut link = peer.pool.open(clock, clock.now() + RUNNING_TIMEOUT).await?;
    let identity = search.identity.to_str().map_err(Error::internal)?;
    let mut request = Request::get(&format!("{RUNNING_PATH}?request={identity}"));
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    link.send(&request).await?;
    let answer = link.receive(&|_| true).await?;
    if let Some(keep) = answer.keep {
        peer.pool.put(link, clock.now(), keep);
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
    let mut link = match peer.pool.take(start, PEER_MAX_IDLE) {
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
    let at = clock.now();
    sent.set(true);
    peer.observed.note_sent(at);
    let _open = OpenRequest { peer, at };
    link.send(&request).await?;
    let answer = link.receive(&|_| true).await?;
    if let Some(keep) = answer.keep {
        peer.pool.put(link, clock.now(), keep.max(PEER_MAX_IDLE));
    }
    if answer.reply.status != StatusCode::OK {
        // It refuses before it asks any replica.
        sent.set(false);
        let status = answer.reply.status.as_u16();
        return Err(Error::protocol(format!("a node replied with status {status}")));
    }
    let reply: RelayReply = codec::decode(&answer.reply.body)?;
    // Connections are kept for long, so that few openings tell the way.
    let took = clock.now().saturating_duration_since(at);
    peer.observed.note_connect(took.saturating_sub(Duration::from_micros(reply.took_us)));
    Ok(reply)
}

/// Counts a request to a node for as long as it is open.
struct OpenRequest<'a> {
    peer: &'a Replica,
    at: std::time::Instant,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.peer.observed.note_end(self.at, None);
    }
}

fn relay_request(router: &Router, search: &Search<'_>, group: &Group) -> RelayRequest {
    let now = router.clock.now();
    let left = search.deadline.saturating_duration_since(now);
    // The reply needs its way back.
    let due = search.due.saturating_duration_since(now);
    let route = search.route;
    let due = due.saturating_sub(group.peer.observed.round_trip() + RELAY_OVERHEAD);
    let due = due.max(router.need(route).usual.mul_f64(MIN_DUE_FACTOR));
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

/// How many parts of a group are enough when the answer is due.
///
/// With fewer, too many would be missing for an answer even if all others came.
fn min_group_parts(set: &ShardSet, group: &Group) -> usize {
    let most_missing = set.shards.len() - set.min_parts().min(set.shards.len());
    group.shards.len().saturating_sub(most_missing).max(1)
}

/// Whether a node can be asked.
pub(crate) fn is_usable(peer: &Replica) -> bool {
    peer.observed.fitness() == Fitness::Fit && peer.takes_requests()
}
