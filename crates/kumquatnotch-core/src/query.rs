//! Search requests of callers, and the messages between the nodes of a query.

use serde::{Deserialize, Serialize};

use crate::{
    document::Class,
    ids::{Fingerprint, IndexVersion, QueryId, SelectorName, ShardName, TenantName, stable_hash},
};

/// A search as a caller sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// The selector of the targets that the search may reach.
    pub selector: SelectorName,
    /// The query, passed to the targets unchanged.
    pub query: serde_json::Value,
    /// Maximum number of hits to return.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Time that the caller waits, in milliseconds, bounded by the selector's deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

fn default_limit() -> u32 {
    10
}

impl SearchRequest {
    /// Returns the fingerprint that identifies repetitions of this request by the same tenant.
    pub fn fingerprint(&self, tenant: &TenantName) -> Fingerprint {
        let query = self.query.to_string();
        let parts: [&[u8]; 3] = [tenant.as_bytes(), self.selector.as_bytes(), query.as_bytes()];
        Fingerprint(stable_hash(&parts))
    }
}

/// The sub-request that a root sends to the holder of a group of shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRequest {
    /// The query it belongs to.
    pub query: QueryId,
    /// The tenant it runs for.
    pub tenant: TenantName,
    /// Its class.
    pub class: Class,
    /// The selector by which the holder finds the replicas.
    pub selector: SelectorName,
    /// The snapshot that it must be answered from.
    pub version: IndexVersion,
    /// The requested shards.
    pub shards: Vec<ShardName>,
    /// The query as JSON text.
    pub body: String,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// Fingerprint that identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Time left until a partial answer is accepted, in milliseconds.
    pub patience_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether this is a hedged request, sent because the first one is late.
    pub hedge: bool,
}

/// One hit of a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The key of the entry, which appears at most once in an answer.
    pub key: String,
    /// The score by which hits are ranked, the highest first.
    pub score: f64,
    /// The tenant that owns the entry.
    #[serde(default)]
    pub owner: Option<TenantName>,
    /// The fields that every tenant may see.
    #[serde(default)]
    pub fields: serde_json::Value,
    /// The fields that only the owner may see.
    #[serde(default)]
    pub private: Option<serde_json::Value>,
}
