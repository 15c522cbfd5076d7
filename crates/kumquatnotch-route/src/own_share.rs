//! This node's share of the connections and the retry budget, which all nodes share.

use kumquatnotch_core::{collections::HashSet, ids::NodeName};
use kumquatnotch_policy::{
    mechanisms::Mechanism,
    shares::{self, SharingNodes},
};

use crate::{names::ServiceName, replica::Replica, route::RouteTable, router::Router};

/// Connection limit for replicas of services that are not in the configuration.
const DEFAULT_CONNECTIONS: u32 = 8;

/// Maximum number of hosts whose advice is read to find the serving nodes.
const MAX_HOSTS: usize = 16;

impl Router {
    /// Limits the connections of this node to `replica` to its share.
    pub(crate) fn limit_connections(&self, replica: &Replica, service: &ServiceName) {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        let share = if self.uses(Mechanism::ConnectionShares) { self.own_share() } else { 1.0 };
        let all = service.map_or(DEFAULT_CONNECTIONS, |service| service.connections);
        replica.semaphore.set_limit(shares::connections(all, share));
    }

    /// Returns this node's share of the limits that all nodes share, from zero to one.
    pub fn own_share(&self) -> f64 {
        let now = self.clock.now();
        let known_for = self.synced_at.get().map(|at| now.saturating_duration_since(at));
        if !self.uses(Mechanism::SettleTime) {
            return self.cached_share();
        }
        shares::capped_share(self.cached_share(), known_for)
    }

    fn cached_share(&self) -> f64 {
        let Some(table) = self.table() else { return 1.0 };
        let valid_for = self.input_versions(&table);
        let (cached_for, share) = self.cached_share.get();
        if cached_for == valid_for {
            return share;
        }
        let share = self.compute_share(&table);
        self.cached_share.set((valid_for, share));
        share
    }

    fn compute_share(&self, table: &RouteTable) -> f64 {
        let mut serving: HashSet<NodeName> = HashSet::default();
        for host in table.sharded_hosts().take(MAX_HOSTS) {
            if let Some(advice) = self.advice(host) {
                serving.extend(advice.advised_nodes().cloned());
            }
        }
        if self.is_standby() && !self.fleet.knows(&self.local_node.name) {
            // Any number of standby nodes may be unknown to the other nodes, so none of them
            // takes a share.
            return 0.0;
        }
        let is_serving = serving.contains(&self.local_node.name);
        SharingNodes { all: self.fleet.len(), serving: serving.len(), is_serving }.share()
    }
}
