//! The messages between a node and a relay.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use kumquatnotch_core::{Error, Result, codec};
use kumquatnotch_net::message::Request;
use serde::{Deserialize, Serialize};

use crate::{
    names::{RouteName, ServiceName},
    route::{Destination, Route, RouteKind, ShardSet},
};

/// A request to gather the parts of several shards.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The name of the route.
    pub route: String,
    /// Maximum number of replicas of each shard that may run the request.
    pub attempts: u32,
    /// The priority of the request; zero is the most urgent.
    pub priority: u32,
    /// The latency objective of the route, in microseconds.
    pub objective_us: u64,
    /// The time left for the relay until the answer is due, in microseconds.
    pub due_us: u64,
    /// The time left until the deadline, in microseconds.
    pub left_us: u64,
    /// Number of greatest records to return.
    pub top: usize,
    /// Number of parts that are enough once the answer is due.
    pub enough: usize,
    /// The shards, each with the replicas that may be used; an empty list allows any.
    pub shards: Vec<(String, Vec<String>)>,
    /// The method of the caller's request.
    pub method: String,
    /// The path and query of the caller's request.
    pub target: String,
    /// The headers of the caller's request.
    pub headers: Vec<(String, Bytes)>,
    /// The body of the caller's request.
    pub body: Bytes,
}

/// The reply of a relay.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct RelayReply {
    /// The greatest records in descending order.
    pub records: Bytes,
    /// The proofs of the parts.
    pub proofs: Vec<Bytes>,
    /// Indices into the shards of the request of those that are missing.
    pub missing: Vec<usize>,
    /// Whether a replica may have run the request.
    pub ran: bool,
    /// Time spent by the relay, in microseconds.
    pub took_us: u64,
}

impl RelayReply {
    /// Decodes the reply to a request for `shards` shards.
    pub fn decode(message: &[u8], shards: usize) -> Result<RelayReply> {
        let reply: RelayReply = codec::decode(message)?;
        let mut is_missing = vec![false; shards];
        for index in &reply.missing {
            let slot = is_missing.get_mut(*index);
            if slot.is_none_or(|slot| std::mem::replace(slot, true)) {
                return Err(Error::protocol(format!("unexpected missing shard {index}")));
            }
        }
        if reply.proofs.len() + reply.missing.len() > shards {
            return Err(Error::protocol(format!("{} parts of {shards}", reply.proofs.len())));
        }
        Ok(reply)
    }
}

impl RelayRequest {
    /// Builds a route with the settings that the relay needs.
    pub fn route(&self) -> Route {
        let shards = self.shards.iter().map(|(name, _)| ServiceName::from(&**name));
        let set = ShardSet { shards: shards.collect(), top: self.top, min_coverage: 0.0 };
        Route {
            name: RouteName::from(&*self.route),
            host: String::new(),
            prefix: String::new(),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_micros(self.left_us),
            objective: Duration::from_micros(self.objective_us),
            attempts: self.attempts,
            priority: self.priority,
            destination: Destination::Shards(set),
        }
    }

    /// Rebuilds the caller's request.
    pub fn request(&self) -> Result<Request> {
        let method = Method::from_bytes(self.method.as_bytes()).map_err(Error::bad_request)?;
        let mut request = Request::new(method, &self.target);
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(Error::bad_request)?;
            let value = HeaderValue::from_bytes(value).map_err(Error::bad_request)?;
            headers.append(name, value);
        }
        request.headers = headers;
        request.body = self.body.clone();
        Ok(request)
    }
}
