//! Requests to one service: what reaches a replica, and what reaches the caller.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use standins::scripted::{Scripted, Step, answer};

#[test]
fn a_request_passes_unchanged_but_for_the_headers_of_its_connection() {
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
fn a_failure_of_the_replica_passes_with_its_proof_and_status() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = playing(|_| vec![answer(500, &[("x-proof", "p")], b"broken")]);
        tier.add("s0", replica.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!((answer.status, &answer.body[..]), (500, &b"broken"[..]));
        assert_eq!(answer.headers["x-proof"], "p");
    });
}

/// The replica runs the request and closes without an answer. The caller must not
/// be told that it has not run, and no other replica may run it.
#[test]
fn a_lost_reply_to_an_exclusive_request_is_an_unknown_outcome() {
    run(async {
        let tier = Tier::serving(exclusive());
        let first = playing(|_| vec![Step::Close]);
        let second = playing(|_| vec![Step::Close]);
        tier.add("s0", first.address);
        tier.add("s0", second.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("retry-after"));
        assert_eq!(first.requests().len() + second.requests().len(), 1);
    });
}

/// A full replica says that it did not run the request, so that another one may,
/// also if the request must run only once.
#[test]
fn a_rejected_exclusive_request_goes_to_another_replica() {
    run(async {
        let tier = Tier::serving(exclusive());
        let full = playing(|_| vec![answer(503, &[("x-not-run", "1")], b"")]);
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

/// All replicas are full. The caller hears at once that nothing has run, and when
/// to come back; the answer is not that of a replica.
#[test]
fn a_request_that_every_replica_rejects_is_refused_with_the_time_to_come_back() {
    run(async {
        let tier = Tier::serving(exclusive());
        let full = playing(|_| vec![answer(503, &[("x-not-run", "1"), ("x-proof", "p")], b"")]);
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
fn a_replica_that_refuses_connections_costs_no_attempt() {
    run(async {
        let tier = Tier::serving(exclusive());
        let other = replica("p", b"done");
        tier.add("s0", nowhere());
        tier.add("s0", nowhere());
        tier.add("s0", other.address);

        let answer = tier.post("/a/", "r1", b"x").await;

        assert_eq!(answer.status, 200);
        assert_eq!(other.requests().len(), 1);
    });
}

/// The replica sends each answer twice. The extra one stands before the answer to
/// the next request on the connection, whose caller must not get it.
#[test]
fn an_extra_reply_is_never_given_to_another_request() {
    run(async {
        let tier = Tier::serving(single());
        let doubled = Scripted::start(|request| {
            let body = header(request, "x-request-id").as_bytes();
            let reply = sound(request, "p", body);
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

/// The reply has no length and ends with its connection, which is how HTTP allows it.
#[test]
fn a_reply_without_length_is_whole_when_its_connection_ends() {
    run(async {
        let tier = Tier::serving(single());
        let unframed = playing(|_| {
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

/// The replica breaks off in the middle of its body. What came is a part, which
/// must not reach the caller as a whole; another replica answers.
#[test]
fn a_reply_that_breaks_off_is_tried_elsewhere() {
    run(async {
        let tier = Tier::serving(single());
        let broken = playing(|_| {
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

/// The address of a replica that ended belongs to another one by now, which says
/// so. The request goes elsewhere, and the address is not used again.
#[test]
fn a_replica_whose_address_belongs_to_another_is_left_alone() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replaced = playing(|_| vec![answer(421, &[("x-incarnation", "other")], b"")]);
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

/// All nodes start at once, and each has heard of no other yet. If each took all
/// connections of a replica for itself, the replica would reset most of them.
#[test]
fn a_node_that_has_just_started_leaves_room_for_others() {
    run(async {
        let tier = Tier::serving(single());

        assert!(tier.router.own_part() <= 0.1);
        pause(3_100).await;
        assert_eq!(tier.router.own_part(), 1.0);
    });
}

/// The caller goes away while a replica is at work. The replica learns it by the
/// end of its connection, as soon as the node does.
#[test]
fn a_caller_that_leaves_ends_the_work_of_the_replica() {
    run(async {
        let tier = Tier::serving(single());
        let slow = playing(|_| vec![Step::Silence]);
        tier.add("s0", slow.address);

        let headers = [("host", HOST), ("x-request-id", "r1")];
        let hasty = standins::http::Client::new(tier.server.address(), Duration::from_millis(100));
        hasty.send("GET", "/a/", &headers, Bytes::new()).await.unwrap_err();
        pause(100).await;

        assert_eq!(slow.disconnects(), 1);
    });
}

#[test]
fn a_node_without_configuration_refuses_with_the_time_to_come_back() {
    run(async {
        let tier = Tier::new();

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

#[test]
fn requests_that_no_configuration_allows_are_refused_for_good() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica("p", b"x");
        tier.add("s0", replica.address);
        let large = Bytes::from(vec![0; 1_001]);
        let named = [("host", HOST), ("x-request-id", "r1")];

        let unknown = tier.get("/b/", "r1").await;
        let nameless = tier.client().send("GET", "/a/", &[("host", HOST)], Bytes::new()).await;
        let too_large = tier.client().send("POST", "/a/", &named, large).await;

        assert_eq!(unknown.status, 404);
        assert_eq!(nameless.unwrap().status, 400);
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

/// A node has been without a configuration for over a second, as the store is away.
/// Callers come again at the latest moment for which they wait: a third of their time.
#[test]
fn callers_of_a_node_that_waits_for_the_store_come_again_late() {
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
