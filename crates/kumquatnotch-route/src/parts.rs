//! The parts of a search and the answer merged from them.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use kumquatnotch_net::message::Reply;

use crate::{merge, relay_message::RelayReply, route::ShardSet, router::Router};

/// The parts received so far.
#[derive(Default)]
pub struct Parts {
    proofs: Vec<HeaderValue>,
    bodies: Vec<Bytes>,
}

impl Parts {
    /// Number of parts.
    pub fn len(&self) -> usize {
        self.proofs.len()
    }

    /// Whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.proofs.is_empty()
    }

    /// The proofs of the parts.
    pub fn proofs(&self) -> &[HeaderValue] {
        &self.proofs
    }

    /// Returns the `top` greatest records of the parts in descending order.
    pub fn greatest(&self, top: usize) -> Bytes {
        merge::greatest(&self.bodies, top)
    }

    /// Adds the parts that another node has gathered.
    pub(crate) fn add_gathered(&mut self, reply: &RelayReply) {
        self.bodies.push(reply.records.clone());
        let proofs = reply.proofs.iter();
        self.proofs.extend(proofs.filter_map(|proof| HeaderValue::from_bytes(proof).ok()));
    }

    /// Adds a part; returns false if the reply is not a valid part.
    pub(crate) fn add(&mut self, router: &Router, reply: Reply) -> bool {
        let proof = reply.headers.get(&router.names.proof);
        let (true, Some(proof)) = (reply.status.is_success(), proof) else {
            tracing::warn!(status = reply.status.as_u16(), "gather: reply is not a valid part");
            return false;
        };
        self.proofs.push(proof.clone());
        self.bodies.push(reply.body);
        true
    }

    /// Merges the parts into the answer.
    pub(crate) fn merge(&self, router: &Router, set: &ShardSet) -> Reply {
        let missing = set.shards.len() - self.len();
        let mut headers = HeaderMap::new();
        let proofs: Vec<&[u8]> = self.proofs.iter().map(HeaderValue::as_bytes).collect();
        // Proofs are valid header values, so joining them gives a valid one.
        if let Ok(proofs) = HeaderValue::from_bytes(&proofs.join(b", ".as_slice())) {
            headers.insert(router.names.proofs.clone(), proofs);
        }
        headers.insert(router.names.missing.clone(), HeaderValue::from(missing));
        let kind = HeaderValue::from_static("application/octet-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        Reply { status: StatusCode::OK, headers, body: self.greatest(set.top) }
    }
}
