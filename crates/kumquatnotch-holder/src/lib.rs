//! The holder: everything a node does towards targets.
//!
//! A holder owns a group of shards. It answers sub-requests of roots for them
//! out of the replicas that serve them, and is the only part that decides which
//! replica runs a call, how many run at once, who waits, and what is tried
//! again. The decisions themselves are the traits of the policy crate; this
//! crate feeds them with what it observes and carries them out.
//!
//! A call goes through these modules in turn: `group` splits a sub-request into
//! its shards, `slots` and `selection` find each a replica or a place in the queue,
//! `calls` sends it, hedges it and tries it again, `crash` looks into a lost
//! connection, and `merge` puts the answers together. `probes` keeps the
//! observations fresh between calls, in the order of `schedule`.

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
