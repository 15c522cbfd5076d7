//! Measures membership and configuration with many nodes in one process.
//!
//! The nodes use the in-memory network of the tests, with paused time, so the times are
//! those of the protocol and not of this machine. CPU time is that of the whole process
//! including the simulated network and clock, and is therefore an upper bound. Bytes are
//! those of the bodies, without HTTP.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{rc::Rc, time::Duration};

use argh::FromArgs;
use common::{Cluster, run};
use kumquatnotch_core::member::Members;

const SECOND: Duration = Duration::from_secs(1);

/// Time for which the steady state is observed.
const STEADY_SPAN: Duration = Duration::from_secs(60);

/// Time for which the messages of one change are counted.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Number of changes of the document that are timed.
const CHANGES: u64 = 5;

/// Measure membership and configuration with many nodes in one process.
#[derive(FromArgs)]
struct Args {
    /// the numbers of nodes, separated by commas
    #[argh(option, default = "String::from(\"9,50,100,200\")")]
    nodes: String,
    /// the seed
    #[argh(option, default = "1")]
    seed: u64,
    /// the targets in the document
    #[argh(option, default = "1000")]
    targets: usize,
}

/// Cumulative messages, bytes and CPU time.
#[derive(Clone, Copy)]
struct Usage {
    messages: u64,
    bytes: u64,
    cpu: Duration,
}

/// The results for one number of nodes.
struct Row {
    count: usize,
    start: Option<Duration>,
    steady: Usage,
    age: u64,
    calls: f64,
    changes: Vec<Duration>,
    change: Usage,
    gone: Option<Duration>,
    failure: Usage,
}

fn main() {
    let args: Args = argh::from_env();
    println!(
        "seed {}, {} targets; bodies without HTTP; times in paused time",
        args.seed, args.targets
    );
    println!(
        "nodes | start s | msg/node/s | B/node/s | cpu us/node/s | cpu us/msg | age s | calls/s \
         | change s, worst of {CHANGES} | change msg/node | change B/node | gone s \
         | death msg/node | death B/node"
    );
    for count in args.nodes.split(',') {
        let count: usize = count.trim().parse().expect("a number of nodes");
        let targets = args.targets;
        let row = run(args.seed, async move |cluster| measure(cluster, count, targets).await);
        print(&row);
    }
}

async fn measure(cluster: Rc<Cluster>, count: usize, targets: usize) -> Row {
    cluster.platform.publish(1, targets);
    (0..count).for_each(|number| drop(cluster.add_configured(number)));
    let ready = || cluster.has_converged() && cluster.all_have(1);
    let start = cluster.wait_until(60 * SECOND, ready).await;
    // The changes of the start reach their transmit limit in this time.
    cluster.sleep(60 * SECOND + SECOND * count as u32).await;

    let calls = cluster.platform.calls.get();
    let steady = watch(&cluster, STEADY_SPAN).await;
    let calls = (cluster.platform.calls.get() - calls) as f64 / STEADY_SPAN.as_secs_f64();
    let ages = cluster.nodes.borrow().iter().map(|node| node.members.confirmed().age_ms).max();
    let ages = ages.flatten();

    let before = usage(&cluster);
    let mut changes = Vec::new();
    for version in 2..2 + CHANGES {
        cluster.platform.publish(version, targets);
        changes.extend(cluster.wait_until(60 * SECOND, || cluster.all_have(version)).await);
        cluster.sleep(SETTLE_TIME).await;
    }
    let change = usage(&cluster).since(&before);
    let span = SETTLE_TIME * CHANGES as u32 + changes.iter().sum::<Duration>();
    let change = change.excess(&steady, span);

    let victim = cluster.nodes.borrow()[count / 2].clone();
    let before = usage(&cluster);
    cluster.kill(&victim);
    let gone = cluster.wait_until(60 * SECOND, || cluster.is_gone_everywhere(&victim.name)).await;
    cluster.sleep(SETTLE_TIME).await;
    let failure = usage(&cluster).since(&before);
    let failure = failure.excess(&steady, SETTLE_TIME + gone.unwrap_or_default());

    let age = ages.unwrap_or_default();
    Row { count, start, steady, age, calls, changes, change, gone, failure }
}

async fn watch(cluster: &Cluster, span: Duration) -> Usage {
    let before = usage(cluster);
    cluster.sleep(span).await;
    usage(cluster).since(&before)
}

fn usage(cluster: &Cluster) -> Usage {
    let (messages, bytes) = cluster.network.total();
    Usage { messages, bytes, cpu: cpu_time() }
}

/// Returns the CPU time of this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

impl Usage {
    fn since(&self, before: &Usage) -> Usage {
        Usage {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
            cpu: self.cpu - before.cpu,
        }
    }

    /// Returns the usage in excess of the steady state for `span`.
    fn excess(&self, steady: &Usage, span: Duration) -> Usage {
        let share = span.as_secs_f64() / STEADY_SPAN.as_secs_f64();
        let excess = |all: u64, steady: u64| all.saturating_sub((steady as f64 * share) as u64);
        Usage {
            messages: excess(self.messages, steady.messages),
            bytes: excess(self.bytes, steady.bytes),
            cpu: self.cpu.saturating_sub(steady.cpu.mul_f64(share)),
        }
    }
}

fn print(row: &Row) {
    let nodes = row.count as f64;
    let each = nodes * STEADY_SPAN.as_secs_f64();
    let seconds = |span: Option<Duration>| match span {
        Some(span) => format!("{:.1}", span.as_secs_f64()),
        None => "never".to_owned(),
    };
    let changes = CHANGES as f64 * nodes;
    println!(
        "{} | {} | {:.2} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {} | {:.1} | {:.0} | {} | {:.1} | {:.0}",
        row.count,
        seconds(row.start),
        row.steady.messages as f64 / each,
        row.steady.bytes as f64 / each,
        row.steady.cpu.as_micros() as f64 / each,
        row.steady.cpu.as_micros() as f64 / row.steady.messages as f64,
        row.age as f64 / 1e3,
        row.calls,
        seconds(row.changes.iter().max().copied()),
        row.change.messages as f64 / changes,
        row.change.bytes as f64 / changes,
        seconds(row.gone),
        row.failure.messages as f64 / nodes,
        row.failure.bytes as f64 / nodes,
    );
}
