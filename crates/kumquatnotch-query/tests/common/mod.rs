//! Test cluster of nodes with real fronts, on a fake network with fake holders.
//!
//! Each test file uses a part of this module.
#![allow(dead_code)]

pub mod holder;
pub mod net;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use kumquatnotch_core::{
    Clock, Peers, Result,
    answer::Answer,
    clock::PausedClock,
    document::{Class, Document, Documents, SelectorSpec, StopSpec, TargetSpec, TenantSpec},
    errors::Error,
    front::{ExclusiveBody, Front, key_digest},
    ids::{ConfigVersion, IndexVersion, NodeName, SelectorName, ShardName, TargetName, TenantName},
    labels::Expression,
    lifecycle::{Lifecycle, Stage},
    marks::{Mark, MarkKind, Marks},
    member::{Confirmation, Members, NodeRecord, NodeState},
    peer::{HOLDER_SERVICE, PeerHandler},
    query::SearchRequest,
    random::Random,
    registry::Registry,
    services,
    target::HeldVersion,
    ticket::Outcome,
};
use kumquatnotch_query::{FrontService, QueryOptions, TicketService, install};

use self::{
    holder::{FakeHolder, Shards},
    net::Net,
};

pub const SELECTOR: &str = "rooms";
pub const HOLDS: &str = "holds";
pub const KEY: &str = "key of siam";
pub const RIVAL_KEY: &str = "key of barid";

pub struct Cluster {
    pub clock: PausedClock,
    pub net: Rc<Net>,
    pub shards: Rc<Shards>,
    pub documents: Rc<FakeDocuments>,
    pub members: Rc<RefCell<BTreeMap<NodeName, NodeRecord>>>,
    pub generation: Rc<Cell<u64>>,
    /// Pairs of a node and another node that it does not see.
    pub unseen: Rc<RefCell<Vec<(NodeName, NodeName)>>>,
    pub nodes: Vec<Node>,
}

pub struct Node {
    pub record: NodeRecord,
    pub front: Rc<FrontService>,
    pub tickets: Rc<TicketService>,
    pub lifecycle: Lifecycle,
    pub marks: Rc<FakeMarks>,
    pub registry: Registry,
}

/// Creates a cluster of `nodes` nodes and `shards` shards at version 1.
pub fn cluster(nodes: usize, shards: usize) -> Cluster {
    cluster_with(nodes, shards, QueryOptions::default())
}

pub fn cluster_with(nodes: usize, shards: usize, options: QueryOptions) -> Cluster {
    let clock = PausedClock::default();
    let mut cluster = Cluster {
        net: Rc::new(Net::new(clock.clone())),
        shards: Rc::new(Shards::new(clock.clone())),
        documents: Rc::new(FakeDocuments(RefCell::new(Some(Rc::new(document(shards)))))),
        members: Rc::default(),
        generation: Rc::default(),
        unseen: Rc::default(),
        nodes: Vec::new(),
        clock,
    };
    for number in 0..shards {
        cluster.shards.set_versions(&shard(number), vec![held(&shard(number), 1, shards)]);
    }
    for number in 0..nodes {
        let record = record(number, 1);
        cluster.start(number, record, options.clone());
    }
    cluster
}

impl Cluster {
    /// Starts a node, which replaces the previous incarnation of the same number, if
    /// any.
    pub fn start(&mut self, number: usize, record: NodeRecord, options: QueryOptions) {
        let node = self.create_node(record, options);
        let peer = node.record.peer;
        self.net.attach(peer, node.registry.clone());
        self.members.borrow_mut().insert(node.record.name.clone(), node.record.clone());
        self.generation.set(self.generation.get() + 1);
        if number < self.nodes.len() {
            self.nodes[number] = node;
        } else {
            self.nodes.push(node);
        }
    }

    fn create_node(&self, record: NodeRecord, options: QueryOptions) -> Node {
        let registry = Registry::default();
        let lifecycle = Lifecycle::default();
        lifecycle.advance(Stage::Serving);
        let marks = Rc::new(FakeMarks::default());
        let clock: Rc<dyn Clock> = Rc::new(self.clock.clone());
        registry.register(services::CLOCK, clock);
        registry.register(services::RANDOM, Random::with_seed(record.incarnation.0));
        let peers: Rc<dyn Peers> = self.net.clone();
        registry.register(services::PEERS, peers);
        let members: Rc<dyn Members> = Rc::new(FakeMembers {
            local: record.clone(),
            all: self.members.clone(),
            generation: self.generation.clone(),
            unseen: self.unseen.clone(),
        });
        registry.register(services::MEMBERS, members);
        let shared: Rc<dyn Marks> = marks.clone();
        registry.register(services::MARKS, shared);
        let documents: Rc<dyn Documents> = self.documents.clone();
        registry.register(services::DOCUMENTS, documents);
        registry.register(services::LIFECYCLE, lifecycle.clone());
        let holder: Rc<dyn PeerHandler> =
            Rc::new(FakeHolder { name: record.name.clone(), shards: self.shards.clone() });
        registry.register(HOLDER_SERVICE, holder);
        let front = install(options, &registry).unwrap();
        let tickets = registry.find(kumquatnotch_query::TICKETS).unwrap();
        Node { record, front, tickets, lifecycle, marks, registry }
    }

    pub fn set_state(&self, number: usize, state: NodeState) {
        let name = self.nodes[number].record.name.clone();
        self.members.borrow_mut().get_mut(&name).unwrap().state = state;
        self.generation.set(self.generation.get() + 1);
    }

    /// Announces that node `number` has no document yet.
    pub fn set_starting(&self, number: usize) {
        let name = self.nodes[number].record.name.clone();
        self.members.borrow_mut().get_mut(&name).unwrap().serving = false;
        self.generation.set(self.generation.get() + 1);
    }

    /// Makes node `number`, and no other node, treat `other` as gone.
    pub fn hide(&self, number: usize, other: usize) {
        let name = |number: usize| self.nodes[number].record.name.clone();
        self.unseen.borrow_mut().push((name(number), name(other)));
        self.generation.set(self.generation.get() + 1);
    }

    /// Searches and returns a node other than node 0 that holds groups in the view of
    /// node 0.
    pub async fn other_holder(&self) -> usize {
        self.search(0).await.unwrap();
        let requests = self.shards.requests.borrow();
        let holds = |node: &Node| requests.iter().any(|(name, _, _)| *name == node.record.name);
        let place = self.nodes.iter().skip(1).position(holds);
        1 + place.expect("node 0 should not hold every group")
    }

    pub fn set_link(&self, number: usize, link: net::LinkState) {
        self.net.set(self.nodes[number].record.peer, link);
    }

    /// Returns the nodes through which `shard` was requested, in order.
    pub fn requested_nodes(&self, shard: &ShardName) -> Vec<NodeName> {
        let requests = self.shards.requests.borrow();
        requests
            .iter()
            .filter(|(_, name, _)| name == shard)
            .map(|(node, _, _)| node.clone())
            .collect()
    }

    pub fn change_document(&self, change: impl FnOnce(&mut Document)) {
        let mut document = (**self.documents.0.borrow().as_ref().unwrap()).clone();
        document.version = ConfigVersion(document.version.0 + 1);
        change(&mut document);
        *self.documents.0.borrow_mut() = Some(Rc::new(document));
    }

    pub async fn search(&self, number: usize) -> Result<Answer> {
        self.search_for(number, KEY, "two beds").await
    }

    pub async fn search_for(&self, number: usize, key: &str, query: &str) -> Result<Answer> {
        self.nodes[number].front.search(key, search_request(query)).await
    }

    pub fn ticket(&self, number: usize) -> String {
        self.nodes[number].front.ticket(KEY).unwrap().ticket
    }

    pub async fn hold(&self, number: usize, ticket: &str) -> Result<Outcome> {
        self.nodes[number].front.exclusive(KEY, hold_body(ticket, "room 7")).await
    }

    pub fn now_ms(&self, start: std::time::Instant) -> u64 {
        (self.clock.now() - start).as_millis() as u64
    }
}

pub fn search_request(query: &str) -> SearchRequest {
    SearchRequest {
        selector: SelectorName::from(SELECTOR),
        query: serde_json::json!({ "q": query }),
        limit: 10,
        deadline_ms: None,
    }
}

pub fn hold_body(ticket: &str, key: &str) -> ExclusiveBody {
    ExclusiveBody {
        ticket: ticket.to_owned(),
        selector: SelectorName::from(HOLDS),
        key: key.to_owned(),
        request: serde_json::json!({ "nights": 2 }),
        deadline_ms: None,
    }
}

/// Returns the value of an exclusive request, or its error.
pub fn outcome_value(result: Result<Outcome>) -> Result<serde_json::Value> {
    match result? {
        Outcome::Done(value) => Ok(value),
        Outcome::Failed(error) => Err(error),
    }
}

pub fn record(number: usize, incarnation: u64) -> NodeRecord {
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    NodeRecord {
        name: NodeName::from(format!("n{number}")),
        incarnation: kumquatnotch_core::ids::Incarnation(1_000 * incarnation + number as u64),
        counter: 0,
        state: NodeState::Up,
        peer: address(10_000 + number),
        entry: address(20_000 + number),
        centre: format!("dc{}", number % 3).as_str().into(),
        region: "north".into(),
        serving: true,
    }
}

pub fn shard(number: usize) -> ShardName {
    ShardName::from(format!("s{number}"))
}

pub fn held(shard: &ShardName, version: u64, total: usize) -> HeldVersion {
    HeldVersion {
        version: IndexVersion(version),
        shard: shard.clone(),
        collection: "rooms".to_owned(),
        total: total as u32,
    }
}

fn document(shards: usize) -> Document {
    let mut document = Document { version: ConfigVersion(1), ..Document::default() };
    for number in 0..shards {
        for replica in 0..2 {
            let spec = TargetSpec {
                address: SocketAddr::from(([127, 0, 0, 2], (1 + 2 * number + replica) as u16)),
                centre: "dc0".into(),
                shard: shard(number),
                labels: BTreeMap::new(),
                drain: false,
            };
            document.targets.insert(TargetName::from(format!("t{number}-{replica}")), spec);
        }
    }
    for (name, exclusive) in [(SELECTOR, false), (HOLDS, true)] {
        document.rules.selectors.insert(name.into(), selector(exclusive));
    }
    document.rules.tenants.insert("siam".into(), tenant(KEY, 0.5, 0.9));
    document.rules.tenants.insert("barid".into(), tenant(RIVAL_KEY, 0.5, 1.0));
    for number in 0..3 {
        document.rules.regions.insert(format!("dc{number}").as_str().into(), "north".into());
    }
    document
}

pub fn selector(exclusive: bool) -> SelectorSpec {
    SelectorSpec {
        targets: Expression::default(),
        class: Class::Desk,
        exclusive,
        tenants: Vec::new(),
        deadline_ms: 1_000,
    }
}

fn tenant(key: &str, patience: f64, enough: f64) -> TenantSpec {
    TenantSpec { keys: vec![key_digest(key)], weight: 1, stop: StopSpec { patience, enough } }
}

pub struct FakeDocuments(pub RefCell<Option<Rc<Document>>>);

impl Documents for FakeDocuments {
    fn current(&self) -> Option<Rc<Document>> {
        self.0.borrow().clone()
    }
}

struct FakeMembers {
    local: NodeRecord,
    all: Rc<RefCell<BTreeMap<NodeName, NodeRecord>>>,
    generation: Rc<Cell<u64>>,
    unseen: Rc<RefCell<Vec<(NodeName, NodeName)>>>,
}

impl FakeMembers {
    fn sees(&self, node: &NodeRecord) -> bool {
        let pair = (self.local.name.clone(), node.name.clone());
        node.state != NodeState::Gone && !self.unseen.borrow().contains(&pair)
    }
}

impl Members for FakeMembers {
    fn local(&self) -> NodeRecord {
        self.local.clone()
    }

    fn known(&self) -> Vec<NodeRecord> {
        let all = self.all.borrow();
        all.values().filter(|node| self.sees(node)).cloned().collect()
    }

    fn lost(&self) -> Vec<NodeRecord> {
        Vec::new()
    }

    fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn find(&self, name: &NodeName) -> Option<NodeRecord> {
        self.known().into_iter().find(|node| node.name == *name)
    }

    fn report_silent(&self, _name: &NodeName) {}

    fn confirmed(&self) -> Confirmation {
        Confirmation { version: ConfigVersion(1), age_ms: Some(0) }
    }
}

#[derive(Default)]
pub struct FakeMarks(pub RefCell<Vec<Mark>>);

impl Marks for FakeMarks {
    fn set(&self, mark: Mark) {
        self.0.borrow_mut().push(mark);
    }

    fn left_ms(&self, kind: &MarkKind) -> Option<u64> {
        self.0.borrow().iter().find(|mark| mark.kind == *kind).map(|mark| mark.left_ms)
    }

    fn all(&self) -> Vec<Mark> {
        self.0.borrow().clone()
    }
}

/// Runs `test` in a runtime with the paused clock of the cluster.
pub fn run<T>(cluster: &Cluster, test: impl Future<Output = T>) -> T {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
    let clock = cluster.clock.clone();
    runtime.block_on(async move { clock.drive(test).await })
}

pub fn tenant_name(name: &str) -> TenantName {
    TenantName::from(name)
}

pub fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn code<T: std::fmt::Debug>(result: Result<T>) -> u16 {
    result.map_err(|error: Error| error.code()).unwrap_err()
}
