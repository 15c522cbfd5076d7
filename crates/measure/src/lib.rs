//! The arithmetic of docs/CAPACITY.md, apart from the program that measures.

#![forbid(unsafe_code)]

pub mod capacity;
mod capacity_control;
pub mod capacity_rows;
