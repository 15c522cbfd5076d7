//! Plans which shards of a search are queried directly and which through relays.

use std::rc::Rc;

use kumquatnotch_core::ids::DataCentre;
use kumquatnotch_policy::{
    mechanisms::Mechanism,
    plan::{self, ShardLocation},
    rating::Rating,
};

use crate::{
    names::{ReplicaId, ServiceName},
    replica::{self, Replica},
    route::{Route, ShardSet},
    router::Router,
};

/// A group of shards and the relay that gathers them.
pub struct Group {
    /// The relay.
    pub peer: Rc<Replica>,
    /// Indices of the shards in the set.
    pub shards: Vec<usize>,
    /// The replicas of each shard that may be used; an empty list allows any.
    ///
    /// If the relay is lost, this node queries the shards itself. Both nodes must use the
    /// same replicas then, as otherwise more replicas than the route allows would run the
    /// request.
    pub allowed: Vec<Vec<ReplicaId>>,
}

/// The shards of a search by how they are queried.
pub struct Plan {
    /// Indices of the shards that this node queries itself.
    pub direct: Vec<usize>,
    /// The shards that are queried through relays in other data centres.
    pub groups: Vec<Group>,
}

/// Plans a search over `shards`, given as indices into the set.
pub fn plan(router: &Router, route: &Route, set: &ShardSet, shards: &[usize]) -> Plan {
    if !router.uses(Mechanism::Relays) {
        return Plan { direct: shards.to_vec(), groups: Vec::new() };
    }
    let ratings: Vec<(usize, Vec<(DataCentre, Rating)>)> = shards
        .iter()
        .map(|index| (*index, rate_by_centre(router, route, &set.shards[*index])))
        .collect();
    let locations = ratings.iter().map(|(index, ratings)| {
        let ratings: Vec<(&DataCentre, Rating)> =
            ratings.iter().map(|(centre, rating)| (centre, *rating)).collect();
        ShardLocation { index: *index, centres: plan::nearest_centres(&ratings) }
    });
    let peer_in = |centre: &DataCentre| router.peer_in(&route.host, centre);
    let plan::Plan { direct, groups } =
        plan::Plan::new(locations.collect(), &router.local_node.centre, &router.random, peer_in);
    let groups = groups.into_iter().map(|plan::Group { peer, shards }| {
        let allowed =
            shards.iter().map(|index| allowed_replicas(router, route, &set.shards[*index]));
        Group { peer, allowed: allowed.collect(), shards }
    });
    Plan { direct, groups: groups.collect() }
}

/// Rates the replicas of a shard that accept requests, with their data centres.
fn rate_by_centre(
    router: &Router,
    route: &Route,
    shard: &ServiceName,
) -> Vec<(DataCentre, Rating)> {
    let now = router.clock.now();
    let profile = router.profile_for(route, shard);
    let replicas = router.directory.of(shard);
    let available = replicas.iter().filter(|replica| replica.takes_requests());
    available.map(|replica| (replica.spec().centre.clone(), replica.rate(profile, now))).collect()
}

/// Returns the replicas of a shard that one search may use; an empty list allows any.
fn allowed_replicas(router: &Router, route: &Route, shard: &ServiceName) -> Vec<ReplicaId> {
    let replicas = router.directory.of(shard);
    if replicas.len() <= route.attempts as usize {
        return Vec::new();
    }
    let now = router.clock.now();
    let profile = router.profile_for(route, shard);
    let mut allowed: Vec<ReplicaId> = Vec::new();
    while allowed.len() < route.attempts as usize {
        match replica::pick(&replicas, &allowed, profile, now) {
            Some(pick) => allowed.push(pick.replica.id.clone()),
            None => break,
        }
    }
    allowed
}
