//! Metrics of the root.
//!
//! Labels contain only names of tenants, classes and codes, never keys, queries or
//! fields.

use std::time::Duration;

use kumquatnotch_core::{Error, answer::Coverage, document::Class, ids::TenantName};
use metrics::{counter, gauge, histogram};

/// Records an answered search.
pub(crate) fn answered(tenant: &TenantName, class: Class, span: Duration, coverage: &Coverage) {
    let labels = [("tenant", tenant.to_string()), ("class", class.as_str().to_owned())];
    histogram!("kumquatnotch_search_seconds", &labels).record(span.as_secs_f64());
    histogram!("kumquatnotch_search_coverage", &labels).record(coverage.share());
    if coverage.stopped_early {
        counter!("kumquatnotch_search_stopped_early_total", &labels).increment(1);
    }
}

/// Counts a request that was refused or failed.
pub(crate) fn refused(kind: &'static str, class: Option<Class>, error: &Error) {
    let class = class.map_or("none", Class::as_str);
    let code = error.code().to_string();
    counter!("kumquatnotch_refusals_total", "kind" => kind, "class" => class, "code" => code)
        .increment(1);
}

/// Records an exclusive request whose outcome was returned.
pub(crate) fn exclusive(tenant: &TenantName, span: Duration) {
    histogram!("kumquatnotch_exclusive_seconds", "tenant" => tenant.to_string())
        .record(span.as_secs_f64());
}

/// Counts a request of a group that was hedged because its first holder is late.
pub(crate) fn hedge() {
    counter!("kumquatnotch_group_hedges_total").increment(1);
}

/// Counts a query that was planned again because its version was dropped.
pub(crate) fn replanned() {
    counter!("kumquatnotch_replans_total").increment(1);
}

/// Counts shards that were retried because they were late for the stop rule.
pub(crate) fn followed_up(shards: usize) {
    counter!("kumquatnotch_follow_ups_total").increment(shards as u64);
}

/// Counts a request that was sent to one shard first.
pub(crate) fn canary() {
    counter!("kumquatnotch_canaries_total").increment(1);
}

/// Sets the number of running searches.
pub(crate) fn running(count: usize) {
    gauge!("kumquatnotch_searches_running").set(count as f64);
}

/// Sets the numbers of running exclusive requests and of stored outcomes.
pub(crate) fn tickets(running: usize, stored: usize) {
    gauge!("kumquatnotch_exclusive_running").set(running as f64);
    gauge!("kumquatnotch_outcomes_kept").set(stored as f64);
}
