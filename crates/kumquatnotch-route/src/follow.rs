//! Follows a node that watches the store, instead of watching the store itself.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use kumquatnotch_core::{
    Error, Result, clock, codec,
    collections::HashMap,
    ids::DataCentre,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};
use kumquatnotch_net::{message::Request, opaque_link::KeptLink};
use kumquatnotch_policy::mechanisms::Mechanism;
use serde::{Deserialize, Serialize};

use crate::{advice::Candidate, journal::StoreUpdate, relay, replica::Replica, router::Router};

/// Path at which nodes answer their followers.
pub const FOLLOW_PATH: &str = "/v1/follow";

/// Number of nodes in each data centre that watch the store.
///
/// Two, so that one may end or be rejected by the store.
pub const READERS_PER_CENTRE: usize = 2;

/// Maximum number of nodes of a data centre that all watch the store, in a small fleet.
///
/// With so few nodes, following saves too few calls to justify its extra latency.
const SMALL_CENTRE_NODES: usize = 4;

/// Maximum number of nodes of a small fleet.
///
/// In a larger fleet, the nodes that are not announced (those on standby) follow as well.
const SMALL_FLEET_NODES: usize = 12;

/// How long a node counts as followed after a request of a follower.
const FOLLOWED_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum wait of a follower's request, which bounds how long a lost connection goes unnoticed.
pub const FOLLOW_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum wait of a follower that knows a later revision than this node.
///
/// Nodes that watch the store differ by the delay with which they collect changes. One that is
/// behind for longer may have missed a restore of the store, and its followers ask others.
const BEHIND_WAIT: Duration = Duration::from_millis(400);

/// Timeout of a request for changes, beyond its wait.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a request for the full state.
///
/// At 250 bytes each, ten thousand entries take a second over a link of 20 Mbit/s.
const FULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum age of a node's state for others to follow it.
///
/// Longer than a watch of the store that returns no changes, and shorter than the time within
/// which a change must be in force.
pub const MAX_AGE: Duration = Duration::from_millis(2_600);

/// Maximum grace period that is taken from another node.
const MAX_GRACE: Duration = Duration::from_secs(10);

/// Encoding of a change between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was deleted.
    value: Option<Bytes>,
}

/// Reply to a follower.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowReply {
    /// Whether `changes` is the full state.
    whole: bool,
    changes: Vec<Change>,
    revision: u64,
    /// Time since the store confirmed this state, in microseconds.
    age_us: u64,
    /// Remaining time in which entries that vanish are retained, in microseconds.
    lenient_us: u64,
}

/// What a followed node has replied.
pub struct PeerUpdate {
    /// The changes, or the full state.
    pub update: StoreUpdate,
    /// Time since the store confirmed this state.
    pub age: Duration,
    /// Remaining time in which entries that vanish are retained.
    pub grace: Duration,
}

/// Answers a request of a follower.
pub async fn serve(router: &Router, request: &Request) -> Result<Vec<u8>> {
    let journal = &router.journal;
    let field = |name| request.query_param(name).and_then(|text| text.parse::<u64>().ok());
    let after = field("after").unwrap_or_default();
    let wait = Duration::from_millis(field("wait_ms").unwrap_or_default()).min(FOLLOW_WAIT);
    if !journal.is_filled() {
        return Err(Error::NotReady);
    }
    journal.note_follower_request();
    // A node with stale state replies at once, also if its state becomes stale while a follower
    // waits. Otherwise its followers would miss confirmed changes, and answer their callers by
    // the old state, for as long as they wait here.
    let wait = wait.min(MAX_AGE.saturating_sub(journal.age()));
    // A node without any state can ask other nodes as well, so it may be refused; a follower
    // that has fallen behind asks this node only.
    if after == 0 && !journal.admit_full_transfer() {
        return Err(Error::NotReady);
    }
    let wait = if after > journal.revision() { wait.min(BEHIND_WAIT) } else { wait };
    let wait = if journal.is_source_lost() { Duration::ZERO } else { wait };
    let update = journal.updates_after(after, wait).await;
    if after > 0 && journal.is_source_lost() && update.is_empty() {
        return Err(Error::NotReady);
    }
    let (whole, changes, revision) = match update {
        StoreUpdate::Changes(StoreChanges { events, revision }) => {
            (false, events.into_iter().map(Change::from).collect(), revision)
        }
        StoreUpdate::Full(StoreScan { items, revision }) => (
            true,
            items.into_iter().map(|item| StoreEvent::Written(item).into()).collect(),
            revision,
        ),
    };
    let age_us = journal.age().as_micros() as u64;
    // Computed after the wait, which may have been longer than the remaining grace period.
    let lenient_us = router.remaining_grace().as_micros() as u64;
    codec::encode(&FollowReply { whole, changes, revision, age_us, lenient_us })
}

/// Requests the updates after a revision from a node, which replies once there are some or
/// `wait` is over.
pub async fn fetch(
    router: &Rc<Router>,
    peer: &Replica,
    after: u64,
    wait: Duration,
) -> Result<PeerUpdate> {
    let clock = &*router.clock;
    let time = if after == 0 { FULL_TIMEOUT } else { wait + CHANGES_TIMEOUT };
    let deadline = clock.now() + time;
    let reply =
        clock::timeout_at(clock, deadline, send_request(router, peer, after, wait)).await??;
    let FollowReply { whole, changes, revision, age_us, lenient_us } = reply;
    let update = if whole {
        let items = changes.into_iter().filter_map(Change::into_item).collect();
        StoreUpdate::Full(StoreScan { items, revision })
    } else {
        let events = changes.into_iter().map(Change::into_event).collect();
        StoreUpdate::Changes(StoreChanges { events, revision })
    };
    let age = Duration::from_micros(age_us);
    let grace = Duration::from_micros(lenient_us).min(MAX_GRACE);
    Ok(PeerUpdate { update, age, grace })
}

async fn send_request(
    router: &Rc<Router>,
    peer: &Replica,
    after: u64,
    wait: Duration,
) -> Result<FollowReply> {
    let clock = &*router.clock;
    let now = clock.now();
    let link = match peer.pool.take(now, FOLLOW_WAIT) {
        Some(link) => link,
        None => peer.pool.open(clock, now + CHANGES_TIMEOUT).await?,
    };
    let wait_ms = wait.as_millis();
    let mut request = Request::get(&format!("{FOLLOW_PATH}?after={after}&wait_ms={wait_ms}"));
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    let answer = link.exchange(&request, None).await?;
    if let Some(KeptLink { link, idle_limit }) = answer.kept {
        peer.pool.put(link, clock.now(), idle_limit);
    }
    match answer.reply.status {
        StatusCode::OK => codec::decode(&answer.reply.body),
        status => Err(Error::protocol(format!("a node replied with status {}", status.as_u16()))),
    }
}

/// Returns the nodes of `centre` that watch the store.
///
/// Every node computes this by itself, from names and capacities only. While their views
/// differ, a few nodes more or less watch the store.
pub fn readers(centre: &DataCentre, nodes: &[Candidate]) -> Vec<Candidate> {
    let mut in_centre: Vec<Candidate> =
        nodes.iter().filter(|(_, node)| node.centre == *centre).cloned().collect();
    if in_centre.len() <= SMALL_CENTRE_NODES && nodes.len() <= SMALL_FLEET_NODES {
        return in_centre;
    }
    sort_by_capacity(&mut in_centre);
    in_centre.truncate(READERS_PER_CENTRE);
    in_centre
}

/// Sorts nodes in the order in which they are to read the store: by descending capacity.
pub fn sort_by_capacity(nodes: &mut [Candidate]) {
    nodes.sort_by(|(name, node), (other_name, other)| {
        other.capacity.total_cmp(&node.capacity).then_with(|| name.cmp(other_name))
    });
}

/// Whether other nodes follow this one.
pub fn is_followed(router: &Router) -> bool {
    let last_request = router.journal.last_follower_request();
    last_request
        .is_some_and(|at| router.clock.now().saturating_duration_since(at) < FOLLOWED_TIMEOUT)
}

/// Whether this node follows others instead of watching the store.
pub fn is_follower(router: &Router) -> bool {
    let local = &router.local_node;
    // A node that is about to announce itself watches the store until its entry is known: the
    // others will rely on it as they do on the known readers.
    let is_role_settled = router.fleet.knows(&local.name) || router.is_standby();
    let own = readers(&local.centre, &router.fleet.candidates());
    let is_reader = own.iter().any(|(name, _)| *name == local.name);
    !is_reader && is_role_settled && router.uses(Mechanism::Followers)
}

/// Returns the other nodes that watch the store, in the order in which this one tries them:
/// those of its own data centre first, because the round trip to others is longer.
pub fn other_readers(router: &Router) -> Vec<Rc<Replica>> {
    if !router.uses(Mechanism::Followers) {
        return Vec::new();
    }
    let nodes = router.fleet.candidates();
    let mut order = readers(&router.local_node.centre, &nodes);
    router.random.shuffle(&mut order);
    let mut centres: HashMap<&DataCentre, ()> = HashMap::default();
    nodes.iter().for_each(|(_, node)| {
        centres.insert(&node.centre, ());
    });
    centres.remove(&router.local_node.centre);
    let mut others: Vec<Candidate> =
        centres.keys().flat_map(|centre| readers(centre, &nodes)).collect();
    router.random.shuffle(&mut others);
    order.extend(others);
    order.retain(|(name, _)| *name != router.local_node.name);
    let peers = order.iter().filter_map(|(name, _)| router.fleet.peer(name));
    peers.filter(|peer| relay::is_usable(peer)).collect()
}

impl From<StoreEvent> for Change {
    fn from(event: StoreEvent) -> Change {
        match event {
            StoreEvent::Written(StoreItem { key, value, revision }) => {
                Change { key, revision, value: Some(value.into()) }
            }
            StoreEvent::Deleted { key, revision } => Change { key, revision, value: None },
        }
    }
}

impl Change {
    fn into_item(self) -> Option<StoreItem> {
        let value = self.value?.to_vec();
        Some(StoreItem { key: self.key, value, revision: self.revision })
    }

    fn into_event(self) -> StoreEvent {
        let Change { key, revision, value } = self;
        match value {
            Some(value) => StoreEvent::Written(StoreItem { key, value: value.to_vec(), revision }),
            None => StoreEvent::Deleted { key, revision },
        }
    }
}
