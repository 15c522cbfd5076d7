//! The service that answers sub-requests for groups of shards.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, Targets,
    answer::{GroupAnswer, ShardFault, ShardVersions},
    clock::timeout_at,
    document::{Document, Documents, TargetSpec},
    ids::{SelectorName, ShardName, TargetName},
    peer::{HOLDER_SERVICE, PeerHandler, PeerMessage, PeerReply, RelayCall},
    query::GroupRequest,
    random::Random,
    registry::Registry,
    services,
    target::{TargetCall, TargetReply},
};

use crate::{
    HolderOptions,
    merge::{merge_hits, strip_private},
};

/// Answers sub-requests out of the replicas of its shards.
pub struct HolderService {
    clock: Rc<dyn Clock>,
    documents: Rc<dyn Documents>,
    random: Random,
    targets: Rc<dyn Targets>,
}

impl HolderService {
    /// A holder of the services in `registry`, registered there itself.
    pub fn try_new(_options: HolderOptions, registry: &Registry) -> Result<Rc<HolderService>> {
        let holder = Rc::new(HolderService {
            clock: registry.find(services::CLOCK)?,
            documents: registry.find(services::DOCUMENTS)?,
            random: registry.find(services::RANDOM)?,
            targets: registry.find(services::TARGETS)?,
        });
        let handler: Rc<dyn PeerHandler> = holder.clone();
        registry.register(HOLDER_SERVICE, handler);
        Ok(holder)
    }

    /// Starts the background work; this must run inside a runtime.
    pub fn start(self: &Rc<Self>) {}

    /// The state of the targets as text for the status page.
    pub fn status_text(&self) -> String {
        String::new()
    }

    async fn answer_group(&self, request: &GroupRequest) -> Result<GroupAnswer> {
        let document = self.documents.current().ok_or(Error::NotReady)?;
        let deadline = self.clock.now() + Duration::from_millis(request.deadline_ms);
        let calls = request
            .shards
            .iter()
            .map(|shard| self.call_shard(&document, request, shard.clone(), deadline));
        let mut answer = GroupAnswer {
            hits: Vec::new(),
            covered: Vec::new(),
            missing: Vec::new(),
            held: Vec::new(),
            wait_us: 0,
        };
        for (shard, result) in request.shards.iter().cloned().zip(join_all(calls).await) {
            match result {
                Ok(reply) => {
                    answer.hits.extend(reply.hits);
                    answer.covered.push(shard);
                }
                Err(error) => answer.missing.push(ShardFault { shard, error }),
            }
        }
        answer.hits = merge_hits(answer.hits, request.limit as usize);
        strip_private(&mut answer.hits, &request.tenant);
        Ok(answer)
    }

    async fn call_shard(
        &self,
        document: &Document,
        request: &GroupRequest,
        shard: ShardName,
        deadline: Instant,
    ) -> Result<TargetReply> {
        let (name, spec) = self.choose(document, &request.selector, &shard)?;
        let call = TargetCall {
            id: self.random.number(),
            shard,
            version: Some(request.version),
            tenant: request.tenant.clone(),
            class: request.class,
            body: request.body.clone(),
            limit: request.limit,
            exclusive: false,
        };
        let reply = self.targets.call(name, spec, &call, deadline);
        timeout_at(&*self.clock, deadline, reply).await?
    }

    async fn relay(&self, relay: &RelayCall) -> Result<TargetReply> {
        let document = self.documents.current().ok_or(Error::NotReady)?;
        let deadline = self.clock.now() + Duration::from_millis(relay.deadline_ms);
        let (name, spec) = self.choose(&document, &relay.selector, &relay.call.shard)?;
        let reply = self.targets.call(name, spec, &relay.call, deadline);
        timeout_at(&*self.clock, deadline, reply).await?
    }

    fn choose<'a>(
        &self,
        document: &'a Document,
        selector: &SelectorName,
        shard: &ShardName,
    ) -> Result<(&'a TargetName, &'a TargetSpec)> {
        let Some(spec) = document.rules.selectors.get(selector) else {
            return Err(Error::UnknownSelector { name: selector.to_string() });
        };
        let usable: Vec<_> = document
            .select(spec)
            .filter(|(_, target)| target.shard == *shard && !target.drain)
            .collect();
        self.random.pick(&usable).copied().ok_or(Error::NoTarget)
    }

    async fn versions(&self, shards: &[ShardName]) -> Result<Vec<ShardVersions>> {
        let document = self.documents.current().ok_or(Error::NotReady)?;
        let deadline = self.clock.now() + kumquatnotch_core::peer::CONTROL_TIMEOUT;
        let probes = document
            .targets
            .iter()
            .filter(|(_, spec)| shards.contains(&spec.shard) && !spec.drain)
            .map(|(name, spec)| self.targets.probe(name, spec, deadline));
        let probed = timeout_at(&*self.clock, deadline, join_all(probes)).await?;
        let held: Vec<_> = probed.into_iter().flatten().flat_map(|status| status.held).collect();
        let versions = shards.iter().map(|shard| {
            let mut versions: Vec<_> =
                held.iter().filter(|held| held.shard == *shard).cloned().collect();
            versions.sort_by_key(|held| held.version);
            versions.dedup();
            ShardVersions { shard: shard.clone(), versions }
        });
        Ok(versions.collect())
    }
}

impl PeerHandler for HolderService {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            match message {
                PeerMessage::Group(request) => {
                    let answer = self.answer_group(&request).await?;
                    Ok(PeerReply::Group(Box::new(answer)))
                }
                PeerMessage::Versions(shards) => {
                    Ok(PeerReply::Versions(self.versions(&shards).await?))
                }
                PeerMessage::Relay(relay) => {
                    Ok(PeerReply::Relay(Box::new(self.relay(&relay).await?)))
                }
                _ => Err(Error::protocol("not a message for a holder")),
            }
        })
    }
}
