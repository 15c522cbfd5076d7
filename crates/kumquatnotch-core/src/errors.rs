//! Errors with numbered result codes.
//!
//! Every refusal and failure that is visible to a caller, operator or peer is a
//! variant of [`Error`] with a stable code, listed in docs/ERRORS.md. The
//! thousands digit gives the category: 1 invalid request, 2 refused before
//! anything ran, 3 outcome of the request, 4 targets and peers, 5 platform,
//! 6 configuration, 9 internal.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The result of an operation that fails with a numbered [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum length of a description, in bytes.
///
/// Those by libraries may quote what another program sent, which has up to a megabyte.
const MAX_DETAIL_BYTES: usize = 500;

/// A failure with a stable numeric code.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// malformed request: {detail}
    BadRequest {
        /// Description of the fault.
        detail: String,
    },
    /// body exceeds {limit} bytes
    BodyTooLarge {
        /// Maximum body size, in bytes.
        limit: u64,
    },
    /// unknown selector {name}
    UnknownSelector {
        /// The requested name.
        name: String,
    },
    /// missing or unknown key
    Unauthorised,
    /// this tenant may not use selector {name}
    Forbidden {
        /// The requested selector.
        name: String,
    },
    /// no resource at {path}
    NotFound {
        /// The requested path.
        path: String,
    },
    /// method not allowed
    MethodNotAllowed,
    /// invalid ticket: malformed or not issued to this tenant
    BadTicket,
    /// ticket expired; it can no longer run a request
    TicketExpired,
    /// invalid expression `{term}`: {detail}
    BadExpression {
        /// The invalid term.
        term: String,
        /// Description of the fault.
        detail: String,
    },
    /// overloaded, not run; retry in {retry_ms} ms
    Overloaded {
        /// Time until a retry is useful, in milliseconds.
        retry_ms: u64,
    },
    /// this request has crashed targets and is refused for {retry_ms} ms; not run
    Contained {
        /// Time until the refusal expires, in milliseconds.
        retry_ms: u64,
    },
    /// this node is shutting down, not run; use another address
    Leaving,
    /// this node has no confirmed configuration yet, not run
    NotReady,
    /// deadline exceeded in the queue, not run
    ExpiredInQueue,
    /// no target can take the request now, not run
    NoTarget,
    /// the target refused the request without running it; retry in {retry_ms} ms
    Shed {
        /// Time until a retry is useful, in milliseconds.
        retry_ms: u64,
    },
    /// the target is draining, not run
    Draining,
    /// request cancelled by the caller, not run
    Cancelled,
    /// the requests in flight take all room for bodies, not run; retry in {retry_ms} ms
    BodiesFull {
        /// Time until a retry is useful, in milliseconds.
        retry_ms: u64,
    },
    /// outcome unknown: the request may have run once and will not be run again
    OutcomeUnknown,
    /// the request is still running; ask again with the same ticket
    StillRunning,
    /// the node that holds the outcome is unreachable; ask again with the same ticket
    IssuerUnreachable,
    /// no shard answered
    NothingCovered,
    /// no index version covers the selector
    NoSnapshot,
    /// abandoned for lack of capacity after running in part; retry in {retry_ms} ms
    GivenUp {
        /// Time until a retry is useful, in milliseconds.
        retry_ms: u64,
    },
    /// failed to open a connection; nothing was sent
    ConnectFailed,
    /// connection refused: no process listens at the address; nothing was sent
    ConnectRefused,
    /// connection lost after the request was sent
    ConnectionLost,
    /// connection stopped responding
    ConnectionSilent,
    /// protocol error: {detail}
    Protocol {
        /// Description of the violation.
        detail: String,
    },
    /// deadline exceeded
    TimedOut,
    /// index version {version} is not available
    VersionGone {
        /// The requested version.
        version: u64,
    },
    /// the target failed: {detail}
    TargetFailed {
        /// The failure that the target reported.
        detail: String,
    },
    /// the platform's store is unavailable
    PlatformUnavailable,
    /// compare failed: the key has changed since it was read
    CompareFailed,
    /// write outcome unknown: the reply was lost and the write may have taken effect
    WriteUnknown,
    /// value exceeds {limit} bytes
    ValueTooLarge {
        /// Maximum value size, in bytes.
        limit: u64,
    },
    /// the platform's store is busy and refused the call
    PlatformBusy,
    /// lease has expired
    LeaseGone,
    /// invalid settings: {detail}
    BadSettings {
        /// The faults, each with its path and line.
        detail: String,
    },
    /// invalid document: {detail}
    BadDocument {
        /// The faults, each with its path and line.
        detail: String,
    },
    /// conflict: another operator has published version {version}: {detail}
    Conflict {
        /// The version now in the platform's store.
        version: u64,
        /// The changes that it made.
        detail: String,
    },
    /// version {version} is older than the one in force
    StaleVersion {
        /// The rejected version.
        version: u64,
    },
    /// stored value does not match its digest
    DigestMismatch,
    /// version {version} is no longer kept
    VersionUnknown {
        /// The requested version.
        version: u64,
    },
    /// service {name} is not registered
    ServiceMissing {
        /// The name looked up.
        name: String,
    },
    /// internal error: {detail}
    Internal {
        /// Description of the fault.
        detail: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the code, as listed in docs/ERRORS.md.
    pub fn code(&self) -> u16 {
        match self {
            Error::BadRequest { .. } => 1001,
            Error::BodyTooLarge { .. } => 1002,
            Error::UnknownSelector { .. } => 1003,
            Error::Unauthorised => 1004,
            Error::Forbidden { .. } => 1005,
            Error::NotFound { .. } => 1006,
            Error::MethodNotAllowed => 1007,
            Error::BadTicket => 1008,
            Error::TicketExpired => 1009,
            Error::BadExpression { .. } => 1010,
            Error::Overloaded { .. } => 2001,
            Error::Contained { .. } => 2002,
            Error::Leaving => 2003,
            Error::NotReady => 2004,
            Error::ExpiredInQueue => 2005,
            Error::NoTarget => 2006,
            Error::Shed { .. } => 2007,
            Error::Draining => 2008,
            Error::Cancelled => 2009,
            Error::BodiesFull { .. } => 2010,
            Error::OutcomeUnknown => 3001,
            Error::StillRunning => 3002,
            Error::IssuerUnreachable => 3003,
            Error::NothingCovered => 3004,
            Error::NoSnapshot => 3005,
            Error::GivenUp { .. } => 3006,
            Error::ConnectFailed => 4001,
            Error::ConnectionLost => 4002,
            Error::ConnectionSilent => 4003,
            Error::Protocol { .. } => 4004,
            Error::TimedOut => 4005,
            Error::VersionGone { .. } => 4006,
            Error::TargetFailed { .. } => 4007,
            Error::ConnectRefused => 4008,
            Error::PlatformUnavailable => 5001,
            Error::CompareFailed => 5002,
            Error::WriteUnknown => 5003,
            Error::ValueTooLarge { .. } => 5004,
            Error::PlatformBusy => 5005,
            Error::LeaseGone => 5006,
            Error::BadSettings { .. } => 6001,
            Error::BadDocument { .. } => 6002,
            Error::Conflict { .. } => 6003,
            Error::StaleVersion { .. } => 6004,
            Error::DigestMismatch => 6005,
            Error::VersionUnknown { .. } => 6006,
            Error::ServiceMissing { .. } => 9001,
            Error::Internal { .. } => 9002,
        }
    }

    /// Returns whether it is certain that no target ran the request.
    pub fn is_not_run(&self) -> bool {
        match self {
            // Nothing was sent, or the refusing side reports that it ran nothing.
            Error::Overloaded { .. }
            | Error::Contained { .. }
            | Error::Leaving
            | Error::NotReady
            | Error::ExpiredInQueue
            | Error::NoTarget
            | Error::Shed { .. }
            | Error::Draining
            | Error::Cancelled
            | Error::BodiesFull { .. }
            | Error::ConnectFailed
            | Error::ConnectRefused
            | Error::VersionGone { .. } => true,
            // An invalid request is never forwarded.
            _ => matches!(self.code(), 1000..=1008 | 1010..=1999),
        }
    }

    /// Returns the time until a retry is useful, if the error gives one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Overloaded { retry_ms }
            | Error::Contained { retry_ms }
            | Error::GivenUp { retry_ms }
            | Error::BodiesFull { retry_ms }
            | Error::Shed { retry_ms } => Some(Duration::from_millis(*retry_ms)),
            _ => None,
        }
    }

    /// Returns the HTTP status of replies with this error.
    pub fn status(&self) -> u16 {
        match self {
            Error::BodyTooLarge { .. } => 413,
            Error::Unauthorised => 401,
            Error::Forbidden { .. } | Error::BadTicket => 403,
            Error::UnknownSelector { .. } | Error::NotFound { .. } => 404,
            Error::MethodNotAllowed => 405,
            Error::TicketExpired => 410,
            Error::Overloaded { .. } | Error::Shed { .. } | Error::GivenUp { .. } => 429,
            Error::Contained { .. } => 422,
            Error::StillRunning => 202,
            Error::OutcomeUnknown => 502,
            Error::TimedOut | Error::ExpiredInQueue => 504,
            Error::CompareFailed | Error::Conflict { .. } => 409,
            Error::Internal { .. } | Error::ServiceMissing { .. } => 500,
            _ => match self.code() {
                1000..=1999 => 400,
                6000..=6999 => 400,
                _ => 503,
            },
        }
    }

    /// Creates an error for a malformed request.
    pub fn bad_request(detail: impl ToString) -> Error {
        Error::BadRequest { detail: shorten(detail.to_string()) }
    }

    /// Creates an error for an invalid expression.
    pub fn bad_expression(term: &str, detail: &str) -> Error {
        Error::BadExpression { term: term.to_owned(), detail: detail.to_owned() }
    }

    /// Creates an error for a protocol violation by the remote side.
    pub fn protocol(detail: impl ToString) -> Error {
        Error::Protocol { detail: shorten(detail.to_string()) }
    }

    /// Creates a refusal for lack of capacity, with the time until a retry is useful.
    pub fn overloaded(retry: Duration) -> Error {
        Error::Overloaded { retry_ms: retry.as_millis() as u64 }
    }

    /// Creates an internal error.
    pub fn internal(detail: impl ToString) -> Error {
        Error::Internal { detail: shorten(detail.to_string()) }
    }
}

/// Cuts off what exceeds the maximum length.
fn shorten(mut detail: String) -> String {
    if detail.len() > MAX_DETAIL_BYTES {
        let mut ends = (0..=MAX_DETAIL_BYTES).rev();
        let end = ends.find(|end| detail.is_char_boundary(*end)).unwrap_or_default();
        detail.truncate(end);
        detail.push('\u{2026}');
    }
    detail
}
