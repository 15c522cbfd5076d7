//! Tickets of non-idempotent requests.
//!
//! A ticket names the node and the incarnation that issued it. Only that
//! incarnation runs the request, at most once; other nodes forward the request to
//! it. Callers store and send tickets in text form.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    ids::{Incarnation, NodeName, SelectorName, TenantName},
};

/// A ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The node that issued it.
    pub issuer: NodeName,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// The serial number of the ticket at its issuer.
    pub serial: u64,
    /// Time of issue, in milliseconds of the issuer's own clock since its start.
    pub issued_ms: u64,
    /// Keyed hash by which the issuer verifies that it issued the ticket to the tenant.
    pub seal: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Ticket { issuer, incarnation, serial, issued_ms, seal } = self;
        write!(f, "{issuer}:{:x}:{serial:x}:{issued_ms:x}:{seal:x}", incarnation.0)
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Ticket> {
        let parts: Vec<&str> = text.split(':').collect();
        let [issuer, incarnation, serial, issued, seal] = parts.as_slice() else {
            return Err(Error::BadTicket);
        };
        if issuer.is_empty() {
            return Err(Error::BadTicket);
        }
        Ok(Ticket {
            issuer: NodeName::from(*issuer),
            incarnation: Incarnation(parse_hex(incarnation)?),
            serial: parse_hex(serial)?,
            issued_ms: parse_hex(issued)?,
            seal: parse_hex(seal)?,
        })
    }
}

fn parse_hex(text: &str) -> Result<u64> {
    u64::from_str_radix(text, 16).map_err(|_| Error::BadTicket)
}

/// A non-idempotent request under a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExclusiveRequest {
    /// The ticket, in its text form.
    pub ticket: String,
    /// The tenant it runs for.
    pub tenant: TenantName,
    /// The selector of the targets that the request may reach.
    pub selector: SelectorName,
    /// The key by which the shard is chosen.
    pub key: String,
    /// The request as JSON text, passed to the target unchanged.
    pub body: String,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// The outcome of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, with this result.
    Done(serde_json::Value),
    /// The request failed; if [`Error::is_not_run`] holds, it certainly did not run.
    Failed(Error),
}
