//! Groups of shards, and the nodes that hold them.
//!
//! A group is held by few nodes, so that the slots of a replica are one queue or
//! two and not one on each node. Every node computes groups and holders for
//! itself from the document and the members it sees; where two nodes disagree
//! for a while, a replica has more holders for that while, and nothing is lost.

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
    cache: RefCell<Cache>,
}

#[derive(Default)]
struct Cache {
    generation: Option<u64>,
    /// The members of that generation, by tier.
    tiers: Vec<(u8, NodeRecord)>,
    ranks: HashMap<GroupId, Rc<[NodeRecord]>>,
    version: Option<ConfigVersion>,
    table: Rc<GroupTable>,
}

impl Ranks {
    /// The groups under `document`.
    pub fn table(&self, document: &Document, size: usize) -> Rc<GroupTable> {
        let mut cache = self.cache.borrow_mut();
        if cache.version != Some(document.version) {
            cache.version = Some(document.version);
            cache.table = Rc::new(GroupTable::new(document, size));
            cache.ranks.clear();
        }
        cache.table.clone()
    }

    /// The first `length` nodes in rank to hold `group`, the first one first.
    ///
    /// A query asks for this once for each group, so it must not grow with the
    /// members: at 1,900 nodes whole ranks took more than four cores of a node.
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

/// The tiers of nodes that serve; those that don't have as many after them.
const SERVING_TIERS: u8 = 3;

/// The nodes that are not gone, each with its tier: up in the own region, up
/// elsewhere, doubtful.
///
/// Those that do not serve yet come after all that do: a group sent to one would
/// be refused and lose a round trip, and each root would learn so for itself.
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

/// The first nodes by tier, and inside a tier by rendezvous hashing.
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
