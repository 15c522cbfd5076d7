//! Tests of when targets are probed, and of what a probe's end is taken for.

mod common;

use std::time::Duration;

use common::{Behaviour, World, document, request};
use futures_util::future::join;
use kumquatnotch_core::{
    Clock, Error,
    clock::timeout_at,
    ids::{IndexVersion, ShardName, TargetName},
    marks::{Mark, MarkKind},
    peer::{PeerHandler, PeerMessage},
};

const PAIR: [(&str, &str); 2] = [("a", "s0"), ("b", "s1")];

/// Asks "s0" every 100 ms for `seconds`.
async fn query_repeatedly(world: &World, seconds: usize) {
    for index in 0..seconds * 10 {
        world.group(request(&["s0"], &format!("q{index}"))).await.unwrap();
        world.pause(94).await;
    }
}

// Both targets are asked for; one answers calls all the time, the other none.
// A probe tells nothing of the life of the first that its answers don't, and at
// 1,600 targets probes cost a core. The second is probed each second as before.
#[test]
fn target_that_answers_calls_is_probed_less() {
    let world = World::new(&PAIR);

    let (busy, idle) = world.run(async {
        world.group(request(&["s0", "s1"], "first")).await.unwrap();
        query_repeatedly(&world, 30).await;
        (world.script("a").probes.get(), world.script("b").probes.get())
    });

    assert!((7..=15).contains(&busy), "{busy} probes of the target that answers");
    assert!((24..=40).contains(&idle), "{idle} probes of the idle target");
}

// Targets publish a version while they answer calls of the one before. Roots
// hear of it only through probes, so these must not be put off for long.
#[test]
fn new_version_is_discovered_while_calls_are_answered() {
    let world = World::new(&PAIR);
    let newer = IndexVersion(8);

    let seen = world.run(async {
        query_repeatedly(&world, 5).await;
        let start = world.clock.now();
        world.script("a").version.set(newer);
        loop {
            // It serves the version before for a while beside the newer one.
            let result = world.group(request(&["s0"], "q")).await.unwrap();
            let told = result.held.iter().flat_map(|shard| &shard.versions);
            if told.into_iter().any(|held| held.version == newer) {
                break world.clock.now() - start;
            }
            world.pause(100).await;
        }
    });

    assert!(seen < Duration::from_millis(3_500), "{seen:?}");
}

// A shard is asked for, then not for minutes, then again. Its targets are left
// alone in between and probed again afterwards.
#[test]
fn targets_of_idle_shards_are_not_probed() {
    let world = World::new(&PAIR);

    let (pause, after) = world.run(async {
        world.group(request(&["s0"], "q")).await.unwrap();
        world.pause(70_000).await;
        let probes = || world.script("a").probes.get();
        let before = probes();
        world.pause(100_000).await;
        let pause = probes() - before;
        world.group(request(&["s0"], "again")).await.unwrap();
        let before = probes();
        world.pause(10_000).await;
        (pause, probes() - before)
    });

    assert_eq!((pause, world.script("b").probes.get()), (0, 0));
    assert!((6..=18).contains(&after), "{after} probes");
}

// A root gives up while a holder asks a target for its versions, so the probe
// is dropped in the middle. The target counted as being probed for ever, and
// nothing that it did later was noticed.
#[test]
fn dropped_probe_is_rescheduled() {
    let world = World::new(&PAIR);

    let probes = world.run(async {
        let now = world.clock.now();
        let shards = vec![ShardName::from("s0")];
        let asking = world.holder.handle(PeerMessage::Versions(shards));
        let cut = timeout_at(&world.clock, now + Duration::from_micros(500), asking).await;
        assert!(cut.is_err());
        world.pause(5_000).await;
        world.script("a").probes.get()
    });

    assert!(probes >= 3, "{probes} probes");
}

// Another node marks a target as draining, the document changes, and the mark
// expires. The target takes no work just as long as the mark lasts.
#[test]
fn draining_mark_survives_a_document_change_and_expires() {
    let world = World::new(&[("a", "s0")]);
    let target = TargetName::from("a");

    let (marked, renewed, ended) = world.run(async {
        let covered = async || world.group(request(&["s0"], "q")).await.unwrap().covered.len();
        world.group(request(&["s0"], "q")).await.unwrap();
        let mark = Mark { kind: MarkKind::Draining(target), left_ms: 10_000 };
        world.marks.0.borrow_mut().push(mark);
        world.pause(60).await;
        let marked = covered().await;
        let mut moved = document(&[("a", "s0")]);
        moved.targets.values_mut().for_each(|spec| spec.address.set_port(10));
        *world.documents.0.borrow_mut() = std::rc::Rc::new(moved);
        world.pause(60).await;
        let renewed = covered().await;
        world.marks.0.borrow_mut().clear();
        world.pause(60).await;
        (marked, renewed, covered().await)
    });

    assert_eq!((marked, renewed, ended), (0, 0, 1));
}

// What the caller sees: "no target can take the request now" for a target that
// is well. Order: the holder is busy, each turn of its loop takes 150 ms, and a
// probe takes five turns. Why: the target answered at once, but the holder took
// the time in which it read nothing for silence, twice in a row.
#[test]
fn holder_delay_does_not_fail_probes() {
    let world = World::new(&[("a", "s0")]);

    let answer = world.run(async {
        world.group(request(&["s0"], "first")).await.unwrap();
        world.script("a").extra_probe_steps.set(4);
        for _ in 0..100 {
            world.pause(1).await;
            world.clock.advance(Duration::from_millis(149));
        }
        world.group(request(&["s0"], "q")).await.unwrap()
    });

    assert_eq!(answer.covered.len(), 1, "{:?}", answer.missing);
    assert!(world.script("a").probes.get() >= 4);
}

// The status page of a target hangs, but it answers calls. It is not silent, and
// the only replica of its shard has to go on serving.
#[test]
fn target_that_answers_calls_stays_up_without_probes() {
    let world = World::new(&[("a", "s0")]);

    let missing = world.run(async {
        world.group(request(&["s0"], "first")).await.unwrap();
        world.script("a").extra_probe_steps.set(10_000);
        let mut missing = 0;
        for index in 0..80 {
            let answer = world.group(request(&["s0"], &format!("q{index}"))).await.unwrap();
            missing += answer.missing.len();
            world.pause(94).await;
        }
        missing
    });

    assert_eq!(missing, 0);
}

// The holder is late now and then, and the target is silent in truth: calls and
// probes hang. It has to be found out all the same, within a few seconds.
#[test]
fn unresponsive_target_is_detected_despite_holder_delays() {
    let world = World::new(&[("a", "s0")]);

    let error = world.run(async {
        world.group(request(&["s0"], "first")).await.unwrap();
        world.script("a").extra_probe_steps.set(100_000);
        world.set_behaviour("a", Behaviour::Hang);
        for _ in 0..30 {
            world.pause(100).await;
            world.clock.advance(Duration::from_millis(100));
        }
        world.group(request(&["s0"], "q")).await.unwrap().missing[0].error.clone()
    });

    assert_eq!(error, Error::NoTarget);
}

// Connections to a target that is well are lost while the holder is busy, so the
// check whether it crashed takes long by the clock. What the caller sees: its
// request is taken for one that crashes targets and is refused for minutes.
#[test]
fn holder_delay_is_not_mistaken_for_a_crash() {
    let world = World::new(&[("a", "s0"), ("b", "s0")]);

    let answer = world.run(async {
        world.warm_up(10).await;
        for name in ["a", "b"] {
            world.script(name).extra_probe_steps.set(4);
            world.set_behaviour(name, Behaviour::Fail(Error::ConnectionLost));
        }
        let busy = async {
            for _ in 0..400 {
                world.pause(1).await;
                world.clock.advance(Duration::from_millis(149));
            }
        };
        let asked = async {
            for _ in 0..4 {
                let _ = world.group(request(&["s0"], "same")).await;
                world.pause(500).await;
            }
            for name in ["a", "b"] {
                world.script(name).extra_probe_steps.set(0);
                world.set_latency(name, 6);
            }
        };
        join(busy, asked).await;
        world.group(request(&["s0"], "same")).await
    });

    assert_eq!(answer.map(|answer| answer.covered.len()), Ok(1));
}
