//! Merging the hits of several shards.

use kumquatnotch_core::{collections::HashSet, ids::TenantName, query::Hit};

/// The best `limit` of `hits`: by score, ties by key, each key once.
pub fn merge_hits(mut hits: Vec<Hit>, limit: usize) -> Vec<Hit> {
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    let mut seen = HashSet::default();
    hits.retain(|hit| seen.insert(hit.key.clone()));
    hits.truncate(limit);
    hits
}

/// Removes what only the owner of a hit may see, unless `tenant` is the owner.
pub fn strip_private(hits: &mut [Hit], tenant: &TenantName) {
    for hit in hits {
        // A hit that names no owner is nobody's to see in full.
        if hit.owner.as_ref() != Some(tenant) {
            hit.private = None;
        }
    }
}
