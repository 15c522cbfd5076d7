//! HTTP routes for callers and operators.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use http::{Method, StatusCode};
use kumquatnotch_core::{
    Error, LocalFuture, Result,
    front::{ExclusiveBody, Front},
    lifecycle::{Lifecycle, Stage},
    registry::Registry,
    report::ConfigReport,
    services,
    ticket::Outcome,
};
use serde::Serialize;

use crate::{
    message::{Reply, Request},
    server::{Handler, Work},
};

/// The state of a node that is exposed to operators.
pub trait Operator {
    /// Returns whether the node serves callers.
    fn is_ready(&self) -> bool;

    /// Returns the state of the node as text.
    fn status(&self) -> String;

    /// Returns the configuration in force on each known node.
    fn config(&self) -> LocalFuture<'_, ConfigReport>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// The name under which an `Rc<dyn Operator>` is registered.
pub const OPERATOR: &str = "operator";

/// Time after which a caller may retry when the limit on concurrent searches was reached.
const OVERLOAD_RETRY: Duration = Duration::from_millis(100);

/// Handles the routes for callers and operators.
///
/// Services are looked up per request: they need the address of the listener, so the listener
/// starts before they are registered.
pub struct EntryRoute {
    registry: Registry,
    max_searches: usize,
    searches: Cell<usize>,
}

#[derive(Serialize)]
struct Done {
    done: serde_json::Value,
}

impl EntryRoute {
    /// Creates routes to the services of `registry`, with at most `max_searches` concurrent
    /// searches.
    pub fn new(registry: Registry, max_searches: usize) -> EntryRoute {
        EntryRoute { registry, max_searches, searches: Cell::new(0) }
    }

    fn front(&self) -> Result<Rc<dyn Front>> {
        self.registry.find(services::FRONT)
    }

    fn operator(&self) -> Result<Rc<dyn Operator>> {
        self.registry.find(OPERATOR)
    }

    async fn search(&self, request: Request) -> Reply {
        // Only searches are refused here. A refusal says "not run", and only the front knows
        // whether a non-idempotent request has already run.
        if self.searches.get() >= self.max_searches {
            return Reply::error(&Error::overloaded(OVERLOAD_RETRY));
        }
        let _running = SearchGuard::new(&self.searches);
        let answer = async {
            let key = key_of(&request)?;
            self.front()?.search(key, request.json()?).await
        };
        to_reply(self.until_end(answer, Error::OutcomeUnknown).await)
    }

    /// Returns the result of `work`, or `error` if the node exits first.
    async fn until_end<T>(&self, work: impl Future<Output = Result<T>>, error: Error) -> Result<T> {
        let Ok(lifecycle) = self.registry.find::<Lifecycle>(services::LIFECYCLE) else {
            return work.await;
        };
        let (work, ended) = (pin!(work), pin!(lifecycle.reached(Stage::Ending)));
        match select(work, ended).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(error),
        }
    }

    fn ticket(&self, request: &Request) -> Reply {
        to_reply(key_of(request).and_then(|key| self.front()?.ticket(key)))
    }

    async fn exclusive(&self, request: Request) -> Reply {
        let outcome = async {
            let key = key_of(&request)?;
            let body: ExclusiveBody = request.json()?;
            self.front()?.exclusive(key, body).await
        };
        // Another node can tell the outcome, or that it is unknown.
        match self.until_end(outcome, Error::StillRunning).await {
            Ok(Outcome::Done(done)) => Reply::json(StatusCode::OK, &Done { done }),
            Ok(Outcome::Failed(error)) | Err(error) => Reply::error(&error),
        }
    }

    fn advice(&self, request: &Request) -> Reply {
        let near = request.query_param("near");
        to_reply(self.front().map(|front| front.advice(near.as_deref())))
    }

    async fn config(&self) -> Reply {
        match self.operator() {
            Ok(operator) => Reply::json(StatusCode::OK, &operator.config().await),
            Err(error) => Reply::error(&error),
        }
    }

    fn page(&self, page: impl FnOnce(&dyn Operator) -> Reply) -> Work<'_> {
        Work::ready(match self.operator() {
            Ok(operator) => page(&*operator),
            Err(error) => Reply::error(&error),
        })
    }
}

/// Counts a search while it runs.
struct SearchGuard<'a>(&'a Cell<usize>);

impl<'a> SearchGuard<'a> {
    fn new(cell: &'a Cell<usize>) -> SearchGuard<'a> {
        cell.set(cell.get() + 1);
        SearchGuard(cell)
    }
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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
            "/v1/exclusive" => Work::detached(self.exclusive(request)),
            "/v1/entry" => Work::ready(self.advice(&request)),
            "/readyz" => self.page(ready),
            "/status" => self.page(|operator| Reply::text(StatusCode::OK, operator.status())),
            "/metrics" => self.page(|operator| Reply::text(StatusCode::OK, operator.metrics())),
            "/v1/config" => Work::new(self.config()),
            _ => Work::ready(Reply::text(StatusCode::OK, "ok\n")),
        }
    }
}

fn ready(operator: &dyn Operator) -> Reply {
    match operator.is_ready() {
        true => Reply::text(StatusCode::OK, "ready\n"),
        false => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
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
