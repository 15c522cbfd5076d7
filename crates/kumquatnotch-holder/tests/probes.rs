//! Tests of the probe schedule and of the handling of probe results.

mod common;

use std::time::Duration;

use common::{Behaviour, Fixture, document, request};
use futures_util::future::join;
use kumquatnotch_core::{
    Clock, Error,
    clock::timeout_at,
    ids::{IndexVersion, ShardName, TargetName},
    marks::{Mark, MarkKind},
    peer::{PeerHandler, PeerMessage},
};

const PAIR: [(&str, &str); 2] = [("a", "s0"), ("b", "s1")];

/// Queries the shard "s0" every 100 ms for `seconds`.
async fn query_repeatedly(fixture: &Fixture, seconds: usize) {
    for index in 0..seconds * 10 {
        fixture.group(request(&["s0"], &format!("q{index}"))).await.unwrap();
        fixture.pause(94).await;
    }
}

/// The shards of both targets are requested, but only the first target answers calls throughout.
/// Its answers already show that it is alive, and probes of 1,600 targets take a whole core, so it
/// is probed less often. The idle target is still probed every second.
#[test]
fn target_that_answers_calls_is_probed_less() {
    let fixture = Fixture::new(&PAIR);

    let (busy, idle) = fixture.run(async {
        fixture.group(request(&["s0", "s1"], "first")).await.unwrap();
        query_repeatedly(&fixture, 30).await;
        (fixture.script("a").probes.get(), fixture.script("b").probes.get())
    });

    assert!((7..=15).contains(&busy), "{busy} probes of the target that answers");
    assert!((24..=40).contains(&idle), "{idle} probes of the idle target");
}

/// A target publishes a version while it answers calls of the previous one. Roots learn of the new
/// version only through probes, so these must not be deferred for too long.
#[test]
fn new_version_is_discovered_while_calls_are_answered() {
    let fixture = Fixture::new(&PAIR);
    let newer = IndexVersion(8);

    let seen = fixture.run(async {
        query_repeatedly(&fixture, 5).await;
        let start = fixture.clock.now();
        fixture.script("a").version.set(newer);
        loop {
            // For a while the target serves the previous version as well as the new one.
            let result = fixture.group(request(&["s0"], "q")).await.unwrap();
            let reported = result.held.iter().flat_map(|shard| &shard.versions);
            if reported.into_iter().any(|held| held.version == newer) {
                break fixture.clock.now() - start;
            }
            fixture.pause(100).await;
        }
    });

    assert!(seen < Duration::from_millis(3_500), "{seen:?}");
}

/// A shard gets no requests for minutes and then one again. Its targets must not be probed once the
/// idle timeout has passed, and must be probed again after the new request.
#[test]
fn targets_of_idle_shards_are_not_probed() {
    let fixture = Fixture::new(&PAIR);

    let (pause, after) = fixture.run(async {
        fixture.group(request(&["s0"], "q")).await.unwrap();
        fixture.pause(70_000).await;
        let probes = || fixture.script("a").probes.get();
        let before = probes();
        fixture.pause(100_000).await;
        let pause = probes() - before;
        fixture.group(request(&["s0"], "again")).await.unwrap();
        let before = probes();
        fixture.pause(10_000).await;
        (pause, probes() - before)
    });

    assert_eq!((pause, fixture.script("b").probes.get()), (0, 0));
    assert!((6..=18).contains(&after), "{after} probes");
}

/// A root cancels its request while the holder probes a target for its versions, so the probe is
/// dropped midway. The target must not stay marked as being probed, or no later change of it would
/// be noticed.
#[test]
fn dropped_probe_is_rescheduled() {
    let fixture = Fixture::new(&PAIR);

    let probes = fixture.run(async {
        let now = fixture.clock.now();
        let shards = vec![ShardName::from("s0")];
        let request_versions = fixture.holder.handle(PeerMessage::Versions(shards));
        let cancelled =
            timeout_at(&fixture.clock, now + Duration::from_micros(500), request_versions).await;
        assert!(cancelled.is_err());
        fixture.pause(5_000).await;
        fixture.script("a").probes.get()
    });

    assert!(probes >= 3, "{probes} probes");
}

/// Another node marks a target as draining, the document changes, and the mark expires. The target
/// must get no work until the mark expires, and must be used again afterwards.
#[test]
fn draining_mark_survives_a_document_change_and_expires() {
    let fixture = Fixture::new(&[("a", "s0")]);
    let target = TargetName::from("a");

    let (marked, renewed, ended) = fixture.run(async {
        let covered = async || fixture.group(request(&["s0"], "q")).await.unwrap().covered.len();
        fixture.group(request(&["s0"], "q")).await.unwrap();
        let mark = Mark { kind: MarkKind::Draining(target), left_ms: 10_000 };
        fixture.marks.0.borrow_mut().push(mark);
        fixture.pause(60).await;
        let marked = covered().await;
        let mut moved = document(&[("a", "s0")]);
        moved.targets.values_mut().for_each(|spec| spec.address.set_port(10));
        *fixture.documents.0.borrow_mut() = std::rc::Rc::new(moved);
        fixture.pause(60).await;
        let renewed = covered().await;
        fixture.marks.0.borrow_mut().clear();
        fixture.pause(60).await;
        (marked, renewed, covered().await)
    });

    assert_eq!((marked, renewed, ended), (0, 0, 1));
}

/// The holder is busy: each iteration of its loop takes 150 ms, and a probe takes five of them. The
/// target answers immediately, but the holder reads the answer late. If it counted its own delay,
/// two probes in a row would time out, and callers would get "no target can take the request now"
/// for a healthy target.
#[test]
fn holder_delay_does_not_fail_probes() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let answer = fixture.run(async {
        fixture.group(request(&["s0"], "first")).await.unwrap();
        fixture.script("a").extra_probe_steps.set(4);
        for _ in 0..100 {
            fixture.pause(1).await;
            fixture.clock.advance(Duration::from_millis(149));
        }
        fixture.group(request(&["s0"], "q")).await.unwrap()
    });

    assert_eq!(answer.covered.len(), 1, "{:?}", answer.missing);
    assert!(fixture.script("a").probes.get() >= 4);
}

/// The status endpoint of a target hangs, but the target answers calls. It must not be marked down,
/// as it is the only replica of its shard.
#[test]
fn target_that_answers_calls_stays_up_without_probes() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let missing = fixture.run(async {
        fixture.group(request(&["s0"], "first")).await.unwrap();
        fixture.script("a").extra_probe_steps.set(10_000);
        let mut missing = 0;
        for index in 0..80 {
            let answer = fixture.group(request(&["s0"], &format!("q{index}"))).await.unwrap();
            missing += answer.missing.len();
            fixture.pause(94).await;
        }
        missing
    });

    assert_eq!(missing, 0);
}

/// All calls to the target and all probes of it hang while the holder is late at times. The holder
/// must still detect within a few seconds that the target is down.
#[test]
fn unresponsive_target_is_detected_despite_holder_delays() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let error = fixture.run(async {
        fixture.group(request(&["s0"], "first")).await.unwrap();
        fixture.script("a").extra_probe_steps.set(100_000);
        fixture.set_behaviour("a", Behaviour::Hang);
        for _ in 0..30 {
            fixture.pause(100).await;
            fixture.clock.advance(Duration::from_millis(100));
        }
        fixture.group(request(&["s0"], "q")).await.unwrap().missing[0].error.clone()
    });

    assert_eq!(error, Error::NoTarget);
}

/// Connections to healthy targets are lost while the holder is busy, so the crash checks exceed the
/// probe timeout. They must not count as crashes, or the request would be contained and its caller
/// refused for minutes.
#[test]
fn holder_delay_is_not_mistaken_for_a_crash() {
    let fixture = Fixture::new(&[("a", "s0"), ("b", "s0")]);

    let answer = fixture.run(async {
        fixture.warm_up(10).await;
        for name in ["a", "b"] {
            fixture.script(name).extra_probe_steps.set(4);
            fixture.set_behaviour(name, Behaviour::Fail(Error::ConnectionLost));
        }
        let busy = async {
            for _ in 0..400 {
                fixture.pause(1).await;
                fixture.clock.advance(Duration::from_millis(149));
            }
        };
        let queries = async {
            for _ in 0..4 {
                let _ = fixture.group(request(&["s0"], "same")).await;
                fixture.pause(500).await;
            }
            for name in ["a", "b"] {
                fixture.script(name).extra_probe_steps.set(0);
                fixture.set_latency(name, 6);
            }
        };
        join(busy, queries).await;
        fixture.group(request(&["s0"], "same")).await
    });

    assert_eq!(answer.map(|answer| answer.covered.len()), Ok(1));
}
