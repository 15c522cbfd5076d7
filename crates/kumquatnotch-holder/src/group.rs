//! Sub-requests for groups of shards.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, Result,
    answer::{GroupAnswer, ShardError, ShardVersions},
    document::Class,
    ids::{IndexVersion, ShardName, TenantName},
    query::GroupRequest,
    target::HeldVersion,
};
use kumquatnotch_policy::{containment::Verdict, replica::Fitness};

use crate::{
    calls::contained,
    core::Core,
    merge::{merge_hits, strip_private},
    slots::Work,
    table::TargetSet,
};

/// Maximum expected wait of a group as a share of its time left, averaged over its shards.
///
/// If each shard refused on its own, almost every query would miss shards and the work of the
/// others would be wasted. The group is therefore refused as a whole well before single shards
/// refuse. Due to the averaging, a single overloaded shard does not refuse the whole group.
const MAX_GROUP_WAIT_SHARE: f64 = 0.2;
/// Minimum retry-after time of a refused group.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

impl Core {
    /// Answers `request` from the shards that reply in time.
    pub async fn answer_group(self: &Rc<Self>, request: &GroupRequest) -> Result<GroupAnswer> {
        self.refresh_document()?;
        let start = self.now();
        let deadline = start + Duration::from_millis(request.deadline_ms);
        let partial_deadline = start + Duration::from_millis(request.patience_ms);
        let eligible = self.table.borrow_mut().eligible(&request.selector)?;
        if let Verdict::Refused(left) = self.verdict(request.fingerprint) {
            return Err(contained(left));
        }
        self.admit_group(request, deadline)?;
        let works: Vec<Rc<Work>> = request
            .shards
            .iter()
            .map(|shard| Rc::new(self.shard_work(request, shard, &eligible, deadline)))
            .collect();
        let results = self.gather(&works, partial_deadline.min(deadline), deadline).await;
        Ok(self.merge(request, &works, results))
    }

    fn shard_work(
        &self,
        request: &GroupRequest,
        shard: &ShardName,
        eligible: &TargetSet,
        deadline: Instant,
    ) -> Work {
        Work {
            shard: shard.clone(),
            version: Some(request.version),
            tenant: request.tenant.clone(),
            weight: self.weight(&request.tenant),
            class: request.class,
            body: request.body.clone(),
            limit: request.limit,
            fingerprint: request.fingerprint,
            eligible: eligible.clone(),
            deadline,
            // The calls of a hedged group request are not hedged again.
            hedgeable: !request.hedge,
            sent: Cell::new(false),
        }
    }

    /// Returns the weight of a tenant, 1 if it is unknown.
    pub fn weight(&self, tenant: &TenantName) -> u32 {
        let table = self.table.borrow();
        let tenants = table.document.as_ref().map(|document| &document.rules.tenants);
        tenants.and_then(|tenants| tenants.get(tenant)).map_or(1, |tenant| tenant.weight)
    }

    /// Refuses the group if the expected wait of its shards is too long.
    fn admit_group(&self, request: &GroupRequest, deadline: Instant) -> Result<()> {
        let wait = self.mean_wait(&request.shards, request.class, &request.tenant);
        let left = deadline.saturating_duration_since(self.now());
        let bound = left.mul_f64(MAX_GROUP_WAIT_SHARE);
        if wait <= bound {
            return Ok(());
        }
        self.meters.refusals.increment(1);
        Err(Error::overloaded((wait - bound).max(MIN_RETRY_AFTER)))
    }

    /// Runs all calls until `partial_deadline`, or until `deadline` if no shard has been answered
    /// by then.
    async fn gather(
        self: &Rc<Self>,
        works: &[Rc<Work>],
        partial_deadline: Instant,
        deadline: Instant,
    ) -> Vec<Option<Result<kumquatnotch_core::target::TargetReply>>> {
        let mut results: Vec<_> = works.iter().map(|_| None).collect();
        let mut running: FuturesUnordered<_> = works
            .iter()
            .enumerate()
            .map(|(index, work)| async move { (index, self.run(work).await) })
            .collect();
        let mut covered = 0;
        let mut timer = self.clock.sleep_until(partial_deadline);
        loop {
            match select(running.next(), timer).await {
                Either::Left((None, _)) => return results,
                Either::Left((Some((index, result)), rest)) => {
                    covered += usize::from(result.is_ok());
                    results[index] = Some(result);
                    timer = rest;
                }
                Either::Right(_) if covered > 0 || self.now() >= deadline => return results,
                Either::Right(_) => timer = self.clock.sleep_until(deadline),
            }
        }
    }

    fn merge(
        &self,
        request: &GroupRequest,
        works: &[Rc<Work>],
        results: Vec<Option<Result<kumquatnotch_core::target::TargetReply>>>,
    ) -> GroupAnswer {
        let mut hits = Vec::new();
        let mut covered = Vec::new();
        let mut missing = Vec::new();
        for (work, result) in works.iter().zip(results) {
            let shard = work.shard.clone();
            match result {
                Some(Ok(reply)) => {
                    hits.extend(reply.hits);
                    covered.push(shard);
                }
                Some(Err(error)) => missing.push(ShardError { shard, error }),
                None if work.sent.get() => {
                    missing.push(ShardError { shard, error: Error::TimedOut });
                }
                None => missing.push(ShardError { shard, error: Error::ExpiredInQueue }),
            }
        }
        let mut hits = merge_hits(hits, request.limit as usize);
        strip_private(&mut hits, &request.tenant);
        let held = self.held_versions(&self.declared_shards(&request.shards));
        let wait = self.mean_wait(&request.shards, request.class, &request.tenant);
        GroupAnswer { hits, covered, missing, held, wait_us: wait.as_micros() as u64 }
    }

    /// Returns the versions held by the targets that declare each of `shards`.
    ///
    /// All held versions are reported under the declared shard. After a repartition a version has
    /// shards of other names, and a root that learned only of the declared ones would find no
    /// snapshot. Draining targets are included, as the shards they hold still belong to their
    /// versions.
    pub fn held_versions(&self, shards: &[ShardName]) -> Vec<ShardVersions> {
        let now = self.now();
        let table = self.table.borrow();
        let versions = |shard: &ShardName| {
            let names = table.index.get(shard).map(Vec::as_slice).unwrap_or_default();
            let entries = names.iter().filter_map(|name| table.entries.get(name));
            let declared = entries.filter(|entry| entry.spec.shard == *shard);
            let reached = declared.filter(|entry| entry.fitness(now) != Fitness::Down);
            let mut versions: Vec<HeldVersion> =
                reached.flat_map(|entry| entry.replica.held()).cloned().collect();
            versions.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
            versions.dedup();
            versions
        };
        shards
            .iter()
            .map(|shard| ShardVersions { shard: shard.clone(), versions: versions(shard) })
            .collect()
    }

    /// Returns the shards declared by the targets that hold `shards`.
    fn declared_shards(&self, shards: &[ShardName]) -> Vec<ShardName> {
        let table = self.table.borrow();
        let targets = shards.iter().filter_map(|shard| table.index.get(shard)).flatten();
        let entries = targets.filter_map(|target| table.entries.get(target));
        let names: BTreeSet<&ShardName> = entries.map(|entry| &entry.spec.shard).collect();
        names.into_iter().cloned().collect()
    }

    /// Returns the expected wait of a request of this class and tenant, averaged over `shards`.
    fn mean_wait(&self, shards: &[ShardName], class: Class, tenant: &TenantName) -> Duration {
        if shards.is_empty() {
            return Duration::ZERO;
        }
        let now = self.now();
        let weight = self.weight(tenant);
        let table = self.table.borrow();
        let waits = shards.iter().filter_map(|name| {
            let shard = table.shards.get(name).filter(|shard| !shard.queue.is_empty())?;
            let rate = table.service_rate(name, self.options.holders, now);
            Some(shard.queue.expected_wait(class, tenant, weight, rate))
        });
        waits.sum::<Duration>() / shards.len() as u32
    }
}

fn sort_key(held: &HeldVersion) -> (IndexVersion, &str, &ShardName) {
    (held.version, &held.collection, &held.shard)
}
