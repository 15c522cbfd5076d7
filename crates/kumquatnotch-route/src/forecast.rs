//! Which shards of a search are worth asking, and whether the search is.
//!
//! A shard whose replicas are all slow, silent or crowded is missing in the answer
//! whether it is asked or not. Asking it only takes what little its replicas can do
//! from the searches that can't do without it. And a search that can't be answered
//! in time because replicas are crowded makes all others late as well: it is
//! refused before anything has run, and told when to come back.

use std::time::{Duration, Instant};

use kumquatnotch_core::clock;

use crate::{
    choice::{self, Outlook},
    gather::Search,
    names::ServiceName,
    router::Router,
};

/// The part of the time left that a late part may be expected to take.
const LATE_PART: f64 = 0.7;

/// The bounds of the time after which a refused search may come back.
const RETRY: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(400));

/// The part of its time left that a late search waits for room at most.
const ROOM_PART: f64 = 0.4;

/// How often it looks for room, before jitter.
const ROOM_PERIOD: Duration = Duration::from_millis(30);

/// What is to become of a search.
#[derive(Clone, Debug, PartialEq)]
pub enum Forecast {
    /// These shards are asked, and the others left out.
    Ask {
        /// The shards to ask, by their place in the set.
        shards: Vec<usize>,
        /// The shards to leave out.
        skipped: Vec<usize>,
    },
    /// It is refused, as replicas are crowded.
    Refuse {
        /// When to come back.
        retry: Duration,
    },
}

/// A shard that is expected to be late.
struct Late {
    index: usize,
    expected: f64,
    is_crowded: bool,
}

/// Waits until replicas have room; false if a part of the time left is over first.
///
/// This is for a search whose caller has waited for so long that its answer is late
/// in any case. After an outage such callers come all at once; were they let in, they
/// would make those late that come for the first time.
pub async fn await_room(router: &Router, search: &Search<'_>) -> bool {
    let clock = &*router.clock;
    let start = clock.now();
    let time = search.deadline.saturating_duration_since(start);
    let until = start + time.mul_f64(ROOM_PART);
    let mut is_free = !is_busy(router, search);
    while !is_free && clock.now() < until {
        clock::sleep(clock, router.random.jitter(ROOM_PERIOD)).await;
        is_free = !is_busy(router, search);
    }
    let waited = clock.now().saturating_duration_since(start);
    if waited > Duration::ZERO {
        tracing::info!(
            request = search.identity.to_str().unwrap_or_default(),
            ms = waited.as_millis() as u64,
            is_free,
            "forecast: a late search waited for room"
        );
    }
    is_free
}

/// Whether requests wait at the replicas of more shards than an answer may leave out.
fn is_busy(router: &Router, search: &Search<'_>) -> bool {
    let now = router.clock.now();
    let need = router.paces.need(search.route);
    let is_full = |shard: &&ServiceName| {
        let replicas = router.directory.of(shard);
        let pick = choice::best(&replicas, &[], need, now);
        pick.is_some_and(|pick| {
            let replica = &pick.replica;
            replica.load(now) >= f64::from(replica.spec().slots) || replica.gate.waiting() > 0
        })
    };
    let full = search.set.shards.iter().filter(is_full).count();
    full > search.set.shards.len() - search.set.least_parts().min(search.set.shards.len())
}

/// Foretells what becomes of a search.
pub fn forecast(router: &Router, search: &Search<'_>) -> Forecast {
    let now = router.clock.now();
    let need = router.paces.need(search.route);
    let left = search.due.saturating_duration_since(now);
    let mut shards = Vec::new();
    let mut late: Vec<Late> = Vec::new();
    for (index, shard) in search.set.shards.iter().enumerate() {
        let replicas = router.directory.of(shard);
        let Some(pick) = choice::best(&replicas, &[], need, now) else {
            late.push(Late { index, expected: f64::MAX, is_crowded: false });
            continue;
        };
        match choice::outlook(&pick, need, left, now) {
            Outlook::Fine => shards.push(index),
            outlook => {
                let is_crowded = outlook == Outlook::Congested;
                late.push(Late { index, expected: pick.expected, is_crowded });
            }
        }
    }
    late.sort_by(|one, other| one.expected.total_cmp(&other.expected));
    let missing = search.set.least_parts().saturating_sub(shards.len());
    let needed = &late[..missing.min(late.len())];
    if let Some(retry) = refusal(needed, left, search.deadline, now) {
        let slowest = needed.last();
        tracing::info!(
            request = search.identity.to_str().unwrap_or_default(),
            late = late.len(),
            needed = needed.len(),
            service = slowest.map(|late| search.set.shards[late.index].as_str()),
            expected_ms = slowest.map(|late| (late.expected * 1e3) as u64),
            crowded = needed.iter().filter(|late| late.is_crowded).count(),
            due_ms = left.as_millis() as u64,
            retry_ms = retry.as_millis() as u64,
            "forecast: refused"
        );
        return Forecast::Refuse { retry };
    }
    shards.extend(needed.iter().map(|late| late.index));
    let skipped = late[needed.len()..].iter().map(|late| late.index).collect();
    Forecast::Ask { shards, skipped }
}

/// When to come back, if a search that needs these late shards is to be refused.
fn refusal(needed: &[Late], left: Duration, deadline: Instant, now: Instant) -> Option<Duration> {
    let slowest = needed.last()?.expected;
    let time = deadline.saturating_duration_since(now).as_secs_f64();
    let is_crowded = needed.iter().any(|late| late.is_crowded);
    // A shard without replicas has no time at all; its absence is found by asking.
    if slowest == f64::MAX || (!is_crowded && slowest < LATE_PART * time) {
        return None;
    }
    let over = (slowest - left.as_secs_f64()).max(0.0);
    Some(Duration::from_secs_f64(over.min(1.0)).clamp(RETRY.0, RETRY.1))
}
