//! Searches over shards: merged answers, missing shards and relays.

mod common;

use std::time::Duration;

use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock, lifecycle::Stage};
use kumquatnotch_route::{names::ReplicaId, relay::PROBE_PATH};
use standins::scripted::{Scripted, Step, answer};

const ONE: &[u8] = &[1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
const TWO: &[u8] = &[2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
const THREE: &[u8] = &[3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];

#[test]
fn an_answer_merges_the_parts_of_all_shards() {
    run(async {
        let tier = Tier::serving(shards(3, 1.0));
        let replicas = [replica("a", TWO), replica("b", THREE), replica("c", ONE)];
        for (index, replica) in replicas.iter().enumerate() {
            tier.add(&format!("s{index}"), replica.address);
        }

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert_eq!(&answer.body[..], [THREE, TWO, ONE].concat());
        assert_eq!(answer.headers["x-missing"], "0");
        let mut proofs: Vec<&str> =
            answer.headers["x-proofs"].to_str().unwrap().split(", ").collect();
        proofs.sort_unstable();
        assert_eq!(proofs, ["a", "b", "c"]);
    });
}

/// The replica of one shard never replies. The answer is given when waiting longer would make
/// it late, and reports one missing shard.
#[test]
fn a_late_shard_is_left_out_and_reported_missing() {
    run(async {
        let tier = Tier::serving(shards(3, 0.6));
        let replicas = [replica("a", TWO), replica("b", THREE)];
        let silent = scripted_replica(|_| vec![Step::Silence]);
        tier.add("s0", replicas[0].address);
        tier.add("s1", replicas[1].address);
        tier.add("s2", silent.address);

        let start = RuntimeClock.now();
        let answer = tier.get("/a/", "r1").await;
        let took = RuntimeClock.now() - start;

        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["x-missing"], "1");
        assert_eq!(&answer.body[..], [THREE, TWO].concat());
        assert!(took > Duration::from_millis(80) && took < Duration::from_millis(220));
    });
}

/// The replica of a shard was twenty times slower than usual a moment ago and has recovered.
/// It is queried although its part is expected to be late, and the answer is complete.
#[test]
fn a_recently_slow_shard_is_queried() {
    run(async {
        let tier = Tier::serving(shards(3, 0.6));
        let replicas = [replica("a", TWO), replica("b", THREE), replica("c", TWO)];
        let ids: Vec<ReplicaId> = replicas
            .iter()
            .enumerate()
            .map(|(index, replica)| tier.add(&format!("s{index}"), replica.address))
            .collect();
        let slow = tier.router.directory.find(&ids[2]).unwrap();
        let usual = Duration::from_millis(25);
        (0..60).for_each(|_| slow.observed.note_speed(usual * 20, usual, RuntimeClock.now()));

        let answer = tier.get("/a/", "r1").await;

        assert_eq!((answer.status, replicas[2].requests().len()), (200, 1));
        assert_eq!(answer.headers["x-missing"], "0");
    });
}

/// A caller's timeout starts before it looks up a node and opens a connection. The first
/// request on a connection must therefore be answered sooner.
#[test]
fn the_first_request_on_a_connection_is_due_sooner() {
    run(async {
        let tier = Tier::serving(shards(3, 0.6));

        let first = tier.router.time_to_answer(&shards(3, 0.6), true);
        let next = tier.router.time_to_answer(&shards(3, 0.6), false);

        assert!(first < next && next < Duration::from_millis(200));
        assert!(first > Duration::from_millis(100));
    });
}

/// Too few shards can answer. The caller gets a failure at once instead of an empty answer,
/// and is not told that nothing has run.
#[test]
fn a_search_with_too_few_parts_fails() {
    run(async {
        let tier = Tier::serving(shards(3, 0.9));
        let replica = replica("a", TWO);
        let failing = scripted_replica(|_| vec![answer(500, &[("x-proof", "f")], ONE)]);
        tier.add("s0", replica.address);
        tier.add("s1", failing.address);
        tier.add("s2", failing.address);

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("x-proofs"));
    });
}

/// No shard has a replica. Nothing has run, and the caller gets `Retry-After`.
#[test]
fn a_search_without_any_replica_is_refused_as_not_run() {
    run(async {
        let tier = Tier::serving(shards(2, 0.5));

        let answer = tier.get("/a/", "r1").await;

        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

/// A failed reply with a proof is not a part: the shard is queried again, and the answer
/// contains the part of the healthy replica.
#[test]
fn a_failed_reply_with_a_proof_is_not_a_part() {
    run(async {
        let tier = Tier::serving(shards(1, 1.0));
        let failing = scripted_replica(|_| vec![answer(500, &[("x-proof", "bad")], ONE)]);
        let healthy = replica("good", TWO);
        tier.add("s0", failing.address);
        tier.add("s0", healthy.address);

        for index in 0..4 {
            let answer = tier.get("/a/", &format!("r{index}")).await;

            assert_eq!(
                (answer.status, &answer.headers["x-proofs"]),
                (200, &"good".parse().unwrap())
            );
        }
    });
}

/// A node in region `home`, and shards and a second node in region `away`.
struct TwoRegions {
    home: Tier,
    away: Tier,
    replicas: Vec<Scripted>,
}

impl TwoRegions {
    fn new() -> TwoRegions {
        let (home, away) = (Tier::at(100.0, "home"), Tier::at(100.0, "away"));
        home.put(1, vec![shards(3, 0.6)]);
        away.put(1, vec![shards(3, 0.6)]);
        home.add_node("h1", "home", home.peer.address());
        home.add_node("a1", "away", away.peer.address());
        let replicas = vec![replica("a", TWO), replica("b", THREE), replica("c", ONE)];
        for (index, replica) in replicas.iter().enumerate() {
            let id = ReplicaId::from(&*format!("r{index}"));
            for tier in [&home, &away] {
                tier.add_as(&id, &format!("s{index}"), replica.address, "away");
            }
        }
        TwoRegions { home, away, replicas }
    }
}

#[test]
fn shards_of_another_region_are_gathered_by_a_relay() {
    run(async {
        let regions = TwoRegions::new();

        let answer = regions.home.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert_eq!(&answer.body[..], [THREE, TWO, ONE].concat());
        assert_eq!(answer.headers["x-missing"], "0");
        assert!(regions.replicas.iter().all(|replica| replica.requests().len() == 1));
        // The node in `home` has no connection to any of the replicas.
        let direct = regions.home.router.directory.all();
        assert!(direct.iter().all(|replica| replica.observed.measured_round_trip().is_none()));
        assert_eq!(header(&regions.replicas[0].requests()[0], "x-request-id"), "r1");
        drop(regions.away);
    });
}

/// The relay is gone and its address refuses connections. The replicas are queried directly,
/// and the caller gets a complete answer.
#[test]
fn shards_are_queried_directly_if_the_relay_is_gone() {
    run(async {
        let regions = TwoRegions::new();
        regions.home.add_node("a1", "away", refusing_address());

        let answer = regions.home.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["x-missing"], "0");
    });
}

/// Guards against shards that are missing from an answer because their relay is about to exit.
#[test]
fn shards_are_queried_directly_if_the_relay_is_closing() {
    run(async {
        let regions = TwoRegions::new();
        regions.away.router.lifecycle.advance(Stage::Closing);

        let answer = regions.home.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["x-missing"], "0");
        assert!(regions.replicas.iter().all(|replica| replica.requests().len() == 1));
    });
}

/// The relay accepts the request and then never replies, not even when asked whether it is
/// running the request. The answer is late but complete.
#[test]
fn shards_are_queried_directly_if_the_relay_is_silent() {
    run(async {
        let regions = TwoRegions::new();
        let silent = Scripted::start(|_| vec![Step::Silence]).unwrap();
        regions.home.add_node("a1", "away", silent.address);

        let answer = regions.home.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["x-missing"], "0");
    });
}

/// The connection to the relay breaks although the relay is running: it never received the
/// request, and reports so on a new connection.
#[test]
fn shards_are_queried_directly_if_the_relay_never_got_the_request() {
    run(async {
        let regions = TwoRegions::new();
        let relay = Scripted::start(|request| match request.path.as_str() {
            "/v1/running" => vec![answer(404, &[], b"")],
            PROBE_PATH => vec![answer(200, &[], b"")],
            _ => vec![Step::Silence],
        })
        .unwrap();
        regions.home.add_node("a1", "away", relay.address);

        let start = RuntimeClock.now();
        let answer = regions.home.get("/a/", "r1").await;

        assert_eq!(answer.status, 200);
        assert!(RuntimeClock.now() - start < Duration::from_millis(600));
    });
}

/// Each shard has three replicas and its route allows two. The relay accepts the request,
/// queries two of them and is lost. When the shards are queried directly after that, the
/// third replica must not run the request as well.
#[test]
fn a_lost_relay_does_not_exceed_the_attempts_of_the_route() {
    run(async {
        let home = Tier::at(100.0, "home");
        home.put(1, vec![shards(2, 0.6)]);
        let lost = Scripted::start(|_| vec![Step::Wait(Duration::from_millis(30)), Step::Close]);
        home.add_node("a1", "away", lost.as_ref().unwrap().address);
        let replicas: Vec<Scripted> = (0..6).map(|_| replica("a", TWO)).collect();
        for (index, replica) in replicas.iter().enumerate() {
            home.add_in(&format!("s{}", index % 2), replica.address, "away");
        }

        home.get("/a/", "r1").await;

        let relayed = lost.unwrap().requests();
        let body = &relayed[0].body;
        let message: kumquatnotch_route::relay_message::RelayRequest =
            kumquatnotch_core::codec::decode(body).unwrap();
        for (name, allowed) in &message.shards {
            assert_eq!(allowed.len(), 2);
            for replica in home.router.directory.of(&service(name)).iter() {
                let ran = !replicas
                    .iter()
                    .find(|other| other.address == replica.spec().address)
                    .unwrap()
                    .requests()
                    .is_empty();
                assert!(!ran || allowed.iter().any(|id| id == replica.id.as_str()));
            }
        }
    });
}
