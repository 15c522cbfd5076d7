//! The log line and the metrics of a request.

use std::{cell::Cell, rc::Rc, time::Instant};

use http::{HeaderValue, StatusCode};

use crate::{call::CallStats, headers, route::Route, router::Router};

/// The route, deadlines and identity of a request.
pub(crate) struct RequestContext {
    pub(crate) identity: HeaderValue,
    pub(crate) route: Rc<Route>,
    pub(crate) version: u64,
    pub(crate) arrival: Instant,
    /// The latest time at which an answer meets the objective.
    pub(crate) due: Instant,
    pub(crate) deadline: Instant,
    /// Whether the caller retries so late that the answer can't meet the objective.
    pub(crate) is_late_retry: bool,
}

/// Logs one line for each request, even if its caller disconnects.
pub(crate) struct RequestLog<'a> {
    router: &'a Router,
    context: &'a RequestContext,
    pub(crate) stats: CallStats,
    pub(crate) parts: Cell<usize>,
    pub(crate) missing: Cell<usize>,
    pub(crate) relayed: Cell<usize>,
    written: Cell<bool>,
}

impl<'a> RequestLog<'a> {
    pub(crate) fn new(router: &'a Router, context: &'a RequestContext) -> RequestLog<'a> {
        RequestLog {
            router,
            context,
            stats: CallStats::default(),
            parts: Cell::new(0),
            missing: Cell::new(0),
            relayed: Cell::new(0),
            written: Cell::new(false),
        }
    }

    /// Writes the log line and updates the metrics.
    pub(crate) fn write(&self, status: StatusCode, reason: &'static str) {
        self.written.set(true);
        let context = self.context;
        let took = self.router.clock.now().saturating_duration_since(context.arrival);
        let route = context.route.name.as_str();
        metrics::counter!(
            "kumquatnotch_requests_total",
            "route" => route.to_owned(),
            "status" => status.as_str().to_owned()
        )
        .increment(1);
        metrics::histogram!("kumquatnotch_request_seconds", "route" => route.to_owned())
            .record(took.as_secs_f64());
        tracing::info!(
            request = %headers::log_text(&context.identity),
            route,
            version = context.version,
            status = status.as_u16(),
            reason,
            ms = took.as_millis() as u64,
            due_ms = context.due.saturating_duration_since(context.arrival).as_millis() as u64,
            left_ms =
                context.deadline.saturating_duration_since(self.router.clock.now()).as_millis()
                    as u64,
            parts = self.parts.get(),
            missing = self.missing.get(),
            relayed = self.relayed.get(),
            hedges = self.stats.hedges.get(),
            retries = self.stats.retries.get(),
            "front: answered"
        );
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if !self.written.get() {
            self.write(StatusCode::REQUEST_TIMEOUT, "the caller went away");
        }
    }
}
