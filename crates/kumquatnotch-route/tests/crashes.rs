//! Requests that crash replicas: who is suspected, and what is refused.

mod common;

use std::time::Duration;

use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock, ids::Fingerprint};
use kumquatnotch_net::message::Request;
use kumquatnotch_route::crashes::{Crash, Crashes};
use standins::scripted::{Scripted, Step};

/// The request that the tests suspect, with its fingerprint.
fn suspect() -> (Request, Fingerprint) {
    let request = Request::get("/a/crash");
    let print = kumquatnotch_route::crashes::fingerprint(&request);
    (request, print)
}

/// Lets a request be with a replica that crashes, in each of `attempts`.
fn crash(crashes: &Crashes, print: Fingerprint, attempts: &[u64]) {
    for attempt in attempts {
        crashes.note(Crash { print, attempt: *attempt }, RuntimeClock.now());
    }
}

fn refused_for(crashes: &Crashes, request: &Request, after: Duration) -> Option<Duration> {
    crashes.refused_for(request, RuntimeClock.now() + after)
}

/// A search asks twenty replicas, all of which crash with it: that is one attempt. The
/// third attempt of its caller makes it refused for fifteen seconds, the next one that
/// is let in then, and crashes another, for thirty.
#[test]
fn a_request_is_refused_after_crashes_in_three_attempts() {
    let (crashes, (request, print)) = (Crashes::default(), suspect());

    crash(&crashes, print, &[1; 20]);
    crash(&crashes, print, &[2]);
    let before = refused_for(&crashes, &request, Duration::ZERO);
    crash(&crashes, print, &[3]);
    let refused = refused_for(&crashes, &request, Duration::from_secs(14));
    let let_in = refused_for(&crashes, &request, Duration::from_secs(16));
    crash(&crashes, print, &[4]);
    let again = refused_for(&crashes, &request, Duration::from_secs(29));

    assert!(before.is_none() && let_in.is_none());
    assert!(refused.is_some() && again.is_some());
}

#[test]
fn another_request_is_not_refused() {
    let (crashes, (_, print)) = (Crashes::default(), suspect());
    crash(&crashes, print, &[1, 2, 3]);

    let others = [Request::get("/a/other"), Request::get("/a/crash?x"), {
        let mut request = Request::get("/a/crash");
        request.body = "body".into();
        request
    }];

    assert!(others.iter().all(|other| refused_for(&crashes, other, Duration::ZERO).is_none()));
}

/// A request was with two replicas that crashed for another reason. It is answered, and
/// a third crash says as little of it as the first one did.
#[test]
fn an_answer_clears_a_request() {
    let (crashes, (request, print)) = (Crashes::default(), suspect());

    crash(&crashes, print, &[1, 2]);
    crashes.clear(&request);
    crash(&crashes, print, &[3]);

    assert_eq!(crashes.attempts_of(print), 1);
    assert!(refused_for(&crashes, &request, Duration::ZERO).is_none());
}

/// A caller sends a request that crashes each replica which runs it, four times. The
/// fourth attempt reaches none, and is told so with the time to come back.
#[test]
fn a_request_that_crashes_replicas_reaches_three_of_them() {
    run(async {
        let tier = Tier::serving(exclusive());
        let mut reached = 0;
        let mut statuses = Vec::new();
        for attempt in 0..4 {
            let replica = playing(|_| vec![Step::Close]);
            tier.add("s0", replica.address);
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            statuses.push((answer.status, answer.headers.contains_key("retry-after")));
            reached += replica.requests().len();
            // It is gone with the request, and back under another name at best.
            gone(&tier, replica).await;
        }

        assert_eq!(statuses, [(502, false), (502, false), (502, false), (503, true)]);
        assert_eq!(reached, 3);
    });
}

/// A replica loses the answers to requests and lives on. Nobody is suspected.
#[test]
fn a_lost_answer_is_no_crash() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = playing(|_| vec![Step::Close]);
        tier.add("s0", replica.address);

        for attempt in 0..4 {
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            assert_eq!(answer.status, 502);
            pause(200).await;
        }

        assert_eq!(replica.requests().len(), 4);
    });
}

/// Ends a replica, waits until its end was noticed, and takes it out of the directory.
async fn gone(tier: &Tier, replica: Scripted) {
    let address = replica.address;
    drop(replica);
    pause(300).await;
    let replicas = tier.router.directory.of(&service("s0"));
    for other in replicas.iter().filter(|other| other.spec().address == address) {
        tier.router.directory.remove(&other.id);
    }
}
