//! A short run against the real daemons, with faults.
//!
//! Callers search and hold rooms while nodes are killed, stopped, shut down and
//! cut off, targets crash, drain and fall silent, the platform is out or loses
//! replies, operators race, and the index is published and repartitioned. What
//! they saw is checked against the eight promises afterwards.

use std::time::Duration;

use history::{
    report::report,
    runner::{self, RunOptions},
};

/// The seed of every choice of the run.
const SEED: u64 = 20_261_202;

#[test]
fn a_short_run_with_faults_keeps_every_promise() {
    let options = RunOptions::new(SEED, Duration::from_secs(20));

    let verdict = standins::block_on(runner::run(&options)).unwrap();

    let report = report(&verdict);
    println!("seed: {SEED}\nlogs: {}\n{report}", options.folder.display());
    assert!(!verdict.history.attempts.is_empty());
    assert!(verdict.findings.violations.is_empty(), "seed {SEED}\n{report}");
    // The logs are kept where something was found.
    std::fs::remove_dir_all(&options.folder).unwrap();
}
