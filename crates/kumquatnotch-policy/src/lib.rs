//! The decisions of the query tier.
//!
//! Each module makes one decision behind a trait, and holds the naive form that
//! it is measured against beside it. Nothing here opens a socket or reads a
//! clock: time comes in as an argument, chance from the seeded generator.

#![forbid(unsafe_code)]

pub mod admission;
pub mod advice;
pub mod answer_time;
pub mod attempts;
pub mod budget;
pub mod caller_trips;
pub mod choice;
pub mod completion;
pub mod containment;
pub mod copies;
pub mod crashes;
pub mod distances;
pub mod fair;
pub mod forecast;
pub mod hedge;
pub mod lateness;
pub mod limit;
pub mod mechanisms;
pub mod observed;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod quickest;
pub mod replica;
pub mod retry;
pub mod shares;
pub mod startup;
pub mod stop;
pub mod strain;
pub mod weights;
