//! Groups of shards, and the nodes that hold them.
//!
//! A group is held by few nodes, so that the slots of a replica are one queue or
//! two and not one on each node. Every node computes groups and holders for
//! itself from the document and the members it sees; where two nodes disagree
//! for a while, a replica has more holders for that while, and nothing is lost.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

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

/// The group of `shard`, out of `count`.
pub fn group_of(shard: &ShardName, count: usize) -> usize {
    (stable_hash(&[shard.as_bytes()]) % count.max(1) as u64) as usize
}

/// The shards that the targets of `document` serve.
pub(crate) fn shards_of(document: &Document) -> usize {
    document.targets.values().map(|target| &target.shard).collect::<BTreeSet<_>>().len()
}

/// The holders of groups in rank, kept until the members or the document change.
#[derive(Default)]
pub(crate) struct Ranks {
    kept: RefCell<Kept>,
}

#[derive(Default)]
struct Kept {
    generation: Option<u64>,
    ranks: HashMap<usize, Rc<Vec<NodeRecord>>>,
    version: Option<ConfigVersion>,
    count: usize,
}

impl Ranks {
    /// The count of groups under `document`.
    pub fn count(&self, document: &Document, size: usize) -> usize {
        let mut kept = self.kept.borrow_mut();
        if kept.version != Some(document.version) {
            kept.version = Some(document.version);
            kept.count = group_count(shards_of(document), size);
        }
        kept.count
    }

    /// The nodes that hold `group`, the first in rank first.
    pub fn rank(&self, group: usize, members: &dyn Members) -> Rc<Vec<NodeRecord>> {
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
fn rank(group: usize, members: &dyn Members) -> Vec<NodeRecord> {
    let local = members.local();
    let known = members.known();
    let names: Vec<&str> = known.iter().map(|node| node.name.as_str()).collect();
    let order = rendezvous(&(group as u64).to_be_bytes(), &names);
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
