//! Common types of the kumquatnotch query tier.
//!
//! This crate defines the types that all other crates share: identifiers, labels
//! and selectors, the operators' document, queries and answers with their
//! coverage, numbered errors, the clock, the seeded random number generator, and
//! the service registry. The external interfaces of the system are traits
//! ([`Store`], [`Targets`], [`Peers`], [`Clock`]), so that tests and benchmarks
//! can substitute their own implementations.

#![forbid(unsafe_code)]

pub mod answer;
pub mod clock;
pub mod codec;
pub mod collections;
pub mod document;
pub mod errors;
pub mod front;
pub mod ids;
pub mod labels;
pub mod lifecycle;
pub mod marks;
pub mod member;
pub mod peer;
pub mod query;
pub mod random;
pub mod registry;
pub mod report;
pub mod services;
pub mod store;
pub mod stored;
pub mod suspension;
pub mod target;
pub mod ticket;
pub mod vms;

use std::{future::Future, pin::Pin};

pub use crate::{
    clock::Clock,
    errors::{Error, Result},
    peer::Peers,
    store::Store,
    target::Targets,
};

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
