//! Tests of the choice of the version and of the shards of a plan.

mod common;

use std::rc::Rc;

use common::{ms, shard};
use kumquatnotch_core::{
    Clock,
    answer::ShardVersions,
    clock::PausedClock,
    ids::{IndexVersion, ShardName},
    target::HeldVersion,
};
use kumquatnotch_query::{VersionView, plan};
use proptest::prelude::*;
use yare::parameterized;

fn view_of(reports: &[(&str, &[HeldVersion])]) -> VersionView {
    let view = VersionView::default();
    let now = PausedClock::default().now();
    for (shard, versions) in reports {
        let report = ShardVersions { shard: (*shard).into(), versions: versions.to_vec() };
        view.update(now, &[report]);
    }
    view
}

fn held_version(version: u64, shard: &str, collection: &str, total: u32) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: shard.into(),
        collection: collection.to_owned(),
        total,
    }
}

fn planned(reports: &[(&str, &[HeldVersion])], declared: &[&str]) -> (u64, usize, u32) {
    let declared: Vec<ShardName> = declared.iter().map(|shard| (*shard).into()).collect();
    let plan = plan(&view_of(reports), &declared).unwrap();
    (plan.version.0, plan.shards.len(), plan.asked())
}

#[parameterized(
    newest_that_all_have = {
        &[("a", &[held_version(1, "a", "c", 2), held_version(2, "a", "c", 2)]), ("b", &[held_version(1, "b", "c", 2)])],
        &["a", "b"], (1, 2, 2)
    },
    best_coverage_else = {
        &[("a", &[held_version(3, "a", "c", 3)]), ("b", &[held_version(2, "b", "c", 3)]), ("d", &[held_version(2, "d", "c", 3)])],
        &["a", "b", "d"], (2, 2, 3)
    },
    newest_of_equals = {
        &[("a", &[held_version(3, "a", "c", 2)]), ("b", &[held_version(2, "b", "c", 2)])],
        &["a", "b"], (3, 1, 2)
    },
    unreported_shard_fills_the_layout = {
        &[("a", &[held_version(1, "a", "c", 2)])], &["a", "b"], (1, 1, 2)
    },
    unreported_shard_beyond_the_layout = {
        &[("a", &[held_version(1, "a", "c", 1)])], &["a", "b"], (1, 1, 2)
    },
    undeclared_part_of_the_layout = {
        &[("a", &[held_version(1, "a", "c", 3)])], &["a"], (1, 1, 3)
    },
    merged_halves = {
        &[("a", &[held_version(1, "a", "c", 2), held_version(2, "ab", "c", 1)]), ("b", &[held_version(1, "b", "c", 2)])],
        &["a", "b"], (2, 1, 1)
    },
    moved_shard_takes_no_other_slot = {
        &[("a", &[held_version(1, "a", "c", 3), held_version(1, "b", "c", 3)]), ("b", &[])], &["a", "b"], (1, 2, 3)
    },
    other_collection_counts = {
        &[("a", &[held_version(2, "a", "c", 1)]), ("x", &[held_version(1, "x", "d", 2)])], &["a", "x"], (2, 1, 3)
    },
)]
fn layout_determines_the_requested_shards(
    reports: &[(&str, &[HeldVersion])],
    declared: &[&str],
    expected: (u64, usize, u32),
) {
    assert_eq!(planned(reports, declared), expected);
}

/// The report of a known shard becomes empty: either briefly, as from a holder that has
/// just taken over its group, or permanently, as its replicas are lost. An empty report
/// that took effect at once would reduce the coverage of the next answers, and a lost
/// shard must still count. Both shards are requested before and after.
#[parameterized(
    briefly = { 1_000, 2 },
    permanently = { 11_000, 1 },
)]
fn empty_report_does_not_shrink_a_plan(elapsed_ms: u64, shards: usize) {
    let clock = PausedClock::default();
    let view = VersionView::default();
    let report = |shard: &str, versions: Vec<HeldVersion>| {
        let report = ShardVersions { shard: shard.into(), versions };
        view.update(clock.now(), &[report]);
    };
    report("a", vec![held_version(1, "a", "c", 1)]);
    report("b", vec![held_version(1, "b", "d", 1)]);
    clock.advance(ms(elapsed_ms));
    report("b", Vec::new());

    let plan = plan(&view, &["a".into(), "b".into()]).unwrap();

    assert_eq!((plan.shards.len(), plan.asked()), (shards, 2));
}

/// Two shards are split into four, and "b" was never reported. The missing shards of
/// the new layout must not be listed as "b", which is not part of the snapshot.
#[test]
fn missing_shard_of_a_new_layout_has_no_old_name() {
    let view = view_of(&[("a", &[held_version(2, "p0", "c", 4), held_version(2, "p1", "c", 4)])]);

    let plan = plan(&view, &["a".into(), "b".into()]).unwrap();

    let names: Vec<&str> = plan.absent.iter().map(|missing| missing.shard.as_str()).collect();
    assert_eq!(names, ["c/unseen-0", "c/unseen-1"]);
}

/// Shard "b" has moved to the replicas of "a", and its own replicas are empty. As it
/// was reported at "a" and unknown at "b", it was listed in one answer as both covered
/// and missing. It must be listed once.
#[test]
fn moved_shard_is_planned_once() {
    let view = view_of(&[
        ("a", &[held_version(1, "a", "c", 2), held_version(1, "b", "c", 2)]),
        ("b", &[]),
    ]);

    let plan = plan(&view, &["a".into(), "b".into()]).unwrap();

    assert_eq!((plan.shards.len(), plan.asked()), (2, 2));
}

fn any_reports() -> impl Strategy<Value = Vec<Vec<(u64, u8, u32)>>> {
    let held = (1u64..4, 0u8..6, 1u32..7);
    prop::collection::vec(prop::collection::vec(held, 0..5), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any reports, a plan lists each shard once, and its count equals the number
    /// of listed shards.
    #[test]
    fn plan_lists_each_shard_once(reports in any_reports()) {
        let clock = PausedClock::default();
        let view = Rc::new(VersionView::default());
        let declared: Vec<ShardName> = (0..reports.len()).map(shard).collect();
        for (name, versions) in declared.iter().zip(&reports) {
            let versions = versions
                .iter()
                .map(|(version, part, total)| held_version(*version, &format!("s{part}"), "c", *total))
                .collect();
            let report = ShardVersions { shard: name.clone(), versions };
            view.update(clock.now(), &[report]);
        }
        if let Ok(plan) = plan(&view, &declared) {
            let mut names: Vec<&str> = plan.shards.iter().map(|e| e.shard.as_str()).collect();
            names.extend(plan.absent.iter().map(|missing| missing.shard.as_str()));
            let count = names.len();
            names.sort_unstable();
            names.dedup();
            prop_assert_eq!(names.len(), count);
            prop_assert_eq!(count, plan.asked() as usize);
        }
    }
}
