//! By whom the shards of a search are asked.
//!
//! Those with a replica in this data centre are asked from here, the others through
//! a node beside their replicas, if there are enough of them for its message to be
//! the shorter one.

use std::rc::Rc;

use kumquatnotch_core::ids::DataCentre;

use crate::{
    choice::{self, Need},
    gather::Search,
    names::{ReplicaId, ServiceName},
    replica::Replica,
    route::Route,
    router::Router,
};

/// By how much later than the best a replica may be expected to reply, in seconds,
/// for its data centre to do as well.
///
/// More than replicas of one region differ by, less than a way between regions.
const NEAR_SLACK: f64 = 0.006;

/// The fewest shards for which a node of another data centre is asked.
///
/// For a single one, its message is no shorter than the part itself.
const LEAST_SHARDS: usize = 2;

/// A group of shards, and the node that is asked for them.
pub struct Group {
    /// The node.
    pub peer: Rc<Replica>,
    /// The shards, by their place in the set.
    pub shards: Vec<usize>,
    /// The replicas of each shard that may be asked; none means any.
    ///
    /// If the other node is lost, the shards are asked for from here again. Both
    /// must keep to the same few replicas then, or more of them than the route
    /// allows would run the request.
    pub allowed: Vec<Vec<ReplicaId>>,
}

/// Which shards of a search are asked for, and by whom.
pub struct Plan {
    /// The shards that are asked for from here, by their place in the set.
    pub here: Vec<usize>,
    /// The shards that are asked for through nodes of other data centres.
    pub groups: Vec<Group>,
}

/// Plans a search over `shards`, by their place in the set.
pub fn plan(router: &Router, search: &Search<'_>, shards: Vec<usize>) -> Plan {
    let Search { route, set, .. } = search;
    let need = router.paces.need(route);
    let mut here = Vec::new();
    let mut away: Vec<Away> = Vec::new();
    for index in shards {
        let centres = nearest_centres(router, &set.shards[index], need);
        if centres.is_empty() || centres.contains(&router.place.centre) {
            here.push(index);
        } else {
            away.push(Away { index, centres });
        }
    }
    let mut groups = Vec::new();
    while let Some((peer, centre)) = best_centre(router, &route.host, &away) {
        let (taken, rest): (Vec<Away>, Vec<Away>) =
            away.into_iter().partition(|shard| shard.centres.contains(&centre));
        away = rest;
        let shards: Vec<usize> = taken.into_iter().map(|shard| shard.index).collect();
        let allowed = shards.iter().map(|index| allowed(router, route, &set.shards[*index]));
        groups.push(Group { peer, allowed: allowed.collect(), shards });
    }
    here.extend(away.into_iter().map(|shard| shard.index));
    Plan { here, groups }
}

/// A shard whose nearest replicas are in other data centres.
struct Away {
    index: usize,
    centres: Vec<DataCentre>,
}

/// The data centres with a replica that is expected to reply about as soon as the best.
fn nearest_centres(router: &Router, shard: &ServiceName, need: Need) -> Vec<DataCentre> {
    let now = router.clock.now();
    let replicas = router.directory.of(shard);
    let Some(best) = choice::best(&replicas, &[], need, now) else {
        return Vec::new();
    };
    let mut centres = vec![best.replica.spec().centre.clone()];
    for replica in replicas.iter().filter(|replica| choice::is_good(replica, need.usual, now)) {
        let near = choice::cost(replica, need, now) <= best.cost + NEAR_SLACK;
        let centre = replica.spec().centre.clone();
        if near && !centres.contains(&centre) {
            centres.push(centre);
        }
    }
    centres
}

/// The data centre that holds most of the shards `away`, with a node of it.
fn best_centre(router: &Router, host: &str, away: &[Away]) -> Option<(Rc<Replica>, DataCentre)> {
    let mut centres: Vec<&DataCentre> = away.iter().flat_map(|shard| &shard.centres).collect();
    centres.sort_unstable();
    centres.dedup();
    // Of two that hold as many, each is taken in its turn.
    router.random.shuffle(&mut centres);
    let count =
        |centre: &DataCentre| away.iter().filter(|shard| shard.centres.contains(centre)).count();
    centres.sort_by_key(|centre| std::cmp::Reverse(count(centre)));
    let fitting = centres.into_iter().filter(|centre| count(centre) >= LEAST_SHARDS);
    fitting.filter_map(|centre| Some((router.peer_in(host, centre)?, centre.clone()))).next()
}

/// The replicas of a shard that one search may ask; none means any.
fn allowed(router: &Router, route: &Route, shard: &ServiceName) -> Vec<ReplicaId> {
    let replicas = router.directory.of(shard);
    if replicas.len() <= route.attempts as usize {
        return Vec::new();
    }
    let need = router.paces.need(route);
    let now = router.clock.now();
    let mut allowed: Vec<ReplicaId> = Vec::new();
    while allowed.len() < route.attempts as usize {
        match choice::best(&replicas, &allowed, need, now) {
            Some(pick) => allowed.push(pick.replica.id.clone()),
            None => break,
        }
    }
    allowed
}
