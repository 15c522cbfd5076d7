//! HTTP/1.1 transport on top of monoio.
//!
//! The server side accepts connections from callers, operators and peers, runs one task per
//! connection, and passes complete requests to a [`server::Handler`]. The client side keeps
//! bounded connection pools, also with one task per connection. [`PeerLinks`] and
//! [`TargetLinks`] implement the client traits of the core crate on top of these pools. An
//! [`OpaqueLink`] forwards third-party requests unchanged. The [`silence`] module describes
//! how connections that stop responding are detected.

#![forbid(unsafe_code)]

mod body_budget;
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
mod decoders;
mod duplex;
mod exchange;
mod latency;
mod open_requests;
mod outbound;
mod panics;
mod pool;
mod reader;
mod reply_budget;
mod server_connection;
mod socket;
mod target_reply;

pub use crate::{
    caller_client::CallerClient, opaque_link::OpaqueLink, peer_links::PeerLinks, server::Server,
    target_links::TargetLinks,
};
