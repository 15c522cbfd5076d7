//! What a node asks another one to gather, and what that one replies.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use kumquatnotch_core::{Error, Result};
use kumquatnotch_net::message::Request;
use serde::{Deserialize, Serialize};

use crate::{
    names::{RouteName, ServiceName},
    route::{Destination, Route, RouteKind, ShardSet},
};

/// What a node asks another one to gather.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The route.
    pub route: String,
    /// The most replicas that may run the request, for each shard.
    pub attempts: u32,
    /// The rank of the request.
    pub priority: u32,
    /// The time within which an answer is worth most, in microseconds.
    pub objective_us: u64,
    /// The part of that which is left here, in microseconds.
    pub due_us: u64,
    /// The time left in all, in microseconds.
    pub left_us: u64,
    /// How many of the greatest records are wanted.
    pub top: usize,
    /// How many parts are enough once the time in which they are worth most is over.
    pub enough: usize,
    /// The shards, each with the replicas that may be asked; none means any.
    pub shards: Vec<(String, Vec<String>)>,
    /// The method of the caller's request.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its headers.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

/// What the other node has gathered.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct RelayReply {
    /// The greatest records, falling.
    pub records: Bytes,
    /// The proofs of the parts.
    pub proofs: Vec<Bytes>,
    /// The shards that are missing, by their place in the request.
    pub missing: Vec<usize>,
    /// Whether a replica may have run the request.
    pub ran: bool,
    /// How long the gathering took, in microseconds.
    pub took_us: u64,
}

impl RelayRequest {
    /// The route, as far as the gathering needs it.
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

    /// The caller's request.
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
