//! The decisions of the query tier.
//!
//! Nothing here opens a socket, starts a task or reads a clock: time and observations come in
//! as arguments, chance from the seeded generator, and what is decided goes out as a value.
//!
//! The decisions of the product's own interface stand behind traits, with the naive form that
//! each is measured against beside it. Those of the platform's nodes are plain functions and
//! small records of what was learned; [`mechanisms`] lists what can be switched off there, and
//! what takes its place. docs/DESIGN.md shows where a request meets each of them.

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
