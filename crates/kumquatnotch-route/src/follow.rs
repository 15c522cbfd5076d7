//! Following a node that watches the store, in place of the store itself.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use kumquatnotch_core::{
    Error, Result, clock, codec,
    collections::HashMap,
    ids::DataCentre,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::mechanisms::Mechanism;
use serde::{Deserialize, Serialize};

use crate::{advice::Candidate, journal::Passage, relay, replica::Replica, router::Router};

/// Where nodes are followed.
pub const FOLLOW_PATH: &str = "/v1/follow";

/// How many nodes of each data centre watch the store.
///
/// Two, so that one may end or be turned away by the store.
pub const READERS: usize = 2;

/// Up to how many nodes of a data centre all watch the store, in a small fleet.
///
/// With so few, following saves less than it may cost in time.
const SMALL_CENTRE: usize = 4;

/// The most nodes of a small fleet.
///
/// In a larger one, nodes that nobody needs to know follow as well.
const SMALL_FLEET: usize = 12;

/// For how long a node counts as followed after another one has asked.
const FOLLOWED_FOR: Duration = Duration::from_secs(5);

/// The longest wait of a follower, which bounds how long a lost connection is unseen.
pub const FOLLOW_WAIT: Duration = Duration::from_millis(1_500);

/// What a follower's call for changes may take beyond its wait.
const CHANGES_TIME: Duration = Duration::from_millis(500);

/// What a call for everything may take.
///
/// At 250 bytes each, ten thousand entries take a second over a link of 20 Mbit/s.
const WHOLE_TIME: Duration = Duration::from_secs(2);

/// How old what a node knows may be for others to follow it.
///
/// Longer than a watch of the store that brings no change, shorter than the time
/// in which a change must be in force.
pub const MOST_AGE: Duration = Duration::from_millis(2_600);

/// A change as it goes between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct Change {
    key: String,
    revision: u64,
    /// Absent if the key was deleted.
    value: Option<Bytes>,
}

/// What a node tells those that follow it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowReply {
    whole: bool,
    changes: Vec<Change>,
    revision: u64,
    /// How long ago the store confirmed this, in microseconds.
    age_us: u64,
    /// For how much longer vanished entries are to be kept, in microseconds.
    lenient_us: u64,
}

/// What a node that was followed has told.
pub struct Followed {
    /// The changes, or everything.
    pub passage: Passage,
    /// How long ago the store confirmed this.
    pub age: Duration,
    /// For how much longer vanished entries are to be kept.
    pub lenient: Duration,
}

/// Answers a node that follows this one.
pub async fn tell(router: &Router, request: &Request) -> Result<Vec<u8>> {
    let journal = &router.journal;
    let field = |name| request.field(name).and_then(|text| text.parse::<u64>().ok());
    let after = field("after").unwrap_or_default();
    let wait = Duration::from_millis(field("wait_ms").unwrap_or_default()).min(FOLLOW_WAIT);
    if !journal.is_filled() {
        return Err(Error::NotReady);
    }
    journal.note_asked();
    // A node that is out of touch says so at once, also if that comes to be while another
    // one waits here: behind it a confirmed change is seen by nobody, and its followers
    // would pass that on to their callers for as long as they wait.
    let wait = wait.min(MOST_AGE.saturating_sub(journal.age()));
    // One that knows nothing asks others as well; one that fell behind asks only here.
    if after == 0 && !journal.may_tell_whole() {
        return Err(Error::NotReady);
    }
    let wait = if journal.is_lost() { Duration::ZERO } else { wait };
    let passage = journal.after(after, wait).await;
    if after > 0 && journal.is_lost() && passage.is_empty() {
        return Err(Error::NotReady);
    }
    let (whole, changes, revision) = match passage {
        Passage::Changes(StoreChanges { events, revision }) => {
            (false, events.into_iter().map(Change::from).collect(), revision)
        }
        Passage::Whole(StoreScan { items, revision }) => (
            true,
            items.into_iter().map(|item| StoreEvent::Written(item).into()).collect(),
            revision,
        ),
    };
    let age_us = journal.age().as_micros() as u64;
    // As of now: the wait may have been longer than the rest of that time.
    let lenient_us = router.lenient_for().as_micros() as u64;
    codec::encode(&FollowReply { whole, changes, revision, age_us, lenient_us })
}

/// Asks a node for what there is after a revision, once there is something or `wait` is over.
pub async fn follow(
    router: &Rc<Router>,
    peer: &Replica,
    after: u64,
    wait: Duration,
) -> Result<Followed> {
    let clock = &*router.clock;
    let time = if after == 0 { WHOLE_TIME } else { wait + CHANGES_TIME };
    let deadline = clock.now() + time;
    let reply = clock::timeout_at(clock, deadline, ask(router, peer, after, wait)).await??;
    let FollowReply { whole, changes, revision, age_us, lenient_us } = reply;
    let passage = if whole {
        let items = changes.into_iter().filter_map(Change::into_item).collect();
        Passage::Whole(StoreScan { items, revision })
    } else {
        let events = changes.into_iter().map(Change::into_event).collect();
        Passage::Changes(StoreChanges { events, revision })
    };
    let age = Duration::from_micros(age_us);
    Ok(Followed { passage, age, lenient: Duration::from_micros(lenient_us) })
}

async fn ask(
    router: &Rc<Router>,
    peer: &Replica,
    after: u64,
    wait: Duration,
) -> Result<FollowReply> {
    let clock = &*router.clock;
    let now = clock.now();
    let mut link = match peer.pool.take(now, FOLLOW_WAIT) {
        Some(link) => link,
        None => peer.pool.open(clock, now + CHANGES_TIME).await?,
    };
    let wait_ms = wait.as_millis();
    let mut request = Request::get(&format!("{FOLLOW_PATH}?after={after}&wait_ms={wait_ms}"));
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(http::header::HOST, host);
    link.send(&request).await?;
    let answer = link.receive(&|_| true).await?;
    if let Some(keep) = answer.keep {
        peer.pool.put(link, clock.now(), keep);
    }
    match answer.reply.status {
        StatusCode::OK => codec::decode(&answer.reply.body),
        status => Err(Error::protocol(format!("a node replied with status {}", status.as_u16()))),
    }
}

/// The nodes of `centre` that watch the store.
///
/// Every node works this out by itself, from names and sizes only. Where views
/// differ for a moment, a few nodes more or less watch the store.
pub fn readers(centre: &DataCentre, nodes: &[Candidate]) -> Vec<Candidate> {
    let mut there: Vec<Candidate> =
        nodes.iter().filter(|(_, node)| node.centre == *centre).cloned().collect();
    if there.len() <= SMALL_CENTRE && nodes.len() <= SMALL_FLEET {
        return there;
    }
    sort(&mut there);
    there.truncate(READERS);
    there
}

/// Sorts nodes in the order in which they are to read the store: the largest first.
pub fn sort(nodes: &mut [Candidate]) {
    nodes.sort_by(|(one, node), (other, next)| {
        next.capacity.total_cmp(&node.capacity).then_with(|| one.cmp(other))
    });
}

/// Whether other nodes follow this one.
pub fn is_followed(router: &Router) -> bool {
    let asked = router.journal.asked();
    asked.is_some_and(|at| router.clock.now().saturating_duration_since(at) < FOLLOWED_FOR)
}

/// Whether this node hears of the store from others.
pub fn is_follower(router: &Router) -> bool {
    let place = &router.place;
    // Others count on one that is about to announce itself as on those that are known.
    let is_placed = router.fleet.knows(&place.name) || router.is_standby();
    let own = readers(&place.centre, &router.fleet.candidates());
    let is_reader = own.iter().any(|(name, _)| *name == place.name);
    !is_reader && is_placed && router.uses(Mechanism::Followers)
}

/// The other nodes that watch the store, in the order in which this one tries them: those
/// of its own data centre first, as the way to others is longer.
pub fn other_readers(router: &Router) -> Vec<Rc<Replica>> {
    if !router.uses(Mechanism::Followers) {
        return Vec::new();
    }
    let nodes = router.fleet.candidates();
    let mut order = readers(&router.place.centre, &nodes);
    router.random.shuffle(&mut order);
    let mut centres: HashMap<&DataCentre, ()> = HashMap::default();
    nodes.iter().for_each(|(_, node)| {
        centres.insert(&node.centre, ());
    });
    centres.remove(&router.place.centre);
    let mut others: Vec<Candidate> =
        centres.keys().flat_map(|centre| readers(centre, &nodes)).collect();
    router.random.shuffle(&mut others);
    order.extend(others);
    order.retain(|(name, _)| *name != router.place.name);
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
