//! The nodes that are known, and which of them a caller is advised to use.
//!
//! A search asks a replica of each shard, and what these send to a node of
//! another region is by far the most that crosses regions. The way of a caller
//! to a node costs the same delay once. So callers are advised to use nodes of
//! their own region if it holds replicas of most shards, and else nodes of the
//! regions that do.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::{DataCentre, NodeName, Region},
};
use serde::{Deserialize, Serialize};

use crate::{
    directory::Directory,
    names::{ReplicaId, ServiceName},
    relay,
    replica::{Replica, ReplicaSpec},
    route::{Destination, RouteTable},
};

/// By how much a caller's own region may hold fewer shards than the best one.
const HOME_BONUS: f64 = 0.25;

/// The fewest nodes that are advised, so that one that has just ended is no harm.
const LEAST_NODES: usize = 2;

/// The service that the nodes of this tier are to each other.
pub const PEER_SERVICE: &str = "kumquatnotch";

/// How many requests of one node another one is taken to run at once.
const PEER_SLOTS: u32 = 16;

/// The most nodes that are advised.
const MOST_NODES: usize = 64;

/// What a node tells the others of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where it takes callers.
    pub entry: SocketAddr,
    /// Where it takes other nodes.
    pub peer: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// What is known of a node.
struct Node {
    record: NodeRecord,
    /// The way to it: for this node, a node is a replica like those of a service.
    peer: Rc<Replica>,
}

/// The nodes that are known.
#[derive(Default)]
pub struct Fleet {
    nodes: RefCell<HashMap<NodeName, Node>>,
    regions: RefCell<HashMap<DataCentre, Region>>,
}

impl Fleet {
    /// Sets in which region each data centre lies.
    pub fn set_regions(&self, regions: HashMap<DataCentre, Region>) {
        *self.regions.borrow_mut() = regions;
    }

    /// Adds a node, or takes over what it tells now.
    pub fn put(&self, name: NodeName, record: NodeRecord, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        if nodes.get(&name).is_some_and(|node| node.record == record) {
            return;
        }
        let spec = ReplicaSpec {
            service: ServiceName::from(PEER_SERVICE),
            address: record.peer,
            centre: record.centre.clone(),
            slots: PEER_SLOTS,
            draining: false,
        };
        let peer = Rc::new(Replica::new(ReplicaId::from(name.as_str()), spec, now));
        if let Some(old) = nodes.insert(name, Node { record, peer }) {
            old.peer.set_gone();
        }
    }

    /// Removes a node.
    pub fn remove(&self, name: &NodeName) {
        if let Some(node) = self.nodes.borrow_mut().remove(name) {
            node.peer.set_gone();
        }
    }

    /// The region of a data centre.
    pub fn region_of(&self, centre: &DataCentre) -> Option<Region> {
        self.regions.borrow().get(centre).cloned()
    }

    /// The node of `region` that has fewest requests of this one, if one can be asked.
    pub fn peer_in(&self, region: &Region) -> Option<Rc<Replica>> {
        let nodes = self.nodes.borrow();
        let there = nodes.values().filter(|node| node.record.region == *region);
        let usable = there.map(|node| &node.peer).filter(|peer| relay::is_usable(peer));
        usable.min_by_key(|peer| (peer.unanswered(), peer.asked())).cloned()
    }

    /// How many nodes are known.
    pub fn len(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The nodes that a caller in `region` is advised to use for `host`.
    pub fn advise(
        &self,
        host: &str,
        region: &Region,
        table: &RouteTable,
        directory: &Directory,
    ) -> Vec<SocketAddr> {
        let held = self.held(host, table, directory);
        let mut chosen: Vec<SocketAddr> =
            self.advised(region, &held).into_iter().map(|(entry, _)| entry).collect();
        chosen.sort_unstable();
        chosen.truncate(MOST_NODES);
        chosen
    }

    /// Whether callers of other regions are advised to use nodes of `region`.
    pub fn has_guests(
        &self,
        host: &str,
        region: &Region,
        table: &RouteTable,
        directory: &Directory,
    ) -> bool {
        let held = self.held(host, table, directory);
        let regions: HashSet<Region> = self.regions.borrow().values().cloned().collect();
        let mut others = regions.iter().filter(|other| *other != region);
        others.any(|other| self.advised(other, &held).iter().any(|(_, home)| home == region))
    }

    /// The nodes for callers of `region`, with the regions in which they are.
    fn advised(&self, region: &Region, held: &HashMap<Region, f64>) -> Vec<(SocketAddr, Region)> {
        let best = held.values().copied().fold(0.0, f64::max);
        let share = |region: &Region| held.get(region).copied().unwrap_or(0.0);
        let mut chosen = self.nodes_in(|other| other == region);
        if chosen.is_empty() || share(region) + HOME_BONUS < best {
            chosen = self.nodes_in(|other| share(other) + HOME_BONUS >= best);
        }
        if chosen.len() < LEAST_NODES {
            chosen = self.nodes_in(|_| true);
        }
        chosen
    }

    fn nodes_in(&self, fits: impl Fn(&Region) -> bool) -> Vec<(SocketAddr, Region)> {
        let nodes = self.nodes.borrow();
        let fitting = nodes.values().map(|node| &node.record).filter(|node| fits(&node.region));
        fitting.map(|node| (node.entry, node.region.clone())).collect()
    }

    /// The share of the shards of `host` that has a replica in each region.
    fn held(&self, host: &str, table: &RouteTable, directory: &Directory) -> HashMap<Region, f64> {
        let mut shards: Vec<&ServiceName> = Vec::new();
        for route in table.routes_of(host) {
            if let Destination::Shards(set) = &route.destination {
                shards.extend(&set.shards);
            }
        }
        shards.sort_unstable();
        shards.dedup();
        let regions = self.regions.borrow();
        let mut held: HashMap<Region, f64> = HashMap::default();
        for shard in &shards {
            let mut seen: Vec<Region> = Vec::new();
            for replica in directory.of(shard).iter().filter(|replica| replica.takes_requests()) {
                let Some(region) = regions.get(&replica.spec().centre) else { continue };
                if !seen.contains(region) {
                    seen.push(region.clone());
                }
            }
            for region in seen {
                *held.entry(region).or_default() += 1.0 / shards.len() as f64;
            }
        }
        held
    }
}
