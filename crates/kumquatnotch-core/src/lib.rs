//! Common types of the kumquatnotch query tier.
//!
//! This crate holds what every other crate shares: identifiers, labels and
//! selectors, the operators' document, queries and answers with their
//! coverage, numbered errors, the clock, the seeded generator, and the
//! registry in which services find each other by name. The borders of the
//! system are traits here ([`Store`], [`Targets`], [`Peers`], [`Clock`]), so
//! that a test or a bench can put its own implementation behind any of them.

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

/// A boxed future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
