//! Which nodes the callers of a region are advised to use.
//!
//! A search queries a replica of each shard, and the replies to a node elsewhere make up by far the
//! most traffic between regions and data centres. The route from a caller to a distant node adds
//! the same delay only once. Callers are therefore advised to use nodes close to the replicas:
//! nodes of their own region if it holds most shards, and there those of the data centres that do.
//! A search of many shards takes longer on a small node than on a large one, so large nodes are
//! preferred.

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, Region},
};

/// Fraction of the shards by which a nearer location may fall short of the best one.
const PROXIMITY_BONUS: f64 = 0.25;

/// Minimum capacity of an advised node, as a share of the largest.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// Minimum number of advised nodes, so that one that has just terminated does no harm.
const MIN_NODES: usize = 2;

/// Whether a node is so small that callers are advised to use others of its data centre.
///
/// `others` are the capacities of the other known nodes there. A node is on standby only while
/// enough other nodes are advised in its place.
pub fn is_standby(capacity: f64, others: impl Iterator<Item = f64>) -> bool {
    others.filter(|other| capacity < MIN_CAPACITY_SHARE * other).count() >= MIN_NODES
}

/// Location and capacity of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeLocation<'a> {
    /// Its data centre.
    pub centre: &'a DataCentre,
    /// Its region.
    pub region: &'a Region,
    /// Processor time per second, in cores.
    pub capacity: f64,
}

/// Fraction of the shards held by each region and data centre.
#[derive(Debug, Default)]
pub struct HeldShards {
    regions: HashMap<Region, f64>,
    centres: HashMap<DataCentre, f64>,
}

impl HeldShards {
    /// Adds one of `total` shards, with replicas in these data centres.
    pub fn add_shard(
        &mut self,
        total: usize,
        centres: &[DataCentre],
        regions: &HashMap<DataCentre, Region>,
    ) {
        let share = 1.0 / total.max(1) as f64;
        let mut seen: Vec<&Region> = Vec::new();
        for region in centres.iter().filter_map(|centre| regions.get(centre)) {
            if !seen.contains(&region) {
                seen.push(region);
                *self.regions.entry(region.clone()).or_default() += share;
            }
        }
        for centre in centres {
            *self.centres.entry(centre.clone()).or_default() += share;
        }
    }

    /// Selects the nodes for callers of `region`; returns indices into `nodes`.
    pub fn choose(&self, region: &Region, nodes: &[NodeLocation<'_>]) -> Vec<usize> {
        let all: Vec<usize> = (0..nodes.len()).collect();
        let keep = |from: &[usize], fits: &dyn Fn(&NodeLocation<'_>) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|index| fits(&nodes[*index])).collect()
        };
        let best = self.regions.values().copied().fold(0.0, f64::max);
        let share = |region: &Region| self.regions.get(region).copied().unwrap_or(0.0);
        let mut candidates = keep(&all, &|node| node.region == region);
        if candidates.is_empty() || share(region) + PROXIMITY_BONUS < best {
            candidates = keep(&all, &|node| share(node.region) + PROXIMITY_BONUS >= best);
        }
        // Nodes in the data centres with the most shards.
        let share = |node: &NodeLocation<'_>| self.centres.get(node.centre).copied().unwrap_or(0.0);
        let best = candidates.iter().map(|index| share(&nodes[*index])).fold(0.0, f64::max);
        let closest = keep(&candidates, &|node| share(node) + PROXIMITY_BONUS >= best);
        // Nodes that are not much smaller than the largest.
        let most = closest.iter().map(|index| nodes[*index].capacity).fold(0.0, f64::max);
        let large = keep(&closest, &|node| node.capacity >= MIN_CAPACITY_SHARE * most);
        // Takes the narrowest selection that the loss of a node does not leave empty.
        let choices = [large, closest, candidates];
        choices.into_iter().find(|choice| choice.len() >= MIN_NODES).unwrap_or(all)
    }
}
