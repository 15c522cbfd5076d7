//! Reading a reply while its request is still being sent.
//!
//! The other side may reply before it has read a long request, and not read on until its reply is
//! read, or at all. A sender that writes the whole request first would then wait for its deadline.

use std::pin::pin;

use futures_util::future::{Either, select};
use kumquatnotch_core::Result;
use monoio_http::common::error::HttpError;

/// How far a request was sent when its reply was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sending {
    /// It was sent whole.
    Complete,
    /// Part of it was not sent yet. No other request can follow on the connection.
    Partial,
    /// The connection broke while it was being sent.
    Failed,
}

/// Runs `send` and `read` at the same time until the reply is read, and drops `send` then.
///
/// After an error of `send`, what the other side sent before it closed the connection is still
/// read.
pub(crate) async fn read_while_sending<T>(
    send: impl Future<Output = Result<(), HttpError>>,
    read: impl Future<Output = Result<T>>,
) -> Result<(T, Sending)> {
    match select(pin!(send), pin!(read)).await {
        Either::Left((Ok(()), read)) => Ok((read.await?, Sending::Complete)),
        Either::Left((Err(_), read)) => Ok((read.await?, Sending::Failed)),
        Either::Right((reply, _)) => Ok((reply?, Sending::Partial)),
    }
}
