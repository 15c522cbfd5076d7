//! Settings of nodes and documents of operators.
//!
//! Both are TOML and are checked in full: a reader reports every fault with its
//! path, line and reason at once. Documents are published to the platform's
//! service by compare-and-swap.

#![forbid(unsafe_code)]

pub mod check;
pub mod diff;
pub mod document_store;
pub mod fault;
pub mod files;
pub mod reader;
pub mod settings;
