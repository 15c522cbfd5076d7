//! What callers ask and what travels between the nodes of a query.

use serde::{Deserialize, Serialize};

use crate::{
    document::Class,
    ids::{Fingerprint, IndexVersion, QueryId, SelectorName, ShardName, TenantName, stable_hash},
};

/// A search as a caller sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// The selector that says what it may reach.
    pub selector: SelectorName,
    /// The query, passed to the targets as it is.
    pub query: serde_json::Value,
    /// How many hits to return.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// The time the caller waits, in milliseconds; the selector's bound applies.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

fn default_limit() -> u32 {
    10
}

impl SearchRequest {
    /// The fingerprint by which the same request of a tenant is recognised.
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
    /// The selector, by which the holder finds the replicas.
    pub selector: SelectorName,
    /// The snapshot it must be answered from.
    pub version: IndexVersion,
    /// The shards asked for.
    pub shards: Vec<ShardName>,
    /// The query as JSON text.
    pub body: String,
    /// How many hits to return.
    pub limit: u32,
    /// By which the request is recognised when it is sent again.
    pub fingerprint: Fingerprint,
    /// The time left until partial results are wanted, in milliseconds.
    pub patience_ms: u64,
    /// The time left until nothing is wanted any more, in milliseconds.
    pub deadline_ms: u64,
    /// Whether this is a second copy sent because the first is late.
    pub hedge: bool,
}

/// One hit of a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The key of the entry; an entry appears once in an answer.
    pub key: String,
    /// The order, the highest first.
    pub score: f64,
    /// The tenant whose entry it is.
    #[serde(default)]
    pub owner: Option<TenantName>,
    /// What every tenant may see.
    #[serde(default)]
    pub fields: serde_json::Value,
    /// What only the owner may see.
    #[serde(default)]
    pub private: Option<serde_json::Value>,
}
