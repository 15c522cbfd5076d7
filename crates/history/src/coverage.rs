//! Checks that each answer reports its coverage correctly.
//!
//! Asked, covered and missing shards must add up to the layout of the snapshot;
//! every covered shard must have completed this very request; and the hits must be
//! the best of all covered shards. A lost query that is returned as an empty
//! success fails all three checks.
//!
//! A tier that knows the number of shards, but has no report of some, cannot name
//! these. It may list them under placeholder names ([`UNSEEN`]); any of the shards
//! that ran the request may then be the covered ones.
//!
//! A node that has just started cannot know whether a declared shard whose targets
//! are all down belongs to the snapshot; after a repartitioning it may not. The node
//! then counts the shard as missing, since leaving it out could make a partial answer
//! look complete. This is allowed only for a short time, as running targets report
//! soon and other nodes know the layout.

use std::collections::BTreeMap;

use kumquatnotch_core::{answer::Answer, collections::HashSet, ids::ShardName, query::Hit};
use standins::{
    data,
    records::{RunEnd, RunRecord},
};

use crate::{
    checker::{Bounds, Findings, Promise},
    record::{History, NodeInstance},
};

/// Substring of the placeholder name of a missing shard whose real name the tier has not seen.
const UNSEEN: &str = "/unseen-";

/// Largest gap between two answers that count as one period of counting the same extra shard, in
/// microseconds.
const EXTRA_SHARD_GAP_US: u64 = 2_000_000;

/// Looks for answers whose coverage is wrong.
pub fn check(history: &History, bounds: &Bounds, findings: &mut Findings) {
    let runs = history.runs_by_nonce();
    for (attempt, limit, answer) in history.answers() {
        let Some(layout) = history.layouts.get(&answer.coverage.version) else {
            continue;
        };
        let runs = runs.get(&attempt.nonce).map(Vec::as_slice).unwrap_or_default();
        let completed = completed_shards(answer, layout, runs);
        let faults = [
            count_fault(answer, layout, history),
            empty_fault(answer),
            run_fault(answer, &completed),
            hits_fault(answer, &completed, limit),
        ];
        for fault in faults.into_iter().flatten() {
            findings.add(Promise::Coverage, format!("{:x}: {fault}", attempt.nonce));
        }
    }
    check_extra_shards(history, bounds, findings);
}

/// Looks for shards outside the snapshot that a node counted as missing for too long.
fn check_extra_shards(history: &History, bounds: &Bounds, findings: &mut Findings) {
    let mut seen: BTreeMap<(&NodeInstance, &ShardName), Vec<u64>> = BTreeMap::new();
    for (attempt, _, answer) in history.answers() {
        let layout = history.layouts.get(&answer.coverage.version);
        for shard in layout.map(|layout| extra_shards(answer, layout)).unwrap_or_default() {
            seen.entry((&attempt.life, shard)).or_default().push(attempt.sent_us);
        }
    }
    for ((life, shard), mut times) in seen {
        times.sort_unstable();
        let span = longest_span(&times);
        if span > bounds.extra_shard_us {
            let span = span / 1_000;
            let node = &life.node;
            let detail = format!("{node} counted {shard}, outside the snapshot, for {span} ms");
            findings.add(Promise::Coverage, detail);
        }
    }
}

/// Returns the longest period of `times` (sorted) without a gap of more than
/// [`EXTRA_SHARD_GAP_US`].
fn longest_span(times: &[u64]) -> u64 {
    let near = |a: &u64, b: &u64| b - a <= EXTRA_SHARD_GAP_US;
    let spans = times.chunk_by(near).filter_map(|chunk| Some(chunk.last()? - chunk.first()?));
    spans.max().unwrap_or_default()
}

/// Returns the missing shards with a real name that is not part of the snapshot.
fn extra_shards<'a>(answer: &'a Answer, layout: &[ShardName]) -> Vec<&'a ShardName> {
    let missing = answer.coverage.missing.iter().map(|miss| &miss.shard);
    missing.filter(|shard| !layout.contains(shard) && !shard.contains(UNSEEN)).collect()
}

fn count_fault(answer: &Answer, layout: &[ShardName], history: &History) -> Option<String> {
    let coverage = &answer.coverage;
    let missing: HashSet<&ShardName> = coverage.missing.iter().map(|miss| &miss.shard).collect();
    let extra_shards = extra_shards(answer, layout);
    if let Some(shard) = extra_shards.iter().find(|shard| !history.declared.contains(**shard)) {
        return Some(format!("shard {shard} is listed as missing but is not declared"));
    }
    if missing.len() != coverage.missing.len() {
        return Some("a shard is listed as missing twice".to_owned());
    }
    if coverage.asked as usize != layout.len() + extra_shards.len() {
        return Some(format!("asked {} of {} shards", coverage.asked, layout.len()));
    }
    if coverage.asked as usize != coverage.covered as usize + missing.len() {
        let (asked, covered) = (coverage.asked, coverage.covered);
        return Some(format!("{asked} asked, {covered} covered, {} missing", missing.len()));
    }
    None
}

fn empty_fault(answer: &Answer) -> Option<String> {
    (answer.coverage.covered == 0).then(|| "success without any covered shard".to_owned())
}

/// Returns the shards that completed the request and are not listed as missing.
fn completed_shards<'a>(
    answer: &Answer,
    layout: &'a [ShardName],
    runs: &[&RunRecord],
) -> Vec<&'a ShardName> {
    let version = Some(answer.coverage.version);
    let is_missing =
        |shard: &ShardName| answer.coverage.missing.iter().any(|miss| miss.shard == *shard);
    let has_run = |shard: &ShardName| {
        let of_shard = |run: &&&RunRecord| run.shard == *shard && run.version == version;
        runs.iter().filter(of_shard).any(|run| run.end == RunEnd::Done)
    };
    layout.iter().filter(|shard| !is_missing(shard) && has_run(shard)).collect()
}

fn run_fault(answer: &Answer, completed: &[&ShardName]) -> Option<String> {
    let covered = answer.coverage.covered as usize;
    (completed.len() < covered)
        .then(|| format!("{covered} covered, but only {} completed the request", completed.len()))
}

fn hits_fault(answer: &Answer, completed: &[&ShardName], limit: u32) -> Option<String> {
    let mut combinations = combinations(completed, answer.coverage.covered as usize).into_iter();
    match combinations.any(|shards| has_best_hits(answer, &shards, limit)) {
        true => None,
        false => {
            Some(format!("the {} hits are not the best of the covered shards", answer.hits.len()))
        }
    }
}

fn has_best_hits(answer: &Answer, shards: &[&ShardName], limit: u32) -> bool {
    let version = answer.coverage.version;
    let hits = shards.iter().flat_map(|shard| data::hits(shard, version, "", limit));
    let mut expected: Vec<Hit> = hits.collect();
    expected.sort_by(|a, b| b.score.total_cmp(&a.score));
    expected.truncate(limit as usize);
    // Hits of equal score may be in any order.
    let scores = |hits: &[Hit]| hits.iter().map(|hit| hit.score).collect::<Vec<f64>>();
    let keys: HashSet<&str> = answer.hits.iter().map(|hit| hit.key.as_str()).collect();
    scores(&answer.hits) == scores(&expected) && keys.len() == expected.len()
}

/// Returns all combinations of `count` shards.
fn combinations<'a>(shards: &[&'a ShardName], count: usize) -> Vec<Vec<&'a ShardName>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, shard) in shards.iter().enumerate() {
        for mut rest in combinations(&shards[at + 1..], count - 1) {
            rest.push(shard);
            all.push(rest);
        }
    }
    all
}
