//! Membership: the nodes of the tier as they see each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentre, Incarnation, NodeName, Region};

/// The membership record of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The name of the node.
    pub name: NodeName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Incremented by the node itself to refute a suspicion or to change its state.
    pub counter: u64,
    /// The state of the node.
    pub state: NodeState,
    /// The address that it listens on for peers.
    pub peer: SocketAddr,
    /// The address that it listens on for callers.
    pub entry: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it has started to serve; later changes are in the state.
    pub serving: bool,
}

/// The state of a node.
///
/// Of reports with the same counter, the one with the later state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Answers; [`NodeRecord::serving`] states whether it has started to serve.
    Up,
    /// Does not answer, and is considered gone unless it refutes the suspicion soon.
    Suspect,
    /// Finishes its work and accepts no new callers.
    Leaving,
    /// Is considered gone.
    Gone,
}

/// The membership as seen by one node.
pub trait Members {
    /// Returns the record of this node.
    fn local(&self) -> NodeRecord;

    /// Returns all nodes that are up, suspect or leaving, including this one, by name.
    fn known(&self) -> Vec<NodeRecord>;

    /// Returns the nodes recently declared gone that had not announced their departure.
    ///
    /// A node that is only partitioned may still serve with its old document.
    fn lost(&self) -> Vec<NodeRecord>;

    /// Returns a counter that grows with every change, so that derived tables can be cached.
    fn generation(&self) -> u64;

    /// Returns the record of a known node.
    fn find(&self, name: &NodeName) -> Option<NodeRecord>;

    /// Reports that a peer did not answer, as evidence for a suspicion.
    fn report_silent(&self, name: &NodeName);

    /// Returns the version in force on this node, with the age of its last confirmation.
    fn confirmed(&self) -> Confirmation;
}

/// The configuration in force, and when it was last known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The version in force on this node.
    pub version: ConfigVersion,
    /// Time since the last known read of the platform's store, in milliseconds.
    ///
    /// `None` before the first one.
    pub age_ms: Option<u64>,
}
