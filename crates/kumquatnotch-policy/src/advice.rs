//! Entry advice: the order in which a caller should use the nodes.
//!
//! Callers keep the advice for a while and use the first address that works.
//! Giving all callers of a data centre the same first address would herd them
//! onto one node; so nodes that are equally near come in a random order,
//! weighted by what is known of their load.

use std::{net::SocketAddr, time::Duration};

use kumquatnotch_core::{
    ids::{DataCentre, Region},
    member::NodeState,
    random::Random,
};

/// A node that may be advised.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryNode {
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Its state.
    pub state: NodeState,
    /// Whether it has a document to serve.
    pub serving: bool,
    /// How long requests wait there, if it is known.
    pub wait: Option<Duration>,
}

/// Where a caller is, as far as it says.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerLocation<'a> {
    /// Its data centre.
    pub centre: Option<&'a DataCentre>,
    /// Its region.
    pub region: Option<&'a Region>,
}

/// Orders nodes for a caller.
pub trait EntryPolicy {
    /// The addresses, the first one to use first.
    fn order(&self, nodes: &[EntryNode], near: CallerLocation<'_>) -> Vec<SocketAddr>;
}

/// Near nodes first, in a weighted random order among equals.
#[derive(Clone, Debug)]
pub struct SpreadEntry {
    random: Random,
    busy: Duration,
}

impl SpreadEntry {
    /// A node where requests wait for `busy` counts as one distance_rank farther away.
    pub fn new(random: Random, busy: Duration) -> SpreadEntry {
        SpreadEntry { random, busy }
    }

    /// Draws so that a node comes first among equals in proportion to its weight.
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

/// Always the nearest node in the order given; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestEntry;

impl EntryPolicy for NearestEntry {
    fn order(&self, nodes: &[EntryNode], near: CallerLocation<'_>) -> Vec<SocketAddr> {
        let mut ranked = eligible(nodes);
        ranked.sort_by_key(|node| distance(node, near));
        ranked.into_iter().map(|node| node.address).collect()
    }
}

/// Which nodes are advised: the first of these kinds of which there are any.
///
/// A node that has no document yet refuses every caller, and callers keep the
/// advice. A suspect one that serves may only be slow, so it is the better.
/// A leaving node is never advised: a caller that keeps the advice would meet a
/// closed port.
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
