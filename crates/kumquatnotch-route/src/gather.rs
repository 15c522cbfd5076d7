//! One search: a call to each shard, and an answer from the parts that came.
//!
//! Callers get most from an answer that is whole and in time. A shard that is
//! late costs the answer its part; waiting for it costs the whole answer its
//! time. So an answer is given when all parts are in, or when waiting any longer
//! would make it late and enough of them are.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use kumquatnotch_core::clock;
use kumquatnotch_net::message::{Reply, Request};

use crate::{
    attempt::Call,
    call::{self, CallFault, CallTrace},
    merge,
    names::ServiceName,
    route::{Route, ShardSet},
    router::Router,
};

/// A search.
pub struct Search<'a> {
    /// The route.
    pub route: &'a Route,
    /// The shards, fixed for this answer.
    pub set: &'a ShardSet,
    /// The request.
    pub request: &'a Request,
    /// The identity that the caller gave it.
    pub identity: &'a HeaderValue,
    /// Until when an answer is worth most.
    pub due: Instant,
    /// When its time is over.
    pub deadline: Instant,
}

/// The parts that have come.
#[derive(Default)]
struct Parts {
    proofs: Vec<HeaderValue>,
    bodies: Vec<Bytes>,
}

/// How a search ended.
pub struct Gathered {
    /// The answer, if enough parts came.
    pub answer: Result<Reply, CallFault>,
    /// The parts in it, or that there were.
    pub parts: usize,
    /// The shards that it leaves out.
    pub missing: usize,
}

/// Asks a replica of each shard and merges their parts.
pub async fn gather(router: &Rc<Router>, search: &Search<'_>, trace: &CallTrace) -> Gathered {
    let clock = &*router.clock;
    let total = search.set.shards.len();
    let least = search.set.least_parts();
    let mut running: FuturesUnordered<_> =
        search.set.shards.iter().map(|shard| ask(router, search, shard, trace)).collect();
    let mut stop = clock.sleep_until(search.due).fuse();
    let mut over =
        clock::sleep(clock, search.deadline.saturating_duration_since(clock.now())).fuse();
    let mut parts = Parts::default();
    let mut stopping = false;
    let mut ran = false;
    let mut retry = Duration::ZERO;
    let mut timed_out = false;
    while parts.len() < total {
        if stopping && parts.len() >= least {
            break;
        }
        select_biased! {
            result = running.next() => match result {
                Some(Ok(reply)) => {
                    ran = true;
                    parts.add(router, reply);
                }
                Some(Err(CallFault::NotRun { retry: after, .. })) => retry = retry.max(after),
                Some(Err(_)) => ran = true,
                None => break,
            },
            () = stop => stopping = true,
            () = over => {
                timed_out = true;
                break;
            }
        }
    }
    ran |= !running.is_empty();
    let covered = parts.len();
    let answer = if covered >= least {
        Ok(parts.merge(router, search.set))
    } else if timed_out {
        Err(CallFault::TimedOut)
    } else if ran {
        Err(CallFault::Unknown)
    } else {
        Err(CallFault::NotRun { retry, reason: "no shard took it" })
    };
    Gathered { answer, parts: covered, missing: total - covered }
}

async fn ask(
    router: &Rc<Router>,
    search: &Search<'_>,
    shard: &ServiceName,
    trace: &CallTrace,
) -> Result<Reply, CallFault> {
    let call = Call {
        route: search.route,
        service: shard,
        request: search.request,
        identity: search.identity,
        due: search.due,
        deadline: search.deadline,
    };
    call::call(router, &call, trace).await
}

impl Parts {
    fn len(&self) -> usize {
        self.proofs.len()
    }

    /// Adds a part; a reply that is none leaves its shard out.
    fn add(&mut self, router: &Router, reply: Reply) {
        let proof = reply.headers.get(&router.names.proof);
        let (true, Some(proof)) = (reply.status.is_success(), proof) else {
            tracing::warn!(status = reply.status.as_u16(), "gather: a reply is no part");
            return;
        };
        self.proofs.push(proof.clone());
        self.bodies.push(reply.body);
    }

    fn merge(self, router: &Router, set: &ShardSet) -> Reply {
        let missing = set.shards.len() - self.len();
        let mut headers = HeaderMap::new();
        let proofs: Vec<&[u8]> = self.proofs.iter().map(HeaderValue::as_bytes).collect();
        // Proofs came as header values, so together they are one.
        if let Ok(proofs) = HeaderValue::from_bytes(&proofs.join(b", ".as_slice())) {
            headers.insert(router.names.proofs.clone(), proofs);
        }
        headers.insert(router.names.missing.clone(), HeaderValue::from(missing));
        let kind = HeaderValue::from_static("application/octet-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        Reply { status: StatusCode::OK, headers, body: merge::greatest(&self.bodies, set.top) }
    }
}
