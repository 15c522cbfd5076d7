//! The merging of partial answers.

use kumquatnotch_core::{collections::HashSet, ids::TenantName, query::Hit};

/// The best `limit` of `hits`, the best first, with each key once.
///
/// Fields that only an owner may see are taken out here as well as at the
/// holder: a holder of an older version or a target that filters nothing must
/// not show a rival's private rates.
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
