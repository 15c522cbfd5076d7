//! Judges a recorded run by the eight promises of the brief, and one bound.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::{
    answers, configuration, containment, coverage, exclusives, leaving, record::History, refusals,
    shutdown, snapshot,
};

/// The promises, in the order of the brief, and a bound of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every answer comes from one snapshot.
    Snapshot,
    /// Each answer states truly what it covers.
    Coverage,
    /// A caller gets the whole answer to its own request.
    Answers,
    /// A refusal that says "not run" is true.
    Refusals,
    /// A non-idempotent request runs at most once.
    Exclusives,
    /// A leaving target gets no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts no request in flight.
    Shutdown,
    /// An accepted configuration is in force everywhere within seconds and stays.
    Configuration,
    /// A request that crashes targets is contained after few of them.
    Containment,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Promise; 9] = [
        Promise::Snapshot,
        Promise::Coverage,
        Promise::Answers,
        Promise::Refusals,
        Promise::Exclusives,
        Promise::Leaving,
        Promise::Shutdown,
        Promise::Configuration,
        Promise::Containment,
    ];
}

/// A breach of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// The times that the brief leaves open ("a few seconds", "within seconds").
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// After which a leaving target gets no new work, in microseconds.
    pub leaving_us: u64,
    /// After which an accepted configuration is in force everywhere, in microseconds.
    pub config_us: u64,
    /// For how long a node may take a declared shard of which it has heard nothing
    /// for one of the snapshot, in microseconds.
    pub extra_shard_us: u64,
    /// How many targets a request may crash while it is contained.
    pub crashes: usize,
    /// How long it is contained, in microseconds.
    pub contained_us: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            leaving_us: 5_000_000,
            config_us: 5_000_000,
            extra_shard_us: 5_000_000,
            crashes: 4,
            contained_us: 600_000_000,
        }
    }
}

/// The violations found so far.
#[derive(Debug, Default)]
pub struct Findings {
    /// All of them.
    pub violations: Vec<Violation>,
}

impl Findings {
    /// Adds one.
    pub fn add(&mut self, promise: Promise, detail: impl Into<String>) {
        self.violations.push(Violation { promise, detail: detail.into() });
    }

    /// How many there are of each promise.
    pub fn counts(&self) -> BTreeMap<Promise, usize> {
        let mut counts: BTreeMap<Promise, usize> =
            Promise::ALL.into_iter().map(|promise| (promise, 0)).collect();
        for violation in &self.violations {
            *counts.entry(violation.promise).or_default() += 1;
        }
        counts
    }
}

/// Checks every promise.
pub fn check(history: &History, bounds: &Bounds) -> Findings {
    let mut findings = Findings::default();
    snapshot::check(history, &mut findings);
    coverage::check(history, bounds, &mut findings);
    answers::check(history, &mut findings);
    refusals::check(history, &mut findings);
    exclusives::check(history, &mut findings);
    leaving::check(history, bounds, &mut findings);
    shutdown::check(history, &mut findings);
    configuration::check(history, bounds, &mut findings);
    containment::check(history, bounds, &mut findings);
    findings
}
