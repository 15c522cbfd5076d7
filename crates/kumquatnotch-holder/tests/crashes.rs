//! Tests of requests that crash targets, and of the checks after lost connections.

mod common;

use std::time::Duration;

use common::{Behaviour, Fixture, request};
use futures_util::future::{Either, join, select};
use kumquatnotch_core::{Clock, Error};
use yare::parameterized;

const REPLICAS: [(&str, &str); 5] =
    [("a", "s0"), ("b", "s0"), ("c", "s0"), ("d", "s0"), ("e", "s0")];

/// A request crashes a target. Either the probe of the crash check fails late, so that the call is
/// due for a hedge meanwhile, or the crashing target still answers a probe. In both cases the
/// request must become a suspect before it reaches another target; otherwise it would crash more
/// than two of the five. The caller sees a lost connection.
#[parameterized(
    found_late = { 40, 0 },
    still_answers = { 0, 1 },
    both = { 40, 1 },
)]
fn crash_is_confirmed_before_a_hedge_or_retry(down_ms: u64, probes_after_crash: u32) {
    let fixture = Fixture::new(&REPLICAS);

    let answer = fixture.run(async {
        fixture.warm_up(300).await;
        fixture.pause(200).await;
        for (name, _) in REPLICAS {
            fixture.script(name).down_delay.set(Duration::from_millis(down_ms));
            fixture.script(name).probes_after_crash.set(probes_after_crash);
        }
        fixture.group(request(&["s0"], "poison")).await.unwrap()
    });

    let crashes: u32 = REPLICAS.iter().map(|(name, _)| fixture.script(name).crashes.get()).sum();
    assert_eq!(crashes, 2);
    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
}

/// A request crashes a target, and the other replica of the shard stays busy, so the suspect cannot
/// run alone there. The root must get the lost connection well before partial answers are due.
/// Otherwise it treats the shard as slow and sends the request to all other shards, whose targets
/// crash too.
#[test]
fn suspect_without_an_idle_replica_fails_before_the_deadline() {
    let fixture = Fixture::new(&[("a", "s0"), ("b", "s0")]);

    let (answer, elapsed) = fixture.run(async {
        fixture.warm_up(1).await;
        let start = fixture.clock.now();
        let (busy, second) = (request(&["s0"], "busy"), request(&["s0"], "again"));
        fixture.set_behaviour("a", Behaviour::Hang);
        fixture.set_behaviour("b", Behaviour::Hang);
        let poison = async {
            fixture.pause(1).await;
            let answer = fixture.group(request(&["s0"], "poison")).await.unwrap();
            (answer, fixture.clock.now() - start)
        };
        let others = join(fixture.group(busy), fixture.group(second));
        match select(Box::pin(poison), Box::pin(others)).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => panic!("the hanging calls ended before the suspect"),
        }
    });

    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
    assert!(elapsed < Duration::from_millis(250), "{elapsed:?}");
}

/// A request crashes the only target of its shard, so the retry fails for lack of a target. The
/// root must get the lost connection of the first attempt. The refusal of the retry would hide that
/// the request has run, and the root would send it to the other shards and crash their targets.
#[test]
fn executed_request_fails_with_connection_lost_not_no_target() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let answer = fixture.run(async {
        fixture.warm_up(1).await;
        fixture.group(request(&["s0"], "poison")).await.unwrap()
    });

    assert_eq!(answer.missing[0].error, Error::ConnectionLost);
}
