//! Operators who race each other, and watchers of what is in force.

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

/// How long a drain lasts: past the time after which no new work may come.
const DRAIN_MS: u64 = 8_000;

/// How often each node is asked what is in force, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// How long a node may take to tell.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// One operator.
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
    /// The operator of that number, who reaches the platform directly.
    pub fn new(run: &Rc<RunContext>, number: usize) -> Operator {
        let address = run.cluster.platform;
        let random = run.generator();
        let clock = Rc::new(RuntimeClock);
        let client = StoreClient::new(StoreOptions::new(address), clock.clone());
        let store = DocumentStore::new(Rc::new(client), clock, random.clone());
        Operator { run: run.clone(), random, store, name: format!("operator-{number}") }
    }

    /// Puts the first document in force.
    pub async fn publish_initial(&self, document: &Document) -> Result<()> {
        let base = self.store.current().await?;
        let sent_us = now_us();
        let result = self.store.publish(&base, document, self.authorship("found")).await;
        self.record(&result, sent_us, Some(eligible_targets(document)));
        result.map(|_| ())
    }

    /// Changes the weights of tenants, on what may be an old base, until the run is over.
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

    /// Drains one target after the other until the run is over.
    pub async fn drain_targets(self) {
        while !self.run.over.get() {
            // Only first replicas: a shard keeps a target, whatever befalls others.
            let shard = self.random.below(layout::SEARCH_SHARDS);
            let target = layout::target_name("s", shard, layout::REPLICAS[0]);
            // How long it is out follows from the configurations: a rollback may
            // take it in again.
            if self.drain(&target, true).await {
                self.run.record_fault("drain by an operator", &target);
                self.run.sleep_ms(DRAIN_MS).await;
            }
            self.drain(&target, false).await;
            self.run.sleep_ms(self.random.below(1_000) as u64).await;
        }
    }

    /// The version in the platform's service.
    pub async fn stored_version(&self) -> Result<ConfigVersion> {
        Ok(self.store.current().await?.document.version)
    }

    async fn drain(&self, target: &TargetName, drain: bool) -> bool {
        let change = |document: &mut Document| set_drain(document, target, drain);
        self.amend(change, "drain").await
    }

    /// Changes what is in force, and records it; whether it was accepted.
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

    /// Puts the version before the one in force in force again.
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

/// The targets that may get work under `document`.
fn eligible_targets(document: &Document) -> BTreeSet<TargetName> {
    let selected = document.rules.selectors.values().flat_map(|spec| document.select(spec));
    selected.filter(|(_, target)| !target.drain).map(|(name, _)| name.clone()).collect()
}

/// Reads what is in force on each node until the run is over.
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
