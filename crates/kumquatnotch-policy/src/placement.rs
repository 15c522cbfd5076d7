//! Which nodes the callers of a region are advised to use.
//!
//! A search asks a replica of each shard, and what these send to a node elsewhere
//! is by far the most that crosses regions and data centres. The way of a caller
//! to a node costs the same delay once. So callers are advised to use nodes beside
//! the replicas: of their own region if it holds most shards, and there of the
//! data centres that do. A search to many shards takes a small node longer than
//! a large one, so the large ones are preferred among them.

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, Region},
};

/// By how much a nearer place may hold fewer shards than the best one.
const PROXIMITY_BONUS: f64 = 0.25;

/// The part of the largest capacity that a node must have to be advised.
const MIN_CAPACITY_PART: f64 = 0.5;

/// The fewest nodes that are advised, so that one that has just ended is no harm.
const MIN_NODES: usize = 2;

/// Whether a node is so small that callers are advised to use others of its data centre.
///
/// `others` are the capacities of the other nodes there that are known. A node is on
/// standby only as long as there are enough others that are advised in its place.
pub fn is_standby(capacity: f64, others: impl Iterator<Item = f64>) -> bool {
    others.filter(|other| capacity < MIN_CAPACITY_PART * other).count() >= MIN_NODES
}

/// A node, as far as advice depends on it.
#[derive(Clone, Copy, Debug)]
pub struct NodeLocation<'a> {
    /// Its data centre.
    pub centre: &'a DataCentre,
    /// Its region.
    pub region: &'a Region,
    /// The processor time that it has in a second, in cores.
    pub capacity: f64,
}

/// The share of the shards that each place holds.
#[derive(Debug, Default)]
pub struct HeldShards {
    regions: HashMap<Region, f64>,
    centres: HashMap<DataCentre, f64>,
}

impl HeldShards {
    /// Counts one of `total` shards, with replicas in these data centres.
    pub fn add_shard(
        &mut self,
        total: usize,
        centres: &[DataCentre],
        regions: &HashMap<DataCentre, Region>,
    ) {
        let part = 1.0 / total.max(1) as f64;
        let mut seen: Vec<&Region> = Vec::new();
        for region in centres.iter().filter_map(|centre| regions.get(centre)) {
            if !seen.contains(&region) {
                seen.push(region);
                *self.regions.entry(region.clone()).or_default() += part;
            }
        }
        for centre in centres {
            *self.centres.entry(centre.clone()).or_default() += part;
        }
    }

    /// The nodes for callers of `region`, by their place in `nodes`.
    pub fn choose(&self, region: &Region, nodes: &[NodeLocation<'_>]) -> Vec<usize> {
        let all: Vec<usize> = (0..nodes.len()).collect();
        let keep = |from: &[usize], fits: &dyn Fn(&NodeLocation<'_>) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|place| fits(&nodes[*place])).collect()
        };
        let best = self.regions.values().copied().fold(0.0, f64::max);
        let share = |region: &Region| self.regions.get(region).copied().unwrap_or(0.0);
        let mut there = keep(&all, &|node| node.region == region);
        if there.is_empty() || share(region) + PROXIMITY_BONUS < best {
            there = keep(&all, &|node| share(node.region) + PROXIMITY_BONUS >= best);
        }
        // Those whose data centre holds the most shards.
        let share = |node: &NodeLocation<'_>| self.centres.get(node.centre).copied().unwrap_or(0.0);
        let best = there.iter().map(|place| share(&nodes[*place])).fold(0.0, f64::max);
        let beside = keep(&there, &|node| share(node) + PROXIMITY_BONUS >= best);
        // Those that are not much smaller than the largest.
        let most = beside.iter().map(|place| nodes[*place].capacity).fold(0.0, f64::max);
        let large = keep(&beside, &|node| node.capacity >= MIN_CAPACITY_PART * most);
        // Of the narrower choices, the first that a lost node doesn't leave empty.
        let choices = [large, beside, there];
        choices.into_iter().find(|choice| choice.len() >= MIN_NODES).unwrap_or(all)
    }
}
