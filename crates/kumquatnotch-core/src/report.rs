//! Reports on the whole tier that a node gives to operators.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ConfigVersion, NodeName},
    member::{Confirmation, NodeState},
};

/// The configuration in force on each node that the membership lists.
///
/// Recently lost nodes are included: a node that is only partitioned may still
/// serve with its old configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The nodes by name.
    pub nodes: Vec<NodeReport>,
}

/// The configuration in force on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The name of the node.
    pub name: NodeName,
    /// The membership state of the node.
    pub state: NodeState,
    /// The state that the node reported; `None` if it did not answer.
    pub confirmation: Option<Confirmation>,
    /// The reason why it did not answer.
    pub error: Option<String>,
}

impl NodeReport {
    /// Returns whether the node reported that `version` or a later one is in force.
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
