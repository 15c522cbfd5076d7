//! History checking: records concurrent runs against real daemons and checks them afterwards.
//!
//! A run starts the daemons and the stand-ins as processes, drives callers and
//! operators from one seed, and injects real faults. Every event is recorded in a
//! [`record::History`]. After the run, [`checker::check`] looks for violations of
//! the eight required promises, one module for each. The checker depends on the
//! history alone, not on how the run produced it.

#![forbid(unsafe_code)]

pub mod answers;
pub mod callers;
pub mod checker;
pub mod cluster;
pub mod configuration;
pub mod containment;
pub mod coverage;
pub mod environment_faults;
pub mod exclusives;
pub mod layout;
pub mod leaving;
pub mod node_faults;
pub mod operators;
pub mod process;
pub mod record;
pub mod refusals;
pub mod report;
pub mod run_context;
pub mod runner;
pub mod shutdown;
pub mod snapshot;
pub mod target_changes;
