//! What a leaving node still accepts, and which nodes callers should use instead.

use std::time::{Duration, Instant};

use http::HeaderValue;
use kumquatnotch_core::lifecycle::Stage;

use crate::{attempt::Call, route::Route, router::Router};

/// Reason of refusals by a leaving node.
pub(crate) const REASON: &str = "the node is leaving";

/// `Retry-After` when other nodes serve.
const OTHERS_RETRY_AFTER: Duration = Duration::from_millis(10);

/// `Retry-After` when no other node is known: a node that restarts takes about this long.
const NO_OTHERS_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time that a request may need, as a multiple of the usual service time of its route.
///
/// A refusal costs the caller one more round trip, a request that is ended at the exit all of the
/// time that it has waited.
const MAX_SERVICE_FACTOR: f64 = 6.0;

/// Maximum time that a request to a leaving node waits for a slot of a replica.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(100);

/// Maximum number of other nodes that a refusal names.
const MAX_ALTERNATIVES: usize = 3;

/// How long callers may use the nodes that a refusal names, in seconds.
const ALTERNATIVES_MAX_AGE_S: u32 = 1;

/// Whether the node can finish a request of `route` that is sent to a replica at `now`.
pub(crate) fn can_finish(router: &Router, route: &Route, now: Instant) -> bool {
    latest_start(router, route).is_none_or(|latest| now <= latest)
}

/// Completes when a leaving node should refuse a call that has not been sent to a replica yet.
///
/// A call that waited when the node began to leave keeps its place as long as it can be finished.
/// Of the later ones, a request to a single service does not wait for long, as other nodes can run
/// it at once. A part of a search waits, as a refusal would make the answer incomplete.
pub(crate) async fn too_late(router: &Router, call: &Call<'_>) {
    let clock = &*router.clock;
    let is_late = router.lifecycle.stage() >= Stage::Leaving && call.losses.is_none();
    let longest = clock.now() + MAX_QUEUE_TIME;
    router.lifecycle.reached(Stage::Leaving).await;
    if let Some(latest) = latest_start(router, call.route) {
        clock.sleep_until(if is_late { latest.min(longest) } else { latest }).await;
    }
}

/// Returns the latest time at which a leaving node may send a request of `route` to a replica.
fn latest_start(router: &Router, route: &Route) -> Option<Instant> {
    let needed = router.profile(route).usual.mul_f64(MAX_SERVICE_FACTOR).min(route.timeout);
    let end = router.lifecycle.ends_at()?;
    Some(end.checked_sub(needed).unwrap_or(end))
}

/// Whether callers should use other nodes.
pub(crate) fn is_leaving(router: &Router) -> bool {
    router.lifecycle.stage() >= Stage::Leaving
}

/// Whether the node accepts no new requests any more.
pub(crate) fn is_closing(router: &Router) -> bool {
    router.lifecycle.stage() >= Stage::Closing
}

/// Returns the `Retry-After` of a refusal, and the `Alt-Svc` header (RFC 7838) with other nodes for
/// callers of `host`, if any are known.
pub(crate) fn alternatives(router: &Router, host: &str) -> (Duration, Option<HeaderValue>) {
    let region = &router.local_node.region;
    let advice = router.advice(host);
    let nodes = advice.iter().flat_map(|advice| advice.nodes_for(region));
    let others = nodes.filter(|(name, _)| *name != router.local_node.name);
    let mut addresses: Vec<_> = others.map(|(_, node)| node.entry).collect();
    // Spreads the callers over the nodes.
    router.random.shuffle(&mut addresses);
    addresses.truncate(MAX_ALTERNATIVES);
    let entries: Vec<String> = addresses
        .iter()
        .map(|address| format!("http%2F1.1=\"{address}\"; ma={ALTERNATIVES_MAX_AGE_S}"))
        .collect();
    match entries.is_empty() {
        true => (NO_OTHERS_RETRY_AFTER, None),
        false => (OTHERS_RETRY_AFTER, HeaderValue::from_str(&entries.join(", ")).ok()),
    }
}
