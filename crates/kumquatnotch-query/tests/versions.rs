//! One snapshot for each answer, while versions roll and collections are repartitioned.

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

/// The versions that the hits of `answer` were taken from.
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

/// What the callers see: full answers throughout, each from one version.
/// Order: a new version is published shard by shard, then the old one is dropped
/// shard by shard, while searches run one after the other.
/// Why: choosing the newest version that is seen anywhere would thin the answers,
/// and waiting for the roll to end would hold callers up.
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

/// What the caller sees: a full answer from version 2, within its deadline.
/// Order: the node knows of version 1 only; all shards drop it for version 2 while
/// the search is on its way; the first "gone" brings the news, and the whole
/// search is planned again. Why: going on with the rest would mix two versions or
/// thin the answer.
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

/// What the caller sees: a full answer from version 2, though many groups roll.
/// Order: as before, with five groups that answer one after the other; the first
/// "gone" tells of its own shards only. Why: a plan made from that alone took the
/// other shards as not having version 2 yet, and the answer was thin.
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

/// What the caller sees: a full answer of version 3.
/// Order: shards that stand under other names than declared roll to the next
/// version under a search. Why: an answer tells of the shard asked for, which the
/// document does not declare; only a poll of the declared ones brings the news.
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

/// What the caller sees: an answer from version 1 that lists the one shard.
/// Order: one shard of twelve has dropped version 1 early and has version 2 alone;
/// the others have version 1 alone. Why: planning again at version 2 would cover
/// one shard in place of eleven.
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

/// What the callers see: full answers, of two shards and then of four.
/// Order: two shards are split in four under new names, on the same replicas; the
/// old layout goes while searches run. Why: the number of shards comes from the
/// layout of the chosen version and not from the document, which still names two.
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

/// What the first caller sees: its answer, a little late.
/// Order: a node has just started; its holders have not heard of any version for
/// 100 ms. Why: "no version" at once would fail every caller of a young node.
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

/// What the caller sees: error 3005, at half of its deadline.
/// Order: no holder has heard of any version, and none does.
/// Why: an empty list would read as "nothing available".
#[test]
fn search_without_any_version_fails() {
    let cluster = cluster(1, 4);
    for number in 0..4 {
        cluster.shards.set_versions(&shard(number), Vec::new());
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(code(result), 3005);
}

/// What the callers see: full answers again, without a search having failed.
/// Order: a new version comes while nobody searches, and the old one goes; the
/// background asks holders for what it has not heard of.
/// Why: the first search after a quiet hour would else begin with a stale plan.
#[test]
fn versions_are_refreshed_between_searches() {
    let cluster = cluster_with(2, 4, without_canary());

    let asked = run(&cluster, async {
        cluster.search(0).await.unwrap();
        cluster.nodes[0].front.start();
        for number in 0..4 {
            cluster.shards.set_versions(&shard(number), vec![held(&shard(number), 2, 4)]);
        }
        sleep(&cluster.clock, ms(4_000)).await;
        cluster.shards.asked.borrow_mut().clear();
        cluster.search(0).await.unwrap();
        cluster.nodes[0].lifecycle.advance(kumquatnotch_core::lifecycle::Stage::Closing);
        cluster.shards.asked.borrow().clone()
    });

    assert!(asked.iter().all(|(_, _, version)| *version == IndexVersion(2)), "{asked:?}");
}
