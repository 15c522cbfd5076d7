//! Confines a panic to the request whose processing raised it.
//!
//! The runtime does not catch panics of its tasks, so one would end the process and with it all
//! other requests. The processing is dropped, and its client gets an error.

use std::panic::{AssertUnwindSafe, catch_unwind};

use futures_util::FutureExt;
use kumquatnotch_core::Error;

use crate::{
    message::{Reply, Request},
    server::{Handler, Work},
};

/// Number of characters of a path that are logged.
const MAX_LOGGED_PATH: usize = 200;

/// Starts to process a request; a panic becomes an error reply.
pub(crate) fn start(handler: &dyn Handler, request: Request) -> Work<'_> {
    let label = label(&request);
    // What a panic leaves behind is only reached through cells, whose borrows end by unwinding.
    let Ok(Work { reply, detached }) = catch_unwind(AssertUnwindSafe(|| handler.start(request)))
    else {
        return Work::ready(note_panic(&label));
    };
    let reply = AssertUnwindSafe(reply).catch_unwind();
    let reply = Box::pin(async move { reply.await.unwrap_or_else(|_| note_panic(&label)) });
    Work { reply, detached }
}

/// Returns what tells a request from others in the log, without credentials.
fn label(request: &Request) -> String {
    let mut headers = request.headers.iter();
    let identity = headers.find(|(name, _)| name.as_str().ends_with("request-id"));
    let identity = identity.and_then(|(_, value)| value.to_str().ok()).unwrap_or_default();
    let path: String = request.path.chars().take(MAX_LOGGED_PATH).collect();
    format!("{identity} {} {path}", request.method)
}

fn note_panic(label: &str) -> Reply {
    metrics::counter!("kumquatnotch_request_panics_total").increment(1);
    tracing::error!(request = label, "net: the processing of a request has panicked");
    Reply::error(&Error::internal("the processing of the request has panicked"))
}
