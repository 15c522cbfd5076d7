//! Execution of one run, from starting the processes to the check of the history.

use std::{io, path::PathBuf, rc::Rc, time::Duration};

use futures_util::future::{LocalBoxFuture, join_all};
use kumquatnotch_core::ids::{IndexVersion, ShardName};
use monoio::time::Instant;
use standin_store::faults::{Calls, StoreFaultChange};
use standins::{http::Client, records::RunLog, relay::LinkChange};

use crate::{
    callers::Caller,
    checker::{Bounds, Findings, check},
    cluster::Cluster,
    environment_faults, layout, node_faults,
    operators::{self, Operator},
    record::History,
    run_context::RunContext,
};

/// Timeout until all nodes are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for reading the records of a run.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without requests and faults before the records are read, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration for which callers send requests.
    pub span: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of callers.
    pub callers: usize,
    /// Whether faults are injected.
    pub faults: bool,
    /// Folder for settings and logs of the run.
    pub folder: PathBuf,
}

impl RunOptions {
    /// Creates the options of a run of duration `span` with the default number of nodes and
    /// callers, and with faults.
    pub fn new(seed: u64, span: Duration) -> RunOptions {
        let name = format!("kumquatnotch-history-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        RunOptions { seed, span, nodes: 5, callers: 8, faults: true, folder }
    }
}

/// Result of a run.
pub struct Verdict {
    /// The recorded history.
    pub history: History,
    /// Violations found in the history.
    pub findings: Findings,
    /// Number of calls to the platform, by kind.
    pub calls: Calls,
    /// Number of connections over the limits of the targets.
    pub over_limit: u64,
    /// Number of requests that the targets shed.
    pub shed: u64,
}

/// Executes a run and checks its history; must be called within a runtime.
pub async fn run(options: &RunOptions) -> io::Result<Verdict> {
    let cluster = Cluster::start(options.nodes, options.seed, &options.folder)?;
    let run = Rc::new(RunContext::new(cluster, options.seed));
    let first_operator = Operator::new(&run, 0);
    start(&run, &first_operator).await?;

    let tasks = tasks(&run, options);
    let clock = async {
        monoio::time::sleep(options.span).await;
        run.over.set(true);
    };
    futures_util::future::join(join_all(tasks), clock).await;

    finish(&run, &first_operator).await
}

/// Publishes the first document and waits until every node is ready.
async fn start(run: &Rc<RunContext>, first_operator: &Operator) -> io::Result<()> {
    let shards = (0..layout::SEARCH_SHARDS).map(|number| ShardName::from(format!("s{number}")));
    let shards: Vec<ShardName> = shards.collect();
    run.history.borrow_mut().declared.extend(shards.iter().cloned());
    run.history.borrow_mut().layouts.insert(IndexVersion(1), shards);
    run.cluster.set_vm_list(None).await?;
    first_operator
        .publish_initial(&layout::document(&run.cluster.fleet))
        .await
        .map_err(io::Error::other)?;
    let until = Instant::now() + START_TIMEOUT;
    for node in &run.cluster.nodes {
        let client = Client::new(node.entry, Duration::from_secs(1));
        while !client.get("/readyz").await.is_ok_and(|answer| answer.status == 200) {
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "{} is not ready within {START_TIMEOUT:?}",
                    node.name
                )));
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn tasks(run: &Rc<RunContext>, options: &RunOptions) -> Vec<LocalBoxFuture<'static, ()>> {
    let mut tasks: Vec<LocalBoxFuture<'static, ()>> = Vec::new();
    for number in 0..options.callers {
        tasks.push(Box::pin(Caller::new(run, number).run_until_over()));
    }
    tasks.push(Box::pin(operators::poll_versions(run.clone())));
    tasks.push(Box::pin(Operator::new(run, 1).change_weights()));
    tasks.push(Box::pin(Operator::new(run, 2).change_weights()));
    tasks.push(Box::pin(Operator::new(run, 3).drain_targets()));
    tasks.push(Box::pin(Operator::new(run, 4).change_targets()));
    tasks.push(Box::pin(Operator::new(run, 5).roll_back_periodically()));
    tasks.push(Box::pin(environment_faults::publish_index(run.clone())));
    if options.faults {
        tasks.push(Box::pin(node_faults::inject_faults(run.clone())));
        tasks.push(Box::pin(node_faults::inject_faults(run.clone())));
        tasks.push(Box::pin(environment_faults::inject_target_faults(run.clone())));
        tasks.push(Box::pin(environment_faults::inject_target_faults(run.clone())));
        tasks.push(Box::pin(environment_faults::inject_platform_faults(run.clone())));
    }
    tasks
}

/// Ends all faults, collects the records, and checks them.
async fn finish(run: &Rc<RunContext>, first_operator: &Operator) -> io::Result<Verdict> {
    let restore_links = LinkChange {
        cut_up: Some(false),
        cut_down: Some(false),
        delay_ms: Some(0),
        ..LinkChange::default()
    };
    run.cluster.change_links(&restore_links).await?;
    let clear_faults = StoreFaultChange {
        outage: Some(false),
        hang: Some(false),
        lose_replies: Some(0),
        delay_ms: Some(2),
        ..StoreFaultChange::default()
    };
    run.cluster.change_platform(&clear_faults).await?;
    monoio::time::sleep(Duration::from_millis(SETTLE_MS)).await;

    let control = Client::new(run.cluster.fleet.control, READ_TIMEOUT);
    let log: RunLog = control.get("/standin/log").await?.json()?;
    let platform = Client::new(run.cluster.platform, READ_TIMEOUT);
    let calls: Calls = platform.get("/standin/calls").await?.json()?;
    let last = first_operator.stored_version().await.map_err(io::Error::other)?;

    let mut history = run.history.take();
    history.last = last;
    history.runs = log.runs;
    history.drained = log.drained;
    let findings = check(&history, &Bounds::default());
    Ok(Verdict { history, findings, calls, over_limit: log.over_limit, shed: log.shed })
}
