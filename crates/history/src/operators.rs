//! Operators that change the configuration concurrently, and polling of the versions in force.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use futures_util::future::join_all;
use kumquatnotch_config::document_store::{Authorship, DocumentStore, set_drain};
use kumquatnotch_core::{
    Error, Result,
    clock::RuntimeClock,
    document::Document,
    ids::{ConfigVersion, TargetName, TenantName},
    member::Confirmation,
    random::Random,
};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};
use serde::Deserialize;
use standins::{data::OWNERS, http::Client, now_us};

use crate::{
    cluster::Node,
    layout,
    record::{Accepted, Reading},
    run_context::RunContext,
};

/// Duration of a drain; longer than the limit after which the target must receive no new work,
/// so that late work is observed.
const DRAIN_MS: u64 = 8_000;

/// Interval at which each node is polled for the version in force, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Timeout of a request when polling a node.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// A simulated operator.
pub struct Operator {
    pub(crate) run: Rc<RunContext>,
    pub(crate) random: Random,
    store: DocumentStore,
    name: String,
}

#[derive(Deserialize)]
struct TierConfig {
    nodes: Vec<NodeConfig>,
}

#[derive(Deserialize)]
struct NodeConfig {
    name: String,
    confirmation: Option<Confirmation>,
}

impl Operator {
    /// Creates operator `number`, which connects to the platform directly.
    pub fn new(run: &Rc<RunContext>, number: usize) -> Operator {
        let address = run.cluster.platform;
        let random = run.generator();
        let clock = Rc::new(RuntimeClock);
        let client = StoreClient::new(StoreOptions::new(address), clock.clone());
        let store = DocumentStore::new(Rc::new(client), clock, random.clone());
        Operator { run: run.clone(), random, store, name: format!("operator-{number}") }
    }

    /// Publishes the first document.
    pub async fn publish_initial(&self, document: &Document) -> Result<()> {
        let base = self.store.current().await?;
        let sent_us = now_us();
        let result = self.store.publish(&base, document, self.authorship("found")).await;
        self.record(&result, sent_us, Some(eligible_targets(document)));
        result.map(|_| ())
    }

    /// Changes weights of tenants, on a base that may be outdated, until the run is over.
    pub async fn change_weights(self) {
        while !self.run.over.get() {
            let tenant = TenantName::from(OWNERS[self.random.below(OWNERS.len())]);
            let weight = 1 + self.random.below(8) as u32;
            let Ok(base) = self.store.current().await else {
                continue;
            };
            self.run.sleep_ms(self.random.below(300) as u64).await;
            let mut document = base.document.clone();
            if let Some(spec) = document.rules.tenants.get_mut(&tenant) {
                spec.weight = weight;
            }
            let sent_us = now_us();
            let result = self.store.publish(&base, &document, self.authorship("weigh")).await;
            if matches!(result, Err(Error::Conflict { .. })) {
                self.run.record_fault("conflict of operators", "");
            }
            self.record(&result, sent_us, Some(eligible_targets(&document)));
            self.run.sleep_ms(200 + self.random.below(1_000) as u64).await;
        }
    }

    /// Drains targets, one at a time, until the run is over.
    pub async fn drain_targets(self) {
        while !self.run.over.get() {
            // Only first replicas are drained: each shard keeps a target, as target faults and
            // other changes affect only second replicas.
            let shard = self.random.below(layout::SEARCH_SHARDS);
            let target = layout::target_name("s", shard, layout::REPLICAS[0]);
            // The checker derives the period of the drain from the accepted configurations,
            // since a rollback may end the drain early.
            if self.drain(&target, true).await {
                self.run.record_fault("drain by an operator", &target);
                self.run.sleep_ms(DRAIN_MS).await;
            }
            self.drain(&target, false).await;
            self.run.sleep_ms(self.random.below(1_000) as u64).await;
        }
    }

    /// Returns the version stored at the platform.
    pub async fn stored_version(&self) -> Result<ConfigVersion> {
        Ok(self.store.current().await?.document.version)
    }

    async fn drain(&self, target: &TargetName, drain: bool) -> bool {
        let change = |document: &mut Document| set_drain(document, target, drain);
        self.amend(change, "drain").await
    }

    /// Changes the configuration in force and records the new version; returns whether the
    /// change was accepted.
    pub async fn amend(
        &self,
        change: impl Fn(&mut Document) -> Result<()>,
        note: &'static str,
    ) -> bool {
        let sent_us = now_us();
        let reached = RefCell::new(None);
        let change = |document: &mut Document| {
            change(document)?;
            reached.replace(Some(eligible_targets(document)));
            Ok(())
        };
        let result = self.store.amend(change, self.authorship(note)).await;
        self.record(&result, sent_us, reached.take());
        result.is_ok()
    }

    /// Rolls back to the version before the one in force.
    pub async fn roll_back(&self) -> Result<()> {
        let base = self.store.current().await?;
        let past = base.head.iter().flat_map(|head| &head.history);
        let Some(version) = past.map(|past| past.version).max() else {
            return Ok(());
        };
        let sent_us = now_us();
        let result = self.store.roll_back(&base, version, self.authorship("roll back")).await;
        let now = self.store.current().await.ok().map(|now| now.document);
        let reached = now.filter(|now| result.as_ref().is_ok_and(|own| *own == now.version));
        self.record(&result, sent_us, reached.as_ref().map(eligible_targets));
        result.map(|_| ())
    }

    fn authorship(&self, note: &'static str) -> Authorship<'_> {
        Authorship { author: &self.name, note }
    }

    fn record(
        &self,
        result: &Result<ConfigVersion>,
        sent_us: u64,
        reach: Option<BTreeSet<TargetName>>,
    ) {
        if let Ok(version) = result {
            let accepted = Accepted { version: *version, sent_us, at_us: now_us(), reach };
            self.run.history.borrow_mut().accepted.push(accepted);
        }
    }
}

/// Returns the targets that may receive work under `document`.
fn eligible_targets(document: &Document) -> BTreeSet<TargetName> {
    let selected = document.rules.selectors.values().flat_map(|spec| document.select(spec));
    selected.filter(|(_, target)| !target.drain).map(|(name, _)| name.clone()).collect()
}

/// Polls the version in force on each node until the run is over.
pub async fn poll_versions(run: Rc<RunContext>) {
    while !run.over.get() {
        join_all(run.cluster.nodes.iter().map(|node| poll_version(&run, node))).await;
        run.sleep_ms(POLL_INTERVAL_MS).await;
    }
}

async fn poll_version(run: &RunContext, node: &Node) {
    let client = Client::new(node.entry, POLL_TIMEOUT);
    let (life, sent_us) = (node.instance(), now_us());
    let ready = client.get("/readyz").await.is_ok_and(|answer| answer.status == 200);
    if !ready {
        return;
    }
    let Ok(answer) = client.get("/v1/config").await else {
        return;
    };
    let Ok(config) = answer.json::<TierConfig>() else {
        return;
    };
    let own = config.nodes.iter().find(|config| config.name.as_str() == node.name.as_str());
    if let Some(confirmation) = own.and_then(|own| own.confirmation) {
        let version = confirmation.version;
        let reading = Reading { life, sent_us, ended_us: now_us(), version };
        run.history.borrow_mut().readings.push(reading);
    }
}
