//! The protocol between nodes: typed messages and the client that sends them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    Error, LocalFuture, Result,
    answer::GroupAnswer,
    ids::{ConfigVersion, Digest, Incarnation, NodeName, ShardName},
    marks::MarkUpdate,
    member::{Confirmation, NodeRecord},
    query::GroupRequest,
    target::{TargetCall, TargetReply},
    ticket::{ExclusiveRequest, Outcome},
};

/// A client for other nodes.
pub trait Peers {
    /// Sends `message` to the node at `address` and waits for its reply.
    ///
    /// After [`Error::ConnectFailed`] and [`Error::ConnectRefused`] it is certain that nothing
    /// was delivered. The latter also means that the VM of the node responds.
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        message: &'a PeerMessage,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<PeerReply>>;
}

/// A service that answers messages from peers, registered under [`PeerMessage::service`].
pub trait PeerHandler {
    /// Answers `message`.
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>>;
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Direct probe, with gossip.
    Ping(Gossip),
    /// Indirect probe: asks the receiver to ping another node, with gossip.
    PingFor(PingFor),
    /// Gossip without a probe.
    News(Gossip),
    /// Full state, sent on joining and periodically.
    Exchange(Exchange),
    /// Requests the stored values with these digests.
    Fetch(Vec<Digest>),
    /// Requests the configuration in force on the receiver.
    ConfigState,
    /// Sub-request for a group of shards.
    Group(Box<GroupRequest>),
    /// Requests the index versions of shards that the receiver holds.
    Versions(Vec<ShardName>),
    /// A call to a target that the receiver holds, for an exclusive request.
    Relay(Box<RelayCall>),
    /// An exclusive request under a ticket that the receiver issued.
    Exclusive(Box<ExclusiveRequest>),
}

impl PeerMessage {
    /// Returns the name of the service that answers the message.
    pub fn service(&self) -> &'static str {
        match self {
            PeerMessage::Ping(_)
            | PeerMessage::PingFor(_)
            | PeerMessage::News(_)
            | PeerMessage::Exchange(_) => MEMBER_SERVICE,
            PeerMessage::Fetch(_) | PeerMessage::ConfigState => CONFIG_SERVICE,
            PeerMessage::Group(_) | PeerMessage::Versions(_) | PeerMessage::Relay(_) => {
                HOLDER_SERVICE
            }
            PeerMessage::Exclusive(_) => TICKET_SERVICE,
        }
    }
}

/// The service that answers membership messages, an `Rc<dyn PeerHandler>`.
pub const MEMBER_SERVICE: &str = "member";
/// The service that answers configuration messages, an `Rc<dyn PeerHandler>`.
pub const CONFIG_SERVICE: &str = "config";
/// The service that holds targets and answers sub-requests, an `Rc<dyn PeerHandler>`.
pub const HOLDER_SERVICE: &str = "holder";
/// The service that runs exclusive requests, an `Rc<dyn PeerHandler>`.
pub const TICKET_SERVICE: &str = "ticket";

/// State updates that are piggybacked on membership messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: NodeName,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// Changed records of nodes.
    pub nodes: Vec<NodeRecord>,
    /// Changed marks.
    pub marks: Vec<MarkUpdate>,
    /// The newest configuration that the sender knows of.
    pub head: HeadInfo,
}

/// The newest configuration that a node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadInfo {
    /// The version; zero if there is none.
    pub version: ConfigVersion,
    /// The digest of its manifest.
    pub manifest: Digest,
    /// Time since the platform confirmed it, in milliseconds.
    pub age_ms: u64,
}

/// A request to ping another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PingFor {
    /// The node to ping.
    pub subject: NodeRecord,
    /// State updates.
    pub gossip: Gossip,
}

/// The full state of a node, for anti-entropy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// State updates with all records and marks.
    pub gossip: Gossip,
    /// Hash of the records, which are not sent back if it is equal. Zero for no records.
    pub hash: u64,
    /// Hashes of the records by bucket, sent once the total hash is known to differ.
    pub buckets: Vec<u32>,
}

/// A call to a target, forwarded to its holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayCall {
    /// The selector whose targets may run it.
    pub selector: crate::ids::SelectorName,
    /// The call.
    pub call: TargetCall,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// The reply to a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// Acknowledges a probe, with gossip.
    Ack(Gossip),
    /// The subject of an indirect probe did not answer.
    Nack,
    /// Full state.
    Exchange(Exchange),
    /// The requested stored values that the node has.
    Values(Vec<StoredValue>),
    /// The configuration in force.
    ConfigState(Confirmation),
    /// The partial answer for a group of shards.
    Group(Box<GroupAnswer>),
    /// Index versions of shards.
    Versions(Vec<crate::answer::ShardVersions>),
    /// The reply of a target.
    Relay(Box<TargetReply>),
    /// The outcome of an exclusive request.
    Exclusive(Outcome),
    /// The node failed to handle the message.
    Failed(Error),
}

/// A stored value with its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The digest.
    pub digest: Digest,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Timeout of control messages.
pub const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
