//! Marks: the little state besides membership that all nodes share.
//!
//! A mark is set by one node, spreads with the membership messages, and
//! expires by itself, so that nothing has to be deleted.

use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, TargetName};

/// What a mark says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkKind {
    /// Requests of this fingerprint crash targets and are refused.
    Contained(Fingerprint),
    /// This target takes no new work.
    Draining(TargetName),
}

/// A mark with the time it has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// What it says.
    pub kind: MarkKind,
    /// The time until it expires, in milliseconds, when it was sent.
    pub left_ms: u64,
}

/// A mark on its way between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkUpdate {
    /// The mark.
    pub mark: Mark,
    /// Drawn when it was set or renewed; a node adopts each stamp once.
    pub stamp: u64,
}

/// The marks that a node knows.
pub trait Marks {
    /// Sets a mark and spreads it.
    fn set(&self, mark: Mark);

    /// The time left of a mark, in milliseconds.
    fn left_ms(&self, kind: &MarkKind) -> Option<u64>;

    /// Every mark that has not expired.
    fn all(&self) -> Vec<Mark>;
}
