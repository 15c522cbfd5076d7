//! Merging of the hits of several shards.

use kumquatnotch_core::{collections::HashSet, ids::TenantName, query::Hit};

/// Returns the best `limit` of `hits` by descending score, then by key, without duplicate keys.
pub fn merge_hits(mut hits: Vec<Hit>, limit: usize) -> Vec<Hit> {
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    let mut seen = HashSet::default();
    hits.retain(|hit| seen.insert(hit.key.clone()));
    hits.truncate(limit);
    hits
}

/// Removes the private fields of each hit that `tenant` does not own.
pub fn strip_private(hits: &mut [Hit], tenant: &TenantName) {
    for hit in hits {
        // The private fields of a hit without an owner are visible to no tenant.
        if hit.owner.as_ref() != Some(tenant) {
            hit.private = None;
        }
    }
}
