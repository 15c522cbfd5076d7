//! Tests of what a leaving node accepts and what it tells the callers that it refuses.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::*;
use kumquatnotch_core::lifecycle::Stage;
use kumquatnotch_route::route::Route;
use standins::{
    http::Answer,
    scripted::{Step, answer},
};

/// Number of permits of a replica that take all of its slots.
const PERMITS: u32 = 100;

/// Address of another node.
fn other_node() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2))
}

fn after(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

fn text<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer.headers.get(name).map_or("", |value| value.to_str().unwrap())
}

/// Returns a node whose replicas usually take `millis` for a request of its route.
fn tier_with_usual(millis: u64) -> Tier {
    let route = Route { timeout: Duration::from_secs(20), ..single() };
    let tier = Tier::serving(route.clone());
    let usual = Duration::from_millis(millis);
    (0..200).for_each(|_| tier.router.service_times.note(&route.name, route.objective, usual));
    tier
}

/// Guards against requests that a closing node passes on and can't finish.
#[test]
fn closing_node_refuses_requests_and_names_other_nodes() {
    run(async {
        let tier = tier_with_usual(5);
        let replica = replica("p", b"whole");
        tier.add("s0", replica.address);
        tier.add_node("me", "home", tier.server.address());
        tier.add_node("other", "home", other_node());
        tier.router.lifecycle.leave(after(3_000));
        let before = tier.get("/a/", "r1").await;
        tier.router.lifecycle.advance(Stage::Closing);

        let answer = tier.get("/a/", "r2").await;

        assert_eq!((before.status, answer.status), (200, 503));
        assert_eq!(text(&answer, "retry-after"), "0.010");
        assert_eq!(text(&answer, "alt-svc"), "http%2F1.1=\"127.0.0.1:2\"; ma=1");
        let arrived = replica.requests().iter().filter(|request| request.path == "/a/").count();
        assert_eq!(arrived, 1);
    });
}

/// Guards against callers that are sent to a node of which nothing is known, when all nodes leave.
#[test]
fn closing_node_without_others_names_none() {
    run(async {
        let tier = tier_with_usual(5);
        tier.add_node("me", "home", tier.server.address());
        tier.router.lifecycle.leave(after(3_000));
        tier.router.lifecycle.advance(Stage::Closing);

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert_eq!((text(&answer, "retry-after"), text(&answer, "alt-svc")), ("0.300", ""));
    });
}

/// Guards against requests that a leaving node accepts although they usually take longer than it
/// still runs.
#[test]
fn leaving_node_refuses_what_it_cannot_finish() {
    run(async {
        let tier = tier_with_usual(800);
        let replica = replica("p", b"whole");
        tier.add("s0", replica.address);
        tier.add_node("other", "home", other_node());
        tier.router.lifecycle.leave(after(1_000));
        let start = Instant::now();

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
        assert!(text(&answer, "alt-svc").contains("127.0.0.1:2"));
        assert!(replica.requests().iter().all(|request| request.path != "/a/"));
    });
}

/// Guards against a request that waits for a slot in a leaving node, while others have free ones.
#[test]
fn leaving_node_does_not_queue_for_long() {
    run(async {
        let tier = tier_with_usual(20);
        let busy = scripted_replica(|_| vec![Step::Silence]);
        tier.add("s0", busy.address);
        let held: Vec<_> = (0..60)
            .map(|number| {
                let client = tier.client();
                monoio::spawn(async move {
                    let identity = format!("held{number}");
                    let headers = [("host", HOST), ("x-request-id", identity.as_str())];
                    let _ = client.send("GET", "/a/", &headers, bytes::Bytes::new()).await;
                })
            })
            .collect();
        pause(100).await;
        tier.router.lifecycle.leave(after(10_000));
        let start = Instant::now();

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
        let arrived = busy.requests();
        assert!(arrived.iter().all(|request| header(request, "x-request-id") != "r1"));
        drop(held);
    });
}

/// Guards against a request that was rejected, waits for a slot of another replica of a leaving node,
/// and gets neither an answer at once nor the truth that it has not run.
#[test]
fn rejected_request_that_queues_in_a_leaving_node_is_told_not_run() {
    run(async {
        let route = Route { timeout: Duration::from_secs(20), ..exclusive() };
        let tier = Tier::serving(route.clone());
        let usual = Duration::from_millis(20);
        (0..200).for_each(|_| tier.router.service_times.note(&route.name, route.objective, usual));
        let rejecting = scripted_replica(|_| vec![answer(503, &[("x-not-run", "1")], b"")]);
        tier.add("s0", rejecting.address);
        let full = scripted_replica(|_| vec![Step::Silence]);
        let id = tier.add("s0", full.address);
        let semaphore = tier.router.directory.find(&id).unwrap().semaphore.clone();
        semaphore.set_limit(PERMITS);
        let mut permits = Vec::new();
        for _ in 0..PERMITS {
            permits.push(semaphore.acquire(0).await);
        }
        tier.router.lifecycle.leave(after(3_000));
        let start = Instant::now();

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
        assert!(full.requests().iter().all(|request| request.path != "/a/"));
        drop(permits);
    });
}
