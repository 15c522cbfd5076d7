//! Tests of searches while holders of groups fail.

mod common;

use common::{holder::ShardState, net::LinkState, *};
use kumquatnotch_core::{
    Clock, Error,
    clock::sleep,
    marks::{Mark, MarkKind},
    query::SearchRequest,
};
use kumquatnotch_query::{FrontOptions, QueryOptions};
use yare::parameterized;

fn without_canary() -> QueryOptions {
    let front = FrontOptions { canary: false, ..FrontOptions::default() };
    QueryOptions { front, ..QueryOptions::default() }
}

/// The holder of some groups is down or loses messages. The next holder in rank is
/// tried at once, since the membership needs seconds to detect the failure. The caller
/// gets a complete answer with little delay.
#[parameterized(
    not_listening = { LinkState::Closed },
    request_lost = { LinkState::RequestLost },
    reply_lost = { LinkState::ReplyLost },
)]
fn dead_holder_does_not_reduce_coverage(link: LinkState) {
    let cluster = cluster_with(4, 40, without_canary());

    let answer = run(&cluster, async {
        let holder = cluster.other_holder().await;
        cluster.set_link(holder, link);
        cluster.search(0).await.unwrap()
    });

    assert!(answer.coverage.is_full(), "{:?}", answer.coverage.missing);
    assert!(answer.elapsed_us < 10_000, "{} us", answer.elapsed_us);
}

/// A stopped holder keeps its connections open. Hedges go to the next holder in rank
/// until their budget is exhausted; after that, the silent holder is tried last.
/// Without detecting its silence, groups waited for their deadline once the budget was
/// exhausted. Callers get complete answers, of which only the first are late, by a
/// hedge delay or the silence timeout.
#[test]
fn frozen_holder_delays_few_searches_and_loses_no_coverage() {
    let cluster = cluster_with(4, 40, without_canary());

    let spans = run(&cluster, async {
        let holder = cluster.other_holder().await;
        for _ in 0..20 {
            cluster.search(0).await.unwrap();
        }
        cluster.set_link(holder, LinkState::Frozen);
        let mut spans = Vec::new();
        for _ in 0..60 {
            let answer = cluster.search(0).await.unwrap();
            assert!(answer.coverage.is_full(), "{:?}", answer.coverage.missing);
            spans.push(answer.elapsed_us);
            kumquatnotch_core::clock::sleep(&cluster.clock, ms(40)).await;
        }
        spans
    });

    assert!(spans[0] < 100_000, "{spans:?}");
    // The budget allows a few hedges; after that, the silence itself is the evidence.
    assert!(spans.iter().all(|span| *span < 300_000), "{spans:?}");
    // One search in twelve, every half second, probes the silent holder.
    assert!(spans[10..].iter().filter(|span| **span > 5_000).count() <= 5, "{spans:?}");
}

/// If a holder refuses its groups for lack of slots, no other holder is tried: the next
/// one has its own slots for the same replicas, and both together would overload them.
/// The caller gets an answer without these shards.
#[test]
fn overloaded_holder_is_not_replaced_by_another() {
    let cluster = cluster_with(4, 40, without_canary());
    cluster.change_document(|document| {
        document.rules.tenants.get_mut("siam").unwrap().stop.enough = 0.1;
    });

    let (before, after) = run(&cluster, async {
        cluster.search(0).await.unwrap();
        let before = cluster.shards.requests.borrow().clone();
        cluster.shards.requests.borrow_mut().clear();
        *cluster.shards.refusing.borrow_mut() = Some(before[0].0.clone());
        let answer = cluster.search(0).await.unwrap();
        assert!(answer.coverage.missing.iter().all(|missing| missing.code == 2001));
        (before, cluster.shards.requests.borrow().clone())
    });

    let refusing = &before[0].0;
    let expected = before.iter().filter(|(node, _, _)| node != refusing).count();
    assert_eq!(after.len(), expected);
    assert!(expected < 40);
}

/// One holder refuses its groups for lack of slots, and the others would answer after
/// 300 ms. The search is given up at once with a retry time, as the slots of the other
/// holders would be spent on an answer with insufficient coverage at the deadline.
#[test]
fn search_that_cannot_reach_enough_coverage_is_given_up_at_once() {
    let cluster = cluster_with(4, 40, without_canary());

    let (result, span) = run(&cluster, async {
        cluster.search(0).await.unwrap();
        let refusing = cluster.shards.requests.borrow()[0].0.clone();
        *cluster.shards.refusing.borrow_mut() = Some(refusing);
        for number in 0..40 {
            cluster.shards.change(&shard(number), |state| state.delay = ms(300));
        }
        let start = cluster.clock.now();
        let result = cluster.search_for(0, RIVAL_KEY, "vans").await;
        (result, cluster.now_ms(start))
    });

    let error = result.unwrap_err();
    assert_eq!(error, Error::GivenUp { retry_ms: 100 });
    assert!(!error.is_not_run());
    assert!(span < 50, "{span} ms");
}

/// Node 0 considers node 2 gone and node 1 does not, so each uses a different holder
/// for the same group. Both answers must be complete. While views differ, a group has
/// two holders, which takes additional slots of targets but does not make answers
/// wrong.
#[test]
fn nodes_that_disagree_about_holders_both_answer_in_full() {
    let cluster = cluster_with(3, 40, without_canary());
    cluster.hide(0, 2);

    let (first, second) = run(&cluster, async {
        (cluster.search(0).await.unwrap(), cluster.search(1).await.unwrap())
    });

    assert!(first.coverage.is_full() && second.coverage.is_full());
    let two = (0..40).filter(|number| {
        let requested_nodes = cluster.requested_nodes(&shard(*number));
        requested_nodes.len() == 2 && requested_nodes[0] != requested_nodes[1]
    });
    assert!(two.count() > 0);
}

/// A holder returns the answer to another request. The root finds shards that it did
/// not request, drops the answer and tries the next holder. The caller gets a complete
/// answer without hits from the other request.
#[test]
fn answer_to_another_request_is_dropped() {
    let cluster = cluster_with(4, 40, without_canary());

    let answer = run(&cluster, async {
        let holder = cluster.other_holder().await;
        *cluster.shards.misdirected.borrow_mut() = Some(cluster.nodes[holder].record.name.clone());
        cluster.search(0).await.unwrap()
    });

    assert!(answer.coverage.is_full(), "{:?}", answer.coverage.missing);
    assert!(answer.hits.iter().all(|hit| !hit.key.starts_with("of-another-request")));
}

/// A holder's answer lists a shard neither as covered nor as missing. The shard must be
/// reported as missing; otherwise the answer would appear complete.
#[test]
fn shard_absent_from_an_answer_is_reported_missing() {
    let cluster = cluster_with(4, 40, without_canary());
    *cluster.shards.omitted.borrow_mut() = Some(shard(5));

    let coverage = run(&cluster, cluster.search(0)).unwrap().coverage;

    assert_eq!((coverage.covered, coverage.asked), (39, 40));
    assert_eq!((&coverage.missing[0].shard, coverage.missing[0].code), (&shard(5), 4004));
}

/// The answer of a slow holder to the first search arrives after its hedge has won,
/// while the second search is running. It must be counted neither twice nor for the
/// next search.
#[test]
fn late_answer_is_not_counted() {
    let cluster = cluster_with(4, 40, without_canary());

    let answers = run(&cluster, async {
        let holder = cluster.other_holder().await;
        cluster.set_link(holder, LinkState::Slow(120));
        let mut answers = Vec::new();
        for _ in 0..3 {
            answers.push(cluster.search(0).await.unwrap());
        }
        answers
    });

    for answer in answers {
        assert!(answer.coverage.is_full());
        assert_eq!(answer.coverage.asked, 40);
        assert_eq!(answer.hits.len(), 10);
    }
}

/// A request that crashes every target that runs it is sent to three nodes. Each must
/// send it to the same single shard through the same holder and return an error. An
/// immediate fan-out would crash a replica of every shard.
#[test]
fn crashing_request_is_sent_to_one_shard() {
    let cluster = cluster(3, 40);
    for number in 0..40 {
        cluster.shards.change(&shard(number), |state| state.error = Some(Error::ConnectionLost));
    }

    let codes = run(&cluster, async {
        let mut codes = Vec::new();
        for node in 0..3 {
            codes.push(code(cluster.search_for(node, KEY, "poison").await));
        }
        codes
    });

    assert_eq!(codes, [4002, 4002, 4002]);
    let requests = cluster.shards.requests.borrow();
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|entry| *entry == requests[0]), "{requests:?}");
}

/// A holder needs 120 ms to detect that a request crashes targets, far longer than a
/// normal answer takes. If the canary were treated as merely slow and the rest
/// released, the request would crash a target of every shard. The caller gets an error,
/// and two shards are affected.
#[test]
fn request_is_not_fanned_out_while_its_crash_is_undetected() {
    let cluster = cluster(3, 40);

    let result = run(&cluster, async {
        for _ in 0..40 {
            cluster.search(0).await.unwrap();
        }
        cluster.shards.requests.borrow_mut().clear();
        for number in 0..40 {
            cluster.shards.change(&shard(number), |state| {
                state.delay = ms(120);
                state.error = Some(Error::ConnectionLost);
            });
        }
        cluster.search_for(0, KEY, "poison").await
    });

    assert_eq!(code(result), 4002);
    assert_eq!(cluster.shards.requests.borrow().len(), 2);
}

/// The canary shard of a crashing request has no target, refuses it or has changed its
/// version, so that the canary gives no evidence. If it released the other shards, the
/// request would crash a target of each. The caller gets an error, and only one target
/// runs the request.
#[parameterized(
    no_target = { |_, state| state.error = Some(Error::NoTarget) },
    refused = { |_, state| state.error = Some(Error::Overloaded { retry_ms: 20 }) },
    other_version = { |cluster, _| {
        for number in 0..20 {
            let versions = vec![held(&shard(number), 2, 20)];
            cluster.shards.set_versions(&shard(number), versions);
        }
    } },
)]
fn inconclusive_canary_is_followed_by_another(change: fn(&Cluster, &mut ShardState)) {
    let cluster = cluster(3, 20);

    let result = run(&cluster, async {
        let first = first_shard(&cluster, search_request("rooms")).await;
        cluster.search_for(1, KEY, "other").await.unwrap();
        for number in 0..20 {
            let lost = Some(Error::ConnectionLost);
            cluster.shards.change(&shard(number), |state| state.error = lost);
        }
        let mut state = cluster.shards.state(&first);
        change(&cluster, &mut state);
        if state.error != Some(Error::ConnectionLost) {
            cluster.shards.change(&first, |known| *known = state);
        }
        cluster.shards.requests.borrow_mut().clear();
        // A recent report is not requested again.
        sleep(&cluster.clock, ms(100)).await;
        // This node has not seen the request succeed.
        cluster.search_for(1, KEY, "rooms").await
    });

    assert_eq!(code(result), 4002);
    assert_eq!(cluster.shards.requests.borrow().len(), 2);
}

/// Another node has marked the request, and the mark arrived with a membership update.
/// The request is refused at once with the remaining time, on a node that has not seen
/// a crash.
#[test]
fn marked_request_is_refused_without_being_sent() {
    let cluster = cluster(2, 8);
    let fingerprint = search_request("poison").fingerprint(&tenant_name("siam"));
    let kind = MarkKind::Contained(fingerprint);
    cluster.nodes[0].marks.0.borrow_mut().push(Mark { kind, left_ms: 900 });

    let (poison, other) = run(&cluster, async {
        (cluster.search_for(0, KEY, "poison").await, cluster.search_for(0, KEY, "rooms").await)
    });

    assert_eq!(poison.unwrap_err(), Error::Contained { retry_ms: 900 });
    assert!(other.unwrap().coverage.is_full());
}

/// The canary shard of an unknown request is a straggler. The other shards are sent
/// after the learned delay, since a slow shard is no evidence of a crash. The caller's
/// answer is late by at most the canary delay.
#[test]
fn slow_canary_does_not_delay_the_other_shards() {
    let cluster = cluster(3, 20);
    for number in 0..20 {
        cluster.shards.change(&shard(number), |state| state.delay = ms(30));
    }

    let answer = run(&cluster, async {
        let request = search_request("slow");
        let first = first_shard(&cluster, request).await;
        cluster.shards.change(&first, |state| state.delay = ms(400));
        cluster.search_for(1, KEY, "slow").await.unwrap()
    });

    assert!(answer.coverage.is_full());
    assert!(answer.elapsed_us < 420_000, "{} us", answer.elapsed_us);
}

/// Returns the shard that `request` is sent to first.
async fn first_shard(
    cluster: &Cluster,
    request: SearchRequest,
) -> kumquatnotch_core::ids::ShardName {
    use kumquatnotch_core::front::Front;
    cluster.shards.requests.borrow_mut().clear();
    cluster.nodes[0].front.search(KEY, request).await.unwrap();
    cluster.shards.requests.borrow()[0].1.clone()
}

/// A request that succeeded is remembered, and the next copy fans out at once. Only
/// unknown requests should incur the round trip of a canary.
#[test]
fn request_that_succeeded_needs_no_canary() {
    let cluster = cluster(3, 20);
    for number in 0..20 {
        cluster.shards.change(&shard(number), |state| state.delay = ms(10));
    }

    let (first, second) = run(&cluster, async {
        let first = cluster.search(0).await.unwrap();
        (first.elapsed_us, cluster.search(0).await.unwrap().elapsed_us)
    });

    assert!(first >= 20_000, "{first} us");
    assert!(second < 12_000, "{second} us");
}

#[test]
fn different_requests_have_different_canary_shards() {
    let cluster = cluster(3, 20);

    let firsts = run(&cluster, async {
        let mut firsts = std::collections::BTreeSet::new();
        for number in 0..8 {
            firsts.insert(first_shard(&cluster, search_request(&number.to_string())).await);
        }
        firsts
    });

    assert!(firsts.len() > 2, "{firsts:?}");
}
