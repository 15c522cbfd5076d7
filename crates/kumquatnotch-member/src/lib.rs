//! Membership and configuration of the tier.
//!
//! [`MembershipService`] keeps the list of nodes by probing with suspicion and
//! spreads changes, marks and the version of the configuration on its messages.
//! [`ConfigService`] keeps the operators' document: a few nodes read the
//! platform's head, the news of a higher one rides on membership messages, and
//! each node fetches the parts that it lacks from its peers.
//!
//! No group of nodes has to agree on anything here. What must be agreed on, the
//! order of the versions, is settled by compare-and-swap in the platform's
//! service; everything else is knowledge that may lag.

#![forbid(unsafe_code)]

mod config_service;
mod deltas;
mod exchange;
mod fetch;
mod freeze_detector;
mod gossip;
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
