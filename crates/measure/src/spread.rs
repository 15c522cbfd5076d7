//! A benchmark of configuration changes and control traffic with real processes.
//!
//! Reports, for several numbers of nodes, how long a change of configuration takes to be in
//! force on all nodes, and the resources that nodes and platform spend on control.

use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use argh::FromArgs;
use humantime_serde::re::humantime::parse_rfc3339;
use kumquatnotch::core::{document::Document, ids::TargetName, report::ConfigReport, stored};
use standins::{block_on, http::Client, plan::TargetPlan};

use crate::{
    processes::{Cluster, Spec, load_average},
    processes_layout::{Shards, document, publish, store, target_spec},
    today::mean_usage,
};

const ROLE: &str = "desk";
const CENTRES: usize = 3;

/// Time limit for the start of a cluster, per node.
const START_LIMIT_PER_NODE: Duration = Duration::from_millis(1_500);

/// Lower bound of the time limit for the start of a cluster.
const MIN_START_LIMIT: Duration = Duration::from_secs(60);

/// Time after which the last change counts as not in force everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(19);

/// Number of requests for the status of all nodes.
const STATUS_SAMPLES: usize = 7;

/// Start of the log message of a node that puts a version in force.
const VERSION_LOG_PREFIX: &str = "config: version ";

/// Measure the propagation of configuration and the cost of control, with real processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Args {
    /// number of nodes, may be repeated for several sizes; 9, 30, 60 and 120 if omitted
    #[argh(option)]
    nodes: Vec<usize>,
    /// targets declared besides the ten that run, which no query reaches
    #[argh(option, default = "0")]
    targets: usize,
    /// number of changes at each size
    #[argh(option, default = "20")]
    changes: usize,
    /// time between two changes, in seconds
    #[argh(option, default = "2")]
    pause: u64,
    /// time from the start to the idle measurement, in seconds, while gossip about the start
    /// continues
    #[argh(option, default = "35")]
    calm: u64,
    /// duration of the idle measurement, without changes, in seconds
    #[argh(option, default = "20")]
    idle: u64,
}

/// Runs the benchmark.
pub fn run(args: &Args) -> io::Result<()> {
    let sizes = if args.nodes.is_empty() { vec![9, 30, 60, 120] } else { args.nodes.clone() };
    println!("load average at the start: {}\n", load_average());
    println!("{} targets are declared besides the running ones\n", args.targets);
    print_document_sizes()?;
    println!(
        "\n| nodes | changes | not everywhere in 19 s | in force everywhere: p50 ms | max ms \
         | on a node: p50 ms | idle node: MiB | max MiB | idle node: % of a core \
         | control bytes/s | messages/s | with changes: % of a core | control bytes/s \
         | platform calls/s idle | with changes | calls per change | status of all: ms |"
    );
    println!("|{}", " --- |".repeat(17));
    for nodes in sizes {
        block_on(measure(args, nodes))?;
    }
    println!("\nload average at the end: {}", load_average());
    Ok(())
}

/// Resource use of a cluster during a period: per node, except for the platform calls.
struct ResourceUse {
    memory: f64,
    max_memory: f64,
    cpu: f64,
    bytes: f64,
    messages: f64,
    calls: f64,
    seconds: f64,
}

async fn measure(args: &Args, nodes: usize) -> io::Result<()> {
    let limit = MIN_START_LIMIT.max(START_LIMIT_PER_NODE * nodes as u32);
    let cluster = Cluster::start(spec(nodes)).await?;
    let document = extended_document(args, &cluster);
    publish(&store(&cluster), &document).await?;
    cluster.wait_until_converged(limit).await?;
    monoio::time::sleep(Duration::from_secs(args.calm)).await;
    let pause = monoio::time::sleep(Duration::from_secs(args.idle));
    let idle = measure_use(&cluster, pause).await?;
    let mut starts = BTreeMap::new();
    let busy = measure_use(&cluster, apply_changes(args, &cluster, document, &mut starts)).await?;
    monoio::time::sleep(PROPAGATION_LIMIT).await;
    let status = status_ms(&cluster).await?;
    print(nodes, &cluster, &starts, &idle, &busy, status)
}

fn spec(nodes: usize) -> Spec {
    Spec {
        name: format!("spread-{nodes}"),
        nodes,
        centres: CENTRES,
        shards: vec![Shards { role: ROLE, count: 5, replicas: 2, template: TargetPlan::default() }],
        processes: 1,
        connections: 3,
        group: 8,
    }
}

/// Returns the document of a cluster with the requested number of additional targets.
fn extended_document(args: &Args, cluster: &Cluster) -> Document {
    let mut document = document(cluster);
    let mut more = big_document(args.targets, "other").targets;
    document.targets.append(&mut more);
    document
}

async fn measure_use<T>(
    cluster: &Cluster,
    work: impl Future<Output = T>,
) -> io::Result<ResourceUse> {
    let before = cluster.usage()?;
    let calls = cluster.calls().await?;
    let bytes = cluster.metric("kumquatnotch_control_bytes_total").await;
    let messages = cluster.metric("kumquatnotch_control_messages_total").await;
    let start = Instant::now();
    work.await;
    let seconds = start.elapsed().as_secs_f64();
    let after = cluster.usage()?;
    let calls = cluster.calls().await?.total - calls.total;
    let bytes = mean_growth(&bytes, &cluster.metric("kumquatnotch_control_bytes_total").await);
    let messages =
        mean_growth(&messages, &cluster.metric("kumquatnotch_control_messages_total").await);
    let (memory, cpu) = mean_usage(&before, &after);
    Ok(ResourceUse {
        memory,
        max_memory: after.iter().map(|usage| usage.memory).fold(0.0, f64::max),
        cpu: cpu / seconds * 100.0,
        bytes: bytes / seconds,
        messages: messages / seconds,
        calls: calls as f64 / seconds,
        seconds,
    })
}

/// Returns the mean growth of a counter over the nodes.
fn mean_growth(before: &[f64], after: &[f64]) -> f64 {
    let sum: f64 = after.iter().zip(before).map(|(after, before)| after - before).sum();
    sum / after.len().max(1) as f64
}

/// Publishes changes; stores in `starts` when the publishing of each version began.
async fn apply_changes(
    args: &Args,
    cluster: &Cluster,
    mut document: Document,
    starts: &mut BTreeMap<u64, u64>,
) {
    let store = store(cluster);
    for _ in 0..args.changes {
        monoio::time::sleep(Duration::from_secs(args.pause)).await;
        if let Some(target) = document.targets.values_mut().next() {
            target.drain = !target.drain;
        }
        let start = now_us();
        match publish(&store, &document).await {
            Ok(version) => drop(starts.insert(version, start)),
            Err(error) => println!("failed to publish a change: {error}"),
        }
    }
}

fn print(
    nodes: usize,
    cluster: &Cluster,
    starts: &BTreeMap<u64, u64>,
    idle: &ResourceUse,
    busy: &ResourceUse,
    status: f64,
) -> io::Result<()> {
    let logs = (0..nodes).map(|number| cluster.node_log(number)).collect::<io::Result<Vec<_>>>()?;
    let seen: Vec<BTreeMap<u64, u64>> = logs.iter().map(|log| activation_times(log)).collect();
    let mut everywhere = Vec::new();
    let mut each = Vec::new();
    let mut missing = 0;
    for (version, start) in starts {
        // A node that skipped to a later version has this change as well.
        let times: Vec<u64> =
            seen.iter().filter_map(|seen| Some(*seen.range(version..).next()?.1)).collect();
        each.extend(times.iter().map(|time| time.saturating_sub(*start)));
        match times.iter().max() {
            Some(last) if times.len() == nodes => everywhere.push(last.saturating_sub(*start)),
            _ => missing += 1,
        }
    }
    println!(
        "| {nodes} | {} | {missing} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.2} | {:.0} \
         | {:.1} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {status:.1} |",
        starts.len(),
        quantile_ms(&mut everywhere, 0.5),
        quantile_ms(&mut everywhere, 1.0),
        quantile_ms(&mut each, 0.5),
        idle.memory,
        idle.max_memory,
        idle.cpu,
        idle.bytes,
        idle.messages,
        busy.cpu,
        busy.bytes,
        idle.calls,
        busy.calls,
        (busy.calls - idle.calls) * busy.seconds / starts.len().max(1) as f64,
    );
    Ok(())
}

/// Returns the median time in which a node collects the configuration state of all nodes.
async fn status_ms(cluster: &Cluster) -> io::Result<f64> {
    let client = Client::new(cluster.nodes[0].entry, PROPAGATION_LIMIT);
    let mut times = Vec::new();
    for _ in 0..STATUS_SAMPLES {
        let start = Instant::now();
        let report: ConfigReport = client.get("/v1/config").await?.json()?;
        times.push(start.elapsed().as_micros() as u64);
        let answered = report.nodes.iter().filter(|node| node.confirmation.is_some()).count();
        if answered < cluster.nodes.len() {
            eprintln!("{answered} of {} nodes reported their configuration", cluster.nodes.len());
        }
    }
    Ok(quantile_ms(&mut times, 0.5))
}

/// Returns the time at which each version came into force, from a node's log, in microseconds.
fn activation_times(log: &str) -> BTreeMap<u64, u64> {
    let line = |line: &str| {
        let (_, rest) = line.split_once(VERSION_LOG_PREFIX)?;
        let version: u64 = rest.split_whitespace().next()?.parse().ok()?;
        let time = parse_rfc3339(line.split_whitespace().next()?).ok()?;
        Some((version, time.duration_since(UNIX_EPOCH).ok()?.as_micros() as u64))
    };
    log.lines().filter_map(line).collect()
}

/// Returns a quantile of times in microseconds, in milliseconds.
fn quantile_ms(times: &mut [u64], share: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let place = (last as f64 * share).round() as usize;
    times.get(place).map_or(f64::NAN, |time| *time as f64 / 1_000.0)
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Prints the size of documents, and the size of the values that one change adds.
fn print_document_sizes() -> io::Result<()> {
    println!("| targets | values | total bytes | largest | new after one change: values | bytes |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for targets in [100, 1_000, 9_400] {
        let mut document = big_document(targets, ROLE);
        let before = stored::split(&document).map_err(io::Error::other)?;
        let name = TargetName::from("target-0");
        if let Some(target) = document.targets.get_mut(&name) {
            target.drain = true;
        }
        let after = stored::split(&document).map_err(io::Error::other)?;
        let is_new = |digest| !before.values.iter().any(|value| value.digest == digest);
        let new: Vec<usize> = after
            .values
            .iter()
            .filter(|value| is_new(value.digest))
            .map(|value| value.value.len())
            .collect();
        let sizes = after.values.iter().map(|value| value.value.len());
        println!(
            "| {targets} | {} | {} | {} | {} | {} |",
            after.values.len(),
            sizes.clone().sum::<usize>(),
            sizes.max().unwrap_or_default(),
            new.len(),
            new.iter().sum::<usize>(),
        );
    }
    Ok(())
}

fn big_document(targets: usize, role: &str) -> Document {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], 8_000));
    let target = |number: usize| {
        let shard = format!("shard-{}", number / 2);
        let spec = target_spec(address, "chiang-mai", &shard, role);
        (TargetName::from(format!("target-{number}")), spec)
    };
    Document { targets: (0..targets).map(target).collect(), ..Document::default() }
}
