//! The metrics of the root.
//!
//! Labels carry the names of tenants, classes and codes only; never keys,
//! queries or fields.

use std::time::Duration;

use kumquatnotch_core::{Error, answer::Coverage, document::Class, ids::TenantName};
use metrics::{counter, gauge, histogram};

/// A search that was answered.
pub(crate) fn answered(tenant: &TenantName, class: Class, span: Duration, coverage: &Coverage) {
    let labels = [("tenant", tenant.to_string()), ("class", class.as_str().to_owned())];
    histogram!("kumquatnotch_search_seconds", &labels).record(span.as_secs_f64());
    histogram!("kumquatnotch_search_coverage", &labels).record(coverage.share());
    if coverage.stopped_early {
        counter!("kumquatnotch_search_stopped_early_total", &labels).increment(1);
    }
}

/// A request that was refused or failed.
pub(crate) fn refused(kind: &'static str, class: Option<Class>, error: &Error) {
    let class = class.map_or("none", Class::as_str);
    let code = error.code().to_string();
    counter!("kumquatnotch_refusals_total", "kind" => kind, "class" => class, "code" => code)
        .increment(1);
}

/// An exclusive request whose outcome was told.
pub(crate) fn exclusive(tenant: &TenantName, span: Duration) {
    histogram!("kumquatnotch_exclusive_seconds", "tenant" => tenant.to_string())
        .record(span.as_secs_f64());
}

/// A group's request sent to a second holder because the first is late.
pub(crate) fn hedge() {
    counter!("kumquatnotch_group_hedges_total").increment(1);
}

/// A query planned again because its version went away.
pub(crate) fn replanned() {
    counter!("kumquatnotch_replans_total").increment(1);
}

/// Shards asked once more because they were late for the stop rule.
pub(crate) fn followed_up(shards: usize) {
    counter!("kumquatnotch_follow_ups_total").increment(shards as u64);
}

/// A request that went to one shard first.
pub(crate) fn canary() {
    counter!("kumquatnotch_canaries_total").increment(1);
}

/// The searches that run now.
pub(crate) fn running(count: usize) {
    gauge!("kumquatnotch_searches_running").set(count as f64);
}

/// The exclusive requests that run now, and the outcomes that are kept.
pub(crate) fn tickets(running: usize, kept: usize) {
    gauge!("kumquatnotch_exclusive_running").set(running as f64);
    gauge!("kumquatnotch_outcomes_kept").set(kept as f64);
}
