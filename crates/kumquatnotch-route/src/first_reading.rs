//! How a node that knows nothing learns what the store holds.
//!
//! Many nodes start at the same moment after a loss of power, often while the store is
//! away, and each one refuses its callers until it knows everything. If all read it from
//! the store at once, they would share the store's link: with a thousand entries and
//! hundreds of nodes that takes seconds. So a node first asks who the others are, which is
//! little, and asks again soon while the store does not answer. The few first ones of each
//! data centre then read everything from the store, and the others from these.
//!
//! The store is read by a lagging snapshot and a watch of what has changed since. Both
//! together cost it a fraction of a scan.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Error, Result, Store, clock, store::StoreScan};

use crate::{
    advice::Candidate,
    entries::Entries,
    follow::{self, Followed},
    journal::Passage,
    mirror::NO_WAIT,
    router::Router,
    store_retry::{Answer, RetryDelays, call_until_answered},
};

/// The pause before the store is asked a second time; it doubles.
///
/// Many times what the store takes for an answer, so that a calm start asks once.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between two calls, before jitter.
///
/// It bounds how long the return of the store is unseen, and what a node asks of a store
/// that is away: two to three of the cheapest calls a second.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// How many nodes of a data centre read everything from the store.
///
/// As many as watch it, and twice as many again, as some of them may be gone.
const DIRECT_READERS: usize = 3 * follow::READERS;

/// For how long a node that callers use asks others before it reads the store itself.
///
/// Those that read it directly take a few round trips to the store.
const SERVING_PATIENCE: Duration = Duration::from_millis(400);

/// The same for a node on standby, for which no caller waits.
const STANDBY_PATIENCE: Duration = Duration::from_secs(4);

/// The pause between two questions to other nodes, before jitter.
const PEER_PAUSE: Duration = Duration::from_millis(80);

/// How often each of the others may be out of reach before the store is read.
///
/// Those that lost power together are back within half a second of each other.
const LOST_ROUNDS: usize = 3;

/// Everything that the store holds.
pub struct Reading {
    /// The items.
    pub scan: StoreScan,
    /// When the store said that this is all there is.
    pub confirmed: Instant,
    /// For how much longer vanished entries are to be kept.
    pub lenient: Duration,
}

/// Reads everything, however long the store is away.
///
/// The nodes that are known come into `entries` as soon as the store has named them.
pub async fn read(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> Reading {
    let mut failures = 0;
    loop {
        let nodes = find_nodes(router, store, entries).await;
        let neighbours = neighbours(router, entries, &nodes);
        if !is_direct(router, &neighbours)
            && let Some(reading) = ask_for_all(router, &neighbours).await
        {
            return reading;
        }
        match read_store(router, store, entries).await {
            Ok(reading) => return reading,
            Err(error) => {
                failures += 1;
                tracing::info!(failures, code = error.code(), "mirror: not read: {error}");
                let pause = router.random.jitter(FIRST_PAUSE);
                clock::sleep(&*router.clock, pause).await;
            }
        }
    }
}

/// Asks the store for the nodes of the tier until it answers.
async fn find_nodes(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> StoreScan {
    let pauses = RetryDelays { initial: FIRST_PAUSE, max: MOST_PAUSE };
    loop {
        let call = || store.snapshot(entries.node_prefix());
        // A snapshot never lacks history.
        if let Ok(Answer { value, .. }) = call_until_answered(router, pauses, 0, call).await {
            entries.put_some(&value.items);
            router.set_placed();
            return value;
        }
    }
}

/// The other nodes of this data centre that are known, the largest first.
fn neighbours(router: &Router, entries: &Entries, nodes: &StoreScan) -> Vec<Candidate> {
    let mut beside = entries.nodes_in(nodes);
    beside.retain(|(name, node)| node.centre == router.place.centre && *name != router.place.name);
    follow::sort(&mut beside);
    beside
}

/// Whether this node is one of those that read everything from the store.
fn is_direct(router: &Router, neighbours: &[Candidate]) -> bool {
    if router.is_standby() {
        return false;
    }
    let place = &router.place;
    let before = neighbours.iter().filter(|(name, node)| {
        node.capacity > place.capacity || (node.capacity == place.capacity && *name < place.name)
    });
    before.count() < DIRECT_READERS
}

/// What one of the nodes that read the store first tells of everything.
///
/// `None` if none does for so long that the store is to be read.
async fn ask_for_all(router: &Rc<Router>, neighbours: &[Candidate]) -> Option<Reading> {
    let clock = &*router.clock;
    let patience = if router.is_standby() { STANDBY_PATIENCE } else { SERVING_PATIENCE };
    let until = clock.now() + router.random.jitter(patience);
    // Each begins with another one of those that read the store first.
    let first = router.random.below(DIRECT_READERS);
    let mut asked = neighbours.iter().take(DIRECT_READERS).cycle().skip(first);
    let mut lost = 0;
    while clock.now() < until && lost < LOST_ROUNDS * neighbours.len() {
        let (name, record) = asked.next()?;
        let peer = router.fleet.stranger(record.peer, clock.now());
        // One that hangs must not take more than the time that there is for all of them.
        let told = follow::follow(router, &peer, 0, Duration::ZERO);
        match clock::timeout_at(clock, until, told).await.flatten() {
            Ok(Followed { passage: Passage::Whole(scan), age, lenient })
                if age <= follow::MOST_AGE =>
            {
                tracing::info!(node = name.as_str(), "mirror: a neighbour tells everything");
                return Some(Reading { scan, confirmed: before(clock.now(), age), lenient });
            }
            // It knows nothing yet, or is busy telling others.
            Ok(_) | Err(Error::Protocol { .. }) => {}
            Err(_) => lost += 1,
        }
        clock::sleep(clock, router.random.jitter(PEER_PAUSE)).await;
    }
    None
}

/// Reads everything from the store.
async fn read_store(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> Result<Reading> {
    let clock = &*router.clock;
    let mut snapshot = store.snapshot(entries.prefix()).await?;
    let start = clock.now();
    let lenient = Duration::ZERO;
    match store.watch(entries.prefix(), snapshot.revision, NO_WAIT).await {
        Ok(changes) => snapshot.apply(changes),
        // The store has dropped what lies between, so only a full scan tells.
        Err(Error::VersionUnknown { .. }) => snapshot = store.scan(entries.prefix()).await?,
        Err(error) => return Err(error),
    }
    Ok(Reading { scan: snapshot, confirmed: start, lenient })
}

/// The moment that was `age` ago.
fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
