//! The known nodes of the tier.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, NodeName, Region},
};
use kumquatnotch_policy::{
    distances::Distances,
    placement::{self, NodeLocation},
};
use serde::{Deserialize, Deserializer, Serialize};

use crate::{
    advice::Candidate,
    names::{ReplicaId, ServiceName},
    relay,
    replica::{Replica, ReplicaSpec},
    router::LocalNode,
};

/// Service name under which the nodes of this tier are replicas of each other.
pub const PEER_SERVICE: &str = "kumquatnotch";

/// Number of requests from one node that another one is assumed to run at once.
const PEER_SLOTS: u32 = 16;

/// Bounds of the capacity of a node, in cores.
const CAPACITY_BOUNDS: (f64, f64) = (0.01, 1_024.0);

/// Record by which a node announces itself to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Address at which it accepts callers.
    pub entry: SocketAddr,
    /// Address at which it accepts other nodes.
    pub peer: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Processor time available to it, in cores.
    #[serde(deserialize_with = "read_capacity")]
    pub capacity: f64,
}

fn read_capacity<'de, D: Deserializer<'de>>(source: D) -> Result<f64, D::Error> {
    // `max` and `min` replace what is no number, unlike `clamp`.
    Ok(f64::deserialize(source)?.max(CAPACITY_BOUNDS.0).min(CAPACITY_BOUNDS.1))
}

impl NodeRecord {
    /// Returns the properties of the node that advice depends on.
    pub fn location(&self) -> NodeLocation<'_> {
        NodeLocation { centre: &self.centre, region: &self.region, capacity: self.capacity }
    }
}

/// A known node.
struct Node {
    record: NodeRecord,
    /// The node as a replica: requests to another node are sent like requests to a replica
    /// of a service.
    peer: Rc<Replica>,
}

/// The known nodes.
#[derive(Default)]
pub struct Fleet {
    nodes: RefCell<HashMap<NodeName, Node>>,
    distances: Rc<Distances>,
    generation: Cell<u64>,
}

impl Fleet {
    /// Creates an empty fleet, for a node with these distances to data centres.
    pub fn new(distances: Rc<Distances>) -> Fleet {
        Fleet { distances, ..Default::default() }
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&self, regions: HashMap<DataCentre, Region>) {
        self.distances.set_regions(regions);
        self.note_change();
    }

    /// Adds a node, or updates its record.
    pub fn put(&self, name: NodeName, record: NodeRecord, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        if nodes.get(&name).is_some_and(|node| node.record == record) {
            return;
        }
        let spec = peer_spec(record.peer, &record.centre);
        let distance = self.distances.to(&record.centre);
        let peer = Rc::new(Replica::new(ReplicaId::from(name.as_str()), spec, distance, now));
        if let Some(old) = nodes.insert(name, Node { record, peer }) {
            old.peer.set_gone();
        }
        self.note_change();
    }

    /// Removes a node.
    pub fn remove(&self, name: &NodeName) {
        if let Some(node) = self.nodes.borrow_mut().remove(name) {
            node.peer.set_gone();
            self.note_change();
        }
    }

    /// Returns the address at which a node accepts other nodes, if it is known.
    pub fn peer_address(&self, name: &NodeName) -> Option<SocketAddr> {
        self.nodes.borrow().get(name).map(|node| node.record.peer)
    }

    /// Returns a replica for a node of which only the address is known.
    pub fn peer_at(&self, peer: SocketAddr, now: Instant) -> Replica {
        let centre = DataCentre::from("");
        let distance = self.distances.to(&centre);
        Replica::new(ReplicaId::from(&*peer.to_string()), peer_spec(peer, &centre), distance, now)
    }

    /// Returns a node as a replica.
    pub fn peer(&self, name: &NodeName) -> Option<Rc<Replica>> {
        self.nodes.borrow().get(name).map(|node| node.peer.clone())
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, centre: &DataCentre) -> Option<Region> {
        self.distances.regions().get(centre).cloned()
    }

    /// Of the named nodes, returns the one with the fewest unanswered requests of this node.
    pub fn least_loaded_peer(&self, names: &[Candidate]) -> Option<Rc<Replica>> {
        let nodes = self.nodes.borrow();
        let named = names.iter().filter_map(|(name, _)| nodes.get(name));
        let usable = named.map(|node| &node.peer).filter(|peer| relay::is_usable(peer));
        usable
            .min_by_key(|peer| (peer.observed.unanswered(), peer.observed.requests_sent()))
            .cloned()
    }

    /// Whether a node is known.
    pub fn knows(&self, name: &NodeName) -> bool {
        self.nodes.borrow().contains_key(name)
    }

    /// Whether callers are advised to use other, larger nodes of the data centre of `local`.
    pub fn is_standby(&self, local: &LocalNode) -> bool {
        let nodes = self.nodes.borrow();
        let others = nodes.iter().filter(|(name, _)| **name != local.name);
        let in_centre = others.filter(|(_, node)| node.record.centre == local.centre);
        placement::is_standby(local.capacity, in_centre.map(|(_, node)| node.record.capacity))
    }

    /// Number of known nodes.
    pub fn len(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all known nodes with their records.
    pub fn candidates(&self) -> Vec<Candidate> {
        let nodes = self.nodes.borrow();
        nodes.iter().map(|(name, node)| (name.clone(), node.record.clone())).collect()
    }

    /// Returns the region of each data centre.
    pub fn regions(&self) -> std::cell::Ref<'_, HashMap<DataCentre, Region>> {
        self.distances.regions()
    }

    /// Counter that grows with each change of the fleet.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn note_change(&self) {
        self.generation.set(self.generation.get() + 1);
    }
}

fn peer_spec(address: SocketAddr, centre: &DataCentre) -> ReplicaSpec {
    ReplicaSpec {
        service: ServiceName::from(PEER_SERVICE),
        address,
        centre: centre.clone(),
        slots: PEER_SLOTS,
        draining: false,
        born: None,
        sequence: 0,
    }
}
