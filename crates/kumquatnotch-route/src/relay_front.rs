//! Entry point for other nodes: gathers the parts of shards in this data centre.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use kumquatnotch_core::{Error, Result, codec};
use kumquatnotch_net::{
    message::{Reply, Request},
    server::{Handler, Work},
};

use crate::{
    call::CallStats,
    crash_alarm::{self, ALARM_PATH},
    follow::{self, FOLLOW_PATH},
    gather::{self, Search, losses_of},
    headers, leaving,
    names::ReplicaId,
    relay::{PEER_ADDRESS_HEADER, PROBE_PATH, RELAY_PATH, RUNNING_PATH},
    relay_message::{RelayReply, RelayRequest},
    route::Destination,
    router::Router,
};

/// Handles the requests of other nodes.
pub struct RelayFront {
    router: Rc<Router>,
    /// The identities of the requests that are running.
    running: RefCell<Vec<HeaderValue>>,
}

/// Guard that lists a request as running until it is dropped.
struct RunningGuard<'a> {
    front: &'a RelayFront,
    identity: HeaderValue,
}

impl<'a> RunningGuard<'a> {
    fn new(front: &'a RelayFront, identity: &HeaderValue) -> RunningGuard<'a> {
        front.running.borrow_mut().push(identity.clone());
        RunningGuard { front, identity: identity.clone() }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.front.running.borrow_mut();
        if let Some(index) = running.iter().position(|other| *other == self.identity) {
            running.swap_remove(index);
        }
    }
}

impl RelayFront {
    /// Creates a handler for the replicas of `router`.
    pub fn new(router: Rc<Router>) -> RelayFront {
        RelayFront { router, running: RefCell::default() }
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.running.borrow().len()
    }

    async fn gather(&self, request: Request) -> Reply {
        match self.try_gather(request).await {
            Ok(message) => Reply::new(StatusCode::OK, "application/msgpack", message),
            Err(error) => Reply::error(&error),
        }
    }

    async fn try_gather(&self, request: Request) -> Result<Vec<u8>> {
        let router = &self.router;
        if !router.is_ready() {
            return Err(Error::NotReady);
        }
        if leaving::is_closing(router) {
            return Err(Error::Leaving);
        }
        let now = router.clock.now();
        let message: RelayRequest = codec::decode(&request.body)?;
        let route = message.route();
        let Destination::Shards(set) = &route.destination else {
            return Err(Error::bad_request("no shards"));
        };
        let request = message.request()?;
        let Some(identity) = request.headers.get(&router.names.request).cloned() else {
            return Err(Error::bad_request("the request has no identity"));
        };
        let _running = RunningGuard::new(self, &identity);
        let allowed: Vec<Vec<ReplicaId>> = message
            .shards
            .iter()
            .map(|(_, ids)| ids.iter().map(|id| ReplicaId::from(&**id)).collect())
            .collect();
        let search = Search {
            route: &route,
            set,
            request: &request,
            identity: &identity,
            due: now + Duration::from_micros(message.due_us),
            deadline: now + Duration::from_micros(message.left_us),
            is_late_retry: false,
            losses: losses_of(router, &request),
        };
        let stats = CallStats::default();
        let (parts, missing, ran) =
            gather::gather_direct(router, &search, &allowed, message.enough, &stats).await;
        let took = router.clock.now().saturating_duration_since(now);
        tracing::info!(
            request = %headers::log_text(&identity),
            route = message.route,
            shards = set.shards.len(),
            parts = parts.len(),
            hedges = stats.hedges.get(),
            retries = stats.retries.get(),
            ms = took.as_millis() as u64,
            "relay: gathered"
        );
        let proofs = parts.proofs().iter().map(|proof| Bytes::copy_from_slice(proof.as_bytes()));
        let proofs = proofs.collect();
        codec::encode(&RelayReply {
            records: parts.greatest(set.top),
            proofs,
            missing,
            ran,
            took_us: took.as_micros() as u64,
        })
    }
}

impl Handler for RelayFront {
    fn start(&self, request: Request) -> Work<'_> {
        let sender = request.headers.get(PEER_ADDRESS_HEADER).and_then(|value| value.to_str().ok());
        if let Some(address) = sender.and_then(|text| text.parse().ok()) {
            self.router.note_inbound_peer(address);
        }
        match request.path.as_str() {
            RELAY_PATH => Work::new(self.gather(request)),
            FOLLOW_PATH => Work::new(async move {
                match follow::serve(&self.router, &request).await {
                    Ok(message) => Reply::new(StatusCode::OK, "application/msgpack", message),
                    Err(error) => Reply::error(&error),
                }
            }),
            ALARM_PATH => Work::ready(match crash_alarm::receive(&self.router, &request.body) {
                Ok(()) => Reply::text(StatusCode::OK, ""),
                Err(error) => Reply::error(&error),
            }),
            RUNNING_PATH => {
                let identity = request.query_bytes("request").unwrap_or_default();
                let running = self.running.borrow();
                let is_running = running.iter().any(|other| other.as_bytes() == &*identity);
                let status = if is_running { StatusCode::OK } else { StatusCode::NOT_FOUND };
                Work::ready(Reply::text(status, ""))
            }
            PROBE_PATH => {
                let ready = self.router.is_ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Work::ready(Reply::text(status, ""))
            }
            _ => Work::ready(Reply::text(StatusCode::NOT_FOUND, "")),
        }
    }
}
