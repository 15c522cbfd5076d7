//! Tests of the checks on answers: a clean history passes, and each violation is detected.
//!
//! Every case violates one promise in the clean history, as a faulty tier would, and
//! expects the checker to report that promise.

mod fixture;

use history::{
    checker::{Bounds, Promise, check},
    record::{History, Outcome},
};
use kumquatnotch_core::{
    answer::Missing,
    ids::{IndexVersion, ShardName, TenantName},
};
use serde_json::json;
use standins::{data, records::RunEnd};
use yare::parameterized;

use fixture::{HOLD, SEARCH, SECOND, change_answer, clean_history, promises, shards};

#[test]
fn a_clean_history_passes() {
    let findings = check(&clean_history(), &Bounds::default());

    assert!(findings.violations.is_empty(), "{:?}", findings.violations);
    assert_eq!(findings.counts().len(), Promise::ALL.len());
}

fn hit_of_another_version(history: &mut History) {
    history.layouts.insert(IndexVersion(2), shards());
    let other = data::hits(&shards()[0], IndexVersion(2), r#"{"nonce":1}"#, 1).remove(0);
    change_answer(history, |answer| answer.hits[0] = other);
}

fn hit_of_another_version_with_a_false_label(history: &mut History) {
    let mut other = data::hits(&shards()[0], IndexVersion(2), r#"{"nonce":1}"#, 1).remove(0);
    other.fields["version"] = json!(1);
    change_answer(history, |answer| answer.hits[0] = other);
}

fn unpublished_version(history: &mut History) {
    change_answer(history, |answer| answer.coverage.version = IndexVersion(9));
}

fn shard_of_another_layout(history: &mut History) {
    let stranger = data::hits(&ShardName::from("r7"), IndexVersion(1), r#"{"nonce":1}"#, 1);
    change_answer(history, |answer| answer.hits[0] = stranger[0].clone());
}

#[parameterized(
    other_version = { hit_of_another_version },
    false_label = { hit_of_another_version_with_a_false_label },
    never_published = { unpublished_version },
    other_layout = { shard_of_another_layout },
)]
fn a_mixed_snapshot_is_caught(corrupt: fn(&mut History)) {
    let mut history = clean_history();

    corrupt(&mut history);

    assert!(promises(&history).contains(&Promise::Snapshot));
}

fn empty_success(history: &mut History) {
    change_answer(history, |answer| {
        answer.hits.clear();
        answer.coverage.covered = 3;
        answer.coverage.missing.clear();
    });
}

fn success_that_covers_nothing(history: &mut History) {
    change_answer(history, |answer| {
        answer.hits.clear();
        answer.coverage.covered = 0;
        let miss = |shard| Missing { shard, code: 4005, reason: String::new() };
        answer.coverage.missing = shards().into_iter().map(miss).collect();
    });
}

fn fewer_asked(history: &mut History) {
    change_answer(history, |answer| {
        answer.coverage.asked = 2;
        answer.coverage.missing.clear();
    });
}

fn counts_do_not_add_up(history: &mut History) {
    change_answer(history, |answer| answer.coverage.covered = 3);
}

fn lost_hit(history: &mut History) {
    change_answer(history, |answer| {
        answer.hits.remove(1);
    });
}

fn missing_shard_is_undeclared(history: &mut History) {
    change_answer(history, |answer| answer.coverage.missing[0].shard = ShardName::from("s7"));
}

fn unseen_shard_hides_lost_hits(history: &mut History) {
    change_answer(history, |answer| {
        answer.coverage.missing[0].shard = ShardName::from("rooms/unseen-0");
        answer.hits.retain(|hit| hit.key.starts_with("s0"));
    });
}

fn duplicate_hit(history: &mut History) {
    change_answer(history, |answer| answer.hits[1] = answer.hits[0].clone());
}

fn covered_shard_never_ran(history: &mut History) {
    history.runs.remove(0);
}

fn covered_shard_ran_another_version(history: &mut History) {
    history.runs[0].version = Some(IndexVersion(2));
}

fn covered_shard_was_cancelled(history: &mut History) {
    history.runs[0].end = RunEnd::Cancelled;
}

#[parameterized(
    empty = { empty_success },
    nothing = { success_that_covers_nothing },
    fewer = { fewer_asked },
    sum = { counts_do_not_add_up },
    lost = { lost_hit },
    duplicate = { duplicate_hit },
    undeclared = { missing_shard_is_undeclared },
    unseen = { unseen_shard_hides_lost_hits },
    never_ran = { covered_shard_never_ran },
    other_version = { covered_shard_ran_another_version },
    cancelled = { covered_shard_was_cancelled },
)]
fn an_incorrect_coverage_is_caught(corrupt: fn(&mut History)) {
    let mut history = clean_history();

    corrupt(&mut history);

    assert!(promises(&history).contains(&Promise::Coverage));
}

#[test]
fn a_missing_shard_with_an_unseen_name_passes() {
    let mut history = clean_history();

    change_answer(&mut history, |answer| {
        answer.coverage.missing[0].shard = ShardName::from("rooms/unseen-0");
    });

    assert_eq!(promises(&history), []);
}

/// Makes a node count `s3`, which is declared but not part of the snapshot, as missing in the
/// answer of the clean history and in further ones, `times` seconds later.
fn count_extra_shard(history: &mut History, times: &[u64]) {
    change_answer(history, |answer| {
        answer.coverage.asked += 1;
        let shard = ShardName::from("s3");
        answer.coverage.missing.push(Missing { shard, code: 2006, reason: String::new() });
    });
    for second in times {
        let mut later = history.attempts[SEARCH].clone();
        later.sent_us += second * SECOND;
        later.ended_us += second * SECOND;
        history.attempts.push(later);
    }
}

#[parameterized(
    for_a_moment = { &[1, 2, 4], false },
    for_long = { &[1, 2, 4, 6], true },
    now_and_then = { &[4, 8, 12], false },
)]
fn a_shard_outside_the_snapshot_may_be_counted_only_briefly(times: &[u64], caught: bool) {
    let mut history = clean_history();

    count_extra_shard(&mut history, times);

    assert_eq!(promises(&history).contains(&Promise::Coverage), caught);
}

fn answer_of_another_request(history: &mut History) {
    change_answer(history, |answer| *answer = fixture::answer(77));
}

fn truncated_answer(history: &mut History) {
    history.attempts[SEARCH].outcome = Outcome::Unreadable("EOF".to_owned());
}

fn result_of_another_request(history: &mut History) {
    let other = json!({ "key": "room", "nonce": 77 });
    history.attempts[HOLD].outcome = Outcome::Done(other);
}

fn leaked_private_field(history: &mut History) {
    history.attempts[SEARCH].tenant = TenantName::from("barid");
}

fn withheld_private_field(history: &mut History) {
    change_answer(history, |answer| answer.hits.iter_mut().for_each(|hit| hit.private = None));
}

#[parameterized(
    hits_of_another = { answer_of_another_request },
    truncated_reply = { truncated_answer },
    result_of_another = { result_of_another_request },
    leaked = { leaked_private_field },
    withheld = { withheld_private_field },
)]
fn an_answer_that_is_not_the_callers_own_is_caught(corrupt: fn(&mut History)) {
    let mut history = clean_history();

    corrupt(&mut history);

    assert!(promises(&history).contains(&Promise::Answers));
}
