//! By whom the shards of a search are asked.
//!
//! Those with a replica in this data centre are asked from here, the others through
//! a node beside their replicas, if there are enough of them for its message to be
//! the shorter one.

use kumquatnotch_core::{ids::DataCentre, random::Random};

use crate::rating::{self, Rating};

/// By how much later than the best a replica may be expected to reply, in seconds,
/// for its data centre to do as well.
///
/// More than replicas of one region differ by, less than a way between regions.
const NEAR_SLACK: f64 = 0.006;

/// The fewest shards for which a node of another data centre is asked.
///
/// For a single one, its message is no shorter than the part itself.
const MIN_GROUP_SHARDS: usize = 2;

/// The data centres with a replica that is expected to reply about as soon as the best.
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

/// A shard, and the data centres that do equally well for it.
#[derive(Clone, Debug)]
pub struct ShardLocation<'a> {
    /// The shard, by its place in the set.
    pub index: usize,
    /// The data centres; none if no replica is known.
    pub centres: Vec<&'a DataCentre>,
}

/// Shards that are asked for through one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Group<P> {
    /// The node.
    pub peer: P,
    /// The shards, by their place in the set.
    pub shards: Vec<usize>,
}

/// Which shards are asked for, and by whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan<P> {
    /// Those that are asked for from here, by their place in the set.
    pub here: Vec<usize>,
    /// Those that are asked for through nodes of other data centres.
    pub groups: Vec<Group<P>>,
}

impl<P> Plan<P> {
    /// Plans a search from `home`; `peer_in` gives a node of a data centre, if there is one.
    pub fn new(
        locations: Vec<ShardLocation<'_>>,
        home: &DataCentre,
        random: &Random,
        peer_in: impl Fn(&DataCentre) -> Option<P>,
    ) -> Plan<P> {
        let (near, mut remote): (Vec<ShardLocation<'_>>, Vec<ShardLocation<'_>>) = locations
            .into_iter()
            .partition(|location| location.centres.is_empty() || location.centres.contains(&home));
        let mut here: Vec<usize> = near.iter().map(|location| location.index).collect();
        let mut groups = Vec::new();
        while let Some((peer, centre)) = best_centre(&remote, random, &peer_in) {
            let (taken, rest): (Vec<ShardLocation<'_>>, Vec<ShardLocation<'_>>) =
                remote.into_iter().partition(|location| location.centres.contains(&centre));
            remote = rest;
            let shards = taken.iter().map(|location| location.index).collect();
            groups.push(Group { peer, shards });
        }
        here.extend(remote.iter().map(|location| location.index));
        Plan { here, groups }
    }
}

/// The data centre that holds most of the shards `remote`, with a node of it.
fn best_centre<'a, P>(
    remote: &[ShardLocation<'a>],
    random: &Random,
    peer_in: &impl Fn(&DataCentre) -> Option<P>,
) -> Option<(P, &'a DataCentre)> {
    let mut centres: Vec<&DataCentre> =
        remote.iter().flat_map(|location| location.centres.iter().copied()).collect();
    centres.sort_unstable();
    centres.dedup();
    // Of two that hold as many, each is taken in its turn.
    random.shuffle(&mut centres);
    let count = |centre: &DataCentre| {
        remote.iter().filter(|location| location.centres.contains(&centre)).count()
    };
    centres.sort_by_key(|centre| std::cmp::Reverse(count(centre)));
    let fitting = centres.into_iter().filter(|centre| count(centre) >= MIN_GROUP_SHARDS);
    fitting.filter_map(|centre| Some((peer_in(centre)?, centre))).next()
}
