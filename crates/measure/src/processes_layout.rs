//! Targets, document and callers of a benchmark cluster of processes.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch::{
    config::document_store::{Authorship, DocumentStore},
    core::{
        Clock,
        answer::Answer,
        clock::RuntimeClock,
        document::{Class, Document, Rules, SelectorSpec, TargetSpec, TenantSpec},
        front::key_digest,
        ids::{DataCentre, IndexVersion, Region, SelectorName, ShardName, TargetName, TenantName},
        labels::{Expression, Labels},
        random::Random,
        target::HeldVersion,
    },
    net::{
        CallerClient,
        message::{JSON, Request},
    },
};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};
use serde_json::json;
use standins::plan::{Plan, TargetPlan};

use crate::processes::Cluster;

/// The data centres, all in one region.
pub const CENTRES: [&str; 8] =
    ["chiang-mai", "phuket", "bangkok", "lampang", "krabi", "nan", "trang", "yala"];

/// The tenant of all callers.
pub const TENANT: &str = "siam";

/// Number of hits that callers request.
pub const LIMIT: u32 = 10;

const KEY: &str = "key-of-siam";

/// The deadline of every selector, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// The shards of one collection, which are selected by one selector.
#[derive(Clone)]
pub struct Shards {
    /// The `role` label of the targets, also the name of the selector and the collection.
    pub role: &'static str,
    /// Number of shards.
    pub count: usize,
    /// Number of replicas of each shard.
    pub replicas: usize,
    /// The configuration of each target, apart from its name and versions.
    pub template: TargetPlan,
}

/// Returns the plans of `processes` processes, with the targets assigned round-robin.
pub fn plans(shards: &[Shards], processes: usize) -> Vec<Plan> {
    let mut plans = vec![Plan { seed: 1, ..Plan::default() }; processes];
    let targets = shards.iter().flat_map(targets_of);
    for (number, target) in targets.enumerate() {
        plans[number % processes].target.push(target);
    }
    plans
}

fn targets_of(shards: &Shards) -> impl Iterator<Item = TargetPlan> {
    (0..shards.count * shards.replicas).map(move |number| {
        let shard = format!("{}-{}", shards.role, number / shards.replicas);
        let held = HeldVersion {
            version: IndexVersion(1),
            shard: ShardName::from(shard.as_str()),
            collection: shards.role.to_owned(),
            total: shards.count as u32,
        };
        let name = TargetName::from(format!("{shard}.{}", number % shards.replicas));
        TargetPlan { name, held: vec![held], ..shards.template.clone() }
    })
}

/// Returns the document that declares the targets of `cluster` and their selectors.
pub fn document(cluster: &Cluster) -> Document {
    let targets = cluster.targets.iter().enumerate().map(|(number, target)| {
        let shard = target.name.as_str().rsplit_once('.').map_or("", |(shard, _)| shard);
        let role = shard.rsplit_once('-').map_or("", |(role, _)| role);
        let centre = CENTRES[number % cluster.spec.centres];
        (target.name.clone(), target_spec(target.address, centre, shard, role))
    });
    let selectors = cluster.spec.shards.iter().map(|shards| {
        let selector = SelectorSpec {
            targets: Expression::parse(&format!("role = {}", shards.role))
                .expect("the expression is valid"),
            class: Class::Desk,
            exclusive: false,
            tenants: Vec::new(),
            deadline_ms: DEADLINE_MS,
        };
        (SelectorName::from(shards.role), selector)
    });
    let tenant = TenantSpec { keys: vec![key_digest(KEY)], weight: 1, stop: Default::default() };
    let rules = Rules {
        regions: CENTRES.map(|centre| (DataCentre::from(centre), Region::from("siam"))).into(),
        selectors: selectors.collect(),
        tenants: [(TenantName::from(TENANT), tenant)].into(),
        ..Rules::default()
    };
    Document { targets: targets.collect(), rules, ..Document::default() }
}

/// Returns the specification of a target, as operators declare it.
pub fn target_spec(address: SocketAddr, centre: &str, shard: &str, role: &str) -> TargetSpec {
    TargetSpec {
        address,
        centre: DataCentre::from(centre),
        shard: ShardName::from(shard),
        labels: Labels::from([("role".to_owned(), role.to_owned())]),
        drain: false,
    }
}

/// Returns a client for publishing documents to the platform of `cluster`.
pub fn store(cluster: &Cluster) -> DocumentStore {
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock);
    let client = Rc::new(StoreClient::new(StoreOptions::new(cluster.platform), clock.clone()));
    DocumentStore::new(client, clock, Random::with_seed(1))
}

/// Publishes `document` as the successor of the current one; returns its version.
pub async fn publish(store: &DocumentStore, document: &Document) -> io::Result<u64> {
    let base = store.current().await.map_err(io::Error::other)?;
    let by = Authorship { author: "measure", note: "measure" };
    let version = store.publish(&base, document, by).await.map_err(io::Error::other)?;
    Ok(version.0)
}

/// Starts a cluster, publishes its document, and waits until the cluster has converged.
pub async fn start(spec: crate::processes::Spec, limit: Duration) -> io::Result<Cluster> {
    let cluster = Cluster::start(spec).await?;
    publish(&store(&cluster), &document(&cluster)).await?;
    cluster.wait_until_converged(limit).await?;
    Ok(cluster)
}

/// Callers of all nodes of a cluster.
pub struct Callers {
    clients: Vec<CallerClient>,
}

impl Callers {
    /// Creates callers that open at most `connections` connections to each node.
    pub fn new(cluster: &Cluster, connections: usize) -> Callers {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock);
        let client = |(number, node): (usize, &crate::processes::NodeProcess)| {
            let random = Random::with_seed(number as u64);
            CallerClient::new(node.entry, connections, clock.clone(), random)
        };
        Callers { clients: cluster.nodes.iter().enumerate().map(client).collect() }
    }

    /// Sends a search to node `number` modulo the number of nodes.
    pub async fn search(&self, number: usize, role: &str, text: &str) -> io::Result<Answer> {
        let body = json!({ "selector": role, "query": { "text": text }, "limit": LIMIT });
        let request = Request::post("/v1/search", JSON, body.to_string().into_bytes())
            .with("authorization", format!("Bearer {KEY}"));
        let client = &self.clients[number % self.clients.len()];
        let time = Duration::from_millis(DEADLINE_MS) + Duration::from_secs(3);
        let reply = client.call(request, time).await.map_err(io::Error::other)?;
        if reply.status != 200 {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(io::Error::other(format!("{}: {text}", reply.status)));
        }
        reply.read_json().map_err(io::Error::other)
    }
}
