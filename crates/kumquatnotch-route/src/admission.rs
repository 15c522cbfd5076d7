//! Letting searches in: at once, after waiting for room, or not at all.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::clock;
use kumquatnotch_policy::{
    forecast::{Forecast, Terms},
    mechanisms::Mechanism,
    quickest::Rating,
    strain::{self, Fate},
};

use crate::{
    gather::Search,
    replica,
    router::Router,
    semaphore::{Permit, PrioritySemaphore},
};

/// By how much more room there must be for a search whose caller comes again.
///
/// Its answer is worth less than one that is in time.
const LATE_RETRY_FACTOR: f64 = 2.0;

/// The part of its time that such a search waits for room at most.
const MAX_WAIT_SHARE: f64 = 0.4;

/// How often it looks for room, before jitter.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// When refused callers come again where this isn't worked out.
const FIXED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Waits until replicas have room; `None` if there is none.
///
/// This is for a search whose caller comes again after the objective, so that its
/// answer is late in any case. It waits for a part of its time, but not while searches
/// that come for the first time are refused: it would only make more of them late.
///
/// After an outage such callers come all at once. If all that wait were let in as soon
/// as there is room, there would be none for those that come first; so `semaphore` lets in
/// a few at a time, each for as long as its permit is held.
pub async fn wait_for_capacity(
    router: &Router,
    semaphore: &Rc<PrioritySemaphore>,
    search: &mut Search<'_>,
) -> Option<Permit> {
    let clock = &*router.clock;
    let start = clock.now();
    let wait = search.due.saturating_duration_since(start);
    let time = search.deadline.saturating_duration_since(start);
    let until = start + time.mul_f64(MAX_WAIT_SHARE);
    let mut permit = None;
    if !router.strains.is_refusing(&search.route.name, start) {
        let acquire = semaphore.acquire(search.route.priority);
        permit = clock::timeout_at(clock, until, acquire).await.ok();
    }
    let has_room = permit.is_some() && poll_capacity(router, search, wait, until).await;
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
async fn poll_capacity(
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
        if predict(router, search, &terms, now).refusal(&terms).is_none() {
            return true;
        }
        if now >= until || router.strains.is_refusing(&search.route.name, now) {
            return false;
        }
        clock::sleep(clock, router.random.jitter(POLL_INTERVAL)).await;
    }
}

/// Why a search was not let in, so that nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When its caller is to come again.
    pub retry_after: Duration,
    /// Why, for the log.
    pub reason: &'static str,
}

/// Lets a search in, or tells when its caller is to come again.
pub fn admit(router: &Router, search: &Search<'_>) -> Result<(), Refused> {
    let now = router.clock.now();
    let terms = terms(router, search, now);
    let forecast = predict(router, search, &terms, now);
    if let Some(retry_after) = forecast.absence(&terms) {
        log_refusal(search, &forecast, &terms, retry_after);
        return Err(Refused { retry_after, reason: "shards without replicas" });
    }
    let refusal = forecast.refusal(&terms).filter(|_| router.uses(Mechanism::Refusals));
    let Some(retry_after) = refusal else {
        return Ok(());
    };
    let route = &search.route.name;
    router.strains.note(route, Fate::Refused, now);
    let crowd = router.random.jitter(router.strains.retry(route, terms.time, now));
    let retry_after =
        if router.uses(Mechanism::RetryTimes) { retry_after.max(crowd) } else { FIXED_RETRY_AFTER };
    log_refusal(search, &forecast, &terms, retry_after);
    Err(Refused { retry_after, reason: "replicas are crowded" })
}

/// Writes a line for a refusal, with what decided it.
fn log_refusal(search: &Search<'_>, forecast: &Forecast, terms: &Terms, retry_after: Duration) {
    let Forecast { needed, spared, .. } = forecast;
    let slowest = needed.last();
    tracing::info!(
        request = search.identity.to_str().unwrap_or_default(),
        late = needed.len() + spared.len(),
        needed = needed.len(),
        service = slowest.map(|late| search.set.shards[late.index].as_str()),
        expected_ms = slowest.map(|late| (late.expected * 1e3) as u64),
        crowded = needed.iter().filter(|late| late.is_crowded).count(),
        margin = terms.margin,
        due_ms = terms.left.as_millis() as u64,
        retry_ms = retry_after.as_millis() as u64,
        "forecast: refused"
    );
}

/// Foretells when the parts of a search would come.
fn predict(router: &Router, search: &Search<'_>, terms: &Terms, now: Instant) -> Forecast {
    let best = search.set.shards.iter().map(|shard| -> Option<Rating> {
        let need = router.need_at(search.route, shard);
        Some(replica::pick(&router.directory.of(shard), &[], need, now)?.rating)
    });
    Forecast::new(best, terms)
}

fn terms(router: &Router, search: &Search<'_>, now: Instant) -> Terms {
    let margin = match router.uses(Mechanism::Strain) {
        true => router.strains.margin(&search.route.name, now),
        false => strain::LEAST_MARGIN,
    };
    Terms {
        left: search.due.saturating_duration_since(now),
        time: search.deadline.saturating_duration_since(now),
        least: search.set.min_parts(),
        margin: if search.is_late_retry { margin * LATE_RETRY_FACTOR } else { margin },
    }
}
