//! Routed requests: opaque requests of callers, passed on to replicas unchanged.
//!
//! A [`RouteFront`](front::RouteFront) finds the route of each request by its
//! host and path. A request goes to a replica of one service ([`call`]), or to a
//! replica of each shard, whose parts are merged ([`gather`]). Which replica,
//! when a second copy is sent and what is tried again is decided in [`choice`]
//! and [`call`] within the [`budget`] for repeats, and shards far away are gathered
//! by a node beside them ([`relay`]); what is learned of a replica
//! is kept with it ([`replica`]), and one that is silent is probed ([`probe`]).
//!
//! Configuration, replicas and other nodes come from the platform's store
//! ([`mirror`]), which a few nodes watch and the others hear of from them
//! ([`follow`]); each node announces itself there ([`announce`]). All that is
//! kept here can be read or learned again after a restart.

#![forbid(unsafe_code)]

pub mod advice;
pub mod announce;
pub mod attempt;
pub mod budget;
pub mod call;
pub mod choice;
pub mod crashes;
pub mod directory;
pub mod distances;
pub mod entries;
pub mod fleet;
pub mod follow;
pub mod forecast;
pub mod front;
pub mod gate;
pub mod gather;
pub mod headers;
pub mod journal;
pub mod links;
pub mod merge;
pub mod mirror;
pub mod names;
pub mod pace;
pub mod patience;
pub mod plan;
pub mod probe;
pub mod relay;
pub mod relay_front;
pub mod relay_message;
pub mod replica;
pub mod route;
pub mod router;
pub mod schema;
pub mod strain;
pub mod weights;
