//! How a node that knows nothing learns what the store holds.
//!
//! Many nodes start at the same moment after a loss of power, often while the store is
//! away, and each one refuses its callers until it has read everything. So the store is
//! asked again soon while it does not answer, without giving up the calls that wait: the
//! first answer counts. A lagging snapshot costs the store a tenth of a scan; what has
//! changed since is told by a node of the same data centre, or by the store.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::{Error, Result, Store, clock, store::StoreScan};

use crate::{
    entries::Entries,
    follow::{self, Followed},
    journal::Passage,
    router::Router,
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

/// How long a node of the same data centre may take to tell what has changed.
///
/// Its answer takes a millisecond or two. Nodes that started together know nothing
/// either, and one without power is silent; the store is asked then.
const NEIGHBOUR_TIME: Duration = Duration::from_millis(60);

/// How long the store waits for changes after the snapshot: not at all.
const NO_WAIT: Duration = Duration::from_millis(1);

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
pub async fn read(router: &Rc<Router>, store: &dyn Store, entries: &Entries) -> Reading {
    let clock = &*router.clock;
    let mut pause = FIRST_PAUSE;
    let mut failures = 0;
    let mut running = FuturesUnordered::new();
    running.push(store.snapshot(entries.prefix()));
    let mut again = clock::sleep(clock, router.random.jitter(pause)).fuse();
    loop {
        let snapshot = select_biased! {
            snapshot = running.select_next_some() => snapshot,
            () = again => {
                running.push(store.snapshot(entries.prefix()));
                pause = (pause * 2).min(MOST_PAUSE);
                again = clock::sleep(clock, router.random.jitter(pause)).fuse();
                continue;
            }
        };
        let reading = match snapshot {
            Ok(snapshot) => complete(router, store, entries, snapshot).await,
            Err(error) => Err(error),
        };
        match reading {
            Ok(reading) => return reading,
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    tracing::warn!(code = error.code(), "mirror: the store is away: {error}");
                }
            }
        }
    }
}

/// Adds what has changed since a snapshot.
async fn complete(
    router: &Rc<Router>,
    store: &dyn Store,
    entries: &Entries,
    mut snapshot: StoreScan,
) -> Result<Reading> {
    let clock = &*router.clock;
    if let Some(reading) = ask_neighbour(router, entries, &snapshot).await {
        return Ok(reading);
    }
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

/// What a node that watches the store tells of the changes since a snapshot, if one does.
async fn ask_neighbour(
    router: &Rc<Router>,
    entries: &Entries,
    snapshot: &StoreScan,
) -> Option<Reading> {
    let clock = &*router.clock;
    let mut neighbours = follow::readers(&router.place.centre, &entries.nodes_in(snapshot));
    neighbours.retain(|(name, _)| *name != router.place.name);
    router.random.shuffle(&mut neighbours);
    let (name, record) = neighbours.first()?;
    let peer = router.fleet.stranger(record.peer, clock.now());
    let asked = follow::follow(router, &peer, snapshot.revision, Duration::ZERO);
    let told = clock::timeout_at(clock, clock.now() + NEIGHBOUR_TIME, asked).await;
    let Followed { passage, age, lenient } = match told.and_then(|told| told) {
        Ok(followed) if followed.age <= follow::MOST_AGE => followed,
        Ok(_) => return None,
        Err(error) => {
            let node = name.as_str();
            tracing::info!(node, code = error.code(), "mirror: a neighbour tells nothing: {error}");
            return None;
        }
    };
    let now = clock.now();
    let confirmed = now.checked_sub(age).unwrap_or(now);
    Some(Reading { scan: with(snapshot, passage), confirmed, lenient })
}

fn with(snapshot: &StoreScan, passage: Passage) -> StoreScan {
    let changes = match passage {
        Passage::Whole(scan) => return scan,
        Passage::Changes(changes) => changes,
    };
    let mut scan = snapshot.clone();
    scan.apply(changes);
    scan
}
