//! Membership and configuration of the tier.
//!
//! [`MembershipService`] maintains the list of nodes with a SWIM-style protocol: nodes are
//! probed, and are suspected before they are declared gone. Membership changes, marks and
//! the configuration version are piggybacked on its messages. [`ConfigService`] maintains
//! the operators' document: a few nodes read the platform's head, newer versions are
//! announced on membership messages, and each node fetches the parts that it lacks from its
//! peers.
//!
//! Nothing here needs consensus among nodes. Only the order of the configuration versions
//! must be agreed on, which the platform's service decides by compare-and-swap. All other
//! state is eventually consistent.

#![forbid(unsafe_code)]

mod config_service;
mod deltas;
mod exchange;
mod fetch;
mod freeze_detector;
mod gossip;
mod head_repair;
mod head_state;
mod incarnation;
mod mark_store;
mod membership_service;
mod options;
mod probe;
mod readers;
mod recheck;
mod table;
mod traffic;

pub use crate::{
    config_service::ConfigService,
    incarnation::draw_incarnation,
    membership_service::{MEMBERSHIP, MembershipService},
    options::{ConfigOptions, MembershipOptions},
};
