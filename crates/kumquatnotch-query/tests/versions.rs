//! Tests that each answer comes from one snapshot while versions are rolled out and
//! collections are repartitioned.

mod common;

use common::*;
use kumquatnotch_core::{
    answer::Answer,
    clock::sleep,
    ids::{IndexVersion, ShardName},
};
use kumquatnotch_query::{FrontOptions, QueryOptions};

fn without_canary() -> QueryOptions {
    let front = FrontOptions { canary: false, ..FrontOptions::default() };
    QueryOptions { front, ..QueryOptions::default() }
}

/// Returns the versions from which the hits of `answer` were taken.
fn hit_versions(answer: &Answer) -> Vec<u64> {
    let mut versions: Vec<u64> =
        answer.hits.iter().filter_map(|hit| hit.fields["version"].as_u64()).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn assert_one_snapshot(answer: &Answer) {
    assert_eq!(hit_versions(answer), [answer.coverage.version.0]);
    let coverage = &answer.coverage;
    assert_eq!(coverage.asked as usize, coverage.covered as usize + coverage.missing.len());
}

/// A new version is published and the old one dropped, shard by shard, while searches
/// run one after another. Every answer must be complete and from one version. Choosing
/// the newest version reported anywhere would reduce the coverage, and waiting for the
/// rollout to finish would delay callers.
#[test]
fn answers_stay_complete_during_a_version_rollout() {
    let cluster = cluster_with(3, 12, without_canary());

    let answers = run(&cluster, async {
        let mut answers = vec![cluster.search(0).await.unwrap()];
        for number in 0..12 {
            let shard = shard(number);
            let both = vec![held(&shard, 1, 12), held(&shard, 2, 12)];
            cluster.shards.set_versions(&shard, both);
            answers.push(cluster.search(number % 3).await.unwrap());
        }
        for number in 0..12 {
            let shard = shard(number);
            cluster.shards.set_versions(&shard, vec![held(&shard, 2, 12)]);
            answers.push(cluster.search(number % 3).await.unwrap());
        }
        answers
    });

    for answer in &answers {
        assert_one_snapshot(answer);
        assert!(answer.coverage.is_full(), "{:?}", answer.coverage);
    }
    assert_eq!(answers.last().unwrap().coverage.version, IndexVersion(2));
}

/// The node knows only version 1, and all shards replace it with version 2 while a
/// search is running. The first "version gone" error triggers a refresh, and the whole
/// search is planned again. Otherwise the answer would mix two versions or be
/// incomplete. The caller gets a complete answer from version 2 within its deadline.
#[test]
fn search_is_replanned_when_its_version_is_dropped() {
    let cluster = cluster_with(3, 12, without_canary());

    let answer = run(&cluster, async {
        cluster.search(0).await.unwrap();
        for number in 0..12 {
            let shard = shard(number);
            cluster.shards.set_versions(&shard, vec![held(&shard, 2, 12)]);
        }
        cluster.search(0).await.unwrap()
    });

    assert_one_snapshot(&answer);
    assert!(answer.coverage.is_full());
    assert_eq!(answer.coverage.version, IndexVersion(2));
    assert!(answer.elapsed_us < 20_000, "{} us", answer.elapsed_us);
}

/// As above, with five groups that answer one after another. The first "version gone"
/// error reports only its own shards; a plan made from it alone assumed that the others
/// did not have version 2, and the answer was incomplete.
#[test]
fn plan_made_during_a_search_covers_all_shards() {
    let cluster = cluster_with(5, 40, without_canary());

    let answer = run(&cluster, async {
        cluster.search(0).await.unwrap();
        sleep(&cluster.clock, ms(1_000)).await;
        for number in 0..40 {
            let shard = shard(number);
            cluster.shards.set_versions(&shard, vec![held(&shard, 2, 40)]);
            cluster.shards.change(&shard, |state| state.delay = ms(number as u64 / 4));
        }
        for number in 1..5 {
            cluster.set_link(number, common::net::LinkState::Slow(3 * number as u64));
        }
        cluster.search(0).await.unwrap()
    });

    assert_one_snapshot(&answer);
    assert!(answer.coverage.is_full(), "{:?}", answer.coverage);
    assert_eq!(answer.coverage.version, IndexVersion(2));
}

/// Shards with other names than declared change to the next version during a search. An
/// answer reports the requested shard, which the document does not declare, so only a
/// request for the declared ones returns the new versions. The caller gets a complete
/// answer from version 3.
#[test]
fn running_search_follows_a_rollout_of_repartitioned_shards() {
    let cluster = cluster_with(3, 2, without_canary());
    let publish = |version: u64| {
        for number in 0..2 {
            let names = [2 * number, 2 * number + 1].map(|part| format!("s{part}-of-4"));
            let versions = names.map(|name| held(&ShardName::from(name), version, 4)).to_vec();
            cluster.shards.set_versions(&shard(number), versions);
        }
    };

    let answer = run(&cluster, async {
        publish(2);
        cluster.search(0).await.unwrap();
        sleep(&cluster.clock, ms(1_000)).await;
        publish(3);
        cluster.search(0).await.unwrap()
    });

    assert_one_snapshot(&answer);
    assert_eq!((answer.coverage.covered, answer.coverage.asked), (4, 4));
    assert_eq!(answer.coverage.version, IndexVersion(3));
}

/// One shard of twelve has already replaced version 1 with version 2; the others have
/// only version 1. Planning again at version 2 would cover one shard instead of eleven.
/// The caller gets an answer from version 1 that lists the one shard as missing.
#[test]
fn search_is_not_replanned_at_a_version_with_less_coverage() {
    let cluster = cluster_with(3, 12, without_canary());

    let answer = run(&cluster, async {
        cluster.search(0).await.unwrap();
        let shard = shard(3);
        cluster.shards.set_versions(&shard, vec![held(&shard, 2, 12)]);
        cluster.search(0).await.unwrap()
    });

    assert_one_snapshot(&answer);
    assert_eq!((answer.coverage.covered, answer.coverage.asked), (11, 12));
    assert_eq!(answer.coverage.missing[0].shard, shard(3));
    assert_eq!(answer.coverage.missing[0].code, 4006);
}

/// Two shards are split into four with new names on the same replicas, and the old
/// layout is dropped while searches run. The number of shards must come from the layout
/// of the chosen version, as the document still declares two. Answers are complete,
/// first with two shards and then with four.
#[test]
fn repartitioned_collection_is_covered_in_full() {
    let cluster = cluster_with(3, 2, without_canary());
    let split = |number: usize, old: bool| {
        let new = [2 * number, 2 * number + 1]
            .map(|part| held(&ShardName::from(format!("s{part}-of-4")), 2, 4));
        let mut versions = new.to_vec();
        if old {
            versions.push(held(&shard(number), 1, 2));
        }
        versions
    };

    let answers = run(&cluster, async {
        let mut answers = vec![cluster.search(0).await.unwrap()];
        for old in [true, false] {
            for number in 0..2 {
                cluster.shards.set_versions(&shard(number), split(number, old));
                answers.push(cluster.search(0).await.unwrap());
            }
        }
        answers
    });

    for answer in &answers {
        assert_one_snapshot(answer);
        assert!(answer.coverage.is_full(), "{:?}", answer.coverage);
    }
    let asked: Vec<u32> = answers.iter().map(|answer| answer.coverage.asked).collect();
    assert_eq!((asked[0], asked[4]), (2, 4));
}

/// The holders of a new node know no version for its first 100 ms. A "no version" error
/// would fail every early caller, so the search waits, and the caller gets its answer.
#[test]
fn new_node_waits_for_the_first_version_reports() {
    let cluster = cluster(1, 4);
    for number in 0..4 {
        cluster.shards.set_versions(&shard(number), Vec::new());
    }

    let answer = run(&cluster, async {
        let publish = async {
            sleep(&cluster.clock, ms(100)).await;
            for number in 0..4 {
                cluster.shards.set_versions(&shard(number), vec![held(&shard(number), 1, 4)]);
            }
        };
        futures_util::future::join(cluster.search(0), publish).await.0.unwrap()
    });

    assert!(answer.coverage.is_full());
}

/// No holder ever knows a version. The caller must get error 3005 at half of its
/// deadline: an empty list would be read as "nothing available".
#[test]
fn search_without_any_version_fails() {
    let cluster = cluster(1, 4);
    for number in 0..4 {
        cluster.shards.set_versions(&shard(number), Vec::new());
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(code(result), 3005);
}

/// A new version replaces the old one while no search is running. The background task
/// requests reports that are out of date; otherwise the first search after an idle hour
/// would start with a stale plan.
#[test]
fn versions_are_refreshed_between_searches() {
    let cluster = cluster_with(2, 4, without_canary());

    let requests = run(&cluster, async {
        cluster.search(0).await.unwrap();
        cluster.nodes[0].front.start();
        for number in 0..4 {
            cluster.shards.set_versions(&shard(number), vec![held(&shard(number), 2, 4)]);
        }
        sleep(&cluster.clock, ms(4_000)).await;
        cluster.shards.requests.borrow_mut().clear();
        cluster.search(0).await.unwrap();
        cluster.nodes[0].lifecycle.advance(kumquatnotch_core::lifecycle::Stage::Closing);
        cluster.shards.requests.borrow().clone()
    });

    assert!(requests.iter().all(|(_, _, version)| *version == IndexVersion(2)), "{requests:?}");
}
