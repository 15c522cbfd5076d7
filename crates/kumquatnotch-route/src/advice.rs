//! Which nodes the callers of each host are advised to use, kept until something changes.

use std::{net::SocketAddr, rc::Rc};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::{DataCentre, NodeName, Region},
};
use kumquatnotch_policy::placement::{HeldShards, NodeLocation};

use crate::{
    directory::Directory,
    fleet::NodeRecord,
    names::ServiceName,
    route::{Destination, RouteTable},
};

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

impl HostAdvice {
    /// Works out the advice for one host.
    pub fn new(
        host: &str,
        table: &RouteTable,
        directory: &Directory,
        nodes: &[Candidate],
        regions: &HashMap<DataCentre, Region>,
    ) -> HostAdvice {
        let held = held(host, table, directory, regions);
        let places: Vec<NodeLocation<'_>> = nodes.iter().map(|(_, node)| node.place()).collect();
        let all: HashSet<&Region> = regions.values().collect();
        let advised = all.into_iter().map(|region| {
            let chosen = held.choose(region, &places);
            (region.clone(), chosen.into_iter().map(|place| nodes[place].clone()).collect())
        });
        HostAdvice { regions: advised.collect(), elsewhere: nodes.to_vec() }
    }

    /// All nodes for all callers.
    pub fn of_all(nodes: &[Candidate]) -> HostAdvice {
        HostAdvice { regions: HashMap::default(), elsewhere: nodes.to_vec() }
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

/// The share of the shards of a host that each place holds.
fn held(
    host: &str,
    table: &RouteTable,
    directory: &Directory,
    regions: &HashMap<DataCentre, Region>,
) -> HeldShards {
    let mut shards: Vec<&ServiceName> = Vec::new();
    for route in table.routes_of(host) {
        if let Destination::Shards(set) = &route.destination {
            shards.extend(&set.shards);
        }
    }
    shards.sort_unstable();
    shards.dedup();
    let mut held = HeldShards::default();
    for shard in &shards {
        let mut centres: Vec<DataCentre> = Vec::new();
        let replicas = directory.of(shard);
        for replica in replicas.iter().filter(|replica| replica.takes_requests()) {
            let centre = replica.spec().centre.clone();
            if !centres.contains(&centre) {
                centres.push(centre);
            }
        }
        held.add_shard(shards.len(), &centres, regions);
    }
    held
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
