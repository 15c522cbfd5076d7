//! Small models of the protocols between the nodes, checked exhaustively.
//!
//! A specification is a [`Model`]: an initial state, the possible steps from each
//! state, and the invariants. [`check`] visits every state that is reachable with a
//! few nodes and a few faults. Each model has mutations, each of which removes one
//! safeguard. A mutation that the check does not detect shows that the model proves
//! less than it seems to.

#![forbid(unsafe_code)]

pub mod config;
pub mod explorer;
pub mod leaving;
pub mod ticket;

pub use crate::explorer::{Model, Report, check};
