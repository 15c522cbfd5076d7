//! The settings of nodes and the documents of operators.
//!
//! Both are written in TOML. The reader does not stop at the first fault: it
//! reports all of them, each with its path, line and reason. Documents are
//! published to the platform's store by compare-and-swap.

#![forbid(unsafe_code)]

pub mod check;
pub mod diff;
pub mod document_store;
pub mod fault;
pub mod files;
pub mod reader;
pub mod settings;
