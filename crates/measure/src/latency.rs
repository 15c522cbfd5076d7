//! A benchmark of the latency and CPU time that the tier adds to direct calls.
//!
//! Compares three paths within one run, in alternating rounds of one query at a time: direct
//! calls to the targets, a single node that holds all groups, and a cluster of several nodes
//! (three by default). The targets have a constant service time, so the differences are due to
//! the tier.

use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use argh::FromArgs;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use kumquatnotch::core::{
    document::Class,
    ids::{IndexVersion, ShardName, TenantName},
    query::Hit,
    target::{TargetCall, TargetReply},
};
use serde_json::json;
use standins::{block_on, http::Client, plan::TargetPlan};

use crate::{
    processes::{Cluster, Spec, load_average},
    processes_layout::{Callers, LIMIT, Shards, TENANT, start},
};

/// Number of distinct queries; the warm-up makes each of them known to the nodes.
const TEXTS: usize = 10;

/// Time limit for the start of a cluster.
const START_LIMIT: Duration = Duration::from_secs(90);

/// Measure the latency that the tier adds to direct calls, with real processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Args {
    /// number of rounds of each path
    #[argh(option, default = "5")]
    repeats: usize,
    /// queries of a path in a round at fan-out 1; fewer at higher fan-outs
    #[argh(option, default = "2000")]
    queries: usize,
    /// the service time of targets, in milliseconds
    #[argh(option, default = "3.0")]
    service_ms: f64,
    /// number of nodes of the cluster that is compared with a single node
    #[argh(option, default = "3")]
    nodes: usize,
    /// skip the fan-out of 1,600
    #[argh(switch)]
    small: bool,
    /// run only the fan-out of 1,600
    #[argh(switch)]
    large: bool,
}

/// A collection to benchmark.
struct Case {
    role: &'static str,
    fanout: usize,
    /// Divisor of the number of queries at fan-out 1, to send fewer at this fan-out.
    query_divisor: usize,
}

const SMALL: [Case; 3] = [
    Case { role: "f1", fanout: 1, query_divisor: 1 },
    Case { role: "f10", fanout: 10, query_divisor: 2 },
    Case { role: "f50", fanout: 50, query_divisor: 4 },
];
const LARGE: [Case; 1] = [Case { role: "f1600", fanout: 1_600, query_divisor: 50 }];

/// Runs the benchmark.
pub fn run(args: &Args) -> io::Result<()> {
    println!("load average at the start: {}", load_average());
    println!(
        "{} rounds; service time of targets {} ms; times in ms; ranges are of p50 over rounds\n",
        args.repeats, args.service_ms
    );
    println!(
        "| fan-out | path | queries | p50 | p50 by round | p99 | p99.9 | added p50 | added p99 \
         | added p99.9 | CPU us per sub-request | incomplete |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    block_on(async {
        if !args.large {
            measure(args, &SMALL, 2, 8).await?;
        }
        if !args.small {
            measure(args, &LARGE, 8, 40).await?;
        }
        io::Result::Ok(())
    })?;
    println!("\nload average at the end: {}", load_average());
    Ok(())
}

async fn measure(args: &Args, cases: &[Case], processes: usize, group: usize) -> io::Result<()> {
    let spec = |nodes: usize| Spec {
        name: format!("latency-{}-{nodes}", cases[0].role),
        nodes,
        centres: 3,
        shards: cases.iter().map(|case| shards(case, args.service_ms)).collect(),
        processes,
        connections: 3,
        group,
    };
    let one = start(spec(1), START_LIMIT).await?;
    let several = start(spec(args.nodes), START_LIMIT).await?;
    let several_name = format!("{} nodes", args.nodes);
    let paths = [
        AccessPath::Direct(Direct::new(&one)),
        AccessPath::Tier("one node".to_owned(), Callers::new(&one, 4), &one),
        AccessPath::Tier(several_name, Callers::new(&several, 4), &several),
    ];
    for case in cases {
        let mut results: Vec<Tally> = paths.iter().map(|_| Tally::new()).collect();
        // Warm-up: opens connections and makes the queries known to the nodes.
        for path in &paths {
            run_round(path, case, TEXTS * 6, &mut Tally::new()).await?;
        }
        let queries = (args.queries / case.query_divisor).max(1);
        for _ in 0..args.repeats {
            for (path, tally) in paths.iter().zip(&mut results) {
                run_round(path, case, queries, tally).await?;
            }
        }
        for (path, tally) in paths.iter().zip(&results) {
            print(case, path, tally, &results[0]);
        }
    }
    Ok(())
}

fn shards(case: &Case, service_ms: f64) -> Shards {
    let template = TargetPlan {
        slots: 16,
        queue: 64,
        connect_ms: 0,
        service_ms,
        spread: 0.0,
        ..TargetPlan::default()
    };
    Shards { role: case.role, count: case.fanout, replicas: 1, template }
}

/// Results of one path.
struct Tally {
    all: Histogram<u64>,
    medians: Vec<f64>,
    cpu: f64,
    queries: usize,
    incomplete: usize,
    reasons: BTreeMap<String, usize>,
}

impl Tally {
    fn new() -> Tally {
        Tally {
            all: histogram(),
            medians: Vec::new(),
            cpu: 0.0,
            queries: 0,
            incomplete: 0,
            reasons: BTreeMap::new(),
        }
    }
}

/// Creates a histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// A path on which queries reach the targets.
enum AccessPath<'a> {
    Direct(Direct),
    Tier(String, Callers, &'a Cluster),
}

impl AccessPath<'_> {
    fn name(&self) -> &str {
        match self {
            AccessPath::Direct(_) => "direct",
            AccessPath::Tier(name, ..) => name,
        }
    }

    fn cpu(&self) -> io::Result<f64> {
        match self {
            AccessPath::Direct(_) => Ok(0.0),
            AccessPath::Tier(_, _, cluster) => {
                Ok(cluster.usage()?.iter().map(|usage| usage.cpu).sum())
            }
        }
    }

    /// Sends a query; returns the reasons why shards are missing.
    async fn query(&self, number: usize, case: &Case) -> io::Result<Vec<String>> {
        let text = format!("room {}", number % TEXTS);
        match self {
            AccessPath::Direct(direct) => direct.query(number, case, &text).await,
            AccessPath::Tier(_, callers, _) => {
                // Sends each query to every node in turn, not always to the same one.
                let node = number / TEXTS;
                let coverage = callers.search(node, case.role, &text).await?.coverage;
                Ok(coverage.missing.into_iter().map(|missing| missing.reason).collect())
            }
        }
    }
}

async fn run_round(
    path: &AccessPath<'_>,
    case: &Case,
    queries: usize,
    tally: &mut Tally,
) -> io::Result<()> {
    let cpu = path.cpu()?;
    let mut times = histogram();
    for number in 0..queries {
        let start = std::time::Instant::now();
        let missing = path.query(number, case).await?;
        times.record(start.elapsed().as_micros() as u64).map_err(io::Error::other)?;
        tally.incomplete += usize::from(!missing.is_empty());
        for reason in missing {
            *tally.reasons.entry(reason).or_default() += 1;
        }
    }
    tally.cpu += path.cpu()? - cpu;
    tally.queries += queries;
    tally.medians.push(quantile(&times, 0.5));
    tally.all.add(&times).map_err(io::Error::other)
}

fn print(case: &Case, path: &AccessPath<'_>, tally: &Tally, direct: &Tally) {
    let at = |share| quantile(&tally.all, share);
    let added = |share| at(share) - quantile(&direct.all, share);
    let lowest = tally.medians.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = tally.medians.iter().copied().fold(0.0, f64::max);
    let cpu_us = tally.cpu * 1e6 / (tally.queries * case.fanout) as f64;
    let cpu_us = if tally.cpu > 0.0 { format!("{cpu_us:.1}") } else { "-".to_owned() };
    for (reason, count) in &tally.reasons {
        eprintln!("{} at fan-out {}: {count} shards missing: {reason}", path.name(), case.fanout);
    }
    println!(
        "| {} | {} | {} | {:.2} | {lowest:.2}-{highest:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} \
         | {cpu_us} | {} |",
        case.fanout,
        path.name(),
        tally.queries,
        at(0.5),
        at(0.99),
        at(0.999),
        added(0.5),
        added(0.99),
        added(0.999),
        tally.incomplete,
    );
}

/// A caller that sends sub-requests to the targets directly.
struct Direct {
    targets: Vec<(ShardName, Rc<Client>)>,
}

impl Direct {
    fn new(cluster: &Cluster) -> Direct {
        let targets = cluster.targets.iter().map(|target| {
            let shard = target.name.as_str().rsplit_once('.').map_or("", |(shard, _)| shard);
            let client = Client::new(target.address, Duration::from_secs(5));
            (ShardName::from(shard), Rc::new(client))
        });
        Direct { targets: targets.collect() }
    }

    async fn query(&self, number: usize, case: &Case, text: &str) -> io::Result<Vec<String>> {
        let body = json!({ "text": text }).to_string();
        let prefix = format!("{}-", case.role);
        let asked = self.targets.iter().filter(|(shard, _)| shard.as_str().starts_with(&prefix));
        let calls = asked.map(|(shard, client)| async {
            let call = TargetCall {
                id: number as u64,
                shard: shard.clone(),
                version: Some(IndexVersion(1)),
                tenant: TenantName::from(TENANT),
                class: Class::Desk,
                body: body.clone(),
                limit: LIMIT,
                exclusive: false,
            };
            client.post("/v1/run", &call).await?.json::<TargetReply>()
        });
        let replies = join_all(calls).await.into_iter().collect::<io::Result<Vec<_>>>()?;
        let mut hits: Vec<Hit> = replies.into_iter().flat_map(|reply| reply.hits).collect();
        hits.sort_by(|a, b| b.score.total_cmp(&a.score));
        hits.truncate(LIMIT as usize);
        match hits.is_empty() {
            true => Err(io::Error::other("no hits")),
            false => Ok(Vec::new()),
        }
    }
}
