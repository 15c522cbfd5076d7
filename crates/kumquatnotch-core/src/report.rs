//! What a node tells operators of the whole tier.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ConfigVersion, NodeName},
    member::{Confirmation, NodeState},
};

/// The configuration in force on each node that the membership lists.
///
/// Nodes that went away not long ago are listed too: one that was only cut off
/// may still serve with what it had.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The nodes by name.
    pub nodes: Vec<NodeReport>,
}

/// The configuration in force on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its name.
    pub name: NodeName,
    /// Its state in the membership.
    pub state: NodeState,
    /// What it told; `None` if it did not answer.
    pub confirmation: Option<Confirmation>,
    /// Why it did not answer.
    pub error: Option<String>,
}

impl NodeReport {
    /// Whether the node told that it has `version` or a later one in force.
    pub fn has_version(&self, version: ConfigVersion) -> bool {
        self.confirmation.is_some_and(|confirmation| confirmation.version >= version)
    }
}

impl fmt::Display for NodeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?}): ", self.name, self.state)?;
        match (self.confirmation, &self.error) {
            (Some(Confirmation { version, age_ms: Some(age_ms) }), _) => {
                write!(f, "version {version}, confirmed {age_ms} ms ago")
            }
            (Some(Confirmation { version, age_ms: None }), _) => {
                write!(f, "version {version}, not confirmed yet")
            }
            (None, Some(error)) => write!(f, "no answer: {error}"),
            (None, None) => write!(f, "no answer"),
        }
    }
}
