//! The capacity calculation of docs/CAPACITY.md, as a library for the program and its tests.

#![forbid(unsafe_code)]

pub mod capacity;
mod capacity_control;
pub mod capacity_rows;
