//! Replica selection and hedged requests.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::*;
use futures_util::future::join;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use kumquatnotch_route::{
    replica::{self, Replica},
    route::Route,
};
use standins::scripted::{Step, answer};

/// One replica never replies. The first request is hedged to the other replica, and while
/// the first one is silent, later requests go to the other one directly.
#[test]
fn a_silent_replica_is_hedged_once_and_then_avoided() {
    run(async {
        let tier = Tier::serving(single());
        let silent = scripted_replica(|_| vec![Step::Silence]);
        let other = replica("q", b"whole");
        tier.add("s0", silent.address);
        tier.add("s0", other.address);

        for index in 0..6 {
            assert_eq!(tier.get("/a/", &format!("r{index}")).await.status, 200);
        }

        let requests = silent.requests();
        let attempts = requests.iter().filter(|request| request.path == "/a/").count();
        assert_eq!(attempts, 1);
    });
}

/// A reply is late at a replica that answers other requests, and all slots of the only
/// other replica are taken, with 15 seconds of work queued. A hedged request would only
/// delay the requests in that queue, so none is sent.
///
/// The usual 25 ms are far above the delays of a busy machine. If the replica answered others later
/// than usual, it would count as silent, and requests would rightly go to the other one.
#[test]
fn a_late_request_is_not_hedged_to_a_replica_without_a_free_slot() {
    run(async {
        let route = Route {
            objective: Duration::from_secs(5),
            timeout: Duration::from_secs(10),
            ..single()
        };
        let tier = Tier::serving(route.clone());
        (0..200).for_each(|_| {
            tier.router.service_times.note(&route.name, route.objective, Duration::from_millis(25))
        });
        let slow = scripted_replica(move |request| {
            let wait = if request.headers["x-request-id"] == "r1" { 1_000 } else { 5 };
            vec![Step::Wait(Duration::from_millis(wait)), proven_reply(request, "p", b"late")]
        });
        let full = replica("q", b"whole");
        tier.add("s0", slow.address);
        let id = tier.add("s0", full.address);
        let other = tier.router.directory.find(&id).unwrap();
        (0..60).for_each(|_| other.observed.note_service_time(Duration::from_millis(50)));
        other.observed.note_load(600, RuntimeClock.now());

        let others = async {
            for index in 0..60 {
                monoio::time::sleep(Duration::from_millis(10)).await;
                tier.get("/a/", &format!("o{index}")).await;
            }
        };
        let (answer, ()) = join(tier.get("/a/", "r1"), others).await;

        assert_eq!((answer.status, &answer.body[..]), (200, &b"late"[..]));
        assert_eq!(full.requests().len(), 0);
    });
}

/// Without retry budget, a late request is not hedged: the caller waits until the timeout
/// and gets 504.
#[test]
fn a_request_is_not_hedged_without_budget() {
    run(async {
        let tier = Tier::with_slack(0.0);
        let mut route = single();
        route.timeout = Duration::from_millis(400);
        tier.put(1, vec![route]);
        let silent =
            [scripted_replica(|_| vec![Step::Silence]), scripted_replica(|_| vec![Step::Silence])];
        silent.iter().for_each(|replica| {
            tier.add("s0", replica.address);
        });

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 504);
        assert_eq!(silent.iter().map(|replica| replica.requests().len()).sum::<usize>(), 1);
    });
}

/// A replica reports that work currently takes nine times as long as usual on its machine.
/// Requests go to another replica until the report has expired.
#[test]
fn a_replica_that_reports_a_slow_machine_is_avoided() {
    run(async {
        let route = single();
        let tier = Tier::serving(route.clone());
        let reporting = scripted_replica(|request| {
            let identity = request.headers["x-request-id"].to_str().unwrap().to_owned();
            let headers =
                [("x-request-id", identity.as_str()), ("x-proof", "p"), ("x-load", "0,0,2,900")];
            vec![answer(200, &headers, b"whole")]
        });
        let slow = tier.add("s0", reporting.address);
        assert_eq!(tier.get("/a/", "r1").await.status, 200);
        let other = tier.add("s0", refusing_address());
        let pick = || {
            let replicas = tier.router.directory.of(&service("s0"));
            let profile = tier.router.profile(&route);
            replica::pick(&replicas, &[], profile, RuntimeClock.now()).unwrap().replica.id.clone()
        };

        let at_once = pick();
        pause(2_500).await;
        let later = pick();

        assert_eq!((at_once, later), (other, slow));
    });
}

/// A reply is late, a hedged request is sent, and then the first reply arrives after all.
/// The connection of the hedged request is kept until its reply is in. Otherwise the next
/// hedged request would have to open a new one, which takes a round trip to another region.
#[test]
fn a_hedged_request_that_lost_keeps_its_connection() {
    run(async {
        let tier = Tier::serving(single());
        // The replica that is called first replies 20 ms before the other one would.
        let request_count = Rc::new(Cell::new(0));
        let start = |tier: &Tier| {
            let request_count = request_count.clone();
            let replica = scripted_replica(move |request| {
                request_count.set(request_count.get() + 1);
                let (wait, body) =
                    if request_count.get() == 1 { (90, b"first") } else { (50, b"other") };
                vec![Step::Wait(Duration::from_millis(wait)), proven_reply(request, "p", body)]
            });
            (tier.add("s0", replica.address), replica)
        };
        let replicas = [start(&tier), start(&tier)];
        let known: Vec<Rc<Replica>> =
            replicas.iter().map(|(id, _)| tier.router.directory.find(id).unwrap()).collect();

        let answer = tier.get("/a/", "r1").await;
        let open: usize = known.iter().map(|replica| replica.observed.unanswered()).sum();
        pause(100).await;

        assert_eq!((answer.status, &answer.body[..]), (200, &b"first"[..]));
        assert_eq!((request_count.get(), open), (2, 1));
        assert!(replicas.iter().all(|(_, replica)| replica.disconnects() == 0));
        for replica in known {
            assert_eq!(replica.observed.unanswered(), 0);
            assert!(replica.pool.take(RuntimeClock.now(), Duration::from_secs(9)).is_some());
        }
    });
}

/// The caller disconnects while a hedged request is in flight. Neither reply is needed, so
/// both connections are closed at once.
#[test]
fn a_disconnect_of_the_caller_cancels_the_hedged_request() {
    run(async {
        let tier = Tier::serving(single());
        let slow = |request: &standins::http::Request| {
            vec![Step::Wait(Duration::from_millis(400)), proven_reply(request, "p", b"late")]
        };
        let (first, second) = (scripted_replica(slow), scripted_replica(slow));
        tier.add("s0", first.address);
        tier.add("s0", second.address);

        let caller = tier.get("/a/", "r1");
        let left = monoio::time::timeout(Duration::from_millis(120), caller).await;
        pause(100).await;

        assert!(left.is_err());
        assert_eq!((first.disconnects(), second.disconnects()), (1, 1));
    });
}
