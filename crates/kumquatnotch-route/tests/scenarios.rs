//! Failure scenarios from the point of view of the caller.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::*;
use futures_util::future::join;
use kumquatnotch_core::{Clock, LocalFuture, clock::RuntimeClock};
use kumquatnotch_route::names::ReplicaId;
use standins::scripted::{Scripted, Step};

const RECORD: &[u8] = &[7; 16];

/// The clock of a VM that may be suspended: the monotonic clock plus the time suspended.
#[derive(Default)]
struct SuspendableClock {
    suspended_for: Cell<Duration>,
}

impl Clock for SuspendableClock {
    fn now(&self) -> Instant {
        RuntimeClock.now() + self.suspended_for.get()
    }

    fn sleep_until(&self, deadline: Instant) -> LocalFuture<'static, ()> {
        let left = deadline.saturating_duration_since(self.now());
        RuntimeClock.sleep_until(RuntimeClock.now() + left)
    }
}

/// Half of the shards reply; the others accept the request and never reply. Too few parts are
/// in for an answer. The caller must get a failure in time, and never an empty or incomplete
/// answer that looks complete, as it would take shards without a reply for shards without
/// results.
#[test]
fn a_search_with_hanging_shards_fails_in_time_and_is_never_empty() {
    run(async {
        let tier = Tier::serving(shards(4, 0.85));
        let healthy: Vec<_> = (0..2).map(|_| replica("p", RECORD)).collect();
        let silent: Vec<_> = (0..2).map(|_| scripted_replica(|_| vec![Step::Silence])).collect();
        for (index, replica) in healthy.iter().chain(&silent).enumerate() {
            tier.add(&format!("s{index}"), replica.address);
        }

        let began = Instant::now();
        let answer = tier.get("/a/rooms", "r1").await;

        // Shards may have run the request, so it must not be a 503.
        assert!([502, 504].contains(&answer.status), "{}", answer.status);
        assert!(!answer.headers.contains_key("x-proofs"));
        assert!(began.elapsed() < Duration::from_millis(3_500), "after {:?}", began.elapsed());
    });
}

/// A replica freezes after it received an exclusive request and resumes later. Sent to a
/// second replica, the request would run twice. The caller gets an unknown outcome (504
/// without `Retry-After`), and no other replica receives the request.
#[test]
fn an_exclusive_request_at_a_frozen_replica_is_not_sent_to_another() {
    run(async {
        let tier = Tier::serving(exclusive());
        let frozen = scripted_replica(|request| {
            vec![Step::Wait(Duration::from_secs(4)), proven_reply(request, "late", b"held")]
        });
        let other = replica("other", b"held");
        let id = tier.add("s0", frozen.address);
        tier.add("s0", other.address);
        make_fastest(&tier, &id);

        let answer = tier.post("/a/hold", "r1", b"room 4").await;

        assert_eq!(answer.status, 504);
        assert!(!answer.headers.contains_key("retry-after"), "it may have run");
        let count_holds = |one: &Scripted| {
            let seen = one.requests();
            seen.iter().filter(|request| request.path == "/a/hold").count()
        };
        assert_eq!((count_holds(&frozen), count_holds(&other)), (1, 0));
    });
}

/// The VM of the node is suspended while an exclusive request waits for a connection permit.
/// The monotonic clock does not advance during the suspension, but the caller has timed out
/// and may have sent another request. The request must not be forwarded when the VM resumes.
#[test]
fn a_request_that_waited_during_a_vm_suspension_is_not_forwarded() {
    run(async {
        let clock = Rc::new(SuspendableClock::default());
        let tier = Tier::with_clock("me", 100.0, "home", clock.clone());
        tier.put(1, vec![exclusive()]);
        let busy = scripted_replica(|request| {
            vec![Step::Wait(Duration::from_millis(300)), proven_reply(request, "p", b"held")]
        });
        let id = tier.add("s0", busy.address);
        // Takes all but one of the connection permits.
        let replica = tier.router.directory.find(&id).unwrap();
        tier.post("/a/hold", "r0", b"room 2").await;
        let limit = replica.semaphore.limit();
        let mut taken = Vec::new();
        for _ in 1..limit {
            taken.push(replica.semaphore.acquire(1).await);
        }

        let first = tier.post("/a/hold", "r1", b"room 3");
        let second = async {
            pause(50).await;
            join(tier.post("/a/hold", "r2", b"room 4"), async {
                pause(100).await;
                clock.suspended_for.set(Duration::from_secs(60));
            })
            .await
            .0
        };
        let (_, second) = join(first, second).await;

        let seen = busy.requests();
        let seen_ids: Vec<&str> =
            seen.iter().map(|request| header(request, "x-request-id")).collect();
        assert!(!seen_ids.contains(&"r2"), "{seen_ids:?}");
        assert!(second.status >= 500, "{}", second.status);
    });
}

/// Two of ten shards never reply, which the route allows. An answer that did not say so would
/// be taken for a complete one: it must give the number of missing shards and carry the proofs
/// of the others.
#[test]
fn an_answer_reports_the_number_of_missing_shards() {
    run(async {
        let tier = Tier::serving(shards(10, 0.75));
        let replicas: Vec<_> = (0..8).map(|_| replica("p", RECORD)).collect();
        let silent: Vec<_> = (0..2).map(|_| scripted_replica(|_| vec![Step::Silence])).collect();
        for (index, replica) in replicas.iter().chain(&silent).enumerate() {
            tier.add(&format!("s{index}"), replica.address);
        }

        let answer = tier.get("/a/report", "r1").await;

        assert_eq!((answer.status, &answer.headers["x-missing"]), (200, &"2".parse().unwrap()));
        let proofs = answer.headers["x-proofs"].to_str().unwrap();
        assert_eq!(proofs.split(", ").count(), 8);
    });
}

/// Records short service times for a replica, so that it is selected first.
fn make_fastest(tier: &Tier, id: &ReplicaId) {
    let replica = tier.router.directory.find(id).unwrap();
    (0..20).for_each(|_| replica.observed.note_service_time(Duration::from_millis(1)));
}
