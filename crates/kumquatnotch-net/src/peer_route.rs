//! HTTP route for messages from other nodes.

use std::{pin::pin, rc::Rc};

use futures_util::future::{Either, select};
use http::{HeaderMap, Method, StatusCode};
use kumquatnotch_core::{
    Error, Result, codec,
    lifecycle::{Lifecycle, Stage},
    peer::{PeerHandler, PeerMessage, PeerReply},
    registry::Registry,
    services,
};

use crate::{
    message::{Reply, Request},
    peer_links::{MessageKind, kind_of},
    server::{Handler, Work},
};

/// Path of the route.
pub const PEER_PATH: &str = "/peer";

/// Dispatches each message to the service that it names.
pub struct PeerRoute {
    registry: Registry,
}

impl PeerRoute {
    /// Creates a route to the services of `registry`.
    pub fn new(registry: Registry) -> PeerRoute {
        PeerRoute { registry }
    }

    async fn answer(&self, message: PeerMessage) -> Reply {
        let reply = match self.handle(message).await {
            Ok(reply) => reply,
            Err(error) => PeerReply::Failed(error),
        };
        match codec::encode(&reply) {
            Ok(body) => {
                Reply { status: StatusCode::OK, headers: HeaderMap::new(), body: body.into() }
            }
            Err(error) => Reply::error(&error),
        }
    }

    async fn handle(&self, message: PeerMessage) -> Result<PeerReply> {
        let handler = self.registry.find::<Rc<dyn PeerHandler>>(message.service())?;
        let lifecycle: Lifecycle = self.registry.find(services::LIFECYCLE).unwrap_or_default();
        let (work, ended) = (handler.handle(message), pin!(lifecycle.reached(Stage::Ending)));
        match select(work, ended).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(Error::OutcomeUnknown),
        }
    }
}

impl Handler for PeerRoute {
    fn start(&self, request: Request) -> Work<'_> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, PEER_PATH) => {}
            (&Method::GET, "/healthz") => {
                return Work::ready(Reply::text(StatusCode::OK, "ok\n"));
            }
            (_, path) => {
                let error = Error::NotFound { path: path.to_owned() };
                return Work::ready(Reply::error(&error));
            }
        }
        let message: PeerMessage = match codec::decode(&request.body) {
            Ok(message) => message,
            Err(error) => return Work::ready(Reply::error(&Error::bad_request(error))),
        };
        // A search is dropped when its sender disconnects. A request that must run at most once
        // continues, so that its outcome can be requested again.
        match kind_of(&message) {
            MessageKind::Exclusive => Work::detached(self.answer(message)),
            MessageKind::Control | MessageKind::Search => Work::new(self.answer(message)),
        }
    }
}
