//! Faults of targets and of the platform, and new versions of the index.

use std::rc::Rc;

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName, TargetName},
    random::Random,
    target::Phase,
};
use standin_store::faults::StoreFaultChange;
use standins::{faults::FaultChange, now_us};

use crate::{
    layout::{
        CRASH_MARKER, HOLD_SHARDS, REPARTITIONED_SHARDS, REPLICAS, SEARCH_SHARDS, initial_shard,
        repartitioned_shard, target_name,
    },
    record::Drain,
    run_context::RunContext,
};

/// Duration of a drain that a target starts by itself; longer than the limit after which the
/// target must receive no new work, so that late work is observed.
const DRAIN_MS: u64 = 8_000;

/// Time for which targets keep the previous version of the index, in milliseconds.
const RETENTION_MS: u64 = 2_000;

/// Injects faults of targets, one at a time, until the run is over.
pub async fn inject_target_faults(run: Rc<RunContext>) {
    let random = run.generator();
    let marker = Some(CRASH_MARKER.to_owned());
    change(&run, FaultChange { marker, ..FaultChange::default() }).await;
    while !run.over.get() {
        run.sleep_ms(200 + random.below(800) as u64).await;
        let target = second_replica(&random);
        let fault = || FaultChange { target: Some(target.clone()), ..FaultChange::default() };
        let span = 500 + random.below(2_000) as u64;
        match random.below(7) {
            0 => {
                run.record_fault("target crashed", &target);
                let restart_ms = Some(span);
                change(&run, FaultChange { crash: true, restart_ms, ..fault() }).await;
            }
            1 => {
                run.record_fault("target silent", &target);
                change(&run, FaultChange { silence: true, ..fault() }).await;
            }
            2 => {
                run.record_fault("straggler", &target);
                change(&run, FaultChange { factor: Some(20.0), ..fault() }).await;
                run.sleep_ms(span).await;
                change(&run, FaultChange { factor: Some(1.0), ..fault() }).await;
            }
            3 => {
                run.record_fault("target cold", &target);
                change(&run, FaultChange { cold_ms: Some(span), ..fault() }).await;
            }
            4 => {
                run.record_fault("target sheds", &target);
                change(&run, FaultChange { shed: Some(true), ..fault() }).await;
                run.sleep_ms(span).await;
                change(&run, FaultChange { shed: Some(false), ..fault() }).await;
            }
            5 => {
                run.record_fault("target lies", &target);
                let (load, lie) = (Some(random.below(100) as i64), Some(Phase::Ready));
                change(&run, FaultChange { load, lie, ..fault() }).await;
                run.sleep_ms(span).await;
                change(&run, FaultChange { load: Some(-1), ..fault() }).await;
            }
            _ => drain(&run, &target).await,
        }
    }
}

async fn drain(run: &RunContext, target: &TargetName) {
    run.record_fault("target drains", target);
    let fault = || FaultChange { target: Some(target.clone()), ..FaultChange::default() };
    let from_us = now_us();
    change(run, FaultChange { drain: Some(true), lie: Some(Phase::Draining), ..fault() }).await;
    run.sleep_ms(DRAIN_MS).await;
    let until_us = now_us();
    change(run, FaultChange { drain: Some(false), lie: Some(Phase::Ready), ..fault() }).await;
    let drain = Drain { target: target.clone(), from_us, until_us };
    run.history.borrow_mut().drains.push(drain);
}

/// Injects faults of the platform, one at a time, until the run is over.
pub async fn inject_platform_faults(run: Rc<RunContext>) {
    let random = run.generator();
    while !run.over.get() {
        run.sleep_ms(1_000 + random.below(3_000) as u64).await;
        let span = 500 + random.below(4_000) as u64;
        match random.below(4) {
            0 => {
                run.record_fault("platform out", "");
                let out = |outage| StoreFaultChange { outage: Some(outage), ..Default::default() };
                apply_platform_fault(&run, span, out(true), out(false)).await;
            }
            1 => {
                run.record_fault("platform hangs", "");
                let hang = |hang| StoreFaultChange { hang: Some(hang), ..Default::default() };
                apply_platform_fault(&run, span, hang(true), hang(false)).await;
            }
            2 => {
                run.record_fault("platform slow", "");
                let slow = |delay| StoreFaultChange { delay_ms: Some(delay), ..Default::default() };
                change_platform(&run, slow(200)).await;
                run.sleep_ms(span).await;
                change_platform(&run, slow(2)).await;
            }
            _ => {
                run.record_fault("reply to a write lost", "");
                let lose_replies = Some(1 + random.below(4) as u32);
                change_platform(&run, StoreFaultChange { lose_replies, ..Default::default() })
                    .await;
            }
        }
    }
}

async fn apply_platform_fault(
    run: &RunContext,
    span: u64,
    make: StoreFaultChange,
    mend: StoreFaultChange,
) {
    let from_us = now_us();
    change_platform(run, make).await;
    run.sleep_ms(span).await;
    change_platform(run, mend).await;
    run.record_disturbance(None, from_us);
}

/// Publishes new versions of the index; every odd version has the repartitioned layout.
pub async fn publish_index(run: Rc<RunContext>) {
    let random = run.generator();
    let mut version = 1;
    while !run.over.get() {
        run.sleep_ms(3_000 + random.below(3_000) as u64).await;
        version += 1;
        let is_new = version % 2 == 1;
        let fault = if is_new { "repartitioned" } else { "index published" };
        run.record_fault(fault, &version.to_string());
        let count = if is_new { REPARTITIONED_SHARDS } else { SEARCH_SHARDS };
        let held = |number: usize| match is_new {
            true => repartitioned_shard(version, number),
            false => initial_shard(version, number),
        };
        let shards: Vec<ShardName> = (0..count).map(|number| held(number).shard).collect();
        run.history.borrow_mut().layouts.insert(IndexVersion(version), shards);
        for target in 0..SEARCH_SHARDS * REPLICAS.len() {
            // In the initial layout, each shard is on the targets named after it.
            let shard =
                if is_new { target % REPARTITIONED_SHARDS } else { target / REPLICAS.len() };
            let publish = Some(held(shard));
            let target = Some(search_target(target));
            change(&run, FaultChange { target, publish, ..FaultChange::default() }).await;
            run.sleep_ms(random.below(40) as u64).await;
        }
        run.sleep_ms(RETENTION_MS).await;
        run.record_fault("earlier index dropped", &(version - 1).to_string());
        for target in 0..SEARCH_SHARDS * REPLICAS.len() {
            let unpublish = Some(IndexVersion(version - 1));
            let target = Some(search_target(target));
            change(&run, FaultChange { target, unpublish, ..FaultChange::default() }).await;
            run.sleep_ms(random.below(40) as u64).await;
        }
    }
}

fn search_target(number: usize) -> TargetName {
    target_name("s", number / REPLICAS.len(), REPLICAS[number % REPLICAS.len()])
}

fn second_replica(random: &Random) -> TargetName {
    let number = random.below(SEARCH_SHARDS + HOLD_SHARDS);
    match number < SEARCH_SHARDS {
        true => target_name("s", number, REPLICAS[1]),
        false => target_name("h", number - SEARCH_SHARDS, REPLICAS[1]),
    }
}

/// Changes faults of targets; an error is only printed, and the run continues.
async fn change(run: &RunContext, change: FaultChange) {
    if let Err(error) = run.cluster.change_targets(&change).await {
        eprintln!("history: cannot change faults of targets: {error}");
    }
}

async fn change_platform(run: &RunContext, change: StoreFaultChange) {
    if let Err(error) = run.cluster.change_platform(&change).await {
        eprintln!("history: cannot change faults of the platform: {error}");
    }
}
