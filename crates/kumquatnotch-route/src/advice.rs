//! Nodes that the callers of each host are advised to use, cached until an input changes.

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

/// Maximum number of addresses in the advice.
const MAX_NODES: usize = 64;

/// A node that callers may be advised to use.
pub type Candidate = (NodeName, NodeRecord);

/// Advice for the callers of one host.
#[derive(Debug, Default)]
pub struct HostAdvice {
    regions: HashMap<Region, Vec<Candidate>>,
    fallback: Vec<Candidate>,
}

impl HostAdvice {
    /// Computes the advice for one host.
    pub fn new(
        host: &str,
        table: &RouteTable,
        directory: &Directory,
        nodes: &[Candidate],
        regions: &HashMap<DataCentre, Region>,
    ) -> HostAdvice {
        let held = shards_held(host, table, directory, regions);
        let locations: Vec<NodeLocation<'_>> =
            nodes.iter().map(|(_, node)| node.location()).collect();
        let all_regions: HashSet<&Region> = regions.values().collect();
        let advised = all_regions.into_iter().map(|region| {
            let chosen = held.choose(region, &locations);
            (region.clone(), chosen.into_iter().map(|index| nodes[index].clone()).collect())
        });
        HostAdvice { regions: advised.collect(), fallback: nodes.to_vec() }
    }

    /// Advises all callers to use any node.
    pub fn all_nodes(nodes: &[Candidate]) -> HostAdvice {
        HostAdvice { regions: HashMap::default(), fallback: nodes.to_vec() }
    }

    /// Returns the nodes for callers of `region`.
    pub fn nodes_for(&self, region: &Region) -> &[Candidate] {
        self.regions.get(region).unwrap_or(&self.fallback)
    }

    /// Returns the addresses at which the nodes for callers of `region` accept them.
    pub fn addresses_for(&self, region: &Region) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.nodes_for(region).iter().map(|(_, node)| node.entry).collect();
        addresses.sort_unstable();
        addresses.truncate(MAX_NODES);
        addresses
    }

    /// Whether callers of other regions are advised to use nodes of `region`.
    pub fn serves_other_regions(&self, region: &Region) -> bool {
        let mut others = self.regions.iter().filter(|(other, _)| *other != region);
        others.any(|(_, nodes)| nodes.iter().any(|(_, node)| node.region == *region))
    }

    /// Returns the nodes that callers of any region are advised to use.
    pub fn advised_nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.regions.values().flatten().map(|(name, _)| name)
    }
}

/// Computes the share of a host's shards that each data centre and region holds.
fn shards_held(
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

/// Cache of the advice for each requested host, valid for one set of input versions.
#[derive(Debug, Default)]
pub struct AdviceCache {
    input_versions: (u64, u64, u64),
    hosts: HashMap<String, Rc<HostAdvice>>,
}

impl AdviceCache {
    /// Returns the advice for `host`, computed again if `input_versions` has changed.
    pub fn get(
        &mut self,
        host: &str,
        input_versions: (u64, u64, u64),
        compute: impl FnOnce() -> HostAdvice,
    ) -> Rc<HostAdvice> {
        if self.input_versions != input_versions {
            self.hosts.clear();
            self.input_versions = input_versions;
        }
        if let Some(advice) = self.hosts.get(host) {
            return advice.clone();
        }
        let advice = Rc::new(compute());
        self.hosts.insert(host.to_owned(), advice.clone());
        advice
    }
}
