//! Summarises log lines when many entries change at once.
//!
//! A starting node reads over a thousand entries, and resharding an index changes as many within
//! seconds, on each of hundreds of nodes. A line for each entry would make up most of the log,
//! so all of them are logged in one line. Changes that come a few at a time, and
//! replicas that move or restart, get lines of their own. So do the first replicas that leave:
//! if a request reaches a leaving replica, the log must show since when this node knew that the
//! replica was leaving.

use std::cell::Cell;

/// Minimum number of entries that are logged as a summary.
const MIN_ENTRIES: usize = 8;

/// Number of leaving replicas that are logged individually in addition to a summary, for
/// each kind of change.
const MAX_NAMED_REPLICAS: u64 = 16;

/// Kind of change to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A replica that takes requests.
    Replica,
    /// A replica that is draining.
    Draining,
    /// A replica that was removed.
    ReplicaGone,
    /// A node of the tier.
    Node,
    /// A node of the tier that was removed.
    NodeGone,
}

/// Number of changes of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    replicas: u64,
    draining: u64,
    replicas_gone: u64,
    nodes: u64,
    nodes_gone: u64,
}

/// Counts changes while many come at once.
#[derive(Debug, Default)]
pub struct ChangeSummary {
    counts: Cell<Option<Counts>>,
}

impl ChangeSummary {
    /// Starts a summary if there are many `entries`.
    pub fn begin(&self, entries: usize) {
        if entries >= MIN_ENTRIES {
            self.counts.set(Some(Counts::default()));
        }
    }

    /// Counts a change. Returns whether the summary covers it, so that it needs no line of its own.
    pub fn coalesce(&self, change: Change) -> bool {
        let Some(mut counts) = self.counts.get() else {
            return false;
        };
        let count = match change {
            Change::Replica => &mut counts.replicas,
            Change::Draining => &mut counts.draining,
            Change::ReplicaGone => &mut counts.replicas_gone,
            Change::Node => &mut counts.nodes,
            Change::NodeGone => &mut counts.nodes_gone,
        };
        *count += 1;
        let is_named = matches!(change, Change::Draining | Change::ReplicaGone)
            && *count <= MAX_NAMED_REPLICAS;
        self.counts.set(Some(counts));
        !is_named
    }

    /// Logs the summary, if one was started.
    pub fn end(&self) {
        let Some(counts) = self.counts.take() else {
            return;
        };
        let Counts { replicas, draining, replicas_gone, nodes, nodes_gone } = counts;
        tracing::info!(
            replicas,
            draining,
            replicas_gone,
            nodes,
            nodes_gone,
            "mirror: many entries changed"
        );
    }
}
