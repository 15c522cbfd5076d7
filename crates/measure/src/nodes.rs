//! Nodes for benchmarks: production holders and roots on top of fakes of the network, the
//! membership and the shared marks.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch::{
    core::{
        Clock, Error, LocalFuture, Peers, Result, Targets,
        clock::timeout_at,
        document::{Document, Documents},
        ids::{ConfigVersion, DataCentre, Incarnation, NodeName, Region},
        lifecycle::{Lifecycle, Stage},
        marks::{Mark, MarkKind, Marks},
        member::{Confirmation, Members, NodeRecord, NodeState},
        peer::{PeerHandler, PeerMessage, PeerReply},
        random::Random,
        registry::Registry,
        services,
    },
    holder::{Decisions, HolderOptions, HolderService},
    query::{FrontService, QueryOptions, install},
};

use crate::{fake_targets::FakeTargets, virtual_time::VirtualTime};

/// Number of nodes of the tier.
pub const NODES: usize = 9;
/// One-way delay between two nodes.
pub const HOP_DELAY: Duration = Duration::from_micros(500);

/// A node with its holder and its root.
pub struct BenchNode {
    pub holder: Rc<HolderService>,
    pub front: Rc<FrontService>,
}

/// State shared by the nodes.
pub struct Shared {
    pub time: VirtualTime,
    pub targets: Rc<FakeTargets>,
    pub document: Rc<Document>,
    pub marks: Rc<FakeMarks>,
}

/// Starts the nodes of a tier.
pub fn start_nodes(
    shared: &Shared,
    seed: u64,
    decisions: fn() -> Decisions,
    options: &QueryOptions,
) -> Vec<BenchNode> {
    let net = Rc::new(Net { time: shared.time.clone(), nodes: RefCell::default() });
    let nodes = (0..NODES).map(|number| {
        let registry = registry(shared, &net, seed, number);
        let holding = HolderOptions { centre: DataCentre::from("c0"), ..HolderOptions::default() };
        let holder = HolderService::with_decisions(holding, decisions(), &registry)
            .expect("all required services are registered");
        shared.time.spawn(holder.run_background());
        let front =
            install(options.clone(), &registry).expect("all required services are registered");
        net.nodes.borrow_mut().insert(record(number).peer, registry);
        BenchNode { holder, front }
    });
    nodes.collect()
}

fn registry(shared: &Shared, net: &Rc<Net>, seed: u64, number: usize) -> Registry {
    let registry = Registry::default();
    let lifecycle = Lifecycle::default();
    lifecycle.advance(Stage::Serving);
    registry.register::<Rc<dyn Clock>>(services::CLOCK, Rc::new(shared.time.clone()));
    registry.register::<Rc<dyn Targets>>(services::TARGETS, shared.targets.clone());
    registry.register::<Rc<dyn Marks>>(services::MARKS, shared.marks.clone());
    registry.register::<Rc<dyn Peers>>(services::PEERS, net.clone());
    let documents = FixedDocument(shared.document.clone());
    registry.register::<Rc<dyn Documents>>(services::DOCUMENTS, Rc::new(documents));
    registry.register::<Rc<dyn Members>>(services::MEMBERS, Rc::new(FixedMembers(number)));
    registry.register(services::RANDOM, Random::with_seed(seed * 100 + number as u64));
    registry.register(services::LIFECYCLE, lifecycle);
    registry
}

fn record(number: usize) -> NodeRecord {
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    NodeRecord {
        name: NodeName::from(format!("n{number}")),
        incarnation: Incarnation(1 + number as u64),
        counter: 0,
        state: NodeState::Up,
        peer: address(10_000 + number),
        entry: address(20_000 + number),
        centre: DataCentre::from("c0"),
        region: Region::from("r"),
        serving: true,
    }
}

struct Net {
    time: VirtualTime,
    nodes: RefCell<HashMap<SocketAddr, Registry>>,
}

impl Peers for Net {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        message: &'a PeerMessage,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<PeerReply>> {
        Box::pin(async move {
            let registry =
                self.nodes.borrow().get(&address).cloned().ok_or(Error::ConnectFailed)?;
            let handler: Rc<dyn PeerHandler> = registry.find(message.service())?;
            self.time.sleep(HOP_DELAY).await;
            let reply = timeout_at(&self.time, deadline, handler.handle(message.clone())).await?;
            self.time.sleep(HOP_DELAY).await;
            Ok(reply.unwrap_or_else(PeerReply::Failed))
        })
    }
}

struct FixedMembers(usize);

impl Members for FixedMembers {
    fn local(&self) -> NodeRecord {
        record(self.0)
    }

    fn known(&self) -> Vec<NodeRecord> {
        (0..NODES).map(record).collect()
    }

    fn lost(&self) -> Vec<NodeRecord> {
        Vec::new()
    }

    fn generation(&self) -> u64 {
        1
    }

    fn find(&self, name: &NodeName) -> Option<NodeRecord> {
        self.known().into_iter().find(|node| node.name == *name)
    }

    fn report_silent(&self, _name: &NodeName) {}

    fn confirmed(&self) -> Confirmation {
        Confirmation { version: ConfigVersion(1), age_ms: Some(0) }
    }
}

struct FixedDocument(Rc<Document>);

impl Documents for FixedDocument {
    fn current(&self) -> Option<Rc<Document>> {
        Some(self.0.clone())
    }
}

/// Time until a mark is visible on the nodes.
const MARK_DELAY: Duration = Duration::from_millis(200);

/// Marks that become visible to all nodes shortly after they are set.
pub struct FakeMarks {
    time: VirtualTime,
    marks: RefCell<HashMap<MarkKind, (Instant, Instant)>>,
}

impl FakeMarks {
    pub fn new(time: &VirtualTime) -> FakeMarks {
        FakeMarks { time: time.clone(), marks: RefCell::default() }
    }
}

impl Marks for FakeMarks {
    fn set(&self, mark: Mark) {
        let now = self.time.now();
        let until = now + Duration::from_millis(mark.left_ms);
        let mut marks = self.marks.borrow_mut();
        let entry = marks.entry(mark.kind).or_insert((now + MARK_DELAY, until));
        entry.1 = until;
    }

    fn left_ms(&self, kind: &MarkKind) -> Option<u64> {
        let (from, until) = *self.marks.borrow().get(kind)?;
        let now = self.time.now();
        (from <= now && now < until).then(|| (until - now).as_millis() as u64)
    }

    fn all(&self) -> Vec<Mark> {
        let marks = self.marks.borrow();
        let left =
            |kind: &MarkKind| Some(Mark { kind: kind.clone(), left_ms: self.left_ms(kind)? });
        marks.keys().filter_map(left).collect()
    }
}
