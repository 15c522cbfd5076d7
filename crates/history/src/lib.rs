//! History checking: concurrent runs against real daemons, judged afterwards.
//!
//! A run starts the daemons and the stand-ins as processes, drives callers and
//! operators from one seed, and makes real faults. Every event goes into a
//! [`record::History`]. When the run is over, [`checker::check`], which knows
//! nothing of how the history came about, looks for breaches of the eight
//! promises of the brief, one module for each.

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
