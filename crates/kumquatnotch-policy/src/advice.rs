//! Entry advice: the order in which a caller should use the nodes.
//!
//! Callers keep the advice for a while and use the first address that works. If all callers of a
//! data centre got the same first address, they would overload one node. Equally near nodes are
//! therefore returned in random order, weighted by their known load.

use std::{net::SocketAddr, time::Duration};

use kumquatnotch_core::{
    ids::{DataCentre, Region},
    member::NodeState,
    random::Random,
};

/// A node that may be advised.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryNode {
    /// Address at which it listens for callers.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Its state.
    pub state: NodeState,
    /// Whether it has a document to serve.
    pub serving: bool,
    /// Known queueing delay of requests.
    pub wait: Option<Duration>,
}

/// Location of a caller, as far as it states it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerLocation<'a> {
    /// Its data centre.
    pub centre: Option<&'a DataCentre>,
    /// Its region.
    pub region: Option<&'a Region>,
}

/// Orders nodes for a caller.
pub trait EntryPolicy {
    /// Returns the addresses, the preferred one first.
    fn order(&self, nodes: &[EntryNode], near: CallerLocation<'_>) -> Vec<SocketAddr>;
}

/// Nearest nodes first, in weighted random order among equally near ones.
#[derive(Clone, Debug)]
pub struct SpreadEntry {
    random: Random,
    busy: Duration,
}

impl SpreadEntry {
    /// Creates the policy. A node with a queueing delay of at least `busy` counts as one step
    /// farther away.
    pub fn new(random: Random, busy: Duration) -> SpreadEntry {
        SpreadEntry { random, busy }
    }

    /// Random key by which a node comes first among equals in proportion to its weight.
    fn sort_key(&self, node: &EntryNode) -> f64 {
        let wait = node.wait.unwrap_or_default().as_secs_f64();
        let weight = 1.0 / (1.0 + wait / self.busy.as_secs_f64().max(f64::EPSILON));
        -(1.0 - self.random.fraction()).ln() / weight
    }

    fn distance_rank(&self, node: &EntryNode, near: CallerLocation<'_>) -> u8 {
        let is_busy = node.wait.is_some_and(|wait| wait >= self.busy);
        distance(node, near) + u8::from(is_busy)
    }
}

impl EntryPolicy for SpreadEntry {
    fn order(&self, nodes: &[EntryNode], near: CallerLocation<'_>) -> Vec<SocketAddr> {
        let mut ordered: Vec<(u8, f64, SocketAddr)> = eligible(nodes)
            .into_iter()
            .map(|node| (self.distance_rank(node, near), self.sort_key(node), node.address))
            .collect();
        ordered.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ordered.into_iter().map(|(_, _, address)| address).collect()
    }
}

/// Always the nearest node, in the given order. The baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestEntry;

impl EntryPolicy for NearestEntry {
    fn order(&self, nodes: &[EntryNode], near: CallerLocation<'_>) -> Vec<SocketAddr> {
        let mut ranked = eligible(nodes);
        ranked.sort_by_key(|node| distance(node, near));
        ranked.into_iter().map(|node| node.address).collect()
    }
}

/// Kinds of nodes that can be advised. The first kind with any nodes is used.
///
/// A node without a document refuses every caller, and callers keep the advice, so a suspect node
/// that serves is preferred: it may only be slow. A leaving node is never advised, as a caller that
/// keeps the advice would find its port closed.
const ELIGIBLE_KINDS: [(bool, NodeState); 4] = [
    (true, NodeState::Up),
    (true, NodeState::Suspect),
    (false, NodeState::Up),
    (false, NodeState::Suspect),
];

fn eligible(nodes: &[EntryNode]) -> Vec<&EntryNode> {
    let of = |kind| nodes.iter().filter(move |node| (node.serving, node.state) == kind);
    let found = ELIGIBLE_KINDS.iter().map(|kind| of(*kind).collect::<Vec<_>>());
    found.into_iter().find(|nodes| !nodes.is_empty()).unwrap_or_default()
}

fn distance(node: &EntryNode, near: CallerLocation<'_>) -> u8 {
    if near.centre == Some(&node.centre) {
        return 0;
    }
    if near.region == Some(&node.region) { 1 } else { 3 }
}
