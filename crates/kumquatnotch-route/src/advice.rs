//! Which nodes a caller is advised to use.
//!
//! A search asks a replica of each shard, and what these send to a node elsewhere
//! is by far the most that crosses regions and data centres. The way of a caller
//! to a node costs the same delay once. So callers are advised to use nodes beside
//! the replicas: of their own region if it holds most shards, and there of the
//! data centres that do. A search to many shards takes a small node longer than
//! a large one, so the large ones are preferred among them.

use std::{net::SocketAddr, rc::Rc};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::{DataCentre, NodeName, Region},
};

use crate::{
    directory::Directory,
    fleet::NodeRecord,
    names::ServiceName,
    route::{Destination, RouteTable},
};

/// By how much a nearer place may hold fewer shards than the best one.
const NEAR_BONUS: f64 = 0.25;

/// The part of the largest capacity that a node must have to be advised.
const CAPACITY_PART: f64 = 0.5;

/// The fewest nodes that are advised, so that one that has just ended is no harm.
const LEAST_NODES: usize = 2;

/// The most nodes that are advised.
const MOST_NODES: usize = 64;

/// A node that may be advised.
pub type Candidate = (NodeName, NodeRecord);

/// What callers of one host are advised.
#[derive(Debug, Default)]
pub struct HostAdvice {
    regions: HashMap<Region, Vec<Candidate>>,
    elsewhere: Vec<Candidate>,
}

/// The share of the shards of a host that each place holds.
#[derive(Debug, Default)]
struct Held {
    regions: HashMap<Region, f64>,
    centres: HashMap<DataCentre, f64>,
}

impl HostAdvice {
    /// Works out the advice for one host.
    pub fn new(
        host: &str,
        table: &RouteTable,
        directory: &Directory,
        nodes: &[Candidate],
        regions: &HashMap<DataCentre, Region>,
    ) -> HostAdvice {
        let held = Held::new(host, table, directory, regions);
        let all: HashSet<&Region> = regions.values().collect();
        let advised = all.into_iter().map(|region| (region.clone(), held.choose(region, nodes)));
        HostAdvice { regions: advised.collect(), elsewhere: nodes.to_vec() }
    }

    /// The nodes for callers of `region`.
    pub fn nodes_for(&self, region: &Region) -> &[Candidate] {
        self.regions.get(region).unwrap_or(&self.elsewhere)
    }

    /// Where the nodes for callers of `region` take them.
    pub fn addresses_for(&self, region: &Region) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.nodes_for(region).iter().map(|(_, node)| node.entry).collect();
        addresses.sort_unstable();
        addresses.truncate(MOST_NODES);
        addresses
    }

    /// Whether callers of other regions are advised to use nodes of `region`.
    pub fn has_guests(&self, region: &Region) -> bool {
        let mut others = self.regions.iter().filter(|(other, _)| *other != region);
        others.any(|(_, nodes)| nodes.iter().any(|(_, node)| node.region == *region))
    }

    /// The nodes that callers of some region are advised to use.
    pub fn serving(&self) -> impl Iterator<Item = &NodeName> {
        self.regions.values().flatten().map(|(name, _)| name)
    }
}

impl Held {
    fn new(
        host: &str,
        table: &RouteTable,
        directory: &Directory,
        regions: &HashMap<DataCentre, Region>,
    ) -> Held {
        let mut shards: Vec<&ServiceName> = Vec::new();
        for route in table.routes_of(host) {
            if let Destination::Shards(set) = &route.destination {
                shards.extend(&set.shards);
            }
        }
        shards.sort_unstable();
        shards.dedup();
        let mut held = Held::default();
        let part = 1.0 / shards.len().max(1) as f64;
        for shard in &shards {
            let mut centres: Vec<DataCentre> = Vec::new();
            let replicas = directory.of(shard);
            for replica in replicas.iter().filter(|replica| replica.takes_requests()) {
                let centre = replica.spec().centre.clone();
                if !centres.contains(&centre) {
                    centres.push(centre);
                }
            }
            let mut seen: Vec<&Region> = Vec::new();
            for region in centres.iter().filter_map(|centre| regions.get(centre)) {
                if !seen.contains(&region) {
                    seen.push(region);
                    *held.regions.entry(region.clone()).or_default() += part;
                }
            }
            for centre in centres {
                *held.centres.entry(centre).or_default() += part;
            }
        }
        held
    }

    /// The nodes for callers of `region`.
    fn choose(&self, region: &Region, nodes: &[Candidate]) -> Vec<Candidate> {
        let best = self.regions.values().copied().fold(0.0, f64::max);
        let share = |region: &Region| self.regions.get(region).copied().unwrap_or(0.0);
        let is_home = |node: &NodeRecord| node.region == *region;
        let mut there = keep(nodes, is_home);
        if there.is_empty() || share(region) + NEAR_BONUS < best {
            there = keep(nodes, |node| share(&node.region) + NEAR_BONUS >= best);
        }
        let beside = self.beside(&there);
        let large = large(&beside);
        // Of the narrower choices, the first that a lost node doesn't leave empty.
        let choices = [large, beside, there, nodes.to_vec()];
        let enough = choices.iter().find(|choice| choice.len() >= LEAST_NODES);
        enough.cloned().unwrap_or_else(|| nodes.to_vec())
    }

    /// Those of `nodes` whose data centre holds the most shards.
    fn beside(&self, nodes: &[Candidate]) -> Vec<Candidate> {
        let share = |node: &NodeRecord| self.centres.get(&node.centre).copied().unwrap_or(0.0);
        let best = nodes.iter().map(|(_, node)| share(node)).fold(0.0, f64::max);
        keep(nodes, |node| share(node) + NEAR_BONUS >= best)
    }
}

/// Those of `nodes` that are not much smaller than the largest.
fn large(nodes: &[Candidate]) -> Vec<Candidate> {
    let most = nodes.iter().map(|(_, node)| node.capacity).fold(0.0, f64::max);
    keep(nodes, |node| node.capacity >= CAPACITY_PART * most)
}

fn keep(nodes: &[Candidate], fits: impl Fn(&NodeRecord) -> bool) -> Vec<Candidate> {
    nodes.iter().filter(|(_, node)| fits(node)).cloned().collect()
}

/// The advice for the hosts that were asked for, and for what it holds.
#[derive(Debug, Default)]
pub struct AdviceCache {
    valid_for: (u64, u64, u64),
    hosts: HashMap<String, Rc<HostAdvice>>,
}

impl AdviceCache {
    /// The advice for `host`, worked out anew if `valid_for` has changed.
    pub fn get(
        &mut self,
        host: &str,
        valid_for: (u64, u64, u64),
        work_out: impl FnOnce() -> HostAdvice,
    ) -> Rc<HostAdvice> {
        if self.valid_for != valid_for {
            self.hosts.clear();
            self.valid_for = valid_for;
        }
        if let Some(advice) = self.hosts.get(host) {
            return advice.clone();
        }
        let advice = Rc::new(work_out());
        self.hosts.insert(host.to_owned(), advice.clone());
        advice
    }
}
