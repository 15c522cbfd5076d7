//! What the keys and values of the store are about.

use kumquatnotch_core::{Result, ids::NodeName, store::StoreItem};
use kumquatnotch_policy::crashes::Crash;

use crate::{fleet::NodeRecord, names::ReplicaId, replica::ReplicaSpec, route::RouteConfig};

/// What a key of the store holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The operators' configuration.
    Config(RouteConfig),
    /// A replica.
    Replica(ReplicaId, ReplicaSpec),
    /// A node of this tier.
    Node(NodeName, NodeRecord),
    /// The crashes that a node has seen.
    Crashes(NodeName, Vec<Crash>),
}

/// What a key is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryKey {
    /// The operators' configuration.
    Config,
    /// A replica.
    Replica(ReplicaId),
    /// A node of this tier.
    Node(NodeName),
    /// The crashes that a node has seen.
    Crashes(NodeName),
}

/// How keys and values of the store are to be read.
pub trait Schema {
    /// The prefix under which all that is mirrored lies.
    fn prefix(&self) -> &str;

    /// The prefix under which the nodes of the tier lie.
    fn node_prefix(&self) -> &str;

    /// What a key is about; `None` if it is nothing to this tier.
    fn read_key(&self, key: &str) -> Option<EntryKey>;

    /// What an item holds; `None` if it is nothing to this tier.
    fn read(&self, item: &StoreItem) -> Result<Option<Entry>>;
}
