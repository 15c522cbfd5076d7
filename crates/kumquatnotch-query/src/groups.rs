//! Groups of shards, and the nodes that hold them.
//!
//! A group is held by few nodes, so that the slots of a replica are one queue or
//! two and not one on each node. Every node computes groups and holders for
//! itself from the document and the members it sees; where two nodes disagree
//! for a while, a replica has more holders for that while, and nothing is lost.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use kumquatnotch_core::{
    collections::HashMap,
    document::Document,
    ids::{ConfigVersion, ShardName, rendezvous, stable_hash},
    member::{Members, NodeRecord, NodeState},
};

/// The count of groups for `shards` shards with about `size` to a group.
///
/// A power of two, so that a shard that comes or goes seldom regroups the rest.
pub fn group_count(shards: usize, size: usize) -> usize {
    shards.div_ceil(size.max(1)).max(1).next_power_of_two()
}

/// A group of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// The group of each declared shard of a document.
///
/// Shards that the same selectors reach are grouped together. Were they grouped
/// by hashing alone, a query for a third of the shards would meet every group
/// and send each a message for a third of its shards.
#[derive(Clone, Debug, Default)]
pub struct GroupTable {
    groups: HashMap<ShardName, GroupId>,
}

impl GroupTable {
    /// The groups of `document` with about `size` shards to each.
    pub fn new(document: &Document, size: usize) -> GroupTable {
        let mut alike: BTreeMap<Vec<&str>, Vec<&ShardName>> = BTreeMap::new();
        for (shard, selectors) in selectors_of(document) {
            alike.entry(selectors.into_iter().collect()).or_default().push(shard);
        }
        let mut groups = HashMap::default();
        for (selectors, shards) in alike {
            let count = group_count(shards.len(), size) as u64;
            let parts: Vec<&[u8]> = selectors.iter().map(|name| name.as_bytes()).collect();
            let seed = stable_hash(&parts);
            for shard in shards {
                let place = stable_hash(&[shard.as_bytes()]) % count;
                let parts: [&[u8]; 2] = [&seed.to_be_bytes(), &place.to_be_bytes()];
                groups.insert(shard.clone(), GroupId(stable_hash(&parts)));
            }
        }
        GroupTable { groups }
    }

    /// The group of `shard`; one that is not declared has a group of its own.
    pub fn group(&self, shard: &ShardName) -> GroupId {
        let own = || GroupId(stable_hash(&[shard.as_bytes()]));
        self.groups.get(shard).copied().unwrap_or_else(own)
    }
}

/// The selectors that reach each declared shard.
fn selectors_of(document: &Document) -> BTreeMap<&ShardName, BTreeSet<&str>> {
    let mut reached: BTreeMap<&ShardName, BTreeSet<&str>> = BTreeMap::new();
    for target in document.targets.values() {
        reached.entry(&target.shard).or_default();
    }
    for (name, selector) in &document.rules.selectors {
        for (_, target) in document.select(selector) {
            reached.entry(&target.shard).or_default().insert(name);
        }
    }
    reached
}

/// The groups and their holders in rank, kept until the members or the document change.
#[derive(Default)]
pub(crate) struct Ranks {
    kept: RefCell<Kept>,
}

#[derive(Default)]
struct Kept {
    generation: Option<u64>,
    ranks: HashMap<GroupId, Rc<Vec<NodeRecord>>>,
    version: Option<ConfigVersion>,
    table: Rc<GroupTable>,
}

impl Ranks {
    /// The groups under `document`.
    pub fn table(&self, document: &Document, size: usize) -> Rc<GroupTable> {
        let mut kept = self.kept.borrow_mut();
        if kept.version != Some(document.version) {
            kept.version = Some(document.version);
            kept.table = Rc::new(GroupTable::new(document, size));
            kept.ranks.clear();
        }
        kept.table.clone()
    }

    /// The nodes that hold `group`, the first in rank first.
    pub fn rank(&self, group: GroupId, members: &dyn Members) -> Rc<Vec<NodeRecord>> {
        let generation = members.generation();
        let mut kept = self.kept.borrow_mut();
        if kept.generation != Some(generation) {
            kept.generation = Some(generation);
            kept.ranks.clear();
        }
        let ranked = kept.ranks.entry(group).or_insert_with(|| Rc::new(rank(group, members)));
        ranked.clone()
    }
}

/// Up nodes of the own region first, then up nodes elsewhere, then the doubtful ones.
fn rank(group: GroupId, members: &dyn Members) -> Vec<NodeRecord> {
    let local = members.local();
    let known = members.known();
    let names: Vec<&str> = known.iter().map(|node| node.name.as_str()).collect();
    let order = rendezvous(&group.0.to_be_bytes(), &names);
    let by_name: HashMap<&str, &NodeRecord> =
        known.iter().map(|node| (node.name.as_str(), node)).collect();
    let mut ranked: Vec<NodeRecord> =
        order.iter().filter_map(|name| by_name.get(name)).map(|node| (*node).clone()).collect();
    ranked.retain(|node| node.state != NodeState::Gone);
    // The sort is stable: inside a tier the rank by hashing stays.
    ranked.sort_by_key(|node| match node.state {
        NodeState::Up => u8::from(node.region != local.region),
        _ => 2,
    });
    ranked
}
