//! Tests of the holder under load and crashes, compared with baseline policies.

mod common;

use std::time::Duration;

use common::{Behaviour, Fixture, request};
use futures_util::future::{join, join_all};
use kumquatnotch_core::{Clock, Error, clock::sleep, document::Class, query::GroupRequest};
use kumquatnotch_holder::Decisions;
use kumquatnotch_policy::{
    containment::NoContainment, hedge::NoHedge, limit::NoLimit, queue::FifoQueue,
    replica::NoWarmup, retry::NaiveRetry,
};

const PAIR: [(&str, &str); 2] = [("a", "s0"), ("b", "s0")];

fn naive() -> Decisions {
    Decisions {
        limit: || Box::new(NoLimit),
        queue: || Box::new(FifoQueue::default()),
        hedge: Box::new(NoHedge),
        retry: Box::new(NaiveRetry),
        containment: Box::new(NoContainment),
        warmup: Box::new(NoWarmup),
        ..Decisions::default()
    }
}

/// Calls to a healthy replica hang, as on a connection that stopped responding. The call is hedged
/// on the other replica, and the hanging call is cancelled.
#[test]
fn late_call_is_hedged_and_the_loser_cancelled() {
    let late = |decisions| {
        let fixture = Fixture::with(&PAIR, decisions);
        let elapsed = fixture.run(async {
            fixture.warm_up(200).await;
            fixture.set_behaviour("a", Behaviour::Hang);
            let start = fixture.clock.now();
            let _ =
                join(fixture.group(request(&["s0"], "x")), fixture.group(request(&["s0"], "y")))
                    .await;
            fixture.clock.now() - start
        });
        (elapsed, fixture.script("a").in_flight.get())
    };

    let (elapsed, in_flight) = late(Decisions::default());
    let (naive, _) = late(Decisions { hedge: Box::new(NoHedge), ..Decisions::default() });

    assert!(elapsed < Duration::from_millis(60), "{elapsed:?}");
    assert_eq!(in_flight, 0);
    assert_eq!(naive, Duration::from_millis(1_000));
}

/// Sends `count` concurrent queries and returns the maximum in flight at the target.
fn max_in_flight(decisions: Decisions, count: usize) -> u32 {
    let fixture = Fixture::with(&[("a", "s0")], decisions);
    fixture.run(async {
        let bodies: Vec<String> = (0..count).map(|index| format!("q{index}")).collect();
        join_all(bodies.iter().map(|body| fixture.group(request(&["s0"], body)))).await
    });
    fixture.script("a").max_in_flight.get()
}

#[test]
fn excess_calls_queue_in_the_holder() {
    assert!(max_in_flight(Decisions::default(), 20) <= 3);
    assert_eq!(max_in_flight(naive(), 20), 20);
}

/// Demand far exceeds capacity. Requests that cannot be answered in time are refused immediately
/// with a retry-after time, and all others are answered.
#[test]
fn overload_is_refused_at_once() {
    let fixture = Fixture::new(&[("a", "s0")]);

    let (refused, served) = fixture.run(async {
        fixture.warm_up(50).await;
        let bodies: Vec<String> = (0..600).map(|index| format!("q{index}")).collect();
        let start = fixture.clock.now();
        let results = join_all(bodies.iter().map(|body| async {
            let result = fixture.group(request(&["s0"], body)).await;
            (result, fixture.clock.now() - start)
        }))
        .await;
        let refused: Vec<_> = results
            .iter()
            .filter(|(result, _)| matches!(result, Err(Error::Overloaded { .. })))
            .map(|(_, elapsed)| *elapsed)
            .collect();
        let served = results
            .iter()
            .filter(|(result, _)| result.as_ref().is_ok_and(|answer| !answer.covered.is_empty()));
        (refused, served.count())
    });

    assert!(refused.len() > 300, "{} refused", refused.len());
    assert!(refused.iter().all(|elapsed| elapsed.is_zero()));
    assert_eq!(served + refused.len(), 600);
}

/// A caller repeats a request that crashes every target that runs it, concurrently with requests of
/// other callers. Only two targets may crash, and the other callers must be answered.
#[test]
fn request_that_crashes_targets_is_contained() {
    let targets = [("a", "s0"), ("b", "s0"), ("c", "s0"), ("d", "s0"), ("e", "s0")];
    let crashes = |decisions| {
        let fixture = Fixture::with(&targets, decisions);
        let last = fixture.run(async {
            fixture.warm_up(20).await;
            fixture.pause(200).await;
            let mut last = None;
            for index in 0..6 {
                let body = format!("innocent {index}");
                let (poison, innocent) = join(
                    fixture.group(request(&["s0"], "poison")),
                    fixture.group(request(&["s0"], &body)),
                )
                .await;
                last = Some((poison, innocent));
            }
            last.unwrap()
        });
        (targets.iter().map(|(name, _)| fixture.script(name).crashes.get()).sum::<u32>(), last)
    };

    let (chosen, (poison, innocent)) = crashes(Decisions::default());
    let (naive, _) = crashes(naive());

    assert_eq!(chosen, 2);
    assert!(matches!(poison, Err(Error::Contained { .. })));
    assert_eq!(innocent.unwrap().covered.len(), 1);
    assert!(naive > 2, "{naive} without containment");
}

#[test]
fn audit_call_runs_after_desk_calls() {
    let fixture = Fixture::new(&[("a", "s0")]);
    let audit = GroupRequest { class: Class::Audit, ..request(&["s0"], "audit") };

    fixture.run(async {
        let desk = async {
            let bodies: Vec<String> = (0..6).map(|index| format!("d{index}")).collect();
            join_all(bodies.iter().map(|body| fixture.group(request(&["s0"], body)))).await;
        };
        let busy = async {
            join_all(["x", "y"].map(|body| fixture.group(request(&["s0"], body)))).await;
        };
        let later = async {
            sleep(&fixture.clock, Duration::from_millis(1)).await;
            let _ = join(fixture.group(audit), desk).await;
        };
        join(busy, later).await;
    });

    assert_eq!(fixture.script("a").calls.borrow().last().map(String::as_str), Some("audit"));
}

/// Forty targets restart at once. While they are down, the holder sends them no calls and only a
/// limited number of concurrent probes. Queries are answered within 1 s of their return.
#[test]
fn mass_restart_causes_no_call_or_probe_storm() {
    let names: Vec<(String, String)> =
        (0..40).map(|index| (format!("t{index}"), format!("s{}", index / 2))).collect();
    let targets: Vec<(&str, &str)> = names.iter().map(|(t, s)| (t.as_str(), s.as_str())).collect();
    let shards: Vec<&str> = targets.iter().step_by(2).map(|(_, shard)| *shard).collect();
    let fixture = Fixture::new(&targets);

    let (refused, calls, back) = fixture.run(async {
        fixture.group(request(&shards, "q")).await.unwrap();
        targets.iter().for_each(|(name, _)| fixture.script(name).up.set(false));
        fixture.group(request(&shards, "x")).await.unwrap();
        let calls = || -> usize {
            targets.iter().map(|(name, _)| fixture.script(name).calls.borrow().len()).sum()
        };
        let before = calls();
        let refused = fixture.group(request(&shards, "y")).await.unwrap().missing.len();
        fixture.pause(2_000).await;
        let during = calls() - before;
        targets.iter().for_each(|(name, _)| fixture.script(name).up.set(true));
        fixture.pause(1_000).await;
        let back = fixture.group(request(&shards, "z")).await.unwrap().covered.len();
        (refused, during, back)
    });

    assert_eq!((refused, calls, back), (20, 0, 20));
    assert!(fixture.scripts.max_probing.get() <= 16);
}
