//! The interface to callers, independent of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    LocalFuture, Result,
    answer::Answer,
    document::Document,
    ids::{SelectorName, TenantName},
    query::SearchRequest,
    ticket::Outcome,
};

/// The operations that a node offers to callers.
///
/// Every method except [`Front::advice`] takes the caller's key, which identifies
/// its tenant.
pub trait Front {
    /// Answers a search.
    fn search<'a>(
        &'a self,
        key: &'a str,
        request: SearchRequest,
    ) -> LocalFuture<'a, Result<Answer>>;

    /// Issues a ticket for one non-idempotent request.
    fn ticket(&self, key: &str) -> Result<TicketGrant>;

    /// Runs a non-idempotent request at most once, or returns its outcome if it already ran.
    fn exclusive<'a>(
        &'a self,
        key: &'a str,
        body: ExclusiveBody,
    ) -> LocalFuture<'a, Result<Outcome>>;

    /// Returns the addresses that a caller should use, given the data centre that it reports.
    fn advice(&self, near: Option<&str>) -> EntryAdvice;
}

/// An issued ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketGrant {
    /// The ticket, in its text form.
    pub ticket: String,
    /// Time in which the request may be sent and its outcome queried, in milliseconds.
    pub valid_ms: u64,
}

/// A non-idempotent request as sent by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExclusiveBody {
    /// The ticket that was issued for it.
    pub ticket: String,
    /// The selector of the targets that the request may reach.
    pub selector: SelectorName,
    /// The key by which the shard is chosen, such as the room or van.
    pub key: String,
    /// The request, passed to the target unchanged.
    pub request: serde_json::Value,
    /// Time that the caller waits, in milliseconds, bounded by the selector's deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// The addresses that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAdvice {
    /// The addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the advice may be cached, in milliseconds.
    pub valid_ms: u64,
}

/// Returns the digest by which a document lists a caller's key.
pub fn key_digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the tenant that a key belongs to.
pub fn tenant_of<'a>(document: &'a Document, key: &str) -> Option<&'a TenantName> {
    let digest = key_digest(key);
    let tenants = document.rules.tenants.iter();
    tenants.filter(|(_, tenant)| tenant.keys.contains(&digest)).map(|(name, _)| name).next()
}
