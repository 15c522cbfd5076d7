//! Marks: the small amount of state besides membership that all nodes share.
//!
//! A mark is set by one node, spreads by gossip with the membership messages,
//! and expires after a time to live, so that it need not be deleted.

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, TargetName};

/// The meaning of a mark.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkKind {
    /// Requests of this fingerprint crash targets and are refused.
    Contained(Fingerprint),
    /// The target takes no new work.
    Draining(TargetName),
}

/// A mark with its remaining time to live.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The meaning of the mark.
    pub kind: MarkKind,
    /// Time to live when it was sent, in milliseconds.
    pub left_ms: u64,
}

/// A mark as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkUpdate {
    /// The mark.
    pub mark: Mark,
    /// Random number drawn when the mark is set or renewed; a node adopts each stamp once.
    pub stamp: u64,
}

/// The marks known to a node.
pub trait Marks {
    /// Sets a mark and sends it to the other nodes.
    fn set(&self, mark: Mark);

    /// Returns the remaining time to live of a mark, in milliseconds.
    fn left_ms(&self, kind: &MarkKind) -> Option<u64>;

    /// Returns all marks that have not expired.
    fn all(&self) -> Vec<Mark>;
}
