//! The decisions of the query tier.
//!
//! Each module makes one decision behind a trait, and holds the naive form that
//! it is measured against beside it. Nothing here opens a socket or reads a
//! clock: time comes in as an argument, chance from the seeded generator.

#![forbid(unsafe_code)]

pub mod admission;
pub mod advice;
pub mod choice;
pub mod containment;
pub mod fair;
pub mod hedge;
pub mod limit;
pub mod queue;
pub mod replica;
pub mod retry;
pub mod stop;
