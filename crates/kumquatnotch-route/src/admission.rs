//! Letting searches in: at once, after waiting for room, or not at all.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::clock;
use kumquatnotch_policy::{
    forecast::{Forecast, Requirements},
    mechanisms::Mechanism,
    overload::{self, SearchOutcome},
    rating::Rating,
};

use crate::{
    gate::{Gate, Permit},
    gather::Search,
    replica,
    router::Router,
};

/// By how much more room there must be for a search whose caller comes again.
///
/// Its answer is worth less than one that is in time.
const RETURNING_TIMES: f64 = 2.0;

/// The part of its time that such a search waits for room at most.
const ROOM_PART: f64 = 0.4;

/// How often it looks for room, before jitter.
const ROOM_PERIOD: Duration = Duration::from_millis(30);

/// When refused callers come again where this isn't worked out.
const FIXED_RETRY: Duration = Duration::from_millis(300);

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
        let terms = terms(router, search, now);
        if foretell(router, search, &terms, now).overload_retry(&terms).is_none() {
            return true;
        }
        if now >= until || router.strains.is_refusing(&search.route.name, now) {
            return false;
        }
        clock::sleep(clock, router.random.jitter(ROOM_PERIOD)).await;
    }
}

/// Why a search was not let in, so that nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When its caller is to come again.
    pub retry: Duration,
    /// Why, for the log.
    pub reason: &'static str,
}

/// Lets a search in, or tells when its caller is to come again.
pub fn admit(router: &Router, search: &Search<'_>) -> Result<(), Refused> {
    let now = router.clock.now();
    let terms = terms(router, search, now);
    let forecast = foretell(router, search, &terms, now);
    if let Some(retry) = forecast.unavailable_retry(&terms) {
        tell_refusal(search, &forecast, &terms, retry);
        return Err(Refused { retry, reason: "shards without replicas" });
    }
    let refusal = forecast.overload_retry(&terms).filter(|_| router.uses(Mechanism::Refusals));
    let Some(retry) = refusal else {
        return Ok(());
    };
    let route = &search.route.name;
    router.strains.note(route, SearchOutcome::Refused, now);
    let crowd = router.random.jitter(router.strains.retry(route, terms.time_left, now));
    let retry = if router.uses(Mechanism::RetryTimes) { retry.max(crowd) } else { FIXED_RETRY };
    tell_refusal(search, &forecast, &terms, retry);
    Err(Refused { retry, reason: "replicas are crowded" })
}

/// Writes a line for a refusal, with what decided it.
fn tell_refusal(search: &Search<'_>, forecast: &Forecast, terms: &Requirements, retry: Duration) {
    let Forecast { needed, optional, .. } = forecast;
    let slowest = needed.last();
    tracing::info!(
        request = search.identity.to_str().unwrap_or_default(),
        late = needed.len() + optional.len(),
        needed = needed.len(),
        service = slowest.map(|late| search.set.shards[late.index].as_str()),
        expected_ms = slowest.map(|late| (late.expected * 1e3) as u64),
        crowded = needed.iter().filter(|late| late.is_crowded).count(),
        margin = terms.margin,
        due_ms = terms.objective_left.as_millis() as u64,
        retry_ms = retry.as_millis() as u64,
        "forecast: refused"
    );
}

/// Foretells when the parts of a search would come.
fn foretell(router: &Router, search: &Search<'_>, terms: &Requirements, now: Instant) -> Forecast {
    let best = search.set.shards.iter().map(|shard| -> Option<Rating> {
        let need = router.need_at(search.route, shard);
        Some(replica::pick(&router.directory.of(shard), &[], need, now)?.rating)
    });
    Forecast::new(best, terms)
}

fn terms(router: &Router, search: &Search<'_>, now: Instant) -> Requirements {
    let margin = match router.uses(Mechanism::Strain) {
        true => router.strains.margin(&search.route.name, now),
        false => overload::MIN_MARGIN,
    };
    Requirements {
        objective_left: search.due.saturating_duration_since(now),
        time_left: search.deadline.saturating_duration_since(now),
        min_parts: search.set.least_parts(),
        margin: if search.returning { margin * RETURNING_TIMES } else { margin },
    }
}
