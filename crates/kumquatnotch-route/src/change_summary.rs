//! Entries that come many at once, told by their number.
//!
//! A start reads over a thousand entries, and when an index is cut anew as many change
//! within seconds, on each of hundreds of nodes. A line for each would be most of all that
//! is logged, so there is one line for all of them. What changes a few at a time, and what
//! moves or starts again under its name, has a line of its own. So have the first replicas
//! that leave: from when on a node knew that is what a request that reached one asks.

use std::cell::Cell;

/// From how many entries at once they are told by their number.
const MIN_ENTRIES: usize = 8;

/// How many replicas that leave are named among entries that are told by their number.
const MAX_NAMED_REPLICAS: u64 = 16;

/// What is known of an entry that came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A replica that takes requests.
    Replica,
    /// A replica that drains.
    Draining,
    /// A replica that is gone.
    ReplicaGone,
    /// A node of the tier.
    Node,
    /// A node of the tier that is gone.
    NodeGone,
}

/// How many entries came or went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    replicas: u64,
    draining: u64,
    replicas_gone: u64,
    nodes: u64,
    nodes_gone: u64,
}

/// Counts entries while many come at once.
#[derive(Debug, Default)]
pub struct ChangeSummary {
    counts: Cell<Option<Counts>>,
}

impl ChangeSummary {
    /// Begins to count if `entries` are many.
    pub fn begin(&self, entries: usize) {
        if entries >= MIN_ENTRIES {
            self.counts.set(Some(Counts::default()));
        }
    }

    /// Counts a change; whether that is enough, so that it needs no line of its own.
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

    /// Writes the line that tells what was counted.
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
