//! Mass starts and failures with real processes.
//!
//! Runs four phases: the start of all nodes, the loss of a data centre, its return, and a
//! restart of all nodes. Reports for each the time until the nodes agree and the calls to the
//! platform.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use standin_store::faults::Calls;
use standins::{block_on, http::Client, plan::TargetPlan};

use crate::{
    processes::{Cluster, Spec, load_average},
    processes_layout::{Shards, document, publish, store},
};

const ROLE: &str = "desk";
const CENTRES: usize = 8;

/// Time limit of a phase.
const PHASE_TIMEOUT: Duration = Duration::from_secs(120);

/// Pause between two phases.
const PHASE_PAUSE: Duration = Duration::from_secs(5);

/// Measure mass starts and failures of nodes, and the resulting platform calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "storm")]
pub struct Args {
    /// number of nodes, may be repeated for several sizes; 40, 80 and 120 if omitted
    #[argh(option)]
    nodes: Vec<usize>,
}

/// Runs the benchmark.
pub fn run(args: &Args) -> io::Result<()> {
    let sizes = if args.nodes.is_empty() { vec![40, 80, 120] } else { args.nodes.clone() };
    println!("load average at the start: {}", load_average());
    println!("one of {CENTRES} data centres is lost; a phase ends when all running nodes agree\n");
    println!(
        "| nodes | phase | seconds until all agree | platform calls | peak calls/s \
         | refused calls | per node: control bytes/s | CPU seconds | MiB |"
    );
    println!("|{}", " --- |".repeat(9));
    for nodes in sizes {
        block_on(measure(nodes))?;
    }
    println!("\nload average at the end: {}", load_average());
    Ok(())
}

async fn measure(nodes: usize) -> io::Result<()> {
    let mut cluster = Cluster::start(spec(nodes)).await?;
    let store = store(&cluster);
    publish(&store, &document(&cluster)).await?;
    measure_phase(&cluster, "start of all").await?;

    let lost = |number: &usize| number.is_multiple_of(CENTRES);
    for number in (0..nodes).filter(lost) {
        cluster.nodes[number].kill();
    }
    measure_phase(&cluster, "a data centre lost").await?;

    for number in (0..nodes).filter(lost) {
        cluster.nodes[number].launch()?;
    }
    measure_phase(&cluster, "its return").await?;

    for node in &mut cluster.nodes {
        node.kill();
    }
    for node in &mut cluster.nodes {
        node.launch()?;
    }
    measure_phase(&cluster, "restart of all").await
}

fn spec(nodes: usize) -> Spec {
    Spec {
        name: format!("storm-{nodes}"),
        nodes,
        centres: CENTRES,
        shards: vec![Shards { role: ROLE, count: 5, replicas: 2, template: TargetPlan::default() }],
        processes: 1,
        connections: 3,
        group: 8,
    }
}

/// Waits until the running nodes agree on which nodes are up, and prints a row of the report.
async fn measure_phase(cluster: &Cluster, name: &str) -> io::Result<()> {
    let calls = cluster.calls().await?;
    let start = Instant::now();
    // Nodes that have just been launched do not answer yet: their counters start at zero.
    let before = cluster.metric(CONTROL_BYTES_METRIC).await;
    let usage = cluster.usage()?;
    let peak_calls = Rc::new(Cell::new(0));
    let sampler = monoio::spawn(sample_calls(cluster.platform, peak_calls.clone()));
    let converged = cluster.wait_until_converged(PHASE_TIMEOUT).await;
    let took = start.elapsed().as_secs_f64();
    drop(sampler);
    let last = cluster.calls().await?;
    let bytes = cluster.metric(CONTROL_BYTES_METRIC).await;
    let count = bytes.len().max(1) as f64;
    let grown: f64 = bytes.iter().zip(&before).map(|(now, then)| (now - then).max(0.0)).sum();
    let now = cluster.usage()?;
    let cpu: f64 = now.iter().zip(&usage).map(|(now, then)| now.cpu - then.cpu).sum();
    let memory: f64 = now.iter().map(|usage| usage.memory).sum();
    println!(
        "| {} | {name} | {} | {} | {} | {} | {:.0} | {:.2} | {:.1} |",
        cluster.spec.nodes,
        converged.map_or_else(|error| format!("timed out: {error}"), |()| format!("{took:.1}")),
        last.total - calls.total,
        peak_calls.get(),
        last.refused - calls.refused,
        grown / count / took,
        cpu / count,
        memory / count,
    );
    monoio::time::sleep(PHASE_PAUSE).await;
    Ok(())
}

const CONTROL_BYTES_METRIC: &str = "kumquatnotch_control_bytes_total";

/// Records the highest number of platform calls per second in `peak`, sampled every second.
///
/// Ends once this task holds the only reference to `peak`.
async fn sample_calls(platform: SocketAddr, peak: Rc<Cell<u64>>) {
    let client = Client::new(platform, PHASE_TIMEOUT);
    let mut last = None;
    while Rc::strong_count(&peak) > 1 {
        if let Ok(calls) = client.get("/standin/calls").await
            && let Ok(calls) = calls.json::<Calls>()
        {
            let grown = calls.total - last.unwrap_or(calls.total);
            peak.set(peak.get().max(grown));
            last = Some(calls.total);
        }
        monoio::time::sleep(Duration::from_secs(1)).await;
    }
}
