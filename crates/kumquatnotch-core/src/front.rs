//! The border to callers: what a node does for them, apart from any protocol.

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

/// What a node does for callers.
///
/// Every call but [`Front::advice`] presents the caller's key, by which its
/// tenant is known.
pub trait Front {
    /// Answers a search.
    fn search<'a>(
        &'a self,
        key: &'a str,
        request: SearchRequest,
    ) -> LocalFuture<'a, Result<Answer>>;

    /// Issues a ticket for one non-idempotent request.
    fn ticket(&self, key: &str) -> Result<TicketGrant>;

    /// Runs a non-idempotent request at most once, or tells its outcome again.
    fn exclusive<'a>(
        &'a self,
        key: &'a str,
        body: ExclusiveBody,
    ) -> LocalFuture<'a, Result<Outcome>>;

    /// The addresses that a caller should use; `near` is the data centre it names.
    fn advice(&self, near: Option<&str>) -> EntryAdvice;
}

/// A ticket that was issued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketGrant {
    /// The ticket, in its text form.
    pub ticket: String,
    /// How long the request may be sent and its outcome asked for, in milliseconds.
    pub valid_ms: u64,
}

/// A non-idempotent request as a caller sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExclusiveBody {
    /// The ticket that was issued for it.
    pub ticket: String,
    /// The selector that says what it may reach.
    pub selector: SelectorName,
    /// The key by which the shard is chosen, such as the room or van.
    pub key: String,
    /// The request, passed to the target as it is.
    pub request: serde_json::Value,
    /// The time the caller waits, in milliseconds; the selector's bound applies.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Which addresses a caller should use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAdvice {
    /// The addresses, the first one first.
    pub addresses: Vec<SocketAddr>,
    /// How long this may be kept, in milliseconds.
    pub valid_ms: u64,
}

/// The digest under which a caller's key stands in a document.
pub fn key_digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The tenant that a key belongs to.
pub fn tenant_of<'a>(document: &'a Document, key: &str) -> Option<&'a TenantName> {
    let digest = key_digest(key);
    let tenants = document.rules.tenants.iter();
    tenants.filter(|(_, tenant)| tenant.keys.contains(&digest)).map(|(name, _)| name).next()
}
