//! The operator interface of a node: readiness, status, configuration and metrics.

use std::{
    fmt::Write,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Peers, Result,
    document::{Document, Documents},
    lifecycle::{Lifecycle, Stage},
    marks::Marks,
    member::{Confirmation, Members, NodeRecord},
    peer::{CONTROL_TIMEOUT, PeerMessage, PeerReply},
    registry::Registry,
    report::{ConfigReport, NodeReport},
    services,
};
use kumquatnotch_holder::HolderService;
use kumquatnotch_net::entry::Operator;
use kumquatnotch_query::FrontService;

/// Maximum number of concurrent requests for the configuration of other nodes.
const CONCURRENT_REQUESTS: usize = 64;

/// The operator interface of a node.
pub struct NodeOperator {
    clock: Rc<dyn Clock>,
    lifecycle: Lifecycle,
    members: Rc<dyn Members>,
    marks: Rc<dyn Marks>,
    documents: Rc<dyn Documents>,
    peers: Rc<dyn Peers>,
    holder: Rc<HolderService>,
    front: Rc<FrontService>,
    metrics: Box<dyn Fn() -> String>,
    start: Instant,
}

impl NodeOperator {
    /// Creates the operator interface of the services in `registry`.
    pub fn new(
        registry: &Registry,
        holder: Rc<HolderService>,
        front: Rc<FrontService>,
        metrics: Box<dyn Fn() -> String>,
    ) -> Result<NodeOperator> {
        let clock: Rc<dyn Clock> = registry.find(services::CLOCK)?;
        Ok(NodeOperator {
            start: clock.now(),
            lifecycle: registry.find(services::LIFECYCLE)?,
            members: registry.find(services::MEMBERS)?,
            marks: registry.find(services::MARKS)?,
            documents: registry.find(services::DOCUMENTS)?,
            peers: registry.find(services::PEERS)?,
            clock,
            holder,
            front,
            metrics,
        })
    }

    async fn node_report(&self, record: NodeRecord) -> NodeReport {
        let (confirmation, error) = match self.request_confirmation(&record).await {
            Ok(confirmation) => (Some(confirmation), None),
            Err(error) => (None, Some(error.to_string())),
        };
        NodeReport { name: record.name, state: record.state, confirmation, error }
    }

    async fn request_confirmation(&self, record: &NodeRecord) -> Result<Confirmation> {
        if record.name == self.members.local().name {
            return Ok(self.members.confirmed());
        }
        let deadline = self.clock.now() + CONTROL_TIMEOUT;
        match self.peers.send(record.peer, &PeerMessage::ConfigState, deadline).await? {
            PeerReply::ConfigState(confirmation) => Ok(confirmation),
            PeerReply::Failed(error) => Err(error),
            reply => Err(Error::protocol(format!(
                "unexpected peer reply to a configuration query: {reply:?}"
            ))),
        }
    }

    fn write_status(&self, text: &mut String) -> std::fmt::Result {
        let local = self.members.local();
        let uptime = self.clock.now().saturating_duration_since(self.start);
        let confirmed = self.members.confirmed();
        let age = confirmed.age_ms.map(Duration::from_millis);
        writeln!(text, "node: {} in {}, {}", local.name, local.centre, local.region)?;
        writeln!(text, "stage: {:?}, up for {uptime:.0?}", self.lifecycle.stage())?;
        writeln!(text, "callers: {}, peers: {}", local.entry, local.peer)?;
        write!(text, "configuration: version {}, ", confirmed.version)?;
        match age {
            Some(age) => writeln!(text, "confirmed {age:.1?} ago")?,
            None => writeln!(text, "not confirmed yet")?,
        }
        if let Some(document) = self.documents.current() {
            write_document(text, &document)?;
        }
        let known = self.members.known();
        writeln!(text, "\nnodes: {}", known.len())?;
        for node in known.into_iter().chain(self.members.lost()) {
            let NodeRecord { name, state, centre, entry, .. } = node;
            writeln!(text, "  {name} {state:?} in {centre}, callers at {entry}")?;
        }
        let marks = self.marks.all();
        writeln!(text, "\nmarks: {}", marks.len())?;
        for mark in marks {
            writeln!(text, "  {:?} for {} ms", mark.kind, mark.left_ms)?;
        }
        writeln!(text, "\ncallers:\n{}", self.front.status_text())?;
        writeln!(text, "\ntargets:\n{}", self.holder.status_text())
    }
}

fn write_document(text: &mut String, document: &Document) -> std::fmt::Result {
    let rules = &document.rules;
    writeln!(
        text,
        "document: {} targets, {} selectors, {} tenants",
        document.targets.len(),
        rules.selectors.len(),
        rules.tenants.len(),
    )
}

impl Operator for NodeOperator {
    fn is_ready(&self) -> bool {
        self.lifecycle.stage() == Stage::Serving && self.documents.current().is_some()
    }

    fn status(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_status(&mut text);
        text
    }

    fn config(&self) -> LocalFuture<'_, ConfigReport> {
        Box::pin(async move {
            let mut listed = self.members.known();
            listed.extend(self.members.lost());
            listed.sort_unstable_by(|a, b| a.name.cmp(&b.name));
            let reports = stream::iter(listed).map(|record| self.node_report(record));
            ConfigReport { nodes: reports.buffered(CONCURRENT_REQUESTS).collect().await }
        })
    }

    fn metrics(&self) -> String {
        (self.metrics)()
    }
}
