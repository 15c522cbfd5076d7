//! The requests that a server has begun to read and not yet answered.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use kumquatnotch_core::collections::HashMap;

/// How far the handling of a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It is being read.
    Reading,
    /// It was read, and its reply is awaited.
    Running,
    /// Its reply is being sent.
    Replying,
}

impl RequestStage {
    fn as_str(self) -> &'static str {
        match self {
            RequestStage::Reading => "reading",
            RequestStage::Running => "running",
            RequestStage::Replying => "replying",
        }
    }
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    /// Its identity; empty until its head has been read.
    identity: String,
    /// How far it has come.
    stage: RequestStage,
    /// When its first byte was read.
    since: Instant,
}

impl OpenRequest {
    /// Writes the log line of a request that gets no answer, as its process exits.
    pub(crate) fn log_cut(&self, server: &'static str, now: Instant, drained: Option<Instant>) {
        let after = |start: Instant| self.since.saturating_duration_since(start);
        tracing::warn!(
            request = self.identity,
            server,
            stage = self.stage.as_str(),
            age_ms = now.saturating_duration_since(self.since).as_millis() as u64,
            read_after_drain_ms = drained.map_or(Duration::ZERO, after).as_millis() as u64,
            "net: request cut at the exit"
        );
    }
}

/// The open requests of a server.
#[derive(Default)]
pub(crate) struct OpenRequests {
    next: Cell<u64>,
    requests: RefCell<HashMap<u64, OpenRequest>>,
}

impl OpenRequests {
    /// Adds a request whose first byte was read at `now`, until the guard is dropped.
    pub(crate) fn add(&self, now: Instant) -> OpenGuard<'_> {
        let key = self.next.get();
        self.next.set(key + 1);
        let request =
            OpenRequest { identity: String::new(), stage: RequestStage::Reading, since: now };
        self.requests.borrow_mut().insert(key, request);
        OpenGuard { open: self, key }
    }

    /// Returns the number of requests.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Returns the requests, oldest first.
    pub(crate) fn list(&self) -> Vec<OpenRequest> {
        let mut list: Vec<OpenRequest> = self.requests.borrow().values().cloned().collect();
        list.sort_by_key(|request| request.since);
        list
    }
}

/// Guard that keeps a request listed as open until it is dropped.
pub(crate) struct OpenGuard<'a> {
    open: &'a OpenRequests,
    key: u64,
}

impl OpenGuard<'_> {
    /// Notes that the request was read and runs from now on.
    pub(crate) fn start(&self, identity: &str) {
        self.update(|request| {
            request.identity = identity.to_owned();
            request.stage = RequestStage::Running;
        });
    }

    /// Notes that its reply is being sent.
    pub(crate) fn reply(&self) {
        self.update(|request| request.stage = RequestStage::Replying);
    }

    fn update(&self, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.open.requests.borrow_mut().get_mut(&self.key) {
            change(request);
        }
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.open.requests.borrow_mut().remove(&self.key);
    }
}
