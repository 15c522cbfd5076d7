//! Tests of the holder over scripted targets.

mod common;

use std::time::Duration;

use common::{Behaviour, Fixture, VERSION, document, request};
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
    let fixture = Fixture::new(&[("a", "s0"), ("b", "s1")]);
    let now = Duration::from_millis(1);
    fixture.set_behaviour(
        "a",
        Behaviour::Answer(now, vec![hit("k2", 0.5, "siam"), hit("k1", 0.9, "siam")]),
    );
    fixture.set_behaviour(
        "b",
        Behaviour::Answer(now, vec![hit("k1", 0.9, "siam"), hit("k0", 0.5, "siam")]),
    );

    let answer = fixture.run(fixture.group(request(&["s0", "s1"], "q"))).unwrap();

    let keys: Vec<&str> = answer.hits.iter().map(|hit| hit.key.as_str()).collect();
    assert_eq!(keys, ["k1", "k0", "k2"]);
    assert_eq!(answer.covered.len(), 2);
}

/// Hits and error texts of targets contain private data of several tenants. A caller must get its
/// own private fields and none of other tenants, even if a target fails.
#[test]
fn private_fields_are_returned_only_to_their_owner() {
    let fixture = Fixture::new(&[("a", "s0"), ("b", "s1")]);
    let hits = vec![hit("own", 0.9, "siam"), hit("rival", 0.8, "barid")];
    fixture.set_behaviour("a", Behaviour::Answer(Duration::from_millis(1), hits));
    let secret = Error::TargetFailed { detail: "rate 40 of barid".to_owned() };
    fixture.set_behaviour("b", Behaviour::Fail(secret));

    let answer = fixture.run(fixture.group(request(&["s0", "s1"], "q"))).unwrap();

    assert!(answer.hits[0].private.is_some());
    assert!(answer.hits[1].private.is_none());
    assert_eq!(answer.missing[0].error.code(), 4007);
    assert!(!answer.missing[0].error.to_string().contains("40"));
}

#[test]
fn versions_are_read_from_the_targets() {
    let fixture = Fixture::new(&PAIR);

    let shards = vec![ShardName::from("s0")];
    let reply = fixture.run(fixture.holder.handle(PeerMessage::Versions(shards))).unwrap();

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

/// After a repartition the next version has shards of other names. If the holder reported only held
/// shards with the declared name, no root would see the new layout, and every search would find no
/// snapshot.
#[test]
fn resharded_versions_are_reported_under_the_declared_shard() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.script("a").extra_held.borrow_mut().push(resharded(VERSION.0 + 1));

    let (polled, answered) = fixture.run(async {
        let versions = PeerMessage::Versions(vec![ShardName::from("s0")]);
        let polled = fixture.holder.handle(versions).await.unwrap();
        let request =
            GroupRequest { version: IndexVersion(VERSION.0 + 1), ..request(&["r0"], "moved") };
        fixture.script("a").version.set(IndexVersion(VERSION.0 + 1));
        (polled, fixture.group(request).await.unwrap())
    });

    let PeerReply::Versions(polled) = polled else { panic!("{polled:?}") };
    assert!(polled[0].versions.contains(&resharded(VERSION.0 + 1)), "{polled:?}");
    assert_eq!(answered.held[0].shard, ShardName::from("s0"));
    assert!(answered.held[0].versions.contains(&resharded(VERSION.0 + 1)));
}

/// The targets of a shard drain after a repartition. If they were left out, a node that starts then
/// would not learn the layout of the version, and would list the declared shard as missing from a
/// version that it does not belong to.
#[test]
fn draining_targets_still_report_their_versions() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.script("a").phase.set(Phase::Draining);

    let polled = fixture.run(async {
        let versions = PeerMessage::Versions(vec![ShardName::from("s0")]);
        fixture.holder.handle(versions.clone()).await.unwrap();
        fixture.holder.handle(versions).await.unwrap()
    });

    let PeerReply::Versions(polled) = polled else { panic!("{polled:?}") };
    assert_eq!(polled[0].versions.len(), 1);
}

#[test]
fn version_without_a_replica_is_reported_gone() {
    let fixture = Fixture::new(&PAIR);
    let gone = GroupRequest { version: IndexVersion(6), ..request(&["s0"], "q") };

    let answer = fixture.run(async {
        fixture.warm_up(1).await;
        fixture.pause(50).await;
        fixture.group(gone).await.unwrap()
    });

    assert_eq!(answer.missing[0].error, Error::VersionGone { version: 6 });
    assert_eq!(answer.held[0].versions[0].version, VERSION);
}

/// The index of a replica is replaced between probe and call, so it answers from a newer snapshot
/// than requested. Its hits must not be mixed with those of other shards.
#[test]
fn reply_of_another_version_is_rejected() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let answer = fixture.run(async {
        fixture.script("a").version.set(IndexVersion(8));
        fixture.group(request(&["s0"], "q")).await.unwrap()
    });

    assert!(answer.covered.is_empty());
}

/// A holder learns that a target drains from its refusal of a call, a probe, the mark of another
/// node, or the document. From then on it must get no new calls, and no query may fail.
#[parameterized(
    refusal = { |fixture| fixture.set_behaviour("a", Behaviour::Fail(Error::Draining)) },
    probe = { |fixture| fixture.script("a").phase.set(Phase::Draining) },
    mark = { |fixture| {
        let kind = MarkKind::Draining(TargetName::from("a"));
        fixture.marks.0.borrow_mut().push(Mark { kind, left_ms: 10_000 });
    } },
    configured = { |fixture| {
        let mut document = document(&PAIR);
        document.targets.get_mut("a").unwrap().drain = true;
        *fixture.documents.0.borrow_mut() = std::rc::Rc::new(document);
    } },
)]
fn draining_target_gets_no_new_work(drain: fn(&Fixture)) {
    let fixture = Fixture::new(&PAIR);

    let before = fixture.run(async {
        fixture.warm_up(10).await;
        drain(&fixture);
        fixture.pause(2_000).await;
        fixture.warm_up(10).await;
        let before = fixture.script("a").calls.borrow().len();
        fixture.warm_up(20).await;
        before
    });

    assert_eq!(fixture.script("a").calls.borrow().len(), before);
}

/// Guards against new work for a target seconds after it has begun to drain. A document adds it
/// only then, so that no holder has learned of the drain before.
#[test]
fn added_target_that_drains_gets_no_work() {
    let fixture = Fixture::new(&PAIR);
    *fixture.documents.0.borrow_mut() = std::rc::Rc::new(document(&PAIR[1..]));

    fixture.run(async {
        fixture.warm_up(10).await;
        fixture.set_behaviour("a", Behaviour::Fail(Error::Draining));
        fixture.script("a").phase.set(Phase::Draining);
        *fixture.documents.0.borrow_mut() = std::rc::Rc::new(document(&PAIR));
        fixture.warm_up(20).await;
        fixture.pause(2_000).await;
        fixture.warm_up(20).await;
    });

    assert_eq!(fixture.script("a").calls.borrow().len(), 0);
    assert!(fixture.script("b").calls.borrow().len() >= 50);
}

#[test]
fn lost_replica_does_not_reduce_coverage() {
    let fixture = Fixture::new(&PAIR);

    fixture.run(async {
        fixture.warm_up(10).await;
        fixture.script("a").up.set(false);
        fixture.warm_up(10).await;
    });

    assert!(fixture.script("b").calls.borrow().len() >= 10);
}

/// An exclusive call fails after it was sent. Unless the error proves that it has not run, a retry
/// could run it twice, for example hold a room twice.
#[parameterized(
    lost = { Error::ConnectionLost, false },
    silent = { Error::ConnectionSilent, false },
    failed = { Error::TargetFailed { detail: String::new() }, false },
    shed = { Error::Shed { retry_ms: 5 }, true },
    draining = { Error::Draining, true },
    refused = { Error::ConnectFailed, true },
)]
fn exclusive_call_is_retried_only_if_it_has_not_run(error: Error, again: bool) {
    let fixture = Fixture::new(&PAIR);
    fixture.set_behaviour("a", Behaviour::Fail(error.clone()));
    fixture.set_behaviour("b", Behaviour::Fail(error));

    let result = fixture.run(fixture.relay("hold", 1_000));

    assert!(result.is_err());
    let sent = fixture.script("a").calls.borrow().len() + fixture.script("b").calls.borrow().len();
    assert_eq!(sent > 1, again, "sent {sent} times");
}

/// An exclusive call is late. A hedge could run it twice, so none is sent. At its deadline the call
/// may have run, so it must not be reported as "not run".
#[test]
fn late_exclusive_call_is_not_hedged() {
    let fixture = Fixture::new(&PAIR);

    let result = fixture.run(async {
        fixture.warm_up(200).await;
        fixture.set_behaviour("a", Behaviour::Hang);
        fixture.set_behaviour("b", Behaviour::Hang);
        fixture.relay("hold", 500).await
    });

    assert_eq!(result, Err(Error::TimedOut));
    let calls =
        |name| fixture.script(name).calls.borrow().iter().filter(|body| *body == "hold").count();
    assert_eq!(calls("a") + calls("b"), 1);
}

/// An exclusive call takes longer than its deadline. The caller gets "still running" and retries
/// later. If the call were dropped at its deadline, the outcome would remain unknown although the
/// call succeeds.
#[test]
fn exclusive_reply_is_awaited_beyond_the_deadline() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.set_latency("a", 600);

    let result = fixture.run(fixture.relay("hold", 500));

    assert!(result.is_ok(), "{result:?}");
    assert_eq!(*fixture.script("a").calls.borrow(), ["hold"]);
}

/// An exclusive call is never answered. The wait must end after the grace period and release the
/// slot.
#[test]
fn exclusive_call_without_reply_times_out_after_the_grace_period() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.set_behaviour("a", Behaviour::Hang);

    let (result, span) = fixture.run(async {
        let start = fixture.clock.now();
        let result = fixture.relay("hold", 500).await;
        (result, fixture.clock.now() - start)
    });

    assert_eq!(result, Err(Error::TimedOut));
    assert_eq!(span, std::time::Duration::from_millis(2_500));
    assert_eq!(fixture.script("a").in_flight.get(), 0);
}

/// The connections of a call and its retry stop responding, but new connections work. The targets
/// must not be marked down, so the next call is answered.
#[test]
fn silent_connection_does_not_mark_the_target_down() {
    let fixture = Fixture::new(&PAIR);

    let covered = fixture.run(async {
        fixture.warm_up(10).await;
        fixture.set_behaviour("a", Behaviour::Fail(Error::ConnectionSilent));
        fixture.set_behaviour("b", Behaviour::Fail(Error::ConnectionSilent));
        let lost = fixture.group(request(&["s0"], "x")).await.unwrap();
        assert!(lost.covered.is_empty());
        fixture.set_latency("a", 6);
        fixture.set_latency("b", 6);
        fixture.group(request(&["s0"], "y")).await.unwrap().covered
    });

    assert_eq!(covered.len(), 1);
}

#[test]
fn partial_answer_is_returned_at_its_deadline() {
    let fixture = Fixture::new(&[("a", "s0"), ("b", "s1")]);
    fixture.set_behaviour("b", Behaviour::Hang);
    let mut request = request(&["s0", "s1"], "q");
    request.patience_ms = 100;

    let (answer, elapsed) = fixture.run(async {
        let start = fixture.clock.now();
        let answer = fixture.group(request).await.unwrap();
        (answer, fixture.clock.now() - start)
    });

    assert_eq!(elapsed, Duration::from_millis(100));
    assert_eq!(answer.covered, [ShardName::from("s0")]);
    assert_eq!(answer.missing[0].error, Error::TimedOut);
}

/// Two calls hang in the only slots, and a third is queued until its deadline. Only the third was
/// never sent and may be reported as not run.
#[test]
fn queued_call_expires_as_not_run() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.set_behaviour("a", Behaviour::Hang);

    let answers =
        fixture.run(join_all(["x", "y", "z"].map(|body| fixture.group(request(&["s0"], body)))));

    let errors: Vec<u16> =
        answers.into_iter().map(|answer| answer.unwrap().missing[0].error.code()).collect();
    assert_eq!(errors, [4005, 4005, 2005]);
}

/// The caller cancels while some of its calls run and others are queued. The slots must be
/// released, or the replica would stay unusable for all callers.
#[test]
fn cancelled_request_frees_its_slots() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let answer = fixture.run(async {
        fixture.set_behaviour("a", Behaviour::Hang);
        let calls = join_all(["x", "y", "z"].map(|body| fixture.group(request(&["s0"], body))));
        let deadline = fixture.clock.now() + Duration::from_millis(50);
        assert!(timeout_at(&fixture.clock, deadline, calls).await.is_err());
        fixture.set_latency("a", 6);
        fixture.group(request(&["s0"], "w")).await.unwrap()
    });

    assert_eq!(answer.covered.len(), 1);
    assert_eq!(fixture.script("a").in_flight.get(), 0);
}

/// An exclusive call is queued behind two that hang, and all three have the same deadline. It is
/// reported as expired and not run, so it must not be sent when the slots are released.
#[test]
fn expired_exclusive_call_is_never_sent() {
    let fixture = Fixture::new(&[("a", "s0")]);
    fixture.set_behaviour("a", Behaviour::Hang);

    let ((_, _), last) = fixture.run(async {
        let hanging = join(fixture.relay("x", 100), fixture.relay("y", 100));
        let both = join(hanging, fixture.relay("z", 100)).await;
        fixture.pause(200).await;
        both
    });

    assert_eq!(last, Err(Error::ExpiredInQueue));
    assert_eq!(*fixture.script("a").calls.borrow(), ["x", "y"]);
}
