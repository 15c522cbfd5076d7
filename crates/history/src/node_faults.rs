//! Faults of nodes: kills, pauses, graceful shutdowns, and link failures.

use std::{rc::Rc, time::Duration};

use futures_util::future::join;
use kumquatnotch_core::random::Random;
use rustix::process::Signal;
use standins::{now_us, relay::LinkChange};

use crate::{callers::Caller, record::Shutdown, run_context::RunContext};

/// Timeout of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the start of a burst of requests and the signal to shut down.
const BURST_LEAD: Duration = Duration::from_millis(8);

/// Injects faults of randomly chosen nodes, one at a time, until the run is over.
pub async fn inject_faults(run: Rc<RunContext>) {
    let random = run.generator();
    while !run.over.get() {
        run.sleep_ms(300 + random.below(1_500) as u64).await;
        let number = random.below(run.cluster.nodes.len());
        let node = &run.cluster.nodes[number];
        if run.over.get() || node.has_fault.replace(true) {
            continue;
        }
        match random.below(5) {
            0 => kill(&run, number, &random).await,
            1 => pause(&run, number, &random).await,
            2 => shut_down(&run, number).await,
            3 => cut_link(&run, number, &random).await,
            _ => silence_links(&run, number).await,
        }
        node.has_fault.set(false);
    }
}

async fn kill(run: &RunContext, number: usize, random: &Random) {
    run.record_fault("node killed", &run.cluster.nodes[number].name);
    if let Some(mut process) = run.cluster.nodes[number].process.take() {
        process.kill();
    }
    run.sleep_ms(random.below(2_000) as u64).await;
    relaunch(run, number);
}

async fn pause(run: &RunContext, number: usize, random: &Random) {
    run.record_fault("node paused", &run.cluster.nodes[number].name);
    let from_us = now_us();
    signal(run, number, Signal::STOP);
    run.sleep_ms(500 + random.below(5_000) as u64).await;
    signal(run, number, Signal::CONT);
    run.record_disturbance(Some(number), from_us);
}

async fn shut_down(run: &Rc<RunContext>, number: usize) {
    run.record_fault("node shut down", &run.cluster.nodes[number].name);
    // The platform announces the shutdown first, as it does when it withdraws a VM.
    // The announcement may be lost during a fault of the platform.
    let _ = run.cluster.set_vm_list(Some(number)).await;
    let node = &run.cluster.nodes[number];
    let life = node.instance();
    let terminate = async {
        monoio::time::sleep(BURST_LEAD).await;
        let asked_us = now_us();
        signal(run, number, Signal::TERM);
        asked_us
    };
    // Without requests in flight, a shutdown would have nothing to interrupt.
    let burst = Caller::new(run, number).burst(node.entry);
    let ((), asked_us) = join(burst, terminate).await;
    let process = run.cluster.nodes[number].process.take();
    let Some(mut process) = process else {
        return;
    };
    let status = process.wait(SHUTDOWN_TIMEOUT).await.ok().flatten();
    let exited_us = status.map(|_| now_us());
    let success = status.is_some_and(|status| status.success());
    let shutdown = Shutdown { life, asked_us, exited_us, success };
    run.history.borrow_mut().shutdowns.push(shutdown);
    let _ = run.cluster.set_vm_list(None).await;
    relaunch(run, number);
}

/// Cuts the link from the peers or the link to the platform, in one direction or both.
async fn cut_link(run: &RunContext, number: usize, random: &Random) {
    let node = &run.cluster.nodes[number];
    let (name, link) = match random.below(2) {
        0 => ("link from peers cut", node.peer_link),
        _ => ("link to the platform cut", node.platform_link),
    };
    run.record_fault(name, &run.cluster.nodes[number].name);
    let up = random.chance(0.7);
    let cut = |up, down| LinkChange {
        link: Some(link),
        cut_up: Some(up),
        cut_down: Some(down),
        ..LinkChange::default()
    };
    let _ = run.cluster.change_links(&cut(up, !up || random.chance(0.5))).await;
    run.sleep_ms(500 + random.below(4_000) as u64).await;
    let _ = run.cluster.change_links(&cut(false, false)).await;
}

async fn silence_links(run: &RunContext, number: usize) {
    run.record_fault("links of a node silent", &run.cluster.nodes[number].name);
    let node = &run.cluster.nodes[number];
    for link in [node.peer_link, node.platform_link] {
        let silence = LinkChange { link: Some(link), silence: true, ..LinkChange::default() };
        let _ = run.cluster.change_links(&silence).await;
    }
}

fn signal(run: &RunContext, number: usize, signal: Signal) {
    if let Some(process) = run.cluster.nodes[number].process.borrow().as_ref() {
        let _ = process.signal(signal);
    }
}

fn relaunch(run: &RunContext, number: usize) {
    if let Err(error) = run.cluster.relaunch(number) {
        eprintln!("history: cannot start node: {error}");
    }
}
