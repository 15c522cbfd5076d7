//! Requests to one service: what replicas receive and what callers get back.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use standins::scripted::{Scripted, Step, answer};

#[test]
fn a_request_is_forwarded_unchanged_except_hop_by_hop_headers() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica("p", b"whole");
        let id = tier.add("s0", replica.address);
        let headers = [
            ("host", HOST),
            ("x-request-id", "r1"),
            ("x-deadline-ms", "900"),
            ("x-other", "kept"),
            ("connection", "keep-alive, x-hop"),
            ("x-hop", "dropped"),
            ("keep-alive", "timeout=5"),
        ];

        let body = Bytes::from_static(b"body");
        let answer = tier.client().send("POST", "/a/b%20c?x=1&y", &headers, body).await.unwrap();

        assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
        assert_eq!(answer.headers["x-proof"], "p");
        let seen = &replica.requests()[0];
        assert_eq!((seen.method.as_str(), seen.path.as_str()), ("POST", "/a/b%20c"));
        assert_eq!((seen.query.as_str(), &seen.body[..]), ("x=1&y", &b"body"[..]));
        assert_eq!(header(seen, "x-request-id"), "r1");
        assert_eq!(header(seen, "x-other"), "kept");
        assert_eq!(header(seen, "x-expected-incarnation"), id.as_str());
        let left: u64 = header(seen, "x-deadline-ms").parse().unwrap();
        assert!(left <= 900 && left > 500);
        assert!(!seen.headers.contains_key("x-hop") && !seen.headers.contains_key("keep-alive"));
    });
}

#[test]
fn a_failed_reply_is_forwarded_with_its_proof_and_status() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = scripted_replica(|_| vec![answer(500, &[("x-proof", "p")], b"broken")]);
        tier.add("s0", replica.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!((answer.status, &answer.body[..]), (500, &b"broken"[..]));
        assert_eq!(answer.headers["x-proof"], "p");
    });
}

/// The replica runs the request and closes the connection without a reply. The caller must
/// not be told that the request has not run, and no other replica may run it.
#[test]
fn a_lost_reply_to_an_exclusive_request_is_an_unknown_outcome() {
    run(async {
        let tier = Tier::serving(exclusive());
        let first = scripted_replica(|_| vec![Step::Close]);
        let second = scripted_replica(|_| vec![Step::Close]);
        tier.add("s0", first.address);
        tier.add("s0", second.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("retry-after"));
        assert_eq!(first.requests().len() + second.requests().len(), 1);
    });
}

/// A full replica replies that it did not run the request, so another replica may run it,
/// even if the request is exclusive.
#[test]
fn a_rejected_exclusive_request_goes_to_another_replica() {
    run(async {
        let tier = Tier::serving(exclusive());
        let full = scripted_replica(|_| vec![answer(503, &[("x-not-run", "1")], b"")]);
        let other = replica("p", b"done");
        tier.add("s0", full.address);
        tier.add("s0", other.address);

        let mut answers = Vec::new();
        for index in 0..4 {
            answers.push(tier.post("/a/", &format!("r{index}"), b"x").await);
        }

        assert!(answers.iter().all(|answer| answer.status == 200));
        assert_eq!(other.requests().len(), 4);
    });
}

/// All replicas are full. The caller is told at once that nothing has run, with
/// `Retry-After`; the reply of the replica is not forwarded.
#[test]
fn a_request_that_every_replica_rejects_is_refused_with_retry_after() {
    run(async {
        let tier = Tier::serving(exclusive());
        let full =
            scripted_replica(|_| vec![answer(503, &[("x-not-run", "1"), ("x-proof", "p")], b"")]);
        tier.add("s0", full.address);

        let start = RuntimeClock.now();
        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 503);
        assert!(RuntimeClock.now() - start < Duration::from_millis(500));
        let retry: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry > 0.0 && retry < 1.0);
        assert!(!answer.headers.contains_key("x-proof"));
    });
}

#[test]
fn a_refused_connection_does_not_count_as_an_attempt() {
    run(async {
        let tier = Tier::serving(exclusive());
        let other = replica("p", b"done");
        tier.add("s0", refusing_address());
        tier.add("s0", refusing_address());
        tier.add("s0", other.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 200);
        assert_eq!(other.requests().len(), 1);
    });
}

/// The replica sends each reply twice. The extra reply precedes the reply to the next request
/// on the connection and must not be returned to its caller.
#[test]
fn an_extra_reply_is_never_returned_for_another_request() {
    run(async {
        let tier = Tier::serving(single());
        let doubled = Scripted::start(|request| {
            let body = header(request, "x-request-id").as_bytes();
            let reply = proven_reply(request, "p", body);
            vec![reply.clone(), Step::Wait(Duration::from_millis(30)), reply]
        })
        .unwrap();
        tier.add("s0", doubled.address);

        for index in 0..8 {
            let identity = format!("r{index}");
            let answer = tier.get("/a/", &identity).await;

            assert_eq!((answer.status, &answer.body[..]), (200, identity.as_bytes()));
            pause(if index % 2 == 0 { 0 } else { 40 }).await;
        }
    });
}

/// The reply has no length and is delimited by the end of its connection, as HTTP allows.
#[test]
fn a_reply_without_length_is_complete_when_its_connection_closes() {
    run(async {
        let tier = Tier::serving(single());
        let unframed = scripted_replica(|_| {
            let head = b"HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\nfirst ".to_vec();
            vec![
                Step::Send(head),
                Step::Wait(Duration::from_millis(10)),
                Step::Send(b"second".to_vec()),
                Step::Close,
            ]
        });
        tier.add("s0", unframed.address);

        let answer = tier.get("/a/", "r1").await;

        assert_eq!((answer.status, &answer.body[..]), (200, &b"first second"[..]));
    });
}

/// The replica closes the connection in the middle of the body. The truncated reply must not
/// be returned as a complete one; another replica answers.
#[test]
fn a_truncated_reply_is_retried_at_another_replica() {
    run(async {
        let tier = Tier::serving(single());
        let broken = scripted_replica(|_| {
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\nx-proof: p\r\n\r\npart".to_vec();
            vec![Step::Send(head), Step::Close]
        });
        let other = replica("q", b"whole");
        tier.add("s0", broken.address);
        tier.add("s0", other.address);

        for index in 0..4 {
            let answer = tier.get("/a/", &format!("r{index}")).await;

            assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
        }
    });
}

/// The address of a stopped replica now belongs to another one, which replies with 421. The
/// request goes to another replica, and the address is not used again.
#[test]
fn a_replaced_replica_gets_no_more_requests() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replaced = scripted_replica(|_| vec![answer(421, &[("x-incarnation", "other")], b"")]);
        let other = replica("p", b"done");
        tier.add("s0", replaced.address);
        tier.add("s0", other.address);

        for index in 0..6 {
            assert_eq!(tier.post("/a/", &format!("r{index}"), b"x").await.status, 200);
        }

        assert!(replaced.requests().len() <= 1);
        assert_eq!(other.requests().len(), 6);
    });
}

#[test]
fn a_draining_replica_gets_no_new_request() {
    run(async {
        let tier = Tier::serving(single());
        let (leaving, other) = (replica("p", b"x"), replica("q", b"x"));
        let id = tier.add("s0", leaving.address);
        tier.add("s0", other.address);

        let draining = spec("s0", leaving.address, "home", true);
        tier.router.directory.put(&id, draining, RuntimeClock.now());
        for index in 0..6 {
            tier.get("/a/", &format!("r{index}")).await;
        }

        assert_eq!((leaving.requests().len(), other.requests().len()), (0, 6));
    });
}

/// All nodes start at the same time, and none knows the others yet. If each of them opened all
/// connections that a replica accepts, the replica would reset most of them.
#[test]
fn a_newly_started_node_takes_a_small_share() {
    run(async {
        let tier = Tier::serving(single());

        assert!(tier.router.own_share() <= 0.1);
        pause(3_100).await;
        assert_eq!(tier.router.own_share(), 1.0);
    });
}

/// The caller disconnects while a replica runs the request. The node closes its connection to
/// the replica at once, which tells the replica to stop.
#[test]
fn a_disconnect_of_the_caller_cancels_the_request_at_the_replica() {
    run(async {
        let tier = Tier::serving(single());
        let slow = scripted_replica(|_| vec![Step::Silence]);
        tier.add("s0", slow.address);

        let headers = [("host", HOST), ("x-request-id", "r1")];
        let client = standins::http::Client::new(tier.server.address(), Duration::from_millis(100));
        client.send("GET", "/a/", &headers, Bytes::new()).await.unwrap_err();
        pause(100).await;

        assert_eq!(slow.disconnects(), 1);
    });
}

#[test]
fn a_node_without_configuration_refuses_with_retry_after() {
    run(async {
        let tier = Tier::new();

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

#[test]
fn invalid_requests_are_rejected() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica("p", b"x");
        tier.add("s0", replica.address);
        let large = Bytes::from(vec![0; 1_001]);
        let headers = [("host", HOST), ("x-request-id", "r1")];

        let unknown = tier.get("/b/", "r1").await;
        let without_identity =
            tier.client().send("GET", "/a/", &[("host", HOST)], Bytes::new()).await;
        let too_large = tier.client().send("POST", "/a/", &headers, large).await;

        assert_eq!(unknown.status, 404);
        assert_eq!(without_identity.unwrap().status, 400);
        assert_eq!(too_large.unwrap().status, 413);
        assert!(replica.requests().is_empty());
    });
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica("p", b"x");
        tier.add("s0", replica.address);

        let newer = tier.put(5, vec![single()]);
        let older = tier.put(4, vec![]);

        assert!(newer && !older);
        assert_eq!(tier.get("/a/", "r1").await.status, 200);
    });
}

/// A node has been without configuration for over a second during a store outage.
/// `Retry-After` grows to its maximum, a third of the caller's timeout.
#[test]
fn retry_after_grows_while_a_node_waits_for_the_store() {
    run(async {
        let tier = Tier::new();
        let ask = async |identity: &str| {
            let headers = [("host", HOST), ("x-request-id", identity), ("x-deadline-ms", "3000")];
            let answer = tier.client().send("GET", "/a/", &headers, Bytes::new()).await.unwrap();
            let retry: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
            (answer.status, retry)
        };

        let first = ask("r1").await;
        pause(1_050).await;
        let later = ask("r2").await;

        assert_eq!((first, later), ((503, 0.4), (503, 1.0)));
    });
}
