//! Each answer states truly which shards it covers.
//!
//! Asked, covered and missing must add up to the layout of the snapshot; every
//! covered shard must have run this very request to its end; and the hits must
//! be the best of all covered shards, no less. A lost query that comes back as
//! an empty success fails all three.

use kumquatnotch_core::{answer::Answer, collections::HashSet, ids::ShardName, query::Hit};
use standins::{
    data,
    records::{RunEnd, RunRecord},
};

use crate::{
    checker::{Findings, Promise},
    record::History,
};

/// Looks for answers that cover less than they say.
pub fn check(history: &History, findings: &mut Findings) {
    let runs = history.runs_by_nonce();
    for (attempt, limit, answer) in history.answers() {
        let Some(layout) = history.layouts.get(&answer.coverage.version) else {
            continue;
        };
        let runs = runs.get(&attempt.nonce).map(Vec::as_slice).unwrap_or_default();
        let faults = [
            count_fault(answer, layout),
            lost_fault(answer),
            run_fault(answer, layout, runs),
            hits_fault(answer, layout, limit),
        ];
        for fault in faults.into_iter().flatten() {
            findings.add(Promise::Coverage, format!("{:x}: {fault}", attempt.nonce));
        }
    }
}

fn count_fault(answer: &Answer, layout: &[ShardName]) -> Option<String> {
    let coverage = &answer.coverage;
    let missing: HashSet<&ShardName> = coverage.missing.iter().map(|miss| &miss.shard).collect();
    if missing.len() != coverage.missing.len()
        || missing.iter().any(|shard| !layout.contains(shard))
    {
        return Some("the list of missing shards is wrong".to_owned());
    }
    if coverage.asked as usize != layout.len() {
        return Some(format!("asked {} of {} shards", coverage.asked, layout.len()));
    }
    if coverage.asked as usize != coverage.covered as usize + missing.len() {
        let (asked, covered) = (coverage.asked, coverage.covered);
        return Some(format!("{asked} asked, {covered} covered, {} missing", missing.len()));
    }
    None
}

fn lost_fault(answer: &Answer) -> Option<String> {
    (answer.coverage.covered == 0).then(|| "a success that covers nothing".to_owned())
}

fn run_fault(answer: &Answer, layout: &[ShardName], runs: &[&RunRecord]) -> Option<String> {
    let version = Some(answer.coverage.version);
    let has_run = |shard: &ShardName| {
        let of_shard = |run: &&&RunRecord| run.shard == *shard && run.version == version;
        runs.iter().filter(of_shard).any(|run| run.end == RunEnd::Done)
    };
    let shard = covered(answer, layout).find(|shard| !has_run(shard))?;
    Some(format!("shard {shard} is covered, but ran nothing to its end"))
}

fn hits_fault(answer: &Answer, layout: &[ShardName], limit: u32) -> Option<String> {
    let version = answer.coverage.version;
    let mut expected: Vec<Hit> =
        covered(answer, layout).flat_map(|shard| data::hits(shard, version, "", limit)).collect();
    expected.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    expected.truncate(limit as usize);
    // Hits of equal score may stand in any order.
    let scores = |hits: &[Hit]| hits.iter().map(|hit| hit.score).collect::<Vec<f64>>();
    let keys: HashSet<&str> = answer.hits.iter().map(|hit| hit.key.as_str()).collect();
    if scores(&answer.hits) == scores(&expected) && keys.len() == expected.len() {
        return None;
    }
    Some(format!("{} hits that are not the best {}", answer.hits.len(), expected.len()))
}

fn covered<'a>(answer: &'a Answer, layout: &'a [ShardName]) -> impl Iterator<Item = &'a ShardName> {
    let is_missing =
        |shard: &ShardName| answer.coverage.missing.iter().any(|miss| miss.shard == *shard);
    layout.iter().filter(move |shard| !is_missing(shard))
}
