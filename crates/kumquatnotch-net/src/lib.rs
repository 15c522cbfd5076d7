//! How bytes travel: HTTP/1.1 over monoio.
//!
//! The server side takes connections from callers, operators and peers, one
//! task each, and hands whole requests to a [`server::Handler`]. The client side
//! keeps bounded pools of connections, one task each, and offers the borders of
//! the core crate over them: [`PeerLinks`] and [`TargetLinks`].
//! Requests of others pass unchanged over an [`OpaqueLink`]. What is done about
//! connections that go silent is told in [`silence`].

#![forbid(unsafe_code)]

pub mod call_counts;
pub mod caller_client;
pub mod entry;
pub mod message;
pub mod opaque_link;
pub mod peer_links;
pub mod peer_route;
pub mod server;
pub mod silence;
pub mod target_links;

mod client_connection;
mod exchange;
mod latency;
mod outbound;
mod pool;
mod reader;
mod server_connection;
mod socket;
mod target_reply;

pub use crate::{
    caller_client::CallerClient, opaque_link::OpaqueLink, peer_links::PeerLinks, server::Server,
    target_links::TargetLinks,
};
