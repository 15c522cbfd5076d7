//! Identifiers of replicas, routes and services.

pub use kumquatnotch_core::ids::{ReplicaId, RouteName, ServiceName};
