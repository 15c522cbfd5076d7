//! Searches from the caller's side, over several nodes.

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
    ticket_needed = { SearchRequest { selector: HOLDS.into(), ..search_request("a") }, 1001 },
    no_hits_wanted = { SearchRequest { limit: 0, ..search_request("a") }, 1001 },
    too_many_hits = { SearchRequest { limit: 100_000, ..search_request("a") }, 1001 },
    no_time = { SearchRequest { deadline_ms: Some(0), ..search_request("a") }, 1001 },
    large_query = { search_request(&"a".repeat(70_000)), 1002 },
)]
fn invalid_request_is_refused_with_its_code(request: SearchRequest, expected: u16) {
    let cluster = cluster(1, 2);

    let result = run(&cluster, cluster.nodes[0].front.search(KEY, request));

    assert_eq!(code(result), expected);
    assert!(cluster.shards.asked.borrow().is_empty());
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

/// What the caller sees: no private rate of a rival, its own rates as ever.
/// Order: the holder is of an older build and strips nothing; the root merges.
/// Why: one forgotten place would show a rival's rates, so the root strips too.
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

/// What the caller sees: an error with a number, never an empty list.
/// Order: every shard fails; the holders say so; the root covers nothing.
/// Why: an empty success would read as "no room available".
#[test]
fn search_without_coverage_fails() {
    let cluster = cluster_with(2, 4, without_canary());
    for number in 0..4 {
        cluster.shards.change(&shard(number), |state| state.fault = Some(Error::ConnectionLost));
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(code(result), 3004);
}

/// What the caller sees: "overloaded", with the time to come back.
/// Order: every shard is refused by its holder for want of capacity.
/// Why: "nothing covered" would not say that coming back later helps.
#[test]
fn search_refused_by_every_holder_returns_a_retry_time() {
    let cluster = cluster_with(2, 4, without_canary());
    for number in 0..4 {
        let error = Error::Overloaded { retry_ms: 100 + number as u64 };
        cluster.shards.change(&shard(number), |state| state.fault = Some(error));
    }

    let result = run(&cluster, cluster.search(0));

    assert_eq!(result.unwrap_err(), Error::Overloaded { retry_ms: 103 });
}

/// What the caller sees: Siam gets its answer at half of the deadline and is told
/// what is missing; Barid waits, and gets every shard.
/// Order: one shard of twenty takes 700 of 1,000 ms; holders answer partially at
/// each tenant's patience. Why: the slowest shard must not set Siam's latency,
/// and a thin answer strands Barid's load.
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

/// What the caller sees: all that can be had by the deadline, within it.
/// Order: a third of the shards take 700 ms; at patience two thirds are there,
/// which is not enough for Siam; the late ones are asked once more, to the end.
/// Why: holders cut them off at patience, so waiting alone would bring nothing.
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

/// What the caller sees: an answer without two shards, and that they waited in vain.
/// Order: the holder's queue for two of twenty shards is full until patience.
/// Why: "timed out" would hide that more load is the cause.
#[test]
fn shards_expired_in_the_queue_are_reported_as_such() {
    let cluster = cluster_with(3, 20, without_canary());
    for number in 0..2 {
        let fault = Some(Error::ExpiredInQueue);
        cluster.shards.change(&shard(number), |state| state.fault = fault);
    }

    let answer = run(&cluster, cluster.search(0)).unwrap();

    let codes: Vec<u16> = answer.coverage.missing.iter().map(|missing| missing.code).collect();
    assert_eq!(codes, [2005, 2005]);
}

/// What the caller sees: an answer with the shards that made it, at its deadline.
/// Order: half of the shards never answer; the deadline passes.
/// Why: a shard that is open at the end is missing, with its reason.
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

/// What the caller sees: a refusal at once, with the time to come back.
/// Order: holders report a wait far beyond the patience; the next search comes.
/// Why: taken in, it would be given up at its deadline after a long wait.
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

/// What the caller sees: everything as before, once the pressure is gone.
/// Order: overload; everything is refused, so no answer brings news of the wait.
/// Why: the known wait fades by itself, else the class would stay shut for good.
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

/// What the caller sees: no refusal with 2004 by a node that has just started, and
/// no search that loses a round trip to one. Order: a node joins and is up; the
/// platform hangs, so it has no document for long; callers ask and search.
/// Why: it answers its peers before it can serve, and being up was all that counted.
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
    assert!(cluster.shards.asked.borrow().iter().all(|(asked, _, _)| asked != name));
}

/// What the callers see: while a node holds its document back after a freeze it
/// advises the others and not itself. It is not told to the others, as it serves
/// again within two seconds.
#[test]
fn node_without_a_document_advises_other_nodes() {
    let cluster = cluster(3, 2);
    cluster.documents.0.take();

    let advised = cluster.nodes[0].front.advice(Some("dc0")).addresses;

    assert_eq!(advised.len(), 2);
    assert!(!advised.contains(&cluster.nodes[0].record.entry));
}
