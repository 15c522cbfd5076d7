//! Requests that crash targets, and what a holder makes of the lost connections.

mod common;

use std::time::Duration;

use common::{Behaviour, World, request};
use futures_util::future::{Either, join, select};
use kumquatnotch_core::{Clock, Error};
use yare::parameterized;

const REPLICAS: [(&str, &str); 5] =
    [("a", "s0"), ("b", "s0"), ("c", "s0"), ("d", "s0"), ("e", "s0")];

/// What the caller sees: a lost connection, and three of five targets serve on.
/// Order: a target crashes; that it is down shows late, so that the call would be
/// due for a copy, or it still answers a probe on its way down. Why: the copy
/// crashed a second one before the request was a suspect; a target that answered
/// had not crashed, and the next one got the request like any other.
#[parameterized(
    found_late = { 40, 0 },
    still_answers = { 0, 1 },
    both = { 40, 1 },
)]
fn crash_is_confirmed_before_a_hedge_or_retry(down_ms: u64, probes_after_crash: u32) {
    let world = World::new(&REPLICAS);

    let answer = world.run(async {
        world.warm_up(300).await;
        world.pause(200).await;
        for (name, _) in REPLICAS {
            world.script(name).down_delay.set(Duration::from_millis(down_ms));
            world.script(name).probes_after_crash.set(probes_after_crash);
        }
        world.group(request(&["s0"], "poison")).await.unwrap()
    });

    let crashes: u32 = REPLICAS.iter().map(|(name, _)| world.script(name).crashes.get()).sum();
    assert_eq!(crashes, 2);
    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
}

/// What the root sees: a lost connection, well before its patience ends.
/// Order: the request crashes a target; the other one of the shard is busy for
/// long, so that the suspect can't run alone there. Why: told nothing, the root took
/// the shard for slow and sent the request to all others, which crashed too.
#[test]
fn suspect_without_an_idle_replica_fails_before_the_deadline() {
    let world = World::new(&[("a", "s0"), ("b", "s0")]);

    let (answer, took) = world.run(async {
        world.warm_up(1).await;
        let start = world.clock.now();
        let (busy, again) = (request(&["s0"], "busy"), request(&["s0"], "again"));
        world.set_behaviour("a", Behaviour::Hang);
        world.set_behaviour("b", Behaviour::Hang);
        let poison = async {
            world.pause(1).await;
            let answer = world.group(request(&["s0"], "poison")).await.unwrap();
            (answer, world.clock.now() - start)
        };
        let others = join(world.group(busy), world.group(again));
        match select(Box::pin(poison), Box::pin(others)).await {
            Either::Left((told, _)) => told,
            Either::Right(_) => panic!("the others hang for longer"),
        }
    });

    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
    assert!(took < Duration::from_millis(250), "{took:?}");
}

/// What the root sees: a lost connection, not a shard without a target.
/// Order: the request crashes the only target of its shard; nobody is left for
/// another try. Why: the refusal of that try hid that the request had run, and
/// the root went on to crash the targets of the other shards.
#[test]
fn executed_request_fails_with_connection_lost_not_no_target() {
    let world = World::new(&[("a", "s0")]);

    let answer = world.run(async {
        world.warm_up(1).await;
        world.group(request(&["s0"], "poison")).await.unwrap()
    });

    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
}
