//! The nodes of the tier as they know each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, DataCentre, Incarnation, NodeName, Region};

/// What is known of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name.
    pub name: NodeName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Raised by the node itself to refute a suspicion or to change its state.
    pub counter: u64,
    /// Its state.
    pub state: NodeState,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where it listens for callers.
    pub entry: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it has begun to serve; what it does since is in its state.
    pub serving: bool,
}

/// The state of a node, in the order in which reports of one counter win.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It answers; whether it has a document to serve is told beside the state.
    Up,
    /// It does not answer; it is taken as gone unless it refutes that soon.
    Suspect,
    /// It ends its work and takes no new callers.
    Leaving,
    /// It is taken as gone.
    Gone,
}

/// The nodes as one node sees them, and the view that others are given.
pub trait Members {
    /// The record of this node.
    fn local(&self) -> NodeRecord;

    /// Every node that is up, suspect or leaving, this one too, by name.
    fn known(&self) -> Vec<NodeRecord>;

    /// The nodes that were taken as gone not long ago and had not said that they go.
    ///
    /// One that is only cut off may still serve, with the document that it had.
    fn lost(&self) -> Vec<NodeRecord>;

    /// Grows with every change of the view, so that derived tables can be kept.
    fn generation(&self) -> u64;

    /// The record of a node that is known.
    fn find(&self, name: &NodeName) -> Option<NodeRecord>;

    /// Tells this part that a peer did not answer, as evidence for a suspicion.
    fn report_silent(&self, name: &NodeName);

    /// The configuration version that peers have confirmed, with its age.
    fn confirmed(&self) -> Confirmation;
}

/// How recently the configuration in force was known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The version in force on this node.
    pub version: ConfigVersion,
    /// The age of the last reading of the platform that this node knows of, in milliseconds.
    ///
    /// `None` before the first one.
    pub age_ms: Option<u64>,
}
