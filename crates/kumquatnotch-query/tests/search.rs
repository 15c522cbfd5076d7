//! Tests of searches as callers see them, over several nodes.

mod common;

use common::*;
use kumquatnotch_core::{
    Clock, Error, front::Front, ids::IndexVersion, lifecycle::Stage, query::SearchRequest,
};
use kumquatnotch_query::{FrontOptions, QueryOptions};
use yare::parameterized;

fn without_canary() -> QueryOptions {
    let front = FrontOptions { canary: false, ..FrontOptions::default() };
    QueryOptions { front, ..QueryOptions::default() }
}

#[test]
fn a_search_covers_every_shard_from_one_version() {
    let cluster = cluster(3, 10);

    let answer = run(&cluster, cluster.search(0)).unwrap();

    assert_eq!(answer.coverage.asked, 10);
    assert_eq!(answer.coverage.covered, 10);
    assert_eq!(answer.coverage.version, IndexVersion(1));
    assert!(answer.coverage.missing.is_empty());
    assert_eq!(answer.hits.len(), 10);
}

#[parameterized(
    unknown_selector = { SearchRequest { selector: "nothing".into(), ..search_request("a") }, 1003 },
    exclusive_selector = { SearchRequest { selector: HOLDS.into(), ..search_request("a") }, 1001 },
    zero_limit = { SearchRequest { limit: 0, ..search_request("a") }, 1001 },
    too_many_hits = { SearchRequest { limit: 100_000, ..search_request("a") }, 1001 },
    zero_deadline = { SearchRequest { deadline_ms: Some(0), ..search_request("a") }, 1001 },
    large_query = { search_request(&"a".repeat(70_000)), 1002 },
)]
fn invalid_request_is_refused_with_its_code(request: SearchRequest, expected: u16) {
    let cluster = cluster(1, 2);

    let result = run(&cluster, cluster.nodes[0].front.search(KEY, request));

    assert_eq!(code(result), expected);
    assert!(cluster.shards.requests.borrow().is_empty());
}

#[test]
fn unknown_key_and_forbidden_selector_are_refused() {
    let cluster = cluster(1, 2);
    cluster.change_document(|document| {
        let selector = document.rules.selectors.get_mut(SELECTOR).unwrap();
        selector.tenants = vec![tenant_name("siam")];
    });

    let (stranger, rival) = run(&cluster, async {
        let stranger = cluster.search_for(0, "no key", "a").await;
        (stranger, cluster.search_for(0, RIVAL_KEY, "a").await)
    });

    assert_eq!(code(stranger), 1004);
    assert_eq!(code(rival), 1005);
}

#[parameterized(
    starting = { Stage::Starting, Some(2004) },
    serving = { Stage::Serving, None },
    leaving = { Stage::Leaving, None },
    closing = { Stage::Closing, Some(2003) },
)]
fn leaving_node_serves_until_it_closes(stage: Stage, expected: Option<u16>) {
    let cluster = cluster(1, 2);
    cluster.nodes[0].lifecycle.advance(stage);
    if stage == Stage::Starting {
        cluster.documents.0.borrow_mut().take();
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(result.err().map(|error| error.code()), expected);
}

/// A holder of an older version does not remove private fields, so the root must remove
/// them too. A single omission would expose the rates of a competitor; the owner still
/// gets its own.
#[test]
fn private_fields_are_returned_to_their_owner_only() {
    let cluster = cluster(2, 4);

    let (siam, barid) = run(&cluster, async {
        let siam = cluster.search_for(0, KEY, "vans").await.unwrap();
        (siam, cluster.search_for(0, RIVAL_KEY, "vans").await.unwrap())
    });

    assert!(siam.hits.iter().all(|hit| hit.private.is_none()));
    assert!(barid.hits.iter().all(|hit| hit.private.is_some()));
}

/// Every shard fails, and the root covers nothing. The caller must get an error with a
/// code: an empty success would be read as "no room available".
#[test]
fn search_without_coverage_fails() {
    let cluster = cluster_with(2, 4, without_canary());
    for number in 0..4 {
        cluster.shards.change(&shard(number), |state| state.error = Some(Error::ConnectionLost));
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(code(result), 3004);
}

/// Every shard is refused by its holder for lack of capacity. The caller must get
/// "overloaded" with a retry time; "nothing covered" would not indicate that a later
/// retry helps.
#[test]
fn search_refused_by_every_holder_returns_a_retry_time() {
    let cluster = cluster_with(2, 4, without_canary());
    for number in 0..4 {
        let error = Error::Overloaded { retry_ms: 100 + number as u64 };
        cluster.shards.change(&shard(number), |state| state.error = Some(error));
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(result.unwrap_err(), Error::Overloaded { retry_ms: 103 });
}

/// One shard of twenty takes 700 of 1,000 ms, and holders return partial answers when
/// the tenant's patience ends. Siam gets its answer at half of the deadline with the
/// missing shard listed, so that the slowest shard does not determine its latency.
/// Barid requires full coverage, since an incomplete answer could leave its load without
/// transport, so it waits and gets every shard.
#[parameterized(
    siam = { KEY, 19, true, 500..=520 },
    barid = { RIVAL_KEY, 20, false, 700..=720 },
)]
fn stop_rule_trades_coverage_for_latency(
    key: &str,
    covered: u32,
    stopped: bool,
    span_ms: std::ops::RangeInclusive<u64>,
) {
    let cluster = cluster(3, 20);
    cluster.shards.change(&shard(7), |state| state.delay = ms(700));

    let (answer, span) = run(&cluster, async {
        cluster.search_for(0, key, "warm up").await.unwrap();
        let start = cluster.clock.now();
        let answer = cluster.search_for(0, key, "warm up").await.unwrap();
        (answer, cluster.now_ms(start))
    });

    assert_eq!((answer.coverage.covered, answer.coverage.asked), (covered, 20));
    assert_eq!(answer.coverage.stopped_early, stopped);
    assert!(span_ms.contains(&span), "{span} ms");
}

/// A third of the shards take 420 ms, so that two thirds are covered at Siam's patience
/// of 400 ms, which is insufficient. Holders abandoned the late shards at that point,
/// so waiting alone would not help: they are retried until the deadline, and the caller
/// gets every shard.
#[test]
fn insufficient_coverage_retries_the_late_shards() {
    let cluster = cluster_with(3, 9, without_canary());
    for number in 0..3 {
        cluster.shards.change(&shard(number), |state| state.delay = ms(420));
    }
    cluster.change_document(|document| {
        let siam = document.rules.tenants.get_mut("siam").unwrap();
        siam.stop.patience = 0.4;
    });

    let answer = run(&cluster, cluster.search(0)).unwrap();

    assert_eq!(answer.coverage.covered, 9);
    assert!(!answer.coverage.stopped_early);
    assert!(answer.elapsed_us < 1_000_000);
}

/// The holder's queue for two of twenty shards is full until the tenant's patience
/// ends. The answer must list them as expired in the queue: "timed out" would hide that
/// load is the cause.
#[test]
fn shards_expired_in_the_queue_are_reported_as_such() {
    let cluster = cluster_with(3, 20, without_canary());
    for number in 0..2 {
        let error = Some(Error::ExpiredInQueue);
        cluster.shards.change(&shard(number), |state| state.error = error);
    }

    let answer = run(&cluster, cluster.search(0)).unwrap();

    let codes: Vec<u16> = answer.coverage.missing.iter().map(|missing| missing.code).collect();
    assert_eq!(codes, [2005, 2005]);
}

/// Half of the shards never answer. At the deadline the caller gets the other half, and
/// each unanswered shard is listed as missing with its reason.
#[test]
fn search_returns_partial_results_at_its_deadline() {
    let cluster = cluster_with(3, 8, without_canary());
    for number in 0..4 {
        cluster.shards.change(&shard(number), |state| state.delay = ms(60_000));
    }

    let answer = run(&cluster, cluster.search(0)).unwrap();

    assert_eq!(answer.coverage.covered, 4);
    assert_eq!(answer.coverage.missing.len(), 4);
    assert!(answer.coverage.missing.iter().all(|missing| missing.code == 4005));
    assert!(answer.elapsed_us <= 1_000_000, "{} us", answer.elapsed_us);
}

/// Holders report a queueing delay far beyond the tenant's patience. The next search
/// must be refused at once with a retry time; if admitted, it would fail at its
/// deadline after a long wait.
#[test]
fn search_is_refused_at_once_under_overload() {
    let cluster = cluster(1, 4);

    let (results, span) = run(&cluster, async {
        cluster.search(0).await.unwrap();
        *cluster.shards.wait.borrow_mut() = ms(2_000);
        let mut results = Vec::new();
        for _ in 0..10 {
            results.push(cluster.search(0).await);
        }
        let start = cluster.clock.now();
        results.push(cluster.search(0).await);
        (results, cluster.now_ms(start))
    });

    let last = results.last().unwrap().as_ref().unwrap_err();
    assert_eq!(last.code(), 2001);
    assert!(last.retry_after().unwrap() >= ms(50));
    assert!(last.is_not_run());
    assert_eq!(span, 0);
}

/// Under overload every search is refused, so that no answer updates the queueing
/// delay. The known delay must decay by itself, or the class would be refused
/// permanently. The caller gets complete answers again once the overload has ended.
#[test]
fn admission_recovers_after_overload() {
    let cluster = cluster(1, 4);

    let answer = run(&cluster, async {
        *cluster.shards.wait.borrow_mut() = ms(2_000);
        while cluster.search(0).await.is_ok() {}
        *cluster.shards.wait.borrow_mut() = ms(0);
        kumquatnotch_core::clock::sleep(&cluster.clock, ms(2_000)).await;
        cluster.search(0).await
    });

    assert!(answer.unwrap().coverage.is_full());
}

#[test]
fn advice_omits_a_leaving_node_at_once() {
    let cluster = cluster(3, 2);
    let front = &cluster.nodes[1].front;

    let before = front.advice(Some("dc1")).addresses;
    cluster.nodes[1].lifecycle.advance(Stage::Leaving);
    let after = front.advice(Some("dc1")).addresses;

    assert_eq!(before.len(), 3);
    assert_eq!(before[0], cluster.nodes[1].record.entry);
    assert_eq!(after.len(), 2);
    assert!(!after.contains(&cluster.nodes[1].record.entry));
}

/// A node joins and is up, but a hanging platform leaves it without a document for a
/// long time. It answers its peers before it can serve. If only being up counted,
/// callers would be sent to it and refused with 2004, and searches would waste a round
/// trip on it.
#[test]
fn node_that_does_not_serve_yet_gets_no_callers_and_no_groups() {
    let cluster = cluster_with(3, 40, without_canary());
    cluster.set_starting(2);

    let advised = cluster.nodes[0].front.advice(Some("dc2")).addresses;
    let answer = run(&cluster, async { cluster.search(0).await }).unwrap();

    assert!(answer.coverage.is_full());
    assert_eq!(advised.len(), 2);
    assert!(!advised.contains(&cluster.nodes[2].record.entry));
    let name = &cluster.nodes[2].record.name;
    assert!(cluster.shards.requests.borrow().iter().all(|(node, _, _)| node != name));
}

/// While a node withholds its document after a freeze, it advises the other nodes and
/// not itself. It does not announce this to them, as it serves again within two
/// seconds.
#[test]
fn node_without_a_document_advises_other_nodes() {
    let cluster = cluster(3, 2);
    cluster.documents.0.take();

    let advised = cluster.nodes[0].front.advice(Some("dc0")).addresses;

    assert_eq!(advised.len(), 2);
    assert!(!advised.contains(&cluster.nodes[0].record.entry));
}
