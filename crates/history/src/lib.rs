//! History checking: concurrent runs against real daemons, judged afterwards.
//!
//! A run starts the daemons and the stand-ins as processes, drives callers and
//! operators from one seed, and makes real faults. Every event goes into a
//! [`record::History`]. When the run is over, [`checker::check`], which knows
//! nothing of how the history came about, looks for breaches of the eight
//! promises of the brief, one module for each.

#![forbid(unsafe_code)]

pub mod answers;
pub mod checker;
pub mod configuration;
pub mod coverage;
pub mod exclusives;
pub mod leaving;
pub mod record;
pub mod refusals;
pub mod shutdown;
pub mod snapshot;
