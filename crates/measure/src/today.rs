//! A benchmark of today's production sizes with real processes: 9 nodes in 3 data centres, 100
//! targets, and queries that fan out to 50 services.
//!
//! Compares settings of `limits.connections` within one run, in alternating rounds at the same
//! query rate. The load is an open loop: queries start at random times and do not wait for
//! earlier ones.

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, time::Duration};

use argh::FromArgs;
use hdrhistogram::Histogram;
use standins::{block_on, plan::TargetPlan, records::RunRecord};

use crate::{
    latency::{histogram, quantile},
    processes::{Cluster, Spec, Usage, load_average},
    processes_layout::{Callers, Shards, start},
};

const NODES: usize = 9;
const SERVICES: usize = 50;
const REPLICAS: usize = 2;
const ROLE: &str = "desk";
const CENTRES: usize = 3;

/// Time limit for the start of a cluster.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time limit for the last queries of a round.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// Query rate and duration of the warm-up of a cluster.
const WARM_UP: (f64, Duration) = (20.0, Duration::from_secs(3));

/// A run counts as queued if it starts this long after its arrival, in microseconds.
const QUEUED_THRESHOLD_US: u64 = 200;

/// Every n-th query has a text that no node has seen.
const NEW_EVERY: usize = 5;

/// Number of distinct texts of the other queries.
const TEXTS: usize = 40;

/// Header of the table of idle nodes.
const IDLE_HEAD: &str = "| connections | idle node: MiB | idle node: % of a core \
                         | platform calls/s |\n| --- | --- | --- | --- |";

/// Measure today's production sizes, with real processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "today")]
pub struct Args {
    /// queries per second, may be repeated for several rates; 60 and 180 if omitted
    #[argh(option)]
    rate: Vec<f64>,
    /// connections of a node to a target, may be repeated for several settings; 3 and 8 if
    /// omitted
    #[argh(option)]
    connections: Vec<usize>,
    /// number of rounds of each setting
    #[argh(option, default = "4")]
    repeats: usize,
    /// the duration of a round, in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// the median service time, in milliseconds
    #[argh(option, default = "6.0")]
    service_ms: f64,
    /// number of shards in a group
    #[argh(option, default = "8")]
    group: usize,
}

/// Runs the benchmark.
pub fn run(args: &Args) -> io::Result<()> {
    let rates = if args.rate.is_empty() { vec![60.0, 180.0] } else { args.rate.clone() };
    let settings = if args.connections.is_empty() { vec![3, 8] } else { args.connections.clone() };
    println!("load average at the start: {}", load_average());
    println!(
        "{NODES} nodes, {SERVICES} services of {REPLICAS} replicas with 2 slots; service \
         {} ms, spread 0.3; {} rounds of {} s; times in ms\n",
        args.service_ms, args.repeats, args.seconds
    );
    block_on(measure(args, &rates, &settings))?;
    println!("\nload average at the end: {}", load_average());
    Ok(())
}

async fn measure(args: &Args, rates: &[f64], settings: &[usize]) -> io::Result<()> {
    let mut clusters = Vec::new();
    for connections in settings {
        let cluster = start(spec(args, *connections), START_LIMIT).await?;
        clusters.push(LoadedCluster::new(cluster));
    }
    println!("{IDLE_HEAD}");
    for loaded in &clusters {
        loaded.print_idle(Duration::from_secs(10)).await?;
    }
    println!(
        "\n| queries/s | connections | queries | failed | p50 | p99 | p99.9 | p99 by round \
         | coverage | complete | runs per sub-request | queued | shed \
         | connections over limit | node MiB | node % of a core | platform calls/s |"
    );
    println!("|{}", " --- |".repeat(17));
    for rate in rates {
        let mut tallies: Vec<Tally> = clusters.iter().map(|_| Tally::new()).collect();
        for loaded in &mut clusters {
            loaded.run_round(WARM_UP.0, WARM_UP.1, &mut Tally::new()).await?;
        }
        for _ in 0..args.repeats {
            for (loaded, tally) in clusters.iter_mut().zip(&mut tallies) {
                loaded.run_round(*rate, Duration::from_secs(args.seconds), tally).await?;
            }
        }
        for (loaded, tally) in clusters.iter().zip(&tallies) {
            tally.print(*rate, &loaded.cluster)?;
        }
    }
    println!("\nidle after the load, while the holders still probe the targets:\n\n{IDLE_HEAD}");
    for loaded in &clusters {
        loaded.print_idle(Duration::from_secs(10)).await?;
    }
    for loaded in &clusters {
        println!("\nio_uring descriptors of {NODES} nodes: {}", loaded.cluster.io_urings()?);
    }
    Ok(())
}

fn spec(args: &Args, connections: usize) -> Spec {
    let template = TargetPlan { service_ms: args.service_ms, ..TargetPlan::default() };
    Spec {
        name: format!("today-{connections}"),
        nodes: NODES,
        centres: CENTRES,
        shards: vec![Shards { role: ROLE, count: SERVICES, replicas: REPLICAS, template }],
        processes: 4,
        connections,
        group: args.group,
    }
}

/// A cluster with its callers and the state of reading its run logs.
struct LoadedCluster {
    cluster: Cluster,
    callers: Rc<Callers>,
    /// Number of runs already read from each process of targets.
    read: Vec<usize>,
    shed: u64,
    excess_connections: u64,
    sent: usize,
}

/// Results of the queries of one round.
#[derive(Default)]
struct Answers {
    times: Vec<u64>,
    asked: u64,
    covered: u64,
    full: usize,
    failed: usize,
    reasons: BTreeMap<String, usize>,
}

impl LoadedCluster {
    fn new(cluster: Cluster) -> LoadedCluster {
        let callers = Rc::new(Callers::new(&cluster, 64));
        LoadedCluster {
            cluster,
            callers,
            read: Vec::new(),
            shed: 0,
            excess_connections: 0,
            sent: 0,
        }
    }

    async fn print_idle(&self, span: Duration) -> io::Result<()> {
        let (before, calls) = (self.cluster.usage()?, self.cluster.calls().await?);
        monoio::time::sleep(span).await;
        let (after, last) = (self.cluster.usage()?, self.cluster.calls().await?);
        let (memory, cpu) = mean_usage(&before, &after);
        println!(
            "| {} | {memory:.1} | {:.2} | {:.1} |",
            self.cluster.spec.connections,
            cpu / span.as_secs_f64() * 100.0,
            (last.total - calls.total) as f64 / span.as_secs_f64(),
        );
        Ok(())
    }

    async fn run_round(&mut self, rate: f64, span: Duration, tally: &mut Tally) -> io::Result<()> {
        let (before, calls) = (self.cluster.usage()?, self.cluster.calls().await?);
        let answers = Rc::new(RefCell::new(Answers::default()));
        let start = std::time::Instant::now();
        let mut next = start;
        while start.elapsed() < span {
            let gap = -(1.0 - fastrand::f64()).ln() / rate;
            next += Duration::from_secs_f64(gap);
            monoio::time::sleep_until(next.into()).await;
            let number = self.sent;
            self.sent += 1;
            monoio::spawn(ask(self.callers.clone(), number, answers.clone()));
        }
        let waiting = std::time::Instant::now();
        while Rc::strong_count(&answers) > 1 && waiting.elapsed() < DRAIN_LIMIT {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let took = start.elapsed().as_secs_f64();
        let (after, last) = (self.cluster.usage()?, self.cluster.calls().await?);
        let (memory, cpu) = mean_usage(&before, &after);
        tally.memory = memory;
        tally.cpu += cpu;
        tally.calls += last.total - calls.total;
        tally.seconds += took;
        tally.add(&answers.borrow())?;
        self.read_logs(tally).await
    }

    async fn read_logs(&mut self, tally: &mut Tally) -> io::Result<()> {
        let logs = self.cluster.logs(&self.read).await?;
        self.read.resize(logs.len(), 0);
        for (read, log) in self.read.iter_mut().zip(&logs) {
            *read += log.runs.len();
            tally.runs += log.runs.len();
            let queued = |run: &&RunRecord| {
                run.start_us.saturating_sub(run.arrived_us) > QUEUED_THRESHOLD_US
            };
            tally.queued += log.runs.iter().filter(queued).count();
        }
        let shed: u64 = logs.iter().map(|log| log.shed).sum();
        let excess_connections: u64 = logs.iter().map(|log| log.over_limit).sum();
        tally.shed += shed - self.shed;
        tally.excess_connections += excess_connections - self.excess_connections;
        (self.shed, self.excess_connections) = (shed, excess_connections);
        Ok(())
    }
}

async fn ask(callers: Rc<Callers>, number: usize, answers: Rc<RefCell<Answers>>) {
    let text = match number % NEW_EVERY {
        0 => format!("new {number}"),
        _ => format!("room {}", number % TEXTS),
    };
    let start = std::time::Instant::now();
    let answer = callers.search(number, ROLE, &text).await;
    let mut answers = answers.borrow_mut();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            answers.failed += 1;
            let error = error.to_string();
            *answers.reasons.entry(format!("failed: {}", strip_retry_time(&error))).or_default() +=
                1;
            return;
        }
    };
    for missing in &answer.coverage.missing {
        *answers
            .reasons
            .entry(format!("missing: {}", strip_retry_time(&missing.reason)))
            .or_default() += 1;
    }
    answers.times.push(start.elapsed().as_micros() as u64);
    answers.asked += u64::from(answer.coverage.asked);
    answers.covered += u64::from(answer.coverage.covered);
    answers.full += usize::from(answer.coverage.is_full());
}

/// Strips the retry delay from a reason, which differs from refusal to refusal.
fn strip_retry_time(reason: &str) -> &str {
    reason.split(';').next().unwrap_or(reason)
}

/// Returns the nodes' mean memory in `after`, and their mean CPU time from `before` to `after`.
pub fn mean_usage(before: &[Usage], after: &[Usage]) -> (f64, f64) {
    let count = after.len().max(1) as f64;
    let memory: f64 = after.iter().map(|usage| usage.memory).sum();
    let cpu: f64 = after.iter().zip(before).map(|(after, before)| after.cpu - before.cpu).sum();
    (memory / count, cpu / count)
}

/// Results of one setting at one rate.
struct Tally {
    times: Histogram<u64>,
    round_p99s: Vec<f64>,
    answers: Answers,
    runs: usize,
    queued: usize,
    shed: u64,
    excess_connections: u64,
    memory: f64,
    cpu: f64,
    calls: u64,
    seconds: f64,
}

impl Tally {
    fn new() -> Tally {
        Tally {
            times: histogram(),
            round_p99s: Vec::new(),
            answers: Answers::default(),
            runs: 0,
            queued: 0,
            shed: 0,
            excess_connections: 0,
            memory: 0.0,
            cpu: 0.0,
            calls: 0,
            seconds: 0.0,
        }
    }

    fn add(&mut self, answers: &Answers) -> io::Result<()> {
        let mut times = histogram();
        for time in &answers.times {
            times.record(*time).map_err(io::Error::other)?;
        }
        self.round_p99s.push(quantile(&times, 0.99));
        self.answers.asked += answers.asked;
        self.answers.covered += answers.covered;
        self.answers.full += answers.full;
        self.answers.failed += answers.failed;
        for (reason, count) in &answers.reasons {
            *self.answers.reasons.entry(reason.clone()).or_default() += count;
        }
        self.times.add(&times).map_err(io::Error::other)
    }

    fn print(&self, rate: f64, cluster: &Cluster) -> io::Result<()> {
        for (reason, count) in &self.answers.reasons {
            eprintln!("{rate}/s, {} connections: {count} {reason}", cluster.spec.connections);
        }
        let queries = self.times.len();
        let share = |part: f64, whole: f64| 100.0 * part / whole.max(1.0);
        let rounds: Vec<String> = self.round_p99s.iter().map(|p99| format!("{p99:.0}")).collect();
        println!(
            "| {rate} | {} | {queries} | {} | {:.1} | {:.1} | {:.1} | {} | {:.3} % | {:.2} % \
             | {:.3} | {:.2} % | {} | {} | {:.1} | {:.1} | {:.1} |",
            cluster.spec.connections,
            self.answers.failed,
            quantile(&self.times, 0.5),
            quantile(&self.times, 0.99),
            quantile(&self.times, 0.999),
            rounds.join(" "),
            share(self.answers.covered as f64, self.answers.asked as f64),
            share(self.answers.full as f64, queries as f64),
            self.runs as f64 / self.answers.asked.max(1) as f64,
            share(self.queued as f64, self.runs as f64),
            self.shed,
            self.excess_connections,
            self.memory,
            share(self.cpu, self.seconds),
            self.calls as f64 / self.seconds,
        );
        Ok(())
    }
}
