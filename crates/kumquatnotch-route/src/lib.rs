//! Routed requests: opaque requests of callers, passed on to replicas unchanged.
//!
//! A [`RouteFront`](front::RouteFront) finds the route of each request by its
//! host and path. A request goes to a replica of one service ([`call`]), or to a
//! replica of each shard, whose parts are merged ([`gather`]). Shards far away are
//! gathered by a node beside them ([`relay`]); what is learned of a replica is kept
//! with it ([`replica`]), and one that is silent is probed ([`probe`]).
//!
//! What is decided on the way stands in `kumquatnotch-policy`, which knows no network:
//! which replica, when a second copy is sent and what is tried again, which searches
//! are let in, and who asks which shards.
//!
//! Configuration, replicas and other nodes come from the platform's store
//! ([`mirror`]), which a few nodes watch and the others hear of from them
//! ([`follow`]); each node announces itself there ([`announce`]). All that is
//! kept here can be read or learned again after a restart.

#![forbid(unsafe_code)]

pub mod admission;
pub mod advice;
pub mod announce;
pub mod attempt;
pub mod bulk;
pub mod call;
pub mod connection_pool;
pub mod crash_check;
pub mod directory;
pub mod entries;
mod first_reading;
pub mod fleet;
pub mod follow;
mod freshness;
pub mod front;
pub mod gather;
pub mod headers;
mod in_flight;
pub mod journal;
pub mod merge;
pub mod mirror;
pub mod names;
mod outage;
mod own_share;
pub mod parts;
pub mod probe;
pub mod relay;
pub mod relay_front;
pub mod relay_message;
pub mod relay_plan;
pub mod replica;
mod request_log;
pub mod route;
pub mod router;
pub mod schema;
pub mod semaphore;
mod sources;
mod store_retry;
