//! Interpretation of the replies of targets.

use kumquatnotch_core::{
    Error, Result,
    ids::IndexVersion,
    target::{TargetCall, TargetReply},
};
use serde::Deserialize;

use crate::message::Reply;

/// Retry delay after a refusal that does not specify one, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 50;

#[derive(Deserialize)]
struct Shed {
    retry_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Gone {
    version: Option<u64>,
}

#[derive(Deserialize)]
struct Ended {
    ran: bool,
}

#[derive(Deserialize)]
struct Failure {
    detail: String,
}

/// Converts the reply to a call to a result.
pub(crate) fn read_reply(call: &TargetCall, reply: &Reply) -> Result<TargetReply> {
    match reply.status.as_u16() {
        200 => read_answer(call, reply),
        429 => {
            let shed: Option<Shed> = reply.read_json().ok();
            let retry = shed.and_then(|shed| shed.retry_ms).unwrap_or(DEFAULT_RETRY_MS);
            Err(Error::Shed { retry_ms: retry })
        }
        503 => Err(Error::Draining),
        410 => {
            let requested = call.version.unwrap_or_default().0;
            let body: Option<Gone> = reply.read_json().ok();
            let version = body.and_then(|body| body.version).unwrap_or(requested);
            Err(Error::VersionGone { version })
        }
        499 => Err(ended(reply, Error::Cancelled)),
        504 => Err(ended(reply, Error::ExpiredInQueue)),
        500 => {
            let failure: Option<Failure> = reply.read_json().ok();
            let detail = failure.map(|failure| failure.detail).unwrap_or_default();
            Err(Error::TargetFailed { detail })
        }
        status => Err(Error::protocol(format!("unexpected status {status}"))),
    }
}

fn read_answer(call: &TargetCall, reply: &Reply) -> Result<TargetReply> {
    let answer: TargetReply = reply.read_json()?;
    match call.version {
        // Hits of another snapshot must not be mixed into the answer.
        Some(version) if answer.version != version => Err(wrong_version(version, answer.version)),
        _ => Ok(answer),
    }
}

fn wrong_version(requested: IndexVersion, received: IndexVersion) -> Error {
    Error::protocol(format!("requested version {requested}, reply is from version {received}"))
}

/// Returns the error for a request that ended early: `not_run` only if the target confirms that
/// it has not run.
fn ended(reply: &Reply, not_run: Error) -> Error {
    match reply.read_json() {
        Ok(Ended { ran: false }) => not_run,
        _ => Error::TimedOut,
    }
}
