//! The kumquatnotch query tier as a library.
//!
//! This crate re-exports the crates of the tier under short names. [`Node`]
//! assembles them into a node, as run by the daemon.

#![forbid(unsafe_code)]

pub mod node;
pub mod operator;

pub use kumquatnotch_config as config;
pub use kumquatnotch_core as core;
pub use kumquatnotch_holder as holder;
pub use kumquatnotch_member as member;
pub use kumquatnotch_net as net;
pub use kumquatnotch_policy as policy;
pub use kumquatnotch_query as query;

pub use crate::node::{Node, NodeOptions, Shutdown};
