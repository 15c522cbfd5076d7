//! Requests that crash replicas: which are suspected, and which are refused.

mod common;

use std::time::Duration;

use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock, ids::Fingerprint};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, Crashes};
use kumquatnotch_route::crash_check;
use standins::scripted::{Scripted, Step};

/// The suspected request of the tests, with its fingerprint.
fn suspect() -> (Request, Fingerprint) {
    let request = Request::get("/a/crash");
    let fingerprint = crash_check::fingerprint(&request);
    (request, fingerprint)
}

/// Records crashes with a request, in these attempts and `seconds` from now.
fn crash(crashes: &Crashes, fingerprint: Fingerprint, seconds: u64, attempts: &[u64]) {
    let now = RuntimeClock.now() + Duration::from_secs(seconds);
    for attempt in attempts {
        crashes.note(Crash { fingerprint, attempt: *attempt }, now);
    }
}

/// Whether a request is refused `seconds` from now.
fn is_refused(crashes: &Crashes, request: &Request, seconds: u64) -> bool {
    let now = RuntimeClock.now() + Duration::from_secs(seconds);
    crashes.refused_for(crash_check::fingerprint(request), now).is_some()
}

/// Replicas crash with the same request three times, a few seconds apart. It is refused for
/// 15 seconds then. It is admitted once more and crashes another replica: it is refused for
/// 30 seconds.
#[test]
fn a_request_is_refused_after_three_crashes() {
    let (crashes, (request, fingerprint)) = (Crashes::default(), suspect());

    crash(&crashes, fingerprint, 0, &[1]);
    crash(&crashes, fingerprint, 3, &[2]);
    let before = is_refused(&crashes, &request, 3);
    crash(&crashes, fingerprint, 6, &[3]);
    let refused = is_refused(&crashes, &request, 20);
    let after = is_refused(&crashes, &request, 22);
    crash(&crashes, fingerprint, 22, &[4]);
    let again = is_refused(&crashes, &request, 51);

    assert_eq!([before, refused, after, again], [false, true, false, true]);
}

/// Many callers have the same request running at a replica that crashes. Other nodes report
/// the crash a moment later, and report it again with each later crash. All of these reports
/// count as one crash.
#[test]
fn a_request_of_many_callers_is_not_refused_for_one_crash() {
    let (crashes, (request, fingerprint)) = (Crashes::default(), suspect());
    let reported: Vec<Crash> = (10..20).map(|attempt| Crash { fingerprint, attempt }).collect();

    crash(&crashes, fingerprint, 0, &[1, 2, 3, 4, 5]);
    for seconds in [1, 2, 5, 8, 11] {
        crashes.merge(&reported, RuntimeClock.now() + Duration::from_secs(seconds));
    }

    assert!(!is_refused(&crashes, &request, 11));
    assert_eq!(crashes.strikes_of(fingerprint), 1);
}

#[test]
fn another_request_is_not_refused() {
    let (crashes, (_, fingerprint)) = (Crashes::default(), suspect());
    [1, 2, 3].iter().for_each(|number| crash(&crashes, fingerprint, number * 3, &[*number]));

    let others = [Request::get("/a/other"), Request::get("/a/crash?x"), {
        let mut request = Request::get("/a/crash");
        request.body = "body".into();
        request
    }];

    assert!(others.iter().all(|other| !is_refused(&crashes, other, 9)));
}

/// A request was running at two replicas that crashed for another reason. A successful answer
/// clears it, so that a third crash counts as its first.
#[test]
fn a_successful_answer_clears_the_suspicion() {
    let (crashes, (request, fingerprint)) = (Crashes::default(), suspect());

    crash(&crashes, fingerprint, 0, &[1]);
    crash(&crashes, fingerprint, 3, &[2]);
    crashes.clear(crash_check::fingerprint(&request));
    crash(&crashes, fingerprint, 6, &[3]);

    assert_eq!(crashes.strikes_of(fingerprint), 1);
    assert!(!is_refused(&crashes, &request, 6));
}

/// A caller sends a request that crashes every replica that runs it, four times, a few
/// seconds apart. The fourth attempt reaches no replica and gets 503 with `Retry-After`.
#[test]
fn a_request_that_crashes_replicas_reaches_three_of_them() {
    run(async {
        let tier = Tier::serving(exclusive());
        let mut reached = 0;
        let mut statuses = Vec::new();
        for attempt in 0..4 {
            let replica = scripted_replica(|_| vec![Step::Close]);
            tier.add("s0", replica.address);
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            statuses.push((answer.status, answer.headers.contains_key("retry-after")));
            reached += replica.requests().len();
            // A crashed replica only comes back under another ID.
            remove_crashed(&tier, replica).await;
        }

        assert_eq!(statuses, [(502, false), (502, false), (502, false), (503, true)]);
        assert_eq!(reached, 3);
    });
}

/// A replica closes connections without a reply but keeps running. The requests are not
/// suspected.
#[test]
fn a_lost_reply_is_not_a_crash() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = scripted_replica(|_| vec![Step::Close]);
        tier.add("s0", replica.address);

        for attempt in 0..4 {
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            assert_eq!(answer.status, 502);
            pause(200).await;
        }

        assert_eq!(replica.requests().len(), 4);
    });
}

/// Stops a replica, waits until the crash is detected, and removes it from the directory.
async fn remove_crashed(tier: &Tier, replica: Scripted) {
    let address = replica.address;
    drop(replica);
    pause(2_700).await;
    let replicas = tier.router.directory.of(&service("s0"));
    for other in replicas.iter().filter(|other| other.spec().address == address) {
        tier.router.directory.remove(&other.id);
    }
}
