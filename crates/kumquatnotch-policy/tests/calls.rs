//! Tests of the decisions about single calls: replica selection, hedges, retries, containment.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    Error,
    ids::{Fingerprint, ShardName},
    random::Random,
    target::{Phase, TargetStatus},
};
use kumquatnotch_policy::{
    choice::{CallProfile, Candidate, Choice, LeastTime, Pick, ReportedLoad, RoundRobin},
    containment::{Containment, NoContainment, Running, StrikeContainment, Verdict},
    hedge::{FixedHedge, Hedge, QuantileHedge},
    replica::{Fitness, GradualWarmup, NoWarmup, Replica, WARM_ANSWERS, Warmup},
    retry::{Attempt, BudgetRetry, NaiveRetry, Retry},
};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

fn candidate(in_flight: u32, latency_ms: u32) -> Candidate {
    Candidate {
        in_flight,
        slots: 2,
        latency: Some(latency_ms * MS),
        delay: MS / 2,
        reported: in_flight,
        idle: Duration::ZERO,
        warming: false,
    }
}

/// Fraction of a thousand calls that goes to the second candidate.
fn share_of_second(choice: &dyn Choice, candidates: &[Candidate]) -> f64 {
    let random = Random::with_seed(1);
    let picks = (0..1_000).map(|_| choice.pick(candidates, CallProfile::default(), &random));
    picks.filter(|pick| *pick == Pick::Take(1)).count() as f64 / 1e3
}

#[test]
fn straggler_gets_no_calls() {
    let candidates = [candidate(1, 6), candidate(0, 60)];

    assert_eq!(share_of_second(&LeastTime, &candidates), 0.0);
    assert_eq!(share_of_second(&RoundRobin::default(), &candidates), 0.5);
}

#[test]
fn call_waits_for_the_quick_replica_rather_than_take_the_straggler() {
    let candidates = [candidate(2, 6), candidate(0, 60)];
    let random = Random::with_seed(1);

    assert_eq!(LeastTime.pick(&candidates, CallProfile::default(), &random), Pick::Wait);
    assert_eq!(
        RoundRobin::default().pick(&candidates, CallProfile::default(), &random),
        Pick::Take(1)
    );
}

#[test]
fn deep_queue_uses_the_straggler_too() {
    let candidates = [candidate(2, 6), candidate(0, 60)];
    let profile = CallProfile { ahead: 30, urgent: true };

    assert_eq!(LeastTime.pick(&candidates, profile, &Random::with_seed(1)), Pick::Take(1));
}

// A slow target always reports zero load. Selection by reported load would send all calls to it.
#[test]
fn false_load_report_attracts_no_calls() {
    let misreporting = Candidate { reported: 0, ..candidate(1, 60) };
    let candidates = [candidate(1, 6), misreporting];

    assert_eq!(share_of_second(&LeastTime, &candidates), 0.0);
    assert_eq!(share_of_second(&ReportedLoad, &candidates), 1.0);
}

#[test]
fn cold_replica_gets_a_small_share() {
    let cold = Candidate { warming: true, ..candidate(0, 6) };

    let share = share_of_second(&LeastTime, &[candidate(0, 6), cold]);

    assert!(share > 0.0 && share < 0.05, "{share}");
}

#[test]
fn idle_replica_gets_a_probe_call() {
    let idle = Candidate { idle: Duration::from_secs(5), ..candidate(0, 60) };

    let pick =
        LeastTime.pick(&[candidate(0, 6), idle], CallProfile::default(), &Random::with_seed(1));

    assert_eq!(pick, Pick::Take(1));
}

fn status(phase: Phase, incarnation: u64) -> TargetStatus {
    TargetStatus { phase, load: 0, held: Vec::new(), incarnation }
}

#[test]
fn restarted_replica_warms_up() {
    let now = Instant::now();
    let mut replica = Replica::default();
    replica.on_probe(&status(Phase::Ready, 1), now);
    assert!(!GradualWarmup.is_warming(&replica));

    replica.on_probe(&status(Phase::Ready, 2), now);

    assert!(GradualWarmup.is_warming(&replica));
    assert!(!NoWarmup.is_warming(&replica));
    (0..WARM_ANSWERS).for_each(|_| replica.on_answer(6 * MS, 0, now));
    assert!(!GradualWarmup.is_warming(&replica));
}

// Every call to a straggler is won by its hedge, so it never answers. If cancelled calls were
// ignored, its latency would stay as low as before it became slow.
#[test]
fn cancelled_calls_raise_the_latency() {
    let now = Instant::now();
    let mut replica = Replica::default();
    (0..20).for_each(|_| replica.on_answer(6 * MS, 0, now));

    (0..20).for_each(|_| replica.on_cancelled(12 * MS));

    assert!(replica.latency().unwrap() > 20 * MS);
}

#[test]
fn draining_replica_is_not_fit() {
    let mut replica = Replica::default();

    replica.on_draining();

    assert_eq!(replica.fitness(Instant::now()), Fitness::Draining);
}

// A hundred targets restart at once. Reconnects in step would cause a burst of connections, each of
// which costs the target milliseconds.
#[test]
fn reconnects_after_a_mass_restart_are_spread() {
    let now = Instant::now();
    let random = Random::with_seed(1);
    let delay = || {
        let mut replica = Replica::default();
        (0..4).for_each(|_| replica.on_unreachable(now, &random));
        replica.down_until().unwrap() - now
    };

    let mut delays: Vec<Duration> = (0..100).map(|_| delay()).collect();

    delays.sort_unstable();
    assert!(delays[90] - delays[10] > 100 * MS);
}

/// Number of hedges for a thousand late calls.
fn hedges(hedge: &mut dyn Hedge) -> usize {
    (0..1_000)
        .filter(|_| {
            hedge.on_call();
            hedge.spend()
        })
        .count()
}

// All calls are late at once. Without a budget each would be sent twice, just when the targets have
// the least capacity.
#[test]
fn hedges_stay_within_the_budget() {
    assert!(hedges(&mut QuantileHedge::default()) <= 30);
    assert_eq!(hedges(&mut FixedHedge(12 * MS)), 1_000);
}

#[test]
fn hedge_delay_follows_the_latency_quantile() {
    let mut hedge = QuantileHedge::default();
    assert_eq!(hedge.delay(), None);

    (0..1_000u32).for_each(|n| hedge.on_latency(if n % 100 == 0 { 60 * MS } else { 6 * MS }));

    let delay = hedge.delay().unwrap();
    assert!(delay >= 6 * MS && delay <= 7 * MS, "{delay:?}");
}

#[test]
fn hedge_delay_is_bounded_with_many_stragglers() {
    let mut hedge = QuantileHedge::default();

    (0..1_000u32).for_each(|n| hedge.on_latency(if n % 10 == 0 { 60 * MS } else { 6 * MS }));

    assert!(hedge.delay().unwrap() <= 25 * MS);
}

fn attempt(error: &Error, exclusive: bool, now: Instant) -> Attempt<'_> {
    Attempt { error, tries: 1, exclusive, other: true, deadline: now + Duration::from_secs(1) }
}

/// Number of retries for ten thousand failing calls.
fn retries(retry: &mut dyn Retry) -> u32 {
    let now = Instant::now();
    let mut retries = 0;
    for _ in 0..10_000 {
        retry.on_call();
        let mut tries = 1;
        while retry
            .next(&Attempt { tries, ..attempt(&Error::ConnectionLost, false, now) }, now)
            .is_some()
        {
            tries += 1;
        }
        retries += tries - 1;
    }
    retries
}

#[test]
fn retries_stay_within_the_budget() {
    assert!(retries(&mut BudgetRetry::default()) <= 1_050);
    assert_eq!(retries(&mut NaiveRetry), 30_000);
}

#[parameterized(
    refused = { Error::ConnectFailed, true },
    shed = { Error::Shed { retry_ms: 5 }, true },
    draining = { Error::Draining, true },
    lost = { Error::ConnectionLost, false },
    silent = { Error::ConnectionSilent, false },
    timed_out = { Error::TimedOut, false },
    failed = { Error::TargetFailed { detail: String::new() }, false },
)]
fn exclusive_request_is_retried_only_if_it_has_not_run(error: Error, expected: bool) {
    let now = Instant::now();

    let next = BudgetRetry::default().next(&attempt(&error, true, now), now);

    assert_eq!(next.is_some(), expected);
    assert!(NaiveRetry.next(&attempt(&error, true, now), now).is_some());
}

#[test]
fn shed_call_waits_for_retry_after_without_another_replica() {
    let now = Instant::now();
    let error = Error::Shed { retry_ms: 40 };
    let alone = Attempt { other: false, ..attempt(&error, false, now) };
    let mut retry = BudgetRetry::default();

    assert_eq!(retry.next(&alone, now), Some(40 * MS));
    assert_eq!(retry.next(&attempt(&error, false, now), now), Some(Duration::ZERO));
    let late = Attempt { deadline: now + 30 * MS, ..alone };
    assert_eq!(retry.next(&late, now), None);
}

fn running(fingerprint: u64, shard: &str) -> Running {
    Running { fingerprint: Fingerprint(fingerprint), shard: ShardName::from(shard) }
}

/// Number of targets crashed by a request that its caller sends ten times.
fn crashes(containment: &mut dyn Containment) -> u32 {
    let now = Instant::now();
    let mut crashes = 0;
    for _ in 0..10 {
        let (present, alone) = match containment.verdict(Fingerprint(7), now) {
            Verdict::Free => (vec![running(7, "a"), running(1, "a")], false),
            Verdict::Alone => (vec![running(7, "a")], true),
            Verdict::Refused(_) => continue,
        };
        crashes += 1;
        containment.on_crash(&present, alone, now);
        containment.on_answer(Fingerprint(7), &ShardName::from("b"));
    }
    crashes
}

#[test]
fn request_that_crashes_targets_is_contained() {
    assert_eq!(crashes(&mut StrikeContainment::default()), 2);
    assert_eq!(crashes(&mut NoContainment), 10);
}

// A popular request is in flight with the culprit whenever a target crashes. If only crashes were
// counted, all its callers would be refused.
#[test]
fn bystander_of_two_crashes_is_not_contained() {
    let now = Instant::now();
    let mut containment = StrikeContainment::default();

    containment.on_crash(&[running(7, "a"), running(1, "a")], false, now);
    containment.on_crash(&[running(8, "a"), running(1, "a")], false, now);

    assert_eq!(containment.verdict(Fingerprint(1), now), Verdict::Alone);
    containment.on_answer(Fingerprint(1), &ShardName::from("a"));
    assert_eq!(containment.verdict(Fingerprint(1), now), Verdict::Free);
}

// A rack is lost while a search is in flight to five of its targets, with no other request there.
// The search must not be refused for ten minutes, as it did not cause the crashes.
#[test]
fn search_on_targets_that_are_lost_together_is_not_contained() {
    let now = Instant::now();
    let mut containment = StrikeContainment::default();

    let contained = ["a", "b", "c", "d", "e"]
        .map(|shard| containment.on_crash(&[running(1, shard)], false, now));

    assert_eq!(contained, [None; 5]);
    assert_eq!(containment.verdict(Fingerprint(1), now), Verdict::Alone);
}

#[test]
fn containment_expires() {
    let now = Instant::now();
    let mut containment = StrikeContainment::default();
    containment.on_crash(&[running(7, "a")], true, now);
    let contained = containment.on_crash(&[running(7, "a")], true, now).unwrap();

    let verdicts =
        [now, now + contained.span + MS].map(|time| containment.verdict(Fingerprint(7), time));

    assert_eq!(contained.fingerprint, Fingerprint(7));
    assert_eq!(verdicts, [Verdict::Refused(contained.span), Verdict::Alone]);
}

/// Guards against a request that crashes a target each time that its containment ends: its caller
/// sends it once a minute all day. Operators tolerate three crashes and three further attempts.
#[test]
fn request_crashes_few_targets_in_a_day() {
    let start = Instant::now();
    let mut containment = StrikeContainment::default();

    let mut crashes = 0;
    for minute in 0..24 * 60 {
        let now = start + Duration::from_secs(60 * minute);
        let alone = match containment.verdict(Fingerprint(7), now) {
            Verdict::Free => false,
            Verdict::Alone => true,
            Verdict::Refused(_) => continue,
        };
        crashes += 1;
        containment.on_crash(&[running(7, "a")], alone, now);
    }

    assert!(crashes <= 6, "{crashes} targets crashed");
}
