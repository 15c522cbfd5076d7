//! Checks that every answer comes from one snapshot of the index.
//!
//! The stand-ins derive the score and owner of a hit from its shard, version and
//! number, so a hit of another version is detected even if its version label is wrong.

use kumquatnotch_core::{
    answer::Answer,
    ids::{IndexVersion, ShardName},
    query::Hit,
};
use standins::data;

use crate::{
    checker::{Findings, Promise},
    record::History,
};

/// Looks for answers that mix snapshots or come from a version that was never published.
pub fn check(history: &History, findings: &mut Findings) {
    for (attempt, _, answer) in history.answers() {
        let Some(layout) = history.layouts.get(&answer.coverage.version) else {
            let version = answer.coverage.version;
            let detail = format!("{:x} is from unpublished version {version}", attempt.nonce);
            findings.add(Promise::Snapshot, detail);
            continue;
        };
        for detail in foreign_hits(answer, layout) {
            findings.add(Promise::Snapshot, format!("{:x}: {detail}", attempt.nonce));
        }
    }
}

/// Describes the hits that do not belong to the answer's snapshot.
fn foreign_hits(answer: &Answer, layout: &[ShardName]) -> Vec<String> {
    let version = answer.coverage.version;
    let is_foreign = |hit: &&Hit| match shard_and_number(hit) {
        Some((shard, number)) => {
            !layout.contains(&shard) || !belongs_to(hit, &shard, number, version)
        }
        None => true,
    };
    let foreign_hits = answer.hits.iter().filter(is_foreign);
    foreign_hits.map(|hit| format!("hit {} is not of version {version}", hit.key)).collect()
}

fn belongs_to(hit: &Hit, shard: &ShardName, number: u32, version: IndexVersion) -> bool {
    let expected = data::hit(shard, version, number, &serde_json::Value::Null);
    let labelled = hit.fields["version"].as_u64() == Some(version.0);
    labelled && hit.score == expected.score && hit.owner == expected.owner
}

/// Returns the shard of a hit and the number of the hit within that shard.
pub fn shard_and_number(hit: &Hit) -> Option<(ShardName, u32)> {
    let (shard, number) = hit.key.rsplit_once('/')?;
    Some((ShardName::from(shard), number.parse().ok()?))
}
