//! The sizes of today with real processes: 9 nodes in 3 data centres, 100
//! targets, each query to 50 services.
//!
//! Two settings of `limits.connections` take turns in one run under the same
//! rate of queries, whose starts are random and wait for nothing.

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

/// How long processes may take to come up.
const START_LIMIT: Duration = Duration::from_secs(60);

/// How long the last queries of a turn may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// The rate at which a new world is warmed up, and for how long.
const WARM_UP: (f64, Duration) = (20.0, Duration::from_secs(3));

/// A run that came this long before its start waited for a slot, in microseconds.
const QUEUED_THRESHOLD_US: u64 = 200;

/// One query in so many has a text that no node has seen.
const NEW_EVERY: usize = 5;

/// The texts of the others.
const TEXTS: usize = 40;

/// The head of a table of idle nodes.
const IDLE_HEAD: &str = "| connections | idle node: MiB | idle node: % of a core \
                         | platform calls/s |\n| --- | --- | --- | --- |";

/// Measure the sizes of today, with real processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "today")]
pub struct Args {
    /// queries a second, more than once for several rates; 60 and 180 if left out
    #[argh(option)]
    rate: Vec<f64>,
    /// connections of a node to a target, more than once for several settings
    #[argh(option)]
    connections: Vec<usize>,
    /// how many times the settings take turns
    #[argh(option, default = "4")]
    repeats: usize,
    /// the seconds of a turn
    #[argh(option, default = "8")]
    seconds: u64,
    /// the median of the service times, in milliseconds
    #[argh(option, default = "6.0")]
    service_ms: f64,
    /// how many shards make up a group
    #[argh(option, default = "8")]
    group: usize,
}

/// Runs the measurement.
pub fn run(args: &Args) -> io::Result<()> {
    let rates = if args.rate.is_empty() { vec![60.0, 180.0] } else { args.rate.clone() };
    let settings = if args.connections.is_empty() { vec![3, 8] } else { args.connections.clone() };
    println!("load average at the start: {}", load_average());
    println!(
        "{NODES} nodes, {SERVICES} services of {REPLICAS} replicas with 2 slots; service \
         {} ms, spread 0.3; {} turns of {} s; times in ms\n",
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
    for site in &clusters {
        site.print_idle(Duration::from_secs(10)).await?;
    }
    println!(
        "\n| queries/s | connections | queries | failed | p50 | p99 | p99.9 | p99 by turn \
         | coverage | in full | runs a sub-request | waited for a slot | shed \
         | over the limit of connections | node MiB | node % of a core | platform calls/s |"
    );
    println!("|{}", " --- |".repeat(17));
    for rate in rates {
        let mut tallies: Vec<Tally> = clusters.iter().map(|_| Tally::new()).collect();
        for site in &mut clusters {
            site.turn(WARM_UP.0, WARM_UP.1, &mut Tally::new()).await?;
        }
        for _ in 0..args.repeats {
            for (site, tally) in clusters.iter_mut().zip(&mut tallies) {
                site.turn(*rate, Duration::from_secs(args.seconds), tally).await?;
            }
        }
        for (site, tally) in clusters.iter().zip(&tallies) {
            tally.print(*rate, &site.cluster)?;
        }
    }
    println!("\nidle again, while the holders still probe the targets:\n\n{IDLE_HEAD}");
    for site in &clusters {
        site.print_idle(Duration::from_secs(10)).await?;
    }
    for site in &clusters {
        println!("\nio_uring descriptors of {NODES} nodes: {}", site.cluster.io_urings()?);
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

/// A world with its callers.
struct LoadedCluster {
    cluster: Cluster,
    callers: Rc<Callers>,
    /// How many runs of each process of targets were read.
    read: Vec<usize>,
    shed: u64,
    excess_connections: u64,
    sent: usize,
}

/// What the queries of one turn gave.
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

    async fn turn(&mut self, rate: f64, span: Duration, tally: &mut Tally) -> io::Result<()> {
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
            let waited = |run: &&RunRecord| {
                run.start_us.saturating_sub(run.arrived_us) > QUEUED_THRESHOLD_US
            };
            tally.waited += log.runs.iter().filter(waited).count();
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

/// A reason without the time to come back, which differs each time.
fn strip_retry_time(reason: &str) -> &str {
    reason.split(';').next().unwrap_or(reason)
}

/// The mean memory after, and the mean processor time between, of the nodes.
pub fn mean_usage(before: &[Usage], after: &[Usage]) -> (f64, f64) {
    let count = after.len().max(1) as f64;
    let memory: f64 = after.iter().map(|usage| usage.memory).sum();
    let cpu: f64 = after.iter().zip(before).map(|(after, before)| after.cpu - before.cpu).sum();
    (memory / count, cpu / count)
}

/// What one setting gave at one rate.
struct Tally {
    times: Histogram<u64>,
    turns: Vec<f64>,
    answers: Answers,
    runs: usize,
    waited: usize,
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
            turns: Vec::new(),
            answers: Answers::default(),
            runs: 0,
            waited: 0,
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
        self.turns.push(quantile(&times, 0.99));
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
        let turns: Vec<String> = self.turns.iter().map(|turn| format!("{turn:.0}")).collect();
        println!(
            "| {rate} | {} | {queries} | {} | {:.1} | {:.1} | {:.1} | {} | {:.3} % | {:.2} % \
             | {:.3} | {:.2} % | {} | {} | {:.1} | {:.1} | {:.1} |",
            cluster.spec.connections,
            self.answers.failed,
            quantile(&self.times, 0.5),
            quantile(&self.times, 0.99),
            quantile(&self.times, 0.999),
            turns.join(" "),
            share(self.answers.covered as f64, self.answers.asked as f64),
            share(self.answers.full as f64, queries as f64),
            self.runs as f64 / self.answers.asked.max(1) as f64,
            share(self.waited as f64, self.runs as f64),
            self.shed,
            self.excess_connections,
            self.memory,
            share(self.cpu, self.seconds),
            self.calls as f64 / self.seconds,
        );
        Ok(())
    }
}
