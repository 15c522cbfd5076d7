//! Decision logic of the query tier.
//!
//! This crate opens no sockets, starts no tasks and reads no clock. Time and observations are
//! passed in as arguments, randomness comes from the seeded generator, and decisions are returned
//! as values.
//!
//! The decisions of the product's own interface are traits, each with a naive implementation as a
//! baseline. Those of the platform's nodes are plain functions and small records of observations;
//! [`mechanisms`] lists which of them can be switched off, and what replaces them. docs/DESIGN.md
//! shows where a request meets each of them.

#![forbid(unsafe_code)]

pub mod admission;
pub mod advice;
pub mod answer_time;
pub mod attempts;
pub mod budget;
pub mod caller_rtt;
pub mod caller_timeouts;
pub mod choice;
pub mod completion;
pub mod containment;
pub mod crashes;
pub mod distances;
pub mod fair;
pub mod forecast;
pub mod hedge;
pub mod hedge_timing;
pub mod lags;
pub mod lateness;
pub mod limit;
pub mod mass_loss;
pub mod mechanisms;
pub mod observed;
pub mod overload;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod rating;
pub mod replica;
pub mod retry;
pub mod service_times;
pub mod shares;
pub mod startup;
pub mod stop;
pub mod weights;
