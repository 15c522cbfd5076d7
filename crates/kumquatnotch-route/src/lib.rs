//! Request routing: forwards opaque requests of callers to replicas unchanged.
//!
//! A [`RouteFront`](front::RouteFront) selects the route of each request by its
//! host and path. A request goes either to one replica of a service ([`call`]) or to
//! one replica of each shard, in which case the partial results are merged
//! ([`gather`]). Shards in other data centres are gathered by a relay node next to
//! them ([`relay`]). Statistics of each replica are kept with it ([`replica`]), and
//! replicas that stop responding are probed ([`probe`]).
//!
//! The decisions are made in `kumquatnotch-policy`, which does no I/O: replica
//! selection, hedging, retries, admission of searches, and which node queries which
//! shards.
//!
//! Configuration, replicas and other nodes are read from the platform's store
//! ([`mirror`]). A few nodes watch the store, and the other nodes follow these
//! ([`follow`]). Each node announces itself in the store ([`announce`]). All state in
//! this crate can be read or learned again after a restart.

#![forbid(unsafe_code)]

pub mod admission;
pub mod advice;
pub mod announce;
pub mod attempt;
pub mod call;
pub mod change_summary;
pub mod connection_pool;
pub mod crash_alarm;
pub mod crash_check;
pub mod crash_records;
mod departed;
pub mod directory;
pub mod entries;
pub mod fleet;
pub mod follow;
mod freshness;
pub mod front;
pub mod gather;
pub mod headers;
mod held_entries;
mod history;
mod in_flight;
mod initial_sync;
pub mod journal;
mod leaving;
pub mod merge;
pub mod mirror;
pub mod names;
mod newest_entries;
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
mod trial;
