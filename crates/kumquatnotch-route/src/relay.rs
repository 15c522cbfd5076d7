//! Asking a node beside the replicas for the merged parts of several shards.
//!
//! Each part that leaves its data centre costs its head and its records. A node
//! beside the replicas merges them, so that one short reply crosses instead of one
//! for each shard: the greatest records of all, and the proofs of the parts.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use kumquatnotch_core::{Error, Result, clock, codec, ids::DataCentre};
use kumquatnotch_net::message::Request;
use serde::{Deserialize, Serialize};

use crate::{
    choice::{self, Need},
    gather::Search,
    names::{ReplicaId, RouteName, ServiceName},
    probe,
    replica::{Fitness, Replica},
    route::{Destination, Route, RouteKind, ShardSet},
    router::Router,
};

/// Where nodes take what other nodes ask them to gather.
pub const RELAY_PATH: &str = "/v1/gather";

/// Where nodes answer probes of other nodes.
pub const PROBE_PATH: &str = "/v1/health";

/// Where nodes tell whether they have a request.
pub const RUNNING_PATH: &str = "/v1/running";

/// How long a node may take to tell whether it has a request.
const RUNNING_TIME: Duration = Duration::from_millis(250);

/// How often it is asked.
const RUNNING_PERIOD: Duration = Duration::from_millis(250);

/// By how much later than the best a replica may be expected to reply, in seconds,
/// for its data centre to do as well.
///
/// More than replicas of one region differ by, less than a way between regions.
const NEAR_SLACK: f64 = 0.006;

/// The fewest shards for which a node of another data centre is asked.
///
/// For a single one, its message is no shorter than the part itself.
pub const LEAST_SHARDS: usize = 2;

/// How long a connection between nodes may be idle.
const PEER_IDLE: Duration = Duration::from_secs(30);

/// The time that both nodes take for a relayed gathering, besides the ways.
///
/// Measured on nodes with a quarter of a core.
const MERGE_TIME: Duration = Duration::from_millis(8);

/// The least time that the other node gets, as a multiple of the usual time.
const LEAST_TIMES: f64 = 2.5;

/// How much later than due the reply of another node may come.
///
/// Then it is asked whether it works on the request at all.
const REPLY_SLACK: Duration = Duration::from_millis(40);

/// What a node asks another one to gather.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The route.
    pub route: String,
    /// The most replicas that may run the request, for each shard.
    pub attempts: u32,
    /// The rank of the request.
    pub priority: u32,
    /// The time within which an answer is worth most, in microseconds.
    pub objective_us: u64,
    /// The part of that which is left here, in microseconds.
    pub due_us: u64,
    /// The time left in all, in microseconds.
    pub left_us: u64,
    /// How many of the greatest records are wanted.
    pub top: usize,
    /// How many parts are enough once the time in which they are worth most is over.
    pub enough: usize,
    /// The shards, each with the replicas that may be asked; none means any.
    pub shards: Vec<(String, Vec<String>)>,
    /// The method of the caller's request.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

/// What the other node has gathered.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct RelayReply {
    /// The greatest records, falling.
    pub records: Bytes,
    /// The proofs of the parts.
    pub proofs: Vec<Bytes>,
    /// The shards that are missing, by their place in the request.
    pub missing: Vec<usize>,
    /// Whether a replica may have run the request.
    pub ran: bool,
    /// How long the gathering took, in microseconds.
    pub took_us: u64,
}

/// How a relayed group of shards ended.
#[derive(Debug)]
pub enum Relayed {
    /// The other node has gathered these parts.
    Gathered(RelayReply),
    /// It did not run the request at all.
    NotRun,
    /// Whether it has is unknown.
    Lost,
}

/// A group of shards, and the node that is asked for them.
pub struct Group {
    /// The node.
    pub peer: Rc<Replica>,
    /// The shards, by their place in the set.
    pub shards: Vec<usize>,
    /// The replicas of each shard that may be asked; none means any.
    ///
    /// If the other node is lost, the shards are asked for from here again. Both
    /// must keep to the same few replicas then, or more of them than the route
    /// allows would run the request.
    pub allowed: Vec<Vec<ReplicaId>>,
}

/// Which shards of a search are asked for, and by whom.
pub struct Plan {
    /// The shards that are asked for from here, by their place in the set.
    pub here: Vec<usize>,
    /// The shards that are asked for through nodes of other data centres.
    pub groups: Vec<Group>,
}

/// Plans a search over `shards`, by their place in the set.
pub fn plan(router: &Router, search: &Search<'_>, shards: Vec<usize>) -> Plan {
    let Search { route, set, .. } = search;
    let need = router.paces.need(route);
    let mut here = Vec::new();
    let mut away: Vec<Away> = Vec::new();
    for index in shards {
        let centres = nearest_centres(router, &set.shards[index], need);
        if centres.is_empty() || centres.contains(&router.place.centre) {
            here.push(index);
        } else {
            away.push(Away { index, centres });
        }
    }
    let mut groups = Vec::new();
    while let Some((peer, centre)) = best_centre(router, &route.host, &away) {
        let (taken, rest): (Vec<Away>, Vec<Away>) =
            away.into_iter().partition(|shard| shard.centres.contains(&centre));
        away = rest;
        let shards: Vec<usize> = taken.into_iter().map(|shard| shard.index).collect();
        let allowed = shards.iter().map(|index| allowed(router, route, &set.shards[*index]));
        groups.push(Group { peer, allowed: allowed.collect(), shards });
    }
    here.extend(away.into_iter().map(|shard| shard.index));
    Plan { here, groups }
}

/// A shard whose nearest replicas are in other data centres.
struct Away {
    index: usize,
    centres: Vec<DataCentre>,
}

/// The data centres with a replica that is expected to reply about as soon as the best.
fn nearest_centres(router: &Router, shard: &ServiceName, need: Need) -> Vec<DataCentre> {
    let now = router.clock.now();
    let replicas = router.directory.of(shard);
    let Some(best) = choice::best(&replicas, &[], need, now) else {
        return Vec::new();
    };
    let mut centres = vec![best.replica.spec().centre.clone()];
    for replica in replicas.iter().filter(|replica| choice::is_good(replica, need.usual, now)) {
        let near = choice::cost(replica, need, now) <= best.cost + NEAR_SLACK;
        let centre = replica.spec().centre.clone();
        if near && !centres.contains(&centre) {
            centres.push(centre);
        }
    }
    centres
}

/// The data centre that holds most of the shards `away`, with a node of it.
fn best_centre(router: &Router, host: &str, away: &[Away]) -> Option<(Rc<Replica>, DataCentre)> {
    let mut centres: Vec<&DataCentre> = away.iter().flat_map(|shard| &shard.centres).collect();
    centres.sort_unstable();
    centres.dedup();
    // Of two that hold as many, each is taken in its turn.
    router.random.shuffle(&mut centres);
    let count =
        |centre: &DataCentre| away.iter().filter(|shard| shard.centres.contains(centre)).count();
    centres.sort_by_key(|centre| std::cmp::Reverse(count(centre)));
    let fitting = centres.into_iter().filter(|centre| count(centre) >= LEAST_SHARDS);
    fitting.filter_map(|centre| Some((router.peer_in(host, centre)?, centre.clone()))).next()
}

/// Asks a node to gather the parts of a group of shards.
pub async fn relay(router: &Rc<Router>, search: &Search<'_>, group: &Group) -> Relayed {
    let peer = &group.peer;
    let sent = Cell::new(false);
    let ask = std::pin::pin!(ask(router, search, group, &sent));
    let lost = std::pin::pin!(lost(router, search, peer));
    let result = match select(ask, lost).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Error::ConnectionSilent),
    };
    match result {
        Ok(reply) => Relayed::Gathered(reply),
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
                Relayed::Lost
            } else {
                probe::suspect(router, peer, "no connection");
                Relayed::NotRun
            }
        }
    }
}

/// Completes if the other node doesn't work on the request.
///
/// It replies when the answer is due unless too many parts are missing. One that
/// is silent for longer may have ended, or the connection to it may be lost; so
/// it is asked, on another connection, whether it has the request.
async fn lost(router: &Router, search: &Search<'_>, peer: &Replica) {
    let clock = &*router.clock;
    let first = search.due + REPLY_SLACK;
    clock.sleep_until(first.max(clock.now() + REPLY_SLACK)).await;
    loop {
        let deadline = clock.now() + RUNNING_TIME;
        let running = clock::timeout_at(clock, deadline, is_running(router, search, peer)).await;
        if !matches!(running, Ok(Ok(true))) {
            return;
        }
        clock::sleep(clock, RUNNING_PERIOD).await;
    }
}

/// Whether a node has a request, by its own word.
async fn is_running(router: &Router, search: &Search<'_>, peer: &Replica) -> Result<bool> {
    let clock = &*router.clock;
    let mut link = peer.links.open(clock, clock.now() + RUNNING_TIME).await?;
    let identity = search.identity.to_str().map_err(Error::internal)?;
    let mut request = Request::get(&format!("{RUNNING_PATH}?request={identity}"));
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    link.send(&request).await?;
    let answer = link.receive(&|_| true).await?;
    if let Some(keep) = answer.keep {
        peer.links.put(link, clock.now(), keep);
    }
    Ok(answer.reply.status == StatusCode::OK)
}

async fn ask(
    router: &Rc<Router>,
    search: &Search<'_>,
    group: &Group,
    sent: &Cell<bool>,
) -> Result<RelayReply> {
    let clock = &*router.clock;
    let peer = &group.peer;
    let start = clock.now();
    let mut link = match peer.links.take(start, PEER_IDLE) {
        Some(link) => link,
        None => {
            let link = peer.links.open(clock, search.due).await?;
            peer.note_connect(clock.now().saturating_duration_since(start));
            link
        }
    };
    let message = codec::encode(&message(router, search, group))?;
    let mut request = Request::post(RELAY_PATH, "application/msgpack", message);
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    let at = clock.now();
    sent.set(true);
    peer.note_sent(at);
    let _ended = Ended { peer, at };
    link.send(&request).await?;
    let answer = link.receive(&|_| true).await?;
    if let Some(keep) = answer.keep {
        peer.links.put(link, clock.now(), keep.max(PEER_IDLE));
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
    peer.note_connect(took.saturating_sub(Duration::from_micros(reply.took_us)));
    Ok(reply)
}

/// Counts a request to a node for as long as it is open.
struct Ended<'a> {
    peer: &'a Replica,
    at: std::time::Instant,
}

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.peer.note_end(self.at, None);
    }
}

fn message(router: &Router, search: &Search<'_>, group: &Group) -> RelayRequest {
    let now = router.clock.now();
    let left = search.deadline.saturating_duration_since(now);
    // The reply needs its way back.
    let due = search.due.saturating_duration_since(now);
    let route = search.route;
    let due = due.saturating_sub(group.peer.round_trip() + MERGE_TIME);
    let due = due.max(router.paces.usual(route).mul_f64(LEAST_TIMES));
    let headers = search.request.headers.iter();
    RelayRequest {
        route: route.name.as_str().to_owned(),
        attempts: route.attempts,
        priority: route.priority,
        objective_us: route.objective.as_micros() as u64,
        due_us: due.as_micros() as u64,
        left_us: left.as_micros() as u64,
        top: search.set.top,
        enough: enough(search.set, group),
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
fn enough(set: &ShardSet, group: &Group) -> usize {
    let most_missing = set.shards.len() - set.least_parts().min(set.shards.len());
    group.shards.len().saturating_sub(most_missing).max(1)
}

/// The replicas of a shard that one search may ask; none means any.
fn allowed(router: &Router, route: &Route, shard: &ServiceName) -> Vec<ReplicaId> {
    let replicas = router.directory.of(shard);
    if replicas.len() <= route.attempts as usize {
        return Vec::new();
    }
    let need = router.paces.need(route);
    let now = router.clock.now();
    let mut allowed: Vec<ReplicaId> = Vec::new();
    while allowed.len() < route.attempts as usize {
        match choice::best(&replicas, &allowed, need, now) {
            Some(pick) => allowed.push(pick.replica.id.clone()),
            None => break,
        }
    }
    allowed
}

impl RelayRequest {
    /// The route, as far as the gathering needs it.
    pub fn route(&self) -> Route {
        let shards = self.shards.iter().map(|(name, _)| ServiceName::from(&**name));
        let set = ShardSet { shards: shards.collect(), top: self.top, least: 0.0 };
        Route {
            name: RouteName::from(&*self.route),
            host: String::new(),
            prefix: String::new(),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_micros(self.left_us),
            objective: Duration::from_micros(self.objective_us),
            attempts: self.attempts,
            priority: self.priority,
            destination: Destination::Shards(set),
        }
    }

    /// The caller's request.
    pub fn request(&self) -> Result<Request> {
        let method = Method::from_bytes(self.method.as_bytes()).map_err(Error::bad_request)?;
        let mut request = Request::new(method, &self.target);
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(Error::bad_request)?;
            let value = HeaderValue::from_bytes(value).map_err(Error::bad_request)?;
            headers.append(name, value);
        }
        request.headers = headers;
        request.body = self.body.clone();
        Ok(request)
    }
}

/// Whether a node can be asked.
pub(crate) fn is_usable(peer: &Replica) -> bool {
    peer.fitness() == Fitness::Fit && peer.takes_requests()
}
