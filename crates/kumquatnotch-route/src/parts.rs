//! The parts of a search, and the answer that they make.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use kumquatnotch_net::message::Reply;

use crate::{merge, relay_message::RelayReply, route::ShardSet, router::Router};

/// The parts that have come.
#[derive(Default)]
pub struct Parts {
    proofs: Vec<HeaderValue>,
    bodies: Vec<Bytes>,
}

impl Parts {
    /// How many parts there are.
    pub fn len(&self) -> usize {
        self.proofs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.proofs.is_empty()
    }

    /// The proofs of the parts.
    pub fn proofs(&self) -> &[HeaderValue] {
        &self.proofs
    }

    /// The `top` greatest records of the parts, falling.
    pub fn greatest(&self, top: usize) -> Bytes {
        merge::greatest(&self.bodies, top)
    }

    /// Adds those that another node has gathered.
    pub(crate) fn add_gathered(&mut self, reply: &RelayReply) {
        self.bodies.push(reply.records.clone());
        let proofs = reply.proofs.iter();
        self.proofs.extend(proofs.filter_map(|proof| HeaderValue::from_bytes(proof).ok()));
    }

    /// Adds a part; false if the reply is none.
    pub(crate) fn add(&mut self, router: &Router, reply: Reply) -> bool {
        let proof = reply.headers.get(&router.names.proof);
        let (true, Some(proof)) = (reply.status.is_success(), proof) else {
            tracing::warn!(status = reply.status.as_u16(), "gather: a reply is no part");
            return false;
        };
        self.proofs.push(proof.clone());
        self.bodies.push(reply.body);
        true
    }

    /// The answer.
    pub(crate) fn merge(&self, router: &Router, set: &ShardSet) -> Reply {
        let missing = set.shards.len() - self.len();
        let mut headers = HeaderMap::new();
        let proofs: Vec<&[u8]> = self.proofs.iter().map(HeaderValue::as_bytes).collect();
        // Proofs came as header values, so together they are one.
        if let Ok(proofs) = HeaderValue::from_bytes(&proofs.join(b", ".as_slice())) {
            headers.insert(router.names.proofs.clone(), proofs);
        }
        headers.insert(router.names.missing.clone(), HeaderValue::from(missing));
        let kind = HeaderValue::from_static("application/octet-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        Reply { status: StatusCode::OK, headers, body: self.greatest(set.top) }
    }
}
