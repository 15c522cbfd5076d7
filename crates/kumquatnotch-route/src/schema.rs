//! The interpretation of keys and values of the store.

use kumquatnotch_core::{
    Result,
    ids::{Fingerprint, NodeName},
    store::StoreItem,
};
use kumquatnotch_policy::crashes::CrashRecord;

use crate::{fleet::NodeRecord, names::ReplicaId, replica::ReplicaSpec, route::RouteConfig};

/// A decoded entry of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The operators' configuration.
    Config(RouteConfig),
    /// A replica.
    Replica(ReplicaId, ReplicaSpec),
    /// A node of this tier.
    Node(NodeName, NodeRecord),
    /// What is known of a request that crashes replicas.
    Crashes(Fingerprint, CrashRecord),
}

/// A decoded key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryKey {
    /// The operators' configuration.
    Config,
    /// A replica.
    Replica(ReplicaId),
    /// A node of this tier.
    Node(NodeName),
    /// What is known of a request that crashes replicas.
    Crashes(Fingerprint),
}

/// Decodes the keys and values of the store.
pub trait Schema {
    /// The prefix of all mirrored keys.
    fn prefix(&self) -> &str;

    /// The prefix of the keys of nodes of this tier.
    fn node_prefix(&self) -> &str;

    /// Decodes a key; `None` if it does not concern this tier.
    fn read_key(&self, key: &str) -> Option<EntryKey>;

    /// Decodes an item; `None` if it does not concern this tier.
    fn read(&self, item: &StoreItem) -> Result<Option<Entry>>;
}
