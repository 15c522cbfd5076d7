//! Groups of shards, and the nodes that hold them.
//!
//! A group is held by few nodes, so that the slots of a replica are managed in one or
//! two queues instead of one on each node. Every node computes groups and holders
//! independently from the document and its own view of the members. While two nodes
//! disagree, a replica has more holders, and no request is lost.

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use kumquatnotch_core::{
    collections::HashMap,
    document::Document,
    ids::{ConfigVersion, ShardName, rendezvous_weight, stable_hash},
    member::{Members, NodeRecord, NodeState},
};

/// Returns the number of groups for `shards` shards with about `size` shards each.
///
/// It is a power of two, so that adding or removing a shard seldom regroups the others.
pub fn group_count(shards: usize, size: usize) -> usize {
    shards.div_ceil(size.max(1)).max(1).next_power_of_two()
}

/// Identifier of a group of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Maps each declared shard of a document to its group.
///
/// Shards that are reached by the same selectors are grouped together. If they were
/// grouped by their hash alone, a query for a third of the shards would reach every
/// group and send each of them a message for a third of its shards.
#[derive(Clone, Debug, Default)]
pub struct GroupTable {
    groups: HashMap<ShardName, GroupId>,
}

impl GroupTable {
    /// Computes the groups of `document` with about `size` shards each.
    pub fn new(document: &Document, size: usize) -> GroupTable {
        let mut by_selectors: BTreeMap<Vec<&str>, Vec<&ShardName>> = BTreeMap::new();
        for (shard, selectors) in selectors_of(document) {
            by_selectors.entry(selectors.into_iter().collect()).or_default().push(shard);
        }
        let mut groups = HashMap::default();
        for (selectors, shards) in by_selectors {
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

    /// Returns the group of `shard`; an undeclared shard has its own group.
    pub fn group(&self, shard: &ShardName) -> GroupId {
        let own = || GroupId(stable_hash(&[shard.as_bytes()]));
        self.groups.get(shard).copied().unwrap_or_else(own)
    }
}

/// Returns the selectors that reach each declared shard.
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

/// Groups and their ranked holders, cached until the members or the document change.
#[derive(Default)]
pub(crate) struct Ranks {
    cache: RefCell<Cache>,
}

#[derive(Default)]
struct Cache {
    generation: Option<u64>,
    /// Members of that generation, each with its tier.
    tiers: Vec<(u8, NodeRecord)>,
    ranks: HashMap<GroupId, Rc<[NodeRecord]>>,
    version: Option<ConfigVersion>,
    table: Rc<GroupTable>,
}

impl Ranks {
    /// Returns the groups under `document`.
    pub fn table(&self, document: &Document, size: usize) -> Rc<GroupTable> {
        let mut cache = self.cache.borrow_mut();
        if cache.version != Some(document.version) {
            cache.version = Some(document.version);
            cache.table = Rc::new(GroupTable::new(document, size));
            cache.ranks.clear();
        }
        cache.table.clone()
    }

    /// Returns the first `length` nodes ranked to hold `group`, the preferred one
    /// first.
    ///
    /// A query calls this once per group, so its cost must not grow with the number of
    /// members: with 1,900 nodes, ranking all of them used more than four cores of a
    /// node.
    pub fn rank(&self, group: GroupId, length: usize, members: &dyn Members) -> Rc<[NodeRecord]> {
        let generation = members.generation();
        let mut cache = self.cache.borrow_mut();
        if cache.generation != Some(generation) {
            cache.generation = Some(generation);
            cache.tiers = tiers_of(members);
            cache.ranks.clear();
        }
        let Cache { tiers, ranks, .. } = &mut *cache;
        ranks.entry(group).or_insert_with(|| rank(group, length, tiers)).clone()
    }
}

/// Number of tiers of serving nodes; as many tiers of other nodes follow.
const SERVING_TIERS: u8 = 3;

/// Returns the nodes that are not gone, each with its tier: up in the local region, up
/// in another region, suspect or leaving.
///
/// Nodes that do not serve yet come after all serving ones: they would refuse a group
/// and add a round trip, and each root would discover this independently.
fn tiers_of(members: &dyn Members) -> Vec<(u8, NodeRecord)> {
    let local = members.local();
    let known = members.known().into_iter().filter(|node| node.state != NodeState::Gone);
    let tier = |node: &NodeRecord| {
        let tier = match node.state {
            NodeState::Up => u8::from(node.region != local.region),
            _ => 2,
        };
        if node.serving { tier } else { tier + SERVING_TIERS }
    };
    known.map(|node| (tier(&node), node)).collect()
}

/// Returns the first nodes by tier, and within a tier by rendezvous hashing.
fn rank(group: GroupId, length: usize, tiers: &[(u8, NodeRecord)]) -> Rc<[NodeRecord]> {
    let key = group.0.to_be_bytes();
    let mut order: Vec<(u8, Reverse<u64>, &NodeRecord)> = tiers
        .iter()
        .map(|(tier, node)| (*tier, Reverse(rendezvous_weight(&key, &node.name)), node))
        .collect();
    let place = |entry: &(u8, Reverse<u64>, &NodeRecord)| (entry.0, entry.1);
    if order.len() > length {
        order.select_nth_unstable_by_key(length, place);
        order.truncate(length);
    }
    order.sort_unstable_by_key(place);
    order.into_iter().map(|(_, _, node)| node.clone()).collect()
}
