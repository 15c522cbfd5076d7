//! State shared by the tasks of a run: the cluster, the history and the end of the run.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use kumquatnotch_core::random::Random;
use standins::now_us;

use crate::{
    cluster::Cluster,
    record::{Disturbance, History, InjectedFault},
};

/// State shared by the tasks of a run.
pub struct RunContext {
    /// Processes of the run.
    pub cluster: Cluster,
    /// History recorded so far.
    pub history: RefCell<History>,
    /// Set when the tasks must end.
    pub over: Cell<bool>,
    random: Random,
}

impl RunContext {
    /// Creates the state of a run on `cluster`; all random choices derive from `seed`.
    pub fn new(cluster: Cluster, seed: u64) -> RunContext {
        RunContext {
            cluster,
            history: RefCell::default(),
            over: Cell::new(false),
            random: Random::with_seed(seed),
        }
    }

    /// Creates a random generator for one task.
    pub fn generator(&self) -> Random {
        Random::with_seed(self.random.number())
    }

    /// Records that `fault` is injected now; `whom` names the affected node, target or version.
    pub fn record_fault(&self, fault: &str, whom: &str) {
        let made =
            InjectedFault { at_us: now_us(), fault: fault.to_owned(), whom: whom.to_owned() };
        self.history.borrow_mut().faults.push(made);
    }

    /// Sleeps for `span` milliseconds, or until the run is over.
    pub async fn sleep_ms(&self, span: u64) {
        let until = now_us() + span * 1_000;
        while !self.over.get() && now_us() < until {
            let left = Duration::from_micros(until.saturating_sub(now_us()));
            monoio::time::sleep(left.min(MAX_SLEEP_STEP)).await;
        }
    }

    /// Records that updates could not propagate from `from_us` until now.
    pub fn record_disturbance(&self, node: Option<usize>, from_us: u64) {
        let node = node.map(|number| self.cluster.nodes[number].name.clone());
        let disturbance = Disturbance { node, from_us, until_us: now_us() };
        self.history.borrow_mut().disturbances.push(disturbance);
    }
}

/// Interval at which a sleeping task checks whether the run is over.
const MAX_SLEEP_STEP: Duration = Duration::from_millis(50);
