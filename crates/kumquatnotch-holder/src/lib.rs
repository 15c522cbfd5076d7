//! The holder: everything a node does towards targets.
//!
//! A holder owns a group of shards. It answers sub-requests of roots for them
//! out of the replicas that serve them, and is the only part that decides which
//! replica runs a call, how many run at once, who waits, and what is tried
//! again.

#![forbid(unsafe_code)]

pub mod merge;
pub mod options;
pub mod service;

pub use crate::{options::HolderOptions, service::HolderService};
