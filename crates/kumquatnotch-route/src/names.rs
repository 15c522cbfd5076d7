//! The names that operators and replicas choose.

pub use kumquatnotch_core::ids::{ReplicaId, RouteName, ServiceName};
