//! What part of the things that all nodes share a node may use.
//!
//! The connections that a replica takes and the budget of repeats are for all nodes
//! together, and no counter is shared. Each node takes a part that it works out from the
//! nodes that it knows.

use std::time::Duration;

/// The part of a replica's connections that the nodes share out among them.
///
/// The rest is for connections that the replica hasn't seen closed yet, and for
/// nodes that have just started.
const SHARED_CONNECTIONS: f64 = 0.8;

/// The most connections of one node to one replica.
///
/// A replica runs only a few requests at once; what waits is better kept here,
/// where a more urgent request can overtake it.
const MAX_CONNECTIONS: u32 = 8;

/// The part of what all nodes share that is for those that callers are advised to use.
const SERVING_PART: f64 = 0.85;

/// How long after its start a node doesn't trust that it knows all others.
///
/// When all start at once, each knows only those that were announced before it. If
/// it took what they share for its own, all together would open several times the
/// connections that a replica takes, and have most of their requests reset. Nodes
/// are announced within a second, and heard of within another one.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The most that a node takes of what all share until then.
const MAX_NEW_PART: f64 = 0.1;

/// The nodes among which something is shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingNodes {
    /// How many there are.
    pub all: usize,
    /// How many of them callers are advised to use.
    pub serving: usize,
    /// Whether this node is one of these.
    pub is_serving: bool,
}

impl SharingNodes {
    /// The part of this node, from zero to one.
    ///
    /// Most of it is for the nodes that callers are advised to use; the others may
    /// still get requests of callers whose advice is old.
    pub fn part(&self) -> f64 {
        let all = self.all.max(1);
        if self.serving == 0 || self.serving >= all {
            return 1.0 / all as f64;
        }
        if self.is_serving {
            return SERVING_PART / self.serving as f64;
        }
        (1.0 - SERVING_PART) / (all - self.serving) as f64
    }
}

/// What a node takes of its part, by how long it has known the others.
pub fn capped_part(part: f64, known_for: Option<Duration>) -> f64 {
    match known_for {
        Some(known_for) if known_for >= SETTLE_TIME => part,
        _ => part.min(MAX_NEW_PART),
    }
}

/// How many of the connections that a replica takes a node with this part may open.
pub fn connections(all: u32, part: f64) -> u32 {
    let own = (f64::from(all) * SHARED_CONNECTIONS * part) as u32;
    own.clamp(1, MAX_CONNECTIONS)
}
