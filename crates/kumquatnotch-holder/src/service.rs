//! The holder service that a node registers for itself and its peers.

use std::{cell::Cell, fmt::Write, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Error, LocalFuture, Result,
    clock::timeout_at,
    ids::{Fingerprint, stable_hash},
    peer::{HOLDER_SERVICE, PeerHandler, PeerMessage, PeerReply, RelayCall},
    registry::Registry,
    target::TargetReply,
};
use kumquatnotch_policy::replica::Fitness;

use crate::{Decisions, HolderOptions, core::Core, slots::Work, table::Entry};

/// Answers sub-requests from the replicas of its shards.
pub struct HolderService {
    core: Rc<Core>,
}

impl HolderService {
    /// Creates a holder with the default policies from the services in `registry`, and registers it
    /// there.
    pub fn try_new(options: HolderOptions, registry: &Registry) -> Result<Rc<HolderService>> {
        HolderService::with_decisions(options, Decisions::default(), registry)
    }

    /// Creates and registers a holder with the given policies.
    pub fn with_decisions(
        options: HolderOptions,
        decisions: Decisions,
        registry: &Registry,
    ) -> Result<Rc<HolderService>> {
        let core = Core::try_new(options, decisions, registry)?;
        let holder = Rc::new(HolderService { core });
        let handler: Rc<dyn PeerHandler> = holder.clone();
        registry.register(HOLDER_SERVICE, handler);
        Ok(holder)
    }

    /// Spawns the background work; must be called within a runtime.
    pub fn start(&self) {
        monoio::spawn(self.run_background());
    }

    /// Returns the background work as a future, for callers that poll it themselves.
    pub fn run_background(&self) -> impl Future<Output = ()> + 'static {
        self.core.clone().run_background()
    }

    /// Returns the state of the targets as text for the status page.
    pub fn status_text(&self) -> String {
        let now = self.core.now();
        let table = self.core.table.borrow();
        let mut text = String::new();
        let mut names: Vec<_> = table.entries.keys().collect();
        names.sort_unstable();
        for name in names {
            let entry = &table.entries[name];
            let _ = writeln!(text, "target {name} {}", entry_text(entry, entry.fitness(now)));
        }
        let mut shards: Vec<_> = table.shards.iter().collect();
        shards.sort_unstable_by_key(|(name, _)| (*name).clone());
        for (name, shard) in shards {
            let _ = writeln!(text, "shard {name} waiting {}", shard.queue.len());
        }
        text
    }

    /// Runs one call of an exclusive request, at most once.
    async fn relay(&self, relay: RelayCall) -> Result<TargetReply> {
        self.core.refresh_document()?;
        let eligible = self.core.table.borrow_mut().eligible(&relay.selector)?;
        let RelayCall { call, deadline_ms, .. } = relay;
        let parts: [&[u8]; 3] =
            [call.tenant.as_bytes(), call.shard.as_bytes(), call.body.as_bytes()];
        let work = Work {
            shard: call.shard.clone(),
            version: None,
            weight: self.core.weight(&call.tenant),
            fingerprint: Fingerprint(stable_hash(&parts)),
            tenant: call.tenant,
            class: call.class,
            body: call.body,
            limit: call.limit,
            eligible,
            deadline: self.core.now() + Duration::from_millis(deadline_ms),
            hedgeable: false,
            sent: Cell::new(false),
        };
        let work = Rc::new(work);
        let core = &self.core;
        let mut running = std::pin::pin!(core.run(&work));
        if let Ok(result) = timeout_at(&*core.clock, work.deadline, running.as_mut()).await {
            return result;
        }
        // Only a call that was never sent may be reported as "not run".
        if !work.sent.get() {
            return Err(Error::ExpiredInQueue);
        }
        timeout_at(&*core.clock, work.call_end(), running).await?
    }
}

impl PeerHandler for HolderService {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            match message {
                PeerMessage::Group(request) => {
                    let answer = self.core.answer_group(&request).await?;
                    Ok(PeerReply::Group(Box::new(answer)))
                }
                PeerMessage::Versions(shards) => {
                    Ok(PeerReply::Versions(self.core.versions(&shards).await?))
                }
                PeerMessage::Relay(relay) => {
                    Ok(PeerReply::Relay(Box::new(self.relay(*relay).await?)))
                }
                _ => Err(Error::protocol("unexpected message for the holder service")),
            }
        })
    }
}

fn entry_text(entry: &Entry, fitness: Fitness) -> String {
    let state = match fitness {
        Fitness::Ready => "ready",
        Fitness::Draining => "draining",
        Fitness::Down => "down",
        Fitness::Shedding(_) => "shedding",
    };
    let latency = entry.replica.latency().unwrap_or_default();
    let slots = entry.limit.allowed();
    let running = entry.replica.in_flight();
    format!("{state}, {running} of {slots} slots, {:.1} ms", latency.as_secs_f64() * 1e3)
}
