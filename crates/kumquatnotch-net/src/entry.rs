//! The routes for callers and operators.

use std::rc::Rc;

use http::{Method, StatusCode};
use kumquatnotch_core::{
    Error, LocalFuture, Result,
    front::{ExclusiveBody, Front},
    ticket::Outcome,
};
use serde::Serialize;

use crate::{
    message::{Reply, Request, TEXT},
    server::{Handler, Work},
};

/// What a node shows its operators.
pub trait Operator {
    /// Whether it serves callers.
    fn is_ready(&self) -> bool;

    /// Its state as text.
    fn status(&self) -> String;

    /// The configuration in force on each known node.
    fn config(&self) -> LocalFuture<'_, serde_json::Value>;

    /// Its metrics in Prometheus' text form.
    fn metrics(&self) -> String;
}

/// The routes for callers and operators.
pub struct EntryRoute {
    front: Rc<dyn Front>,
    operator: Rc<dyn Operator>,
}

#[derive(Serialize)]
struct Done {
    done: serde_json::Value,
}

impl EntryRoute {
    /// Routes to `front` and `operator`.
    pub fn new(front: Rc<dyn Front>, operator: Rc<dyn Operator>) -> EntryRoute {
        EntryRoute { front, operator }
    }

    async fn search(&self, request: Request) -> Reply {
        let answer = async {
            let key = key_of(&request)?;
            self.front.search(key, request.json()?).await
        };
        to_reply(answer.await)
    }

    fn ticket(&self, request: &Request) -> Reply {
        to_reply(key_of(request).and_then(|key| self.front.ticket(key)))
    }

    async fn exclusive(&self, request: Request) -> Reply {
        let outcome = async {
            let key = key_of(&request)?;
            let body: ExclusiveBody = request.json()?;
            self.front.exclusive(key, body).await
        };
        match outcome.await {
            Ok(Outcome::Done(done)) => Reply::json(StatusCode::OK, &Done { done }),
            Ok(Outcome::Failed(error)) | Err(error) => Reply::error(&error),
        }
    }

    fn advice(&self, request: &Request) -> Reply {
        Reply::json(StatusCode::OK, &self.front.advice(request.field("near")))
    }

    fn ready(&self) -> Reply {
        match self.operator.is_ready() {
            true => Reply::text(StatusCode::OK, "ready\n"),
            false => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    async fn config(&self) -> Reply {
        Reply::json(StatusCode::OK, &self.operator.config().await)
    }
}

impl Handler for EntryRoute {
    fn start(&self, request: Request) -> Work<'_> {
        let allowed = match request.path.as_str() {
            "/v1/search" | "/v1/tickets" | "/v1/exclusive" => Method::POST,
            "/v1/entry" | "/healthz" | "/readyz" | "/status" | "/v1/config" | "/metrics" => {
                Method::GET
            }
            path => {
                let error = Error::NotFound { path: path.to_owned() };
                return Work::ready(Reply::error(&error));
            }
        };
        if request.method != allowed {
            return Work::ready(Reply::error(&Error::MethodNotAllowed));
        }
        match request.path.as_str() {
            "/v1/search" => Work::new(self.search(request)),
            "/v1/tickets" => Work::ready(self.ticket(&request)),
            "/v1/exclusive" => Work::lasting(self.exclusive(request)),
            "/v1/entry" => Work::ready(self.advice(&request)),
            "/readyz" => Work::ready(self.ready()),
            "/status" => Work::ready(Reply::text(StatusCode::OK, self.operator.status())),
            "/v1/config" => Work::new(self.config()),
            "/metrics" => Work::ready(Reply::new(StatusCode::OK, TEXT, self.operator.metrics())),
            _ => Work::ready(Reply::text(StatusCode::OK, "ok\n")),
        }
    }
}

fn key_of(request: &Request) -> Result<&str> {
    request.bearer().ok_or(Error::Unauthorised)
}

fn to_reply<T: Serialize>(result: Result<T>) -> Reply {
    match result {
        Ok(value) => Reply::json(StatusCode::OK, &value),
        Err(error) => Reply::error(&error),
    }
}
