//! Runs callers, operators and faults against real daemons and prints the report of the checker.

#![forbid(unsafe_code)]

use std::{
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use argh::FromArgs;
use history::{
    report::report,
    runner::{self, RunOptions},
};

/// Checks the history of a run with concurrent callers, operators and faults.
#[derive(FromArgs)]
struct Options {
    /// duration of the run, in seconds
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of all random choices; by default from the current time
    #[argh(option)]
    seed: Option<u64>,
    /// number of nodes
    #[argh(option, default = "5")]
    nodes: usize,
    /// number of callers
    #[argh(option, default = "8")]
    callers: usize,
    /// inject no faults
    #[argh(switch)]
    calm: bool,
    /// keep the logs of the daemons also if no violation is found
    #[argh(switch)]
    keep: bool,
    /// file that the history is written to, as JSON
    #[argh(option)]
    record: Option<std::path::PathBuf>,
}

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let options: Options = argh::from_env();
    let seed = options.seed.unwrap_or_else(seed_from_time);
    let mut run = RunOptions::new(seed, Duration::from_secs(options.seconds));
    (run.nodes, run.callers, run.faults) = (options.nodes, options.callers, !options.calm);
    println!("seed: {seed}");
    println!("logs: {}", run.folder.display());
    let verdict = standins::block_on(runner::run(&run))?;
    print!("{}", report(&verdict));
    if let Some(path) = options.record {
        std::fs::write(path, serde_json::to_vec(&verdict.history)?)?;
    }
    if !verdict.findings.violations.is_empty() {
        return Ok(ExitCode::FAILURE);
    }
    // The logs are kept after a violation, or on request.
    if !options.keep {
        std::fs::remove_dir_all(&run.folder)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn seed_from_time() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
