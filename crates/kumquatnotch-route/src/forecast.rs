//! Which shards of a search are worth asking, and whether the search is.
//!
//! A shard whose replicas are all slow, silent or crowded is missing in the answer
//! whether it is asked or not. Asking it only takes what little its replicas can do
//! from the searches that can't do without it. And a search that can't be answered
//! in time because replicas are crowded makes all others late as well: it is
//! refused before anything has run, and told when to come back.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::clock;

use crate::{
    choice::{self, Outlook},
    gate::{Gate, Permit},
    gather::Search,
    router::Router,
    strain::Fate,
};

/// The part of the time left that a late part may be expected to take.
const LATE_PART: f64 = 0.7;

/// The bounds of the time after which a refused search may come back.
const RETRY: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(400));

/// By how much more room there must be for a search whose caller comes again.
///
/// Its answer is worth less than one that is in time.
const RETURNING_TIMES: f64 = 2.0;

/// The part of its time that such a search waits for room at most.
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

/// The shards of a search, by when their parts are expected.
struct Sorted {
    /// Those expected in time.
    fine: Vec<usize>,
    /// Those without which there are too few for an answer, the soonest first.
    needed: Vec<Late>,
    /// The other late ones.
    spared: Vec<Late>,
}

/// Waits until replicas have room; `None` if there is none.
///
/// This is for a search whose caller comes again after the objective, so that its
/// answer is late in any case. It waits for a part of its time, but not while searches
/// that come for the first time are refused: it would only make more of them late.
///
/// After an outage such callers come all at once. If all that wait were let in as soon
/// as there is room, there would be none for those that come first; so `gate` lets in
/// a few at a time, each for as long as its permit is held.
pub async fn await_room(
    router: &Router,
    gate: &Rc<Gate>,
    search: &mut Search<'_>,
) -> Option<Permit> {
    let clock = &*router.clock;
    let start = clock.now();
    let wait = search.due.saturating_duration_since(start);
    let time = search.deadline.saturating_duration_since(start);
    let until = start + time.mul_f64(ROOM_PART);
    let mut permit = None;
    if !router.strains.is_refusing(&search.route.name, start) {
        let acquire = gate.acquire(search.route.priority);
        permit = clock::timeout_at(clock, until, acquire).await.ok();
    }
    let has_room = permit.is_some() && finds_room(router, search, wait, until).await;
    tracing::info!(
        request = search.identity.to_str().unwrap_or_default(),
        ms = clock.now().saturating_duration_since(start).as_millis() as u64,
        has_room,
        "forecast: a caller came again"
    );
    permit.filter(|_| has_room)
}

/// Looks for room now and then; false if there is none by `until`.
///
/// The search has `wait` for its answer from when there is.
async fn finds_room(
    router: &Router,
    search: &mut Search<'_>,
    wait: Duration,
    until: Instant,
) -> bool {
    let clock = &*router.clock;
    loop {
        let now = clock.now();
        search.due = now + wait;
        if retry(search, &sort(router, search, now).needed, now).is_none() {
            return true;
        }
        if now >= until || router.strains.is_refusing(&search.route.name, now) {
            return false;
        }
        clock::sleep(clock, router.random.jitter(ROOM_PERIOD)).await;
    }
}

/// Foretells what becomes of a search.
pub fn forecast(router: &Router, search: &Search<'_>) -> Forecast {
    let now = router.clock.now();
    let Sorted { fine: mut shards, needed, spared } = sort(router, search, now);
    if let Some(retry) = retry(search, &needed, now) {
        let route = &search.route.name;
        router.strains.note(route, Fate::Refused, now);
        let time = search.deadline.saturating_duration_since(now);
        let retry = retry.max(router.random.jitter(router.strains.retry(route, time, now)));
        let slowest = needed.last();
        tracing::info!(
            request = search.identity.to_str().unwrap_or_default(),
            late = needed.len() + spared.len(),
            needed = needed.len(),
            service = slowest.map(|late| search.set.shards[late.index].as_str()),
            expected_ms = slowest.map(|late| (late.expected * 1e3) as u64),
            crowded = needed.iter().filter(|late| late.is_crowded).count(),
            margin = margin(router, search, now),
            due_ms = search.due.saturating_duration_since(now).as_millis() as u64,
            retry_ms = retry.as_millis() as u64,
            "forecast: refused"
        );
        return Forecast::Refuse { retry };
    }
    shards.extend(needed.iter().map(|late| late.index));
    let skipped = spared.iter().map(|late| late.index).collect();
    Forecast::Ask { shards, skipped }
}

/// Sorts the shards of a search by when their parts are expected.
fn sort(router: &Router, search: &Search<'_>, now: Instant) -> Sorted {
    let need = router.paces.need(search.route);
    let left = search.due.saturating_duration_since(now);
    let margin = margin(router, search, now);
    let mut fine = Vec::new();
    let mut late: Vec<Late> = Vec::new();
    for (index, shard) in search.set.shards.iter().enumerate() {
        let replicas = router.directory.of(shard);
        let Some(pick) = choice::best(&replicas, &[], need, now) else {
            late.push(Late { index, expected: f64::MAX, is_crowded: false });
            continue;
        };
        match choice::outlook(&pick, need, left, margin, now) {
            Outlook::Fine => fine.push(index),
            outlook => {
                let is_crowded = outlook == Outlook::Congested;
                late.push(Late { index, expected: pick.expected, is_crowded });
            }
        }
    }
    late.sort_by(|one, other| one.expected.total_cmp(&other.expected));
    let missing = search.set.least_parts().saturating_sub(fine.len());
    let spared = late.split_off(missing.min(late.len()));
    Sorted { fine, needed: late, spared }
}

/// By what the expected time at a full replica is multiplied for this search.
fn margin(router: &Router, search: &Search<'_>, now: Instant) -> f64 {
    let margin = router.strains.margin(&search.route.name, now);
    if search.returning { margin * RETURNING_TIMES } else { margin }
}

/// When to come back, if a search that needs these late shards is to be refused.
fn retry(search: &Search<'_>, needed: &[Late], now: Instant) -> Option<Duration> {
    let slowest = needed.last()?.expected;
    let left = search.due.saturating_duration_since(now);
    let time = search.deadline.saturating_duration_since(now).as_secs_f64();
    let is_crowded = needed.iter().any(|late| late.is_crowded);
    // A shard without replicas has no time at all; its absence is found by asking.
    if slowest == f64::MAX || (!is_crowded && slowest < LATE_PART * time) {
        return None;
    }
    let over = (slowest - left.as_secs_f64()).max(0.0);
    Some(Duration::from_secs_f64(over.min(1.0)).clamp(RETRY.0, RETRY.1))
}
