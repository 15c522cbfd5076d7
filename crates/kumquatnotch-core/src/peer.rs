//! The border between nodes: typed messages and the way they travel.

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

/// The way to other nodes.
pub trait Peers {
    /// Sends `message` to the node at `address` and waits for its reply.
    ///
    /// [`Error::ConnectFailed`] and [`Error::ConnectRefused`] are certain: nothing was
    /// delivered. The second one also tells that the VM of the node answers.
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        message: &'a PeerMessage,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<PeerReply>>;
}

/// A service that answers messages of peers, registered by [`PeerMessage::service`].
pub trait PeerHandler {
    /// Answers `message`.
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>>;
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Are you there; with news.
    Ping(Gossip),
    /// Ask that node in my place; with news.
    PingFor(PingFor),
    /// News only.
    News(Gossip),
    /// Everything that is known, on joining and now and then.
    Exchange(Exchange),
    /// The stored values of these digests.
    Fetch(Vec<Digest>),
    /// Which configuration is in force there.
    ConfigState,
    /// A sub-request for a group of shards.
    Group(Box<GroupRequest>),
    /// Which index versions the shards have that this node holds.
    Versions(Vec<ShardName>),
    /// One call to a target that this node holds, for an exclusive request.
    Relay(Box<RelayCall>),
    /// An exclusive request under a ticket of this node.
    Exclusive(Box<ExclusiveRequest>),
}

impl PeerMessage {
    /// The name of the service that answers it.
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

/// News that rides on membership messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Who sends it.
    pub from: NodeName,
    /// The life of the sender.
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
    /// Its version; zero for none.
    pub version: ConfigVersion,
    /// The digest of its manifest.
    pub manifest: Digest,
    /// How long ago the platform confirmed it, in milliseconds.
    pub age_ms: u64,
}

/// A request to ask another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PingFor {
    /// The node to ask.
    pub subject: NodeRecord,
    /// News.
    pub gossip: Gossip,
}

/// Everything that a node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// News, with all records and marks.
    pub gossip: Gossip,
    /// A hash of the records; equal ones need not be sent back. Zero for no records.
    pub hash: u64,
    /// The hashes of the records by bucket, once the whole is known to differ.
    pub buckets: Vec<u32>,
}

/// One call to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayCall {
    /// The selector whose targets may take it.
    pub selector: crate::ids::SelectorName,
    /// The call.
    pub call: TargetCall,
    /// The time left, in milliseconds.
    pub deadline_ms: u64,
}

/// The reply to a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// I am here; with news.
    Ack(Gossip),
    /// The subject did not answer.
    Nack,
    /// Everything that is known.
    Exchange(Exchange),
    /// Stored values, those that are at hand.
    Values(Vec<StoredValue>),
    /// Which configuration is in force.
    ConfigState(Confirmation),
    /// A partial answer.
    Group(Box<GroupAnswer>),
    /// Index versions of shards.
    Versions(Vec<crate::answer::ShardVersions>),
    /// The reply of a target.
    Relay(Box<TargetReply>),
    /// The outcome of an exclusive request.
    Exclusive(Outcome),
    /// The node answers, but with an error.
    Failed(Error),
}

/// A value with its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The digest.
    pub digest: Digest,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// The time a peer has to answer a control message.
pub const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
