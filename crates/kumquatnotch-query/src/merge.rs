//! Merging of partial answers.

use kumquatnotch_core::{collections::HashSet, ids::TenantName, query::Hit};

/// Returns the best `limit` hits in descending order, without duplicate keys.
///
/// Private fields are removed here as well as at the holder: an older version of the
/// holder or a target without a filter must not expose a competitor's private rates.
pub(crate) fn merge(mut hits: Vec<Hit>, limit: usize, tenant: &TenantName) -> Vec<Hit> {
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    let mut keys = HashSet::default();
    hits.retain(|hit| keys.len() < limit && keys.insert(hit.key.clone()));
    for hit in &mut hits {
        if hit.owner.as_ref() != Some(tenant) {
            hit.private = None;
        }
    }
    hits
}
