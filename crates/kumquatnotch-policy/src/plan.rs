//! Which nodes query the shards of a search.
//!
//! Shards with a replica in this data centre are queried by this node. The others are queried
//! through a node close to their replicas, if there are enough of them for its message to be
//! shorter than their parts.

use kumquatnotch_core::{ids::DataCentre, random::Random};

use crate::rating::{self, Rating};

/// Time in seconds by which the expected reply time of a replica may exceed the best, for its data
/// centre to be equivalent.
///
/// Larger than the differences within a region, smaller than a round trip between regions.
const NEAR_SLACK: f64 = 0.006;

/// Minimum number of shards that are queried through a node of another data centre.
///
/// With a single shard, the message of that node is no shorter than the part itself.
const MIN_GROUP_SHARDS: usize = 2;

/// Data centres with a replica whose expected reply time is close to the best.
pub fn nearest_centres<'a>(replicas: &[(&'a DataCentre, Rating)]) -> Vec<&'a DataCentre> {
    let ratings: Vec<Rating> = replicas.iter().map(|(_, rating)| *rating).collect();
    let Some(best) = rating::best(&ratings) else {
        return Vec::new();
    };
    let mut centres = vec![replicas[best].0];
    for (centre, rating) in replicas.iter().filter(|(_, rating)| rating.is_healthy()) {
        let is_near = rating.cost <= ratings[best].cost + NEAR_SLACK;
        if is_near && !centres.contains(centre) {
            centres.push(centre);
        }
    }
    centres
}

/// A shard, and the data centres that are equivalent for it.
#[derive(Clone, Debug)]
pub struct ShardLocation<'a> {
    /// Index of the shard in the set.
    pub index: usize,
    /// The data centres; empty if no replica is known.
    pub centres: Vec<&'a DataCentre>,
}

/// Shards that are queried through one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Group<P> {
    /// The node.
    pub peer: P,
    /// Indices of the shards in the set.
    pub shards: Vec<usize>,
}

/// Which shards are queried by which node.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan<P> {
    /// Indices of the shards that this node queries.
    pub direct: Vec<usize>,
    /// Shards that are queried through nodes of other data centres.
    pub groups: Vec<Group<P>>,
}

impl<P> Plan<P> {
    /// Plans a search from `home`; `peer_in` returns a node of a data centre, if there is one.
    pub fn new(
        locations: Vec<ShardLocation<'_>>,
        home: &DataCentre,
        random: &Random,
        peer_in: impl Fn(&DataCentre) -> Option<P>,
    ) -> Plan<P> {
        let (near, mut remote): (Vec<ShardLocation<'_>>, Vec<ShardLocation<'_>>) = locations
            .into_iter()
            .partition(|location| location.centres.is_empty() || location.centres.contains(&home));
        let mut direct: Vec<usize> = near.iter().map(|location| location.index).collect();
        let mut groups = Vec::new();
        while let Some((peer, centre)) = best_centre(&remote, random, &peer_in) {
            let (taken, rest): (Vec<ShardLocation<'_>>, Vec<ShardLocation<'_>>) =
                remote.into_iter().partition(|location| location.centres.contains(&centre));
            remote = rest;
            let shards = taken.iter().map(|location| location.index).collect();
            groups.push(Group { peer, shards });
        }
        direct.extend(remote.iter().map(|location| location.index));
        Plan { direct, groups }
    }
}

/// Returns the data centre that holds the most of the `remote` shards, with a node in it.
fn best_centre<'a, P>(
    remote: &[ShardLocation<'a>],
    random: &Random,
    peer_in: &impl Fn(&DataCentre) -> Option<P>,
) -> Option<(P, &'a DataCentre)> {
    let mut centres: Vec<&DataCentre> =
        remote.iter().flat_map(|location| location.centres.iter().copied()).collect();
    centres.sort_unstable();
    centres.dedup();
    // Shuffled, so that data centres with equally many shards share the load.
    random.shuffle(&mut centres);
    let count = |centre: &DataCentre| {
        remote.iter().filter(|location| location.centres.contains(&centre)).count()
    };
    centres.sort_by_key(|centre| std::cmp::Reverse(count(centre)));
    let fitting = centres.into_iter().filter(|centre| count(centre) >= MIN_GROUP_SHARDS);
    fitting.filter_map(|centre| Some((peer_in(centre)?, centre))).next()
}
