//! Each answer states truly which shards it covers.
//!
//! Asked, covered and missing must add up to the layout of the snapshot; every
//! covered shard must have run this very request to its end; and the hits must
//! be the best of all covered shards, no less. A lost query that comes back as
//! an empty success fails all three.
//!
//! A tier that knows how many shards there are, but has seen no report of some,
//! can't name those. It may give them made-up names ([`UNSEEN`]); then any of
//! the shards that ran the request may be the covered ones.

use kumquatnotch_core::{answer::Answer, collections::HashSet, ids::ShardName, query::Hit};
use standins::{
    data,
    records::{RunEnd, RunRecord},
};

use crate::{
    checker::{Findings, Promise},
    record::History,
};

/// What the name of a missing shard holds if the tier has never seen its name.
const UNSEEN: &str = "/unseen-";

/// Looks for answers that cover less than they say.
pub fn check(history: &History, findings: &mut Findings) {
    let runs = history.runs_by_nonce();
    for (attempt, limit, answer) in history.answers() {
        let Some(layout) = history.layouts.get(&answer.coverage.version) else {
            continue;
        };
        let runs = runs.get(&attempt.nonce).map(Vec::as_slice).unwrap_or_default();
        let ran = ran(answer, layout, runs);
        let faults = [
            count_fault(answer, layout),
            lost_fault(answer),
            run_fault(answer, &ran),
            hits_fault(answer, &ran, limit),
        ];
        for fault in faults.into_iter().flatten() {
            findings.add(Promise::Coverage, format!("{:x}: {fault}", attempt.nonce));
        }
    }
}

fn count_fault(answer: &Answer, layout: &[ShardName]) -> Option<String> {
    let coverage = &answer.coverage;
    let missing: HashSet<&ShardName> = coverage.missing.iter().map(|miss| &miss.shard).collect();
    let is_wrong = |shard: &&ShardName| !layout.contains(shard) && !shard.contains(UNSEEN);
    if let Some(shard) = missing.iter().find(|shard| is_wrong(shard)) {
        return Some(format!("shard {shard} is missing, but isn't of the snapshot"));
    }
    if missing.len() != coverage.missing.len() {
        return Some("a shard is missing twice".to_owned());
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

/// The shards that ran the request to its end and are not said to be missing.
fn ran<'a>(answer: &Answer, layout: &'a [ShardName], runs: &[&RunRecord]) -> Vec<&'a ShardName> {
    let version = Some(answer.coverage.version);
    let is_missing =
        |shard: &ShardName| answer.coverage.missing.iter().any(|miss| miss.shard == *shard);
    let has_run = |shard: &ShardName| {
        let of_shard = |run: &&&RunRecord| run.shard == *shard && run.version == version;
        runs.iter().filter(of_shard).any(|run| run.end == RunEnd::Done)
    };
    layout.iter().filter(|shard| !is_missing(shard) && has_run(shard)).collect()
}

fn run_fault(answer: &Answer, ran: &[&ShardName]) -> Option<String> {
    let covered = answer.coverage.covered as usize;
    (ran.len() < covered).then(|| format!("{covered} covered, but {} ran to their end", ran.len()))
}

fn hits_fault(answer: &Answer, ran: &[&ShardName], limit: u32) -> Option<String> {
    let mut choices = choices(ran, answer.coverage.covered as usize).into_iter();
    match choices.any(|shards| has_best_hits(answer, &shards, limit)) {
        true => None,
        false => Some(format!("{} hits, not the best of what is covered", answer.hits.len())),
    }
}

fn has_best_hits(answer: &Answer, shards: &[&ShardName], limit: u32) -> bool {
    let version = answer.coverage.version;
    let hits = shards.iter().flat_map(|shard| data::hits(shard, version, "", limit));
    let mut expected: Vec<Hit> = hits.collect();
    expected.sort_by(|a, b| b.score.total_cmp(&a.score));
    expected.truncate(limit as usize);
    // Hits of equal score may stand in any order.
    let scores = |hits: &[Hit]| hits.iter().map(|hit| hit.score).collect::<Vec<f64>>();
    let keys: HashSet<&str> = answer.hits.iter().map(|hit| hit.key.as_str()).collect();
    scores(&answer.hits) == scores(&expected) && keys.len() == expected.len()
}

/// Every way to choose `count` of `shards`.
fn choices<'a>(shards: &[&'a ShardName], count: usize) -> Vec<Vec<&'a ShardName>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, shard) in shards.iter().enumerate() {
        for mut rest in choices(&shards[at + 1..], count - 1) {
            rest.push(shard);
            all.push(rest);
        }
    }
    all
}
