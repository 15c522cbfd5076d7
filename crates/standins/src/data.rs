//! The data that stand-in targets serve.
//!
//! It is derived from the shard and the index version, so that a checker can compute the
//! expected answer.

use kumquatnotch_core::{
    ids::{IndexVersion, ShardName, TenantName, stable_hash},
    query::Hit,
};
use serde_json::{Value, json};

/// Number of entries in each shard.
pub const ENTRIES_PER_SHARD: u32 = 8;

/// The tenants that own the entries of the index.
pub const OWNERS: [&str; 2] = ["siam", "barid"];

/// Names of the fields of every hit.
const SHARD_FIELD: &str = "shard";
const VERSION_FIELD: &str = "version";
const NONCE_FIELD: &str = "nonce";

/// Returns the hits of a shard for a query, best first.
pub fn hits(shard: &ShardName, version: IndexVersion, body: &str, limit: u32) -> Vec<Hit> {
    let nonce = field(body, NONCE_FIELD);
    let mut hits: Vec<Hit> =
        (0..ENTRIES_PER_SHARD).map(|number| hit(shard, version, number, &nonce)).collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    hits.truncate(limit as usize);
    hits
}

/// Returns one hit; its score and owner depend only on the shard, version and number.
pub fn hit(shard: &ShardName, version: IndexVersion, number: u32, nonce: &Value) -> Hit {
    let parts: [&[u8]; 3] = [shard.as_bytes(), &version.0.to_be_bytes(), &number.to_be_bytes()];
    let hash = stable_hash(&parts);
    Hit {
        key: format!("{shard}/{number}"),
        score: (hash % 1_000_000) as f64 / 1_000.0,
        owner: Some(TenantName::from(OWNERS[(hash >> 32) as usize % OWNERS.len()])),
        fields: json!({ SHARD_FIELD: shard, VERSION_FIELD: version, NONCE_FIELD: nonce }),
        private: Some(json!({ "rate": hash % 1_000 })),
    }
}

/// Returns a field of a request's JSON body; null if it is absent.
pub fn field(body: &str, name: &str) -> Value {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    body.get(name).cloned().unwrap_or_default()
}
