//! Admission control: whether a search is admitted at once, after waiting for capacity, or
//! refused.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_core::{clock, lifecycle::Stage};
use kumquatnotch_policy::{
    forecast::{Forecast, Requirements},
    mechanisms::Mechanism,
    overload::{self, SearchOutcome},
    rating::Rating,
};

use crate::{
    gather::Search,
    headers, replica,
    router::Router,
    semaphore::{Permit, PrioritySemaphore},
};

/// Factor by which the safety margin is larger for late retries.
///
/// Their answers are late in any case, so searches that can be in time go first.
const LATE_RETRY_FACTOR: f64 = 2.0;

/// Maximum share of the remaining time that a late retry waits for capacity.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Interval between checks for capacity, before jitter.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// `Retry-After` of refusals when [`Mechanism::RetryTimes`] is off.
const FIXED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Waits until replicas have capacity for a late retry; `None` if they have none.
///
/// The caller of such a search retries after the objective has passed, so the answer is
/// late in any case. The search waits for a share of its remaining time, but not while
/// first-time searches are being refused, as it would make more of them late.
///
/// After an outage many callers retry at the same time. If all of them were admitted as
/// soon as there is capacity, none would be left for first-time searches. `semaphore`
/// therefore admits only a few at a time, each until its permit is dropped.
///
/// Returns `None` if there is none in time, or the node exits first.
pub async fn wait_for_capacity(
    router: &Router,
    semaphore: &Rc<PrioritySemaphore>,
    search: &mut Search<'_>,
) -> Option<Permit> {
    let wait = pin!(wait_in_time(router, semaphore, search));
    let ended = pin!(router.lifecycle.reached(Stage::Ending));
    match select(wait, ended).await {
        Either::Left((permit, _)) => permit,
        Either::Right(_) => None,
    }
}

async fn wait_in_time(
    router: &Router,
    semaphore: &Rc<PrioritySemaphore>,
    search: &mut Search<'_>,
) -> Option<Permit> {
    let clock = &*router.clock;
    let start = clock.now();
    let wait = search.due.saturating_duration_since(start);
    let time_left = search.deadline.saturating_duration_since(start);
    let until = start + time_left.mul_f64(MAX_WAIT_SHARE);
    let mut permit = None;
    if !router.overload.is_refusing(&search.route.name, start) {
        let acquire = semaphore.acquire(search.route.priority);
        permit = clock::timeout_at(clock, until, acquire).await.ok();
    }
    let has_room = permit.is_some() && poll_capacity(router, search, wait, until).await;
    tracing::info!(
        request = %headers::log_text(search.identity),
        ms = clock.now().saturating_duration_since(start).as_millis() as u64,
        has_room,
        "forecast: a caller came again"
    );
    permit.filter(|_| has_room)
}

/// Checks periodically for capacity; returns false if there is none by `until`.
///
/// The answer is due `wait` after capacity is found.
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
        let requirements = requirements(router, search, now);
        if predict(router, search, &requirements, now).overload_retry(&requirements).is_none() {
            return true;
        }
        if now >= until || router.overload.is_refusing(&search.route.name, now) {
            return false;
        }
        clock::sleep(clock, router.random.jitter(POLL_INTERVAL)).await;
    }
}

/// A refusal of a search, of which no part has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When the caller may retry.
    pub retry_after: Duration,
    /// The reason, for the log and the body of the refusal.
    pub reason: &'static str,
}

/// Admits a search, or returns when its caller may retry.
pub fn admit(router: &Router, search: &Search<'_>) -> Result<(), Refused> {
    let now = router.clock.now();
    let requirements = requirements(router, search, now);
    let forecast = predict(router, search, &requirements, now);
    if let Some(retry_after) = forecast.unavailable_retry(&requirements) {
        log_refusal(search, &forecast, &requirements, retry_after);
        return Err(Refused { retry_after, reason: "shards without replicas" });
    }
    let refusal =
        forecast.overload_retry(&requirements).filter(|_| router.uses(Mechanism::Refusals));
    let Some(retry_after) = refusal else {
        return Ok(());
    };
    let route = &search.route.name;
    router.overload.note(route, SearchOutcome::Refused, now);
    let backoff =
        router.random.jitter(router.overload.retry_delay(route, requirements.time_left, now));
    let retry_after = if router.uses(Mechanism::RetryTimes) {
        retry_after.max(backoff)
    } else {
        FIXED_RETRY_AFTER
    };
    log_refusal(search, &forecast, &requirements, retry_after);
    Err(Refused { retry_after, reason: "replicas are crowded" })
}

/// Logs a refusal and the figures behind the decision.
fn log_refusal(
    search: &Search<'_>,
    forecast: &Forecast,
    requirements: &Requirements,
    retry_after: Duration,
) {
    let Forecast { needed, optional, .. } = forecast;
    let slowest = needed.last();
    tracing::info!(
        request = %headers::log_text(search.identity),
        late = needed.len() + optional.len(),
        needed = needed.len(),
        service = slowest.map(|shard| search.set.shards[shard.index].as_str()),
        expected_ms = slowest.map(|shard| (shard.expected * 1e3) as u64),
        crowded = needed.iter().filter(|shard| shard.is_congested).count(),
        margin = requirements.margin,
        due_ms = requirements.objective_left.as_millis() as u64,
        retry_ms = retry_after.as_millis() as u64,
        "forecast: refused"
    );
}

/// Predicts when the parts of a search would arrive.
fn predict(
    router: &Router,
    search: &Search<'_>,
    requirements: &Requirements,
    now: Instant,
) -> Forecast {
    let best = search.set.shards.iter().map(|shard| -> Option<Rating> {
        let profile = router.profile_for(search.route, shard);
        Some(replica::pick(&router.directory.of(shard), &[], profile, now)?.rating)
    });
    Forecast::new(best, requirements)
}

fn requirements(router: &Router, search: &Search<'_>, now: Instant) -> Requirements {
    let margin = match router.uses(Mechanism::Strain) {
        true => router.overload.margin(&search.route.name, now),
        false => overload::MIN_MARGIN,
    };
    Requirements {
        objective_left: search.due.saturating_duration_since(now),
        time_left: search.deadline.saturating_duration_since(now),
        min_parts: search.set.min_parts(),
        margin: if search.is_late_retry { margin * LATE_RETRY_FACTOR } else { margin },
    }
}
