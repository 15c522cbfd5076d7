//! Which replica is asked, and which gets a copy of a request that is late.

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

/// A replica stands still. Its caller gets the answer of another one, and while
/// it is silent the next requests go there at once.
#[test]
fn a_silent_replica_costs_one_copy_and_is_then_avoided() {
    run(async {
        let tier = Tier::serving(single());
        let silent = playing(|_| vec![Step::Silence]);
        let other = replica("q", b"whole");
        tier.add("s0", silent.address);
        tier.add("s0", other.address);

        for index in 0..6 {
            assert_eq!(tier.get("/a/", &format!("r{index}")).await.status, 200);
        }

        let seen = silent.requests();
        let asked = seen.iter().filter(|request| request.path == "/a/").count();
        assert_eq!(asked, 1);
    });
}

/// A reply is late at a replica that answers others, and the one that could run a copy
/// has its slots taken, with work for three seconds. A copy would make others wait longer;
/// none is sent.
#[test]
fn a_late_request_gets_no_copy_at_a_replica_without_a_free_slot() {
    run(async {
        let route = Route { objective: Duration::from_secs(1), ..single() };
        let tier = Tier::serving(route.clone());
        (0..200).for_each(|_| {
            tier.router.paces.note(&route.name, route.objective, Duration::from_millis(5))
        });
        let slow = playing(move |request| {
            let wait = if request.headers["x-request-id"] == "r1" { 200 } else { 1 };
            vec![Step::Wait(Duration::from_millis(wait)), sound(request, "p", b"late")]
        });
        let full = replica("q", b"whole");
        tier.add("s0", slow.address);
        let id = tier.add("s0", full.address);
        let other = tier.router.directory.find(&id).unwrap();
        (0..60).for_each(|_| other.observed.note_service_time(Duration::from_millis(10)));
        other.observed.note_load(600, RuntimeClock.now());

        let others = async {
            for index in 0..20 {
                monoio::time::sleep(Duration::from_millis(10)).await;
                tier.get("/a/", &format!("o{index}")).await;
            }
        };
        let (answer, ()) = join(tier.get("/a/", "r1"), others).await;

        assert_eq!((answer.status, &answer.body[..]), (200, &b"late"[..]));
        assert_eq!(full.requests().len(), 0);
    });
}

/// Without budget, a late request gets no copy: the caller waits for its time.
#[test]
fn a_request_is_not_repeated_without_budget() {
    run(async {
        let tier = Tier::with_slack(0.0);
        let mut route = single();
        route.timeout = Duration::from_millis(400);
        tier.put(1, vec![route]);
        let silent = [playing(|_| vec![Step::Silence]), playing(|_| vec![Step::Silence])];
        silent.iter().for_each(|replica| {
            tier.add("s0", replica.address);
        });

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 504);
        assert_eq!(silent.iter().map(|replica| replica.requests().len()).sum::<usize>(), 1);
    });
}

/// A replica tells that all work takes nine times as long as usual on its machine at
/// this moment. The next requests go to another one, until that is some time ago.
#[test]
fn a_replica_on_a_slow_machine_is_avoided_by_its_own_word() {
    run(async {
        let route = single();
        let tier = Tier::serving(route.clone());
        let telling = playing(|request| {
            let identity = request.headers["x-request-id"].to_str().unwrap().to_owned();
            let headers =
                [("x-request-id", identity.as_str()), ("x-proof", "p"), ("x-load", "0,0,2,900")];
            vec![answer(200, &headers, b"whole")]
        });
        let slow = tier.add("s0", telling.address);
        assert_eq!(tier.get("/a/", "r1").await.status, 200);
        let other = tier.add("s0", nowhere());
        let pick = || {
            let replicas = tier.router.directory.of(&service("s0"));
            let need = tier.router.need(&route);
            replica::pick(&replicas, &[], need, RuntimeClock.now()).unwrap().replica.id.clone()
        };

        let at_once = pick();
        pause(2_500).await;
        let later = pick();

        assert_eq!((at_once, later), (other, slow));
    });
}

/// A reply is late, a copy is sent, and the reply comes after all. The copy is as good as
/// done: its connection is kept until its reply is in, as the next copy would otherwise
/// have to open one first, which takes as long as the way to another region and back.
#[test]
fn a_copy_that_lost_keeps_its_connection() {
    run(async {
        let tier = Tier::serving(single());
        // Whichever is asked first replies 20 ms before the other one would.
        let asked = Rc::new(Cell::new(0));
        let start = |tier: &Tier| {
            let asked = asked.clone();
            let replica = playing(move |request| {
                asked.set(asked.get() + 1);
                let (wait, body) = if asked.get() == 1 { (90, b"first") } else { (50, b"other") };
                vec![Step::Wait(Duration::from_millis(wait)), sound(request, "p", body)]
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
        assert_eq!((asked.get(), open), (2, 1));
        assert!(replicas.iter().all(|(_, replica)| replica.disconnects() == 0));
        for replica in known {
            assert_eq!(replica.observed.unanswered(), 0);
            assert!(replica.links.take(RuntimeClock.now(), Duration::from_secs(9)).is_some());
        }
    });
}

/// The caller of a request goes away while a copy is on its way. Nobody needs either reply:
/// both replicas learn it at once.
#[test]
fn a_caller_that_leaves_ends_the_copy_as_well() {
    run(async {
        let tier = Tier::serving(single());
        let slow = |request: &standins::http::Request| {
            vec![Step::Wait(Duration::from_millis(400)), sound(request, "p", b"late")]
        };
        let (first, second) = (playing(slow), playing(slow));
        tier.add("s0", first.address);
        tier.add("s0", second.address);

        let caller = tier.get("/a/", "r1");
        let left = monoio::time::timeout(Duration::from_millis(120), caller).await;
        pause(100).await;

        assert!(left.is_err());
        assert_eq!((first.disconnects(), second.disconnects()), (1, 1));
    });
}
