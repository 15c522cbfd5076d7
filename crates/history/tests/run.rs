//! A short run against the real daemons, with faults.
//!
//! Callers search and hold rooms while nodes are killed, paused, shut down and cut off,
//! targets crash, drain and stop answering, the platform is unavailable or loses replies,
//! operators make concurrent changes, and the index is published and repartitioned. The
//! recorded history is then checked against the eight promises.

use std::time::Duration;

use history::{
    report::report,
    runner::{self, RunOptions},
};

/// Seed of all random choices of the run.
const SEED: u64 = 20_261_202;

#[test]
fn a_short_run_with_faults_keeps_every_promise() {
    let options = RunOptions::new(SEED, Duration::from_secs(20));

    let verdict = standins::block_on(runner::run(&options)).unwrap();

    let report = report(&verdict);
    println!("seed: {SEED}\nlogs: {}\n{report}", options.folder.display());
    assert!(!verdict.history.attempts.is_empty());
    assert!(verdict.findings.violations.is_empty(), "seed {SEED}\n{report}");
    // The logs are kept after a violation.
    std::fs::remove_dir_all(&options.folder).unwrap();
}
