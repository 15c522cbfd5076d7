//! The holder: the component of a node that talks to targets.
//!
//! A holder owns a group of shards and answers the sub-requests of roots for them from the
//! replicas that serve them. It alone selects the replica of a call, limits concurrency, queues
//! requests and retries failed calls. The policies behind these decisions are traits of the policy
//! crate; this crate supplies their inputs and carries out their results.
//!
//! A request passes through these modules in order: `group` splits it by shard, `slots` and
//! `selection` assign each part a replica or a place in the queue, `calls` sends, hedges and
//! retries it, `crash` checks whether a lost connection was a crash, and `merge` combines the
//! hits. `probes` refreshes the state of the targets in the background, at the times set by
//! `schedule`.

#![forbid(unsafe_code)]

mod calls;
mod core;
mod crash;
mod group;
mod meters;
mod probes;
mod schedule;
mod selection;
mod slots;
mod table;

pub mod decisions;
pub mod merge;
pub mod options;
pub mod service;

pub use crate::{decisions::Decisions, options::HolderOptions, service::HolderService};
