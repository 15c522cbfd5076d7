//! This node's share of limits that all nodes share.
//!
//! The connection limit of a replica and the retry budget apply to all nodes together, without a
//! shared counter. Each node computes its share from the nodes that it knows.

use std::time::Duration;

/// Share of a replica's connection limit that is divided among the nodes.
///
/// The rest covers connections that the replica has not seen closed yet, and nodes that have just
/// started.
const SHARED_CONNECTIONS: f64 = 0.8;

/// Maximum number of connections of one node to one replica.
///
/// A replica runs only a few requests at once. Waiting requests are better queued on this side,
/// where more urgent ones can overtake them.
const MAX_CONNECTIONS: u32 = 8;

/// Share of a limit that is reserved for the nodes that callers are advised to use.
const SERVING_SHARE: f64 = 0.85;

/// Time after its start before a node assumes that it knows all others.
///
/// When all nodes start at once, each knows only those announced before it. If it took their whole
/// limit, all nodes together would open several times as many connections as a replica accepts, and
/// most of their requests would be reset. Nodes are announced within a second and discovered within
/// another one.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum share that a node takes until then.
const MAX_NEW_SHARE: f64 = 0.1;

/// The nodes that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingNodes {
    /// Number of nodes.
    pub all: usize,
    /// Number of nodes that callers are advised to use.
    pub serving: usize,
    /// Whether callers are advised to use this node.
    pub is_serving: bool,
}

impl SharingNodes {
    /// Share of this node, from zero to one.
    ///
    /// Most of the limit is for the nodes that callers are advised to use. The others may still get
    /// requests from callers whose advice is outdated.
    pub fn share(&self) -> f64 {
        let all = self.all.max(1);
        if self.serving == 0 || self.serving >= all {
            return 1.0 / all as f64;
        }
        if self.is_serving {
            return SERVING_SHARE / self.serving as f64;
        }
        (1.0 - SERVING_SHARE) / (all - self.serving) as f64
    }
}

/// Caps the share of a node that has not known the others for long enough.
pub fn capped_share(share: f64, known_for: Option<Duration>) -> f64 {
    match known_for {
        Some(known_for) if known_for >= SETTLE_TIME => share,
        _ => share.min(MAX_NEW_SHARE),
    }
}

/// Number of connections that a node with this share may open, given the limit of the replica.
pub fn connections(all: u32, share: f64) -> u32 {
    let own = (f64::from(all) * SHARED_CONNECTIONS * share) as u32;
    own.clamp(1, MAX_CONNECTIONS)
}
