//! Small specifications of the protocols between the nodes, checked exhaustively.
//!
//! A specification is a [`Model`]: a state, the steps that lead from it, and
//! what must never be seen. [`check`] visits every state that can be reached
//! with a few nodes and a few faults. Each model has mutations, which take one
//! safeguard away; a mutation that is not caught shows that the model proves
//! less than it seems to.

#![forbid(unsafe_code)]

pub mod config;
pub mod explorer;
pub mod leaving;
pub mod ticket;

pub use crate::explorer::{Model, Report, check};
