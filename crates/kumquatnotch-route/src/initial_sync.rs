//! Initial load of the store's state by a node without any state.
//!
//! After a power failure, many nodes start at the same moment, often while the store is
//! unavailable, and each one refuses its callers until it has loaded everything. If all of them
//! read the full state from the store at once, they would share the bandwidth of its link: with a
//! thousand entries and hundreds of nodes that takes seconds. So a node first reads just the list
//! of nodes, which is small, and retries quickly while the store does not answer. The first few
//! nodes of each data centre then read the full state from the store, and the others from these.
//!
//! The store is read by a stale snapshot followed by a watch of the changes since. Both
//! together cost the store a fraction of a full scan.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Error, Result, Store, clock, store::StoreScan};

use crate::{
    advice::Candidate,
    entries::Entries,
    follow::{self, PeerUpdate},
    journal::StoreUpdate,
    mirror::NO_WAIT,
    router::Router,
    store_retry::{Answer, RetryDelays, call_until_answered},
};

/// Delay before the store is called a second time, before jitter; it doubles.
///
/// Many times the usual response time of the store, so that a start without an outage
/// takes one call.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between two calls, before jitter.
///
/// It bounds how long the recovery of the store goes unnoticed, and the load on a store that is
/// unavailable: two to three of the cheapest calls a second from each node.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Number of nodes of a data centre that read the full state from the store.
///
/// Three times as many as watch it, because some of them may be gone.
const DIRECT_READERS: usize = 3 * follow::READERS_PER_CENTRE;

/// How long a node that serves callers asks other nodes before it reads the store itself.
///
/// The nodes that read the store directly need a few round trips to it.
const SERVING_PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a node on standby asks other nodes; no caller waits for it.
const STANDBY_PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay between two requests to other nodes, before jitter.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(80);

/// How often each of the other nodes may fail to answer before the store is read.
///
/// Nodes that lost power together are back within half a second of each other.
const MAX_FAILED_ROUNDS: usize = 3;

/// The full state of the store.
pub struct InitialState {
    pub scan: StoreScan,
    /// When the store confirmed that this state is complete.
    pub confirmed: Instant,
    /// Remaining time in which entries that vanish are retained.
    pub grace: Duration,
}

/// Loads the full state, however long the store is unavailable.
///
/// Adds the nodes to `entries` as soon as the store has listed them.
pub async fn load(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> InitialState {
    let mut failures = 0;
    loop {
        let nodes = find_nodes(router, store, entries).await;
        let neighbours = neighbours(router, entries, &nodes);
        if !reads_directly(router, &neighbours)
            && let Some(state) = fetch_from_peers(router, store, &neighbours).await
        {
            return state;
        }
        match read_store(router, store, entries).await {
            Ok(state) => return state,
            Err(error) => {
                failures += 1;
                tracing::info!(
                    failures,
                    code = error.code(),
                    "mirror: initial read failed: {error}"
                );
                let delay = router.random.jitter(INITIAL_RETRY_DELAY);
                clock::sleep(&*router.clock, delay).await;
            }
        }
    }
}

/// Reads the nodes of the tier from the store, and retries until it answers.
async fn find_nodes(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> StoreScan {
    let delays = RetryDelays { initial: INITIAL_RETRY_DELAY, max: MAX_RETRY_DELAY };
    loop {
        let call = || store.snapshot(entries.node_prefix());
        // A snapshot needs no history, so it can't fail for lack of it.
        if let Ok(Answer { value, .. }) = call_until_answered(router, delays, 0, call).await {
            entries.apply_items(&value.items);
            router.set_nodes_known();
            return value;
        }
    }
}

/// Returns the other known nodes of this data centre, by descending capacity.
fn neighbours(router: &Router, entries: &Entries, nodes: &StoreScan) -> Vec<Candidate> {
    let mut others = entries.nodes_in(nodes);
    others.retain(|(name, node)| {
        node.centre == router.local_node.centre && *name != router.local_node.name
    });
    follow::sort_by_capacity(&mut others);
    others
}

/// Whether this node is one of those that read the full state from the store.
fn reads_directly(router: &Router, neighbours: &[Candidate]) -> bool {
    if router.is_standby() {
        return false;
    }
    let local = &router.local_node;
    let preceding = neighbours.iter().filter(|(name, node)| {
        node.capacity > local.capacity || (node.capacity == local.capacity && *name < local.name)
    });
    preceding.count() < DIRECT_READERS
}

/// Fetches the full state from one of the nodes that read the store first.
///
/// Returns `None` if none supplies it in time, or only a state from before a restore of the store,
/// so that the store is to be read.
async fn fetch_from_peers(
    router: &Rc<Router>,
    store: &dyn Store,
    neighbours: &[Candidate],
) -> Option<InitialState> {
    let clock = &*router.clock;
    let timeout = if router.is_standby() { STANDBY_PEER_TIMEOUT } else { SERVING_PEER_TIMEOUT };
    let until = clock.now() + router.random.jitter(timeout);
    // Start at a random node, to spread the load over the direct readers.
    let first = router.random.below(DIRECT_READERS);
    let mut candidates = neighbours.iter().take(DIRECT_READERS).cycle().skip(first);
    let mut failures = 0;
    while clock.now() < until && failures < MAX_FAILED_ROUNDS * neighbours.len() {
        let (name, record) = candidates.next()?;
        let peer = router.fleet.peer_at(record.peer, clock.now());
        // The deadline applies to all nodes together, so one that hangs must not exceed it.
        let reply = follow::fetch(router, &peer, 0, Duration::ZERO);
        match clock::timeout_at(clock, until, reply).await.flatten() {
            Ok(PeerUpdate { update: StoreUpdate::Full(scan), age, grace })
                if age <= follow::MAX_AGE && scan.revision >= store.restored_at() =>
            {
                tracing::info!(
                    node = name.as_str(),
                    "mirror: loaded the full state from a neighbour"
                );
                return Some(InitialState {
                    scan,
                    confirmed: instant_before(clock.now(), age),
                    grace,
                });
            }
            // The node has no state yet, or is busy sending it to others.
            Ok(_) | Err(Error::Protocol { .. }) => {}
            Err(_) => failures += 1,
        }
        clock::sleep(clock, router.random.jitter(PEER_RETRY_DELAY)).await;
    }
    None
}

/// Reads the full state from the store.
async fn read_store(
    router: &Rc<Router>,
    store: &dyn Store,
    entries: &Entries,
) -> Result<InitialState> {
    let clock = &*router.clock;
    let mut snapshot = store.snapshot(entries.prefix()).await?;
    let start = clock.now();
    let grace = Duration::ZERO;
    match store.watch(entries.prefix(), snapshot.revision, NO_WAIT).await {
        Ok(changes) => snapshot.apply(changes),
        // The store has dropped the history since the snapshot, so a full scan is needed.
        Err(Error::VersionUnknown { .. }) => snapshot = store.scan(entries.prefix()).await?,
        Err(error) => return Err(error),
    }
    Ok(InitialState { scan: snapshot, confirmed: start, grace })
}

/// Returns the instant that lies `age` before `now`.
fn instant_before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
