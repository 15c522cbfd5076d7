//! The nodes of the tier that are known.

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
use serde::{Deserialize, Serialize};

use crate::{
    advice::Candidate,
    names::{ReplicaId, ServiceName},
    relay,
    replica::{Replica, ReplicaSpec},
    router::Place,
};

/// The service that the nodes of this tier are to each other.
pub const PEER_SERVICE: &str = "kumquatnotch";

/// How many requests of one node another one is taken to run at once.
const PEER_SLOTS: u32 = 16;

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
    /// The processor time that it has in a second, in cores.
    pub capacity: f64,
}

impl NodeRecord {
    /// The node, as far as advice depends on it.
    pub fn place(&self) -> NodeLocation<'_> {
        NodeLocation { centre: &self.centre, region: &self.region, capacity: self.capacity }
    }
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
    distances: Rc<Distances>,
    generation: Cell<u64>,
}

impl Fleet {
    /// A fleet without nodes, for a node with these ways to data centres.
    pub fn new(distances: Rc<Distances>) -> Fleet {
        Fleet { distances, ..Default::default() }
    }

    /// Sets in which region each data centre lies.
    pub fn set_regions(&self, regions: HashMap<DataCentre, Region>) {
        self.distances.set_regions(regions);
        self.note_change();
    }

    /// Adds a node, or takes over what it tells now.
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

    /// Where a node takes other nodes, if it is known.
    pub fn peer_address(&self, name: &NodeName) -> Option<SocketAddr> {
        self.nodes.borrow().get(name).map(|node| node.record.peer)
    }

    /// The way to a node of which nothing but the address is known.
    pub fn stranger(&self, peer: SocketAddr, now: Instant) -> Replica {
        let centre = DataCentre::from("");
        let distance = self.distances.to(&centre);
        Replica::new(ReplicaId::from(&*peer.to_string()), peer_spec(peer, &centre), distance, now)
    }

    /// The way to a node.
    pub fn peer(&self, name: &NodeName) -> Option<Rc<Replica>> {
        self.nodes.borrow().get(name).map(|node| node.peer.clone())
    }

    /// The region of a data centre.
    pub fn region_of(&self, centre: &DataCentre) -> Option<Region> {
        self.distances.regions().get(centre).cloned()
    }

    /// Of the nodes named, the one that has fewest requests of this one.
    pub fn peer_of(&self, names: &[Candidate]) -> Option<Rc<Replica>> {
        let nodes = self.nodes.borrow();
        let named = names.iter().filter_map(|(name, _)| nodes.get(name));
        let usable = named.map(|node| &node.peer).filter(|peer| relay::is_usable(peer));
        usable.min_by_key(|peer| (peer.observed.unanswered(), peer.observed.asked())).cloned()
    }

    /// Whether a node is known.
    pub fn knows(&self, name: &NodeName) -> bool {
        self.nodes.borrow().contains_key(name)
    }

    /// Whether callers are advised to use other nodes of the data centre of `place`, as
    /// these are larger.
    pub fn is_standby(&self, place: &Place) -> bool {
        let nodes = self.nodes.borrow();
        let others = nodes.iter().filter(|(name, _)| **name != place.name);
        let beside = others.filter(|(_, node)| node.record.centre == place.centre);
        placement::is_standby(place.capacity, beside.map(|(_, node)| node.record.capacity))
    }

    /// How many nodes are known.
    pub fn len(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The nodes and what they tell.
    pub fn candidates(&self) -> Vec<Candidate> {
        let nodes = self.nodes.borrow();
        nodes.iter().map(|(name, node)| (name.clone(), node.record.clone())).collect()
    }

    /// In which region each data centre lies.
    pub fn regions(&self) -> std::cell::Ref<'_, HashMap<DataCentre, Region>> {
        self.distances.regions()
    }

    /// A number that grows with each change of the fleet.
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
    }
}
