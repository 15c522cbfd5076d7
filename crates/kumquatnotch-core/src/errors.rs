//! Errors with numbered result codes.
//!
//! Every refusal and failure that a caller, operator or peer can see is a
//! variant of [`Error`] with a number that never changes its meaning; the table
//! is docs/ERRORS.md. The thousands tell the kind: 1 the request is at fault,
//! 2 a refusal before anything ran, 3 the outcome, 4 targets and peers, 5 the
//! platform, 6 configuration, 9 the tier itself.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The result of an operation that fails with a numbered [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure with a numbered code.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// the request can't be read: {detail}
    BadRequest {
        /// What is wrong with it.
        detail: String,
    },
    /// the body has more than {limit} bytes
    BodyTooLarge {
        /// The largest body taken, in bytes.
        limit: u64,
    },
    /// there is no selector named {name}
    UnknownSelector {
        /// The name asked for.
        name: String,
    },
    /// the key is missing or not known
    Unauthorised,
    /// this tenant may not use selector {name}
    Forbidden {
        /// The selector asked for.
        name: String,
    },
    /// nothing is served at {path}
    NotFound {
        /// The path asked for.
        path: String,
    },
    /// the method isn't served here
    MethodNotAllowed,
    /// the ticket can't be read or wasn't issued to this tenant
    BadTicket,
    /// the ticket has expired; nothing runs under it any more
    TicketExpired,
    /// expression `{term}`: {detail}
    BadExpression {
        /// The term at fault.
        term: String,
        /// What is wrong with it.
        detail: String,
    },
    /// overloaded, not run; come back in {retry_ms} ms
    Overloaded {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// this request has crashed targets and is refused for {retry_ms} ms; not run
    Contained {
        /// When the refusal expires, in milliseconds.
        retry_ms: u64,
    },
    /// this node is leaving, not run; use another address
    Leaving,
    /// this node has no confirmed configuration yet, not run
    NotReady,
    /// the deadline passed while the request waited, not run
    ExpiredInQueue,
    /// no target can take the request now, not run
    NoTarget,
    /// the target refused the request without running it; come back in {retry_ms} ms
    Shed {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// the target is draining, not run
    Draining,
    /// the caller has gone away, not run
    Cancelled,
    /// the outcome is unknown: the request may have run once and is never run again
    OutcomeUnknown,
    /// the request still runs; ask again with the same ticket
    StillRunning,
    /// the node that holds the outcome can't be reached now; ask again with the same ticket
    IssuerUnreachable,
    /// no shard answered
    NothingCovered,
    /// no version of the index covers the selector
    NoSnapshot,
    /// given up for want of capacity after a part of it ran; come back in {retry_ms} ms
    GivenUp {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// the connection could not be opened; nothing was sent
    ConnectFailed,
    /// no process listens at the address; nothing was sent
    ConnectRefused,
    /// the connection broke after the request was sent
    ConnectionLost,
    /// the connection went silent
    ConnectionSilent,
    /// the other side broke the protocol: {detail}
    Protocol {
        /// What it did.
        detail: String,
    },
    /// the time ran out
    TimedOut,
    /// index version {version} isn't held here
    VersionGone {
        /// The version asked for.
        version: u64,
    },
    /// the target failed: {detail}
    TargetFailed {
        /// What it reported.
        detail: String,
    },
    /// the platform's service can't be reached
    PlatformUnavailable,
    /// the key has changed since it was read
    CompareFailed,
    /// the write may have taken effect; its reply was lost
    WriteUnknown,
    /// the value has more than {limit} bytes
    ValueTooLarge {
        /// The largest value taken, in bytes.
        limit: u64,
    },
    /// the platform's service refuses more calls now
    PlatformBusy,
    /// the lease has ended
    LeaseGone,
    /// settings: {detail}
    BadSettings {
        /// Each fault with its path and line.
        detail: String,
    },
    /// document: {detail}
    BadDocument {
        /// Each fault with its path and line.
        detail: String,
    },
    /// another operator made version {version} in between: {detail}
    Conflict {
        /// The version now in the platform's service.
        version: u64,
        /// What it changed.
        detail: String,
    },
    /// version {version} is older than the one in force
    StaleVersion {
        /// The version offered.
        version: u64,
    },
    /// a stored value doesn't have its digest
    DigestMismatch,
    /// version {version} isn't kept any more
    VersionUnknown {
        /// The version asked for.
        version: u64,
    },
    /// service {name} isn't registered
    ServiceMissing {
        /// The name looked up.
        name: String,
    },
    /// internal fault: {detail}
    Internal {
        /// What went wrong.
        detail: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// The number in docs/ERRORS.md.
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

    /// Whether it is certain that no target ran the request.
    pub fn is_not_run(&self) -> bool {
        match self {
            // Nothing was sent, or the side that refused says it ran nothing.
            Error::Overloaded { .. }
            | Error::Contained { .. }
            | Error::Leaving
            | Error::NotReady
            | Error::ExpiredInQueue
            | Error::NoTarget
            | Error::Shed { .. }
            | Error::Draining
            | Error::Cancelled
            | Error::ConnectFailed
            | Error::ConnectRefused
            | Error::VersionGone { .. } => true,
            // A request at fault never leaves the node.
            _ => matches!(self.code(), 1000..=1008 | 1010..=1999),
        }
    }

    /// When to come back, if the refusal says so.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Overloaded { retry_ms }
            | Error::Contained { retry_ms }
            | Error::GivenUp { retry_ms }
            | Error::Shed { retry_ms } => Some(Duration::from_millis(*retry_ms)),
            _ => None,
        }
    }

    /// The HTTP status it travels with.
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

    /// A request that can't be read.
    pub fn bad_request(detail: impl ToString) -> Error {
        Error::BadRequest { detail: detail.to_string() }
    }

    /// An expression that can't be read.
    pub fn bad_expression(term: &str, detail: &str) -> Error {
        Error::BadExpression { term: term.to_owned(), detail: detail.to_owned() }
    }

    /// A breach of protocol by the other side.
    pub fn protocol(detail: impl ToString) -> Error {
        Error::Protocol { detail: detail.to_string() }
    }

    /// A refusal for want of capacity, with the time to come back.
    pub fn overloaded(retry: Duration) -> Error {
        Error::Overloaded { retry_ms: retry.as_millis() as u64 }
    }

    /// A fault of the tier itself.
    pub fn internal(detail: impl ToString) -> Error {
        Error::Internal { detail: detail.to_string() }
    }
}
