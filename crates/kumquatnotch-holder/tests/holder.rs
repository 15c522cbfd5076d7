//! Tests of the holder over scripted targets.

mod common;

use std::time::Duration;

use common::{Behaviour, VERSION, World, document, request};
use futures_util::future::{join, join_all};
use kumquatnotch_core::{
    Clock, Error,
    clock::timeout_at,
    ids::{IndexVersion, ShardName, TargetName, TenantName},
    marks::{Mark, MarkKind},
    peer::{PeerHandler, PeerMessage, PeerReply},
    query::{GroupRequest, Hit},
    target::{HeldVersion, Phase},
};
use yare::parameterized;

const PAIR: [(&str, &str); 2] = [("a", "s0"), ("b", "s0")];

fn hit(key: &str, score: f64, owner: &str) -> Hit {
    let private = Some(serde_json::json!({"rate": 40}));
    let owner = Some(TenantName::from(owner));
    Hit { key: key.to_owned(), score, owner, fields: serde_json::Value::Null, private }
}

#[test]
fn hits_of_all_shards_are_merged() {
    let world = World::new(&[("a", "s0"), ("b", "s1")]);
    let now = Duration::from_millis(1);
    world.set_behaviour(
        "a",
        Behaviour::Answer(now, vec![hit("k2", 0.5, "siam"), hit("k1", 0.9, "siam")]),
    );
    world.set_behaviour(
        "b",
        Behaviour::Answer(now, vec![hit("k1", 0.9, "siam"), hit("k0", 0.5, "siam")]),
    );

    let answer = world.run(world.group(request(&["s0", "s1"], "q"))).unwrap();

    let keys: Vec<&str> = answer.hits.iter().map(|hit| hit.key.as_str()).collect();
    assert_eq!(keys, ["k1", "k0", "k2"]);
    assert_eq!(answer.covered.len(), 2);
}

// Hits and error texts of targets contain private data of several tenants. A caller must get its
// own private fields and none of other tenants, even if a target fails.
#[test]
fn private_fields_are_returned_only_to_their_owner() {
    let world = World::new(&[("a", "s0"), ("b", "s1")]);
    let hits = vec![hit("own", 0.9, "siam"), hit("rival", 0.8, "barid")];
    world.set_behaviour("a", Behaviour::Answer(Duration::from_millis(1), hits));
    let secret = Error::TargetFailed { detail: "rate 40 of barid".to_owned() };
    world.set_behaviour("b", Behaviour::Fail(secret));

    let answer = world.run(world.group(request(&["s0", "s1"], "q"))).unwrap();

    assert!(answer.hits[0].private.is_some());
    assert!(answer.hits[1].private.is_none());
    assert_eq!(answer.missing[0].error.code(), 4007);
    assert!(!answer.missing[0].error.to_string().contains("40"));
}

#[test]
fn versions_are_read_from_the_targets() {
    let world = World::new(&PAIR);

    let shards = vec![ShardName::from("s0")];
    let reply = world.run(world.holder.handle(PeerMessage::Versions(shards))).unwrap();

    let PeerReply::Versions(versions) = reply else { panic!("not versions") };
    assert_eq!(versions[0].versions.len(), 1);
    assert_eq!(versions[0].versions[0].version, VERSION);
}

fn resharded(version: u64) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: ShardName::from("r0"),
        collection: "rooms".to_owned(),
        total: 1,
    }
}

// After a repartition the next version has shards of other names. If the holder reported only held
// shards with the declared name, no root would see the new layout, and every search would find no
// snapshot.
#[test]
fn resharded_versions_are_reported_under_the_declared_shard() {
    let world = World::new(&[("a", "s0")]);
    world.script("a").extra_held.borrow_mut().push(resharded(VERSION.0 + 1));

    let (polled, answered) = world.run(async {
        let versions = PeerMessage::Versions(vec![ShardName::from("s0")]);
        let polled = world.holder.handle(versions).await.unwrap();
        let request =
            GroupRequest { version: IndexVersion(VERSION.0 + 1), ..request(&["r0"], "moved") };
        world.script("a").version.set(IndexVersion(VERSION.0 + 1));
        (polled, world.group(request).await.unwrap())
    });

    let PeerReply::Versions(polled) = polled else { panic!("{polled:?}") };
    assert!(polled[0].versions.contains(&resharded(VERSION.0 + 1)), "{polled:?}");
    assert_eq!(answered.held[0].shard, ShardName::from("s0"));
    assert!(answered.held[0].versions.contains(&resharded(VERSION.0 + 1)));
}

// The targets of a shard drain after a repartition. If they were left out, a node that starts then
// would not learn the layout of the version, and would list the declared shard as missing from a
// version that it does not belong to.
#[test]
fn draining_targets_still_report_their_versions() {
    let world = World::new(&[("a", "s0")]);
    world.script("a").phase.set(Phase::Draining);

    let polled = world.run(async {
        let versions = PeerMessage::Versions(vec![ShardName::from("s0")]);
        world.holder.handle(versions.clone()).await.unwrap();
        world.holder.handle(versions).await.unwrap()
    });

    let PeerReply::Versions(polled) = polled else { panic!("{polled:?}") };
    assert_eq!(polled[0].versions.len(), 1);
}

#[test]
fn version_without_a_replica_is_reported_gone() {
    let world = World::new(&PAIR);
    let gone = GroupRequest { version: IndexVersion(6), ..request(&["s0"], "q") };

    let answer = world.run(async {
        world.warm_up(1).await;
        world.pause(50).await;
        world.group(gone).await.unwrap()
    });

    assert_eq!(answer.missing[0].error, Error::VersionGone { version: 6 });
    assert_eq!(answer.held[0].versions[0].version, VERSION);
}

// The index of a replica is replaced between probe and call, so it answers from a newer snapshot
// than requested. Its hits must not be mixed with those of other shards.
#[test]
fn reply_of_another_version_is_rejected() {
    let world = World::new(&[("a", "s0")]);

    let answer = world.run(async {
        world.script("a").version.set(IndexVersion(8));
        world.group(request(&["s0"], "q")).await.unwrap()
    });

    assert!(answer.covered.is_empty());
}

// A target is known to be draining by its refusal of a call, a probe, the mark of another node, or
// the document. From then on it must get no new calls, and no query may fail.
#[parameterized(
    refusal = { |world| world.set_behaviour("a", Behaviour::Fail(Error::Draining)) },
    probe = { |world| world.script("a").phase.set(Phase::Draining) },
    mark = { |world| {
        let kind = MarkKind::Draining(TargetName::from("a"));
        world.marks.0.borrow_mut().push(Mark { kind, left_ms: 10_000 });
    } },
    configured = { |world| {
        let mut document = document(&PAIR);
        document.targets.get_mut("a").unwrap().drain = true;
        *world.documents.0.borrow_mut() = std::rc::Rc::new(document);
    } },
)]
fn draining_target_gets_no_new_work(drain: fn(&World)) {
    let world = World::new(&PAIR);

    let before = world.run(async {
        world.warm_up(10).await;
        drain(&world);
        world.pause(2_000).await;
        world.warm_up(10).await;
        let before = world.script("a").calls.borrow().len();
        world.warm_up(20).await;
        before
    });

    assert_eq!(world.script("a").calls.borrow().len(), before);
}

#[test]
fn lost_replica_does_not_reduce_coverage() {
    let world = World::new(&PAIR);

    world.run(async {
        world.warm_up(10).await;
        world.script("a").up.set(false);
        world.warm_up(10).await;
    });

    assert!(world.script("b").calls.borrow().len() >= 10);
}

// An exclusive call fails after it was sent. Unless the error proves that it has not run, a retry
// could run it twice, for example hold a room twice.
#[parameterized(
    lost = { Error::ConnectionLost, false },
    silent = { Error::ConnectionSilent, false },
    failed = { Error::TargetFailed { detail: String::new() }, false },
    shed = { Error::Shed { retry_ms: 5 }, true },
    draining = { Error::Draining, true },
    refused = { Error::ConnectFailed, true },
)]
fn exclusive_call_is_retried_only_if_it_has_not_run(error: Error, again: bool) {
    let world = World::new(&PAIR);
    world.set_behaviour("a", Behaviour::Fail(error.clone()));
    world.set_behaviour("b", Behaviour::Fail(error));

    let result = world.run(world.relay("hold", 1_000));

    assert!(result.is_err());
    let sent = world.script("a").calls.borrow().len() + world.script("b").calls.borrow().len();
    assert_eq!(sent > 1, again, "sent {sent} times");
}

// An exclusive call is late. A hedge could run it twice, so none is sent. At its deadline the call
// may have run, so it must not be reported as "not run".
#[test]
fn late_exclusive_call_is_not_hedged() {
    let world = World::new(&PAIR);

    let result = world.run(async {
        world.warm_up(200).await;
        world.set_behaviour("a", Behaviour::Hang);
        world.set_behaviour("b", Behaviour::Hang);
        world.relay("hold", 500).await
    });

    assert_eq!(result, Err(Error::TimedOut));
    let calls =
        |name| world.script(name).calls.borrow().iter().filter(|body| *body == "hold").count();
    assert_eq!(calls("a") + calls("b"), 1);
}

// An exclusive call takes longer than its deadline. The caller is told that it is still running and
// asks again later. If the call were dropped at its deadline, the outcome would remain unknown
// although the call succeeds.
#[test]
fn exclusive_reply_is_awaited_beyond_the_deadline() {
    let world = World::new(&[("a", "s0")]);
    world.set_latency("a", 600);

    let result = world.run(world.relay("hold", 500));

    assert!(result.is_ok(), "{result:?}");
    assert_eq!(*world.script("a").calls.borrow(), ["hold"]);
}

// An exclusive call is never answered. The wait must end after the grace period and release the
// slot.
#[test]
fn exclusive_call_without_reply_times_out_after_the_grace_period() {
    let world = World::new(&[("a", "s0")]);
    world.set_behaviour("a", Behaviour::Hang);

    let (result, span) = world.run(async {
        let start = world.clock.now();
        let result = world.relay("hold", 500).await;
        (result, world.clock.now() - start)
    });

    assert_eq!(result, Err(Error::TimedOut));
    assert_eq!(span, std::time::Duration::from_millis(2_500));
    assert_eq!(world.script("a").in_flight.get(), 0);
}

// The connections of a call and its retry stop responding, but new connections work. The targets
// must not be marked down, so the next call is answered.
#[test]
fn silent_connection_does_not_mark_the_target_down() {
    let world = World::new(&PAIR);

    let covered = world.run(async {
        world.warm_up(10).await;
        world.set_behaviour("a", Behaviour::Fail(Error::ConnectionSilent));
        world.set_behaviour("b", Behaviour::Fail(Error::ConnectionSilent));
        let lost = world.group(request(&["s0"], "x")).await.unwrap();
        assert!(lost.covered.is_empty());
        world.set_latency("a", 6);
        world.set_latency("b", 6);
        world.group(request(&["s0"], "y")).await.unwrap().covered
    });

    assert_eq!(covered.len(), 1);
}

#[test]
fn partial_answer_is_returned_when_patience_ends() {
    let world = World::new(&[("a", "s0"), ("b", "s1")]);
    world.set_behaviour("b", Behaviour::Hang);
    let mut request = request(&["s0", "s1"], "q");
    request.patience_ms = 100;

    let (answer, elapsed) = world.run(async {
        let start = world.clock.now();
        let answer = world.group(request).await.unwrap();
        (answer, world.clock.now() - start)
    });

    assert_eq!(elapsed, Duration::from_millis(100));
    assert_eq!(answer.covered, [ShardName::from("s0")]);
    assert_eq!(answer.missing[0].error, Error::TimedOut);
}

// Two calls hang in the only slots, and a third is queued until its deadline. Only the third was
// never sent and may be reported as not run.
#[test]
fn queued_call_expires_as_not_run() {
    let world = World::new(&[("a", "s0")]);
    world.set_behaviour("a", Behaviour::Hang);

    let answers =
        world.run(join_all(["x", "y", "z"].map(|body| world.group(request(&["s0"], body)))));

    let errors: Vec<u16> =
        answers.into_iter().map(|answer| answer.unwrap().missing[0].error.code()).collect();
    assert_eq!(errors, [4005, 4005, 2005]);
}

// The caller cancels while some of its calls run and others are queued. The slots must be released,
// or the replica would stay unusable for all callers.
#[test]
fn cancelled_request_frees_its_slots() {
    let world = World::new(&[("a", "s0")]);

    let answer = world.run(async {
        world.set_behaviour("a", Behaviour::Hang);
        let calls = join_all(["x", "y", "z"].map(|body| world.group(request(&["s0"], body))));
        let deadline = world.clock.now() + Duration::from_millis(50);
        assert!(timeout_at(&world.clock, deadline, calls).await.is_err());
        world.set_latency("a", 6);
        world.group(request(&["s0"], "w")).await.unwrap()
    });

    assert_eq!(answer.covered.len(), 1);
    assert_eq!(world.script("a").in_flight.get(), 0);
}

// An exclusive call is queued behind two that hang, and all three have the same deadline. It is
// reported as expired and not run, so it must not be sent when the slots are released.
#[test]
fn expired_exclusive_call_is_never_sent() {
    let world = World::new(&[("a", "s0")]);
    world.set_behaviour("a", Behaviour::Hang);

    let ((_, _), last) = world.run(async {
        let hanging = join(world.relay("x", 100), world.relay("y", 100));
        let both = join(hanging, world.relay("z", 100)).await;
        world.pause(200).await;
        both
    });

    assert_eq!(last, Err(Error::ExpiredInQueue));
    assert_eq!(*world.script("a").calls.borrow(), ["x", "y"]);
}
