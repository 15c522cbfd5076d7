//! Test harness: a holder over scripted targets on a paused clock.
//!
//! Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, Targets,
    answer::GroupAnswer,
    clock::{PausedClock, sleep, timeout_at},
    document::{Class, Document, Documents, SelectorSpec, TargetSpec, TenantSpec},
    ids::{
        ConfigVersion, Fingerprint, IndexVersion, QueryId, SelectorName, ShardName, TargetName,
        TenantName,
    },
    labels::Expression,
    marks::{Mark, MarkKind, Marks},
    peer::{PeerHandler, PeerMessage, PeerReply, RelayCall},
    query::{GroupRequest, Hit},
    random::Random,
    registry::Registry,
    services,
    target::{HeldVersion, Phase, TargetCall, TargetReply, TargetStatus},
};
use kumquatnotch_holder::{Decisions, HolderOptions, HolderService};

pub const VERSION: IndexVersion = IndexVersion(7);

/// How a scripted target handles a call.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with these hits after this time.
    Answer(Duration, Vec<Hit>),
    /// Fails immediately.
    Fail(Error),
    /// Never answers.
    Hang,
}

/// Behaviour and counters of a scripted target.
pub struct ScriptedTarget {
    pub behaviour: RefCell<Behaviour>,
    pub phase: Cell<Phase>,
    pub up: Cell<bool>,
    pub incarnation: Cell<u64>,
    pub version: Cell<IndexVersion>,
    /// Versions it holds besides that of the declared shard.
    pub extra_held: RefCell<Vec<HeldVersion>>,
    /// Bodies of the calls it received, in order.
    pub calls: RefCell<Vec<String>>,
    pub in_flight: Cell<u32>,
    pub max_in_flight: Cell<u32>,
    pub crashes: Cell<u32>,
    pub probes: Cell<u32>,
    /// Time until a probe fails while it is down.
    pub down_delay: Cell<Duration>,
    /// Number of probes it still answers after a crash.
    pub probes_after_crash: Cell<u32>,
    /// Number of sleeps of 1 ms that a probe takes after the first.
    pub extra_probe_steps: Cell<u32>,
}

/// Scripted targets by name.
pub struct ScriptedTargets {
    pub clock: PausedClock,
    pub targets: HashMap<TargetName, ScriptedTarget>,
    pub probing: Cell<u32>,
    pub max_probing: Cell<u32>,
}

/// A holder with its scripted targets and fake services.
pub struct Fixture {
    pub clock: PausedClock,
    pub scripts: Rc<ScriptedTargets>,
    pub documents: Rc<FakeDocuments>,
    pub marks: Rc<FakeMarks>,
    pub holder: Rc<HolderService>,
}

/// A document that a test can replace.
pub struct FakeDocuments(pub RefCell<Rc<Document>>);

impl Documents for FakeDocuments {
    fn current(&self) -> Option<Rc<Document>> {
        Some(self.0.borrow().clone())
    }
}

/// Marks that do not expire.
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

impl ScriptedTarget {
    /// Returns whether it answers a probe although it is down; uses up one of `probes_after_crash`.
    fn answers_probe(&self) -> bool {
        let left = self.probes_after_crash.get();
        self.probes_after_crash.set(left.saturating_sub(1));
        left > 0
    }
}

struct InFlightGuard<'a>(&'a ScriptedTarget);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Targets for ScriptedTargets {
    fn call<'a>(
        &'a self,
        name: &'a TargetName,
        _spec: &'a TargetSpec,
        call: &'a TargetCall,
        _deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetReply>> {
        Box::pin(async move {
            let script = &self.targets[name];
            script.calls.borrow_mut().push(call.body.clone());
            if !script.up.get() {
                return Err(Error::ConnectFailed);
            }
            script.in_flight.set(script.in_flight.get() + 1);
            script.max_in_flight.set(script.max_in_flight.get().max(script.in_flight.get()));
            let _guard = InFlightGuard(script);
            if call.body == "poison" {
                sleep(&self.clock, Duration::from_millis(3)).await;
                script.up.set(false);
                script.crashes.set(script.crashes.get() + 1);
                return Err(Error::ConnectionLost);
            }
            let behaviour = script.behaviour.borrow().clone();
            match behaviour {
                Behaviour::Answer(span, hits) => {
                    let end = self.clock.now() + span;
                    while self.clock.now() < end {
                        sleep(&self.clock, Duration::from_millis(1)).await;
                        if !script.up.get() {
                            return Err(Error::ConnectionLost);
                        }
                    }
                    let version = script.version.get();
                    Ok(TargetReply { hits, version, ..TargetReply::default() })
                }
                Behaviour::Fail(error) => Err(error),
                Behaviour::Hang => std::future::pending().await,
            }
        })
    }

    fn probe<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetStatus>> {
        let status = async move {
            let script = &self.targets[name];
            script.probes.set(script.probes.get() + 1);
            self.probing.set(self.probing.get() + 1);
            self.max_probing.set(self.max_probing.get().max(self.probing.get()));
            sleep(&self.clock, Duration::from_millis(1)).await;
            for _ in 0..script.extra_probe_steps.get() {
                sleep(&self.clock, Duration::from_millis(1)).await;
            }
            self.probing.set(self.probing.get() - 1);
            if !script.up.get() && !script.answers_probe() {
                sleep(&self.clock, script.down_delay.get()).await;
                return Err(Error::ConnectFailed);
            }
            let held = HeldVersion {
                version: script.version.get(),
                shard: spec.shard.clone(),
                collection: "rooms".to_owned(),
                total: 1,
            };
            let (phase, incarnation) = (script.phase.get(), script.incarnation.get());
            let mut all = vec![held];
            all.extend(script.extra_held.borrow().iter().cloned());
            Ok(TargetStatus { phase, load: 0, held: all, incarnation })
        };
        Box::pin(async move { timeout_at(&self.clock, deadline, status).await? })
    }

    fn disconnect(&self, _name: &TargetName) {}
}

impl Fixture {
    /// Creates a holder of targets given as pairs of name and shard.
    pub fn new(targets: &[(&str, &str)]) -> Fixture {
        Fixture::with(targets, Decisions::default())
    }

    /// Creates a holder with the given policies.
    pub fn with(targets: &[(&str, &str)], decisions: Decisions) -> Fixture {
        let clock = PausedClock::default();
        let scripts = Rc::new(ScriptedTargets {
            clock: clock.clone(),
            targets: targets.iter().map(|(name, _)| (TargetName::from(*name), script())).collect(),
            probing: Cell::new(0),
            max_probing: Cell::new(0),
        });
        let documents = Rc::new(FakeDocuments(RefCell::new(Rc::new(document(targets)))));
        let marks = Rc::new(FakeMarks::default());
        let registry = Registry::default();
        registry.register::<Rc<dyn Clock>>(services::CLOCK, Rc::new(clock.clone()));
        registry.register::<Rc<dyn Targets>>(services::TARGETS, scripts.clone());
        registry.register::<Rc<dyn Documents>>(services::DOCUMENTS, documents.clone());
        registry.register::<Rc<dyn Marks>>(services::MARKS, marks.clone());
        registry.register(services::RANDOM, Random::with_seed(1));
        let holder =
            HolderService::with_decisions(HolderOptions::default(), decisions, &registry).unwrap();
        Fixture { clock, scripts, documents, marks, holder }
    }

    pub fn script(&self, name: &str) -> &ScriptedTarget {
        &self.scripts.targets[name]
    }

    /// Makes `name` answer after `ms` milliseconds.
    pub fn set_latency(&self, name: &str, ms: u64) {
        *self.script(name).behaviour.borrow_mut() =
            Behaviour::Answer(Duration::from_millis(ms), Vec::new());
    }

    pub fn set_behaviour(&self, name: &str, behaviour: Behaviour) {
        *self.script(name).behaviour.borrow_mut() = behaviour;
    }

    /// Runs `work` concurrently with the background work of the holder.
    pub fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let both = async {
            let watch = std::pin::pin!(self.holder.run_background());
            match select(std::pin::pin!(work), watch).await {
                Either::Left((value, _)) => value,
                Either::Right(((), _)) => unreachable!("the background work never ends"),
            }
        };
        let mut runtime =
            monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
        runtime.block_on(self.clock.drive(both))
    }

    pub async fn group(&self, request: GroupRequest) -> Result<GroupAnswer> {
        match self.holder.handle(PeerMessage::Group(Box::new(request))).await? {
            PeerReply::Group(answer) => Ok(*answer),
            other => panic!("expected a group answer, got {other:?}"),
        }
    }

    pub async fn relay(&self, body: &str, deadline_ms: u64) -> Result<TargetReply> {
        let call = TargetCall {
            id: 1,
            shard: ShardName::from("s0"),
            version: None,
            tenant: TenantName::from("siam"),
            class: Class::Desk,
            body: body.to_owned(),
            limit: 0,
            exclusive: true,
        };
        let relay = RelayCall { selector: SelectorName::from("all"), call, deadline_ms };
        match self.holder.handle(PeerMessage::Relay(Box::new(relay))).await? {
            PeerReply::Relay(reply) => Ok(*reply),
            other => panic!("expected a reply to a relay, got {other:?}"),
        }
    }

    /// Sends `count` queries in sequence.
    pub async fn warm_up(&self, count: usize) {
        for index in 0..count {
            self.group(request(&["s0"], &format!("warm {index}"))).await.unwrap();
        }
    }

    pub async fn pause(&self, ms: u64) {
        sleep(&self.clock, Duration::from_millis(ms)).await;
    }
}

pub fn request(shards: &[&str], body: &str) -> GroupRequest {
    GroupRequest {
        query: QueryId(1),
        tenant: TenantName::from("siam"),
        class: Class::Desk,
        selector: SelectorName::from("all"),
        version: VERSION,
        shards: shards.iter().map(|shard| ShardName::from(*shard)).collect(),
        body: body.to_owned(),
        limit: 10,
        fingerprint: Fingerprint(kumquatnotch_core::ids::stable_hash(&[body.as_bytes()])),
        patience_ms: 1_000,
        deadline_ms: 1_000,
        hedge: false,
    }
}

pub fn document(targets: &[(&str, &str)]) -> Document {
    let mut document = Document { version: ConfigVersion(1), ..Document::default() };
    for (name, shard) in targets {
        let spec = TargetSpec {
            address: ([127, 0, 0, 1], 9).into(),
            centre: "local".into(),
            shard: ShardName::from(*shard),
            labels: Default::default(),
            drain: false,
        };
        document.targets.insert(TargetName::from(*name), spec);
    }
    let selector = SelectorSpec {
        targets: Expression::parse("").unwrap(),
        class: Class::Desk,
        exclusive: false,
        tenants: Vec::new(),
        deadline_ms: 1_000,
    };
    document.rules.selectors.insert(SelectorName::from("all"), selector);
    let tenant = TenantSpec { keys: Vec::new(), weight: 1, stop: Default::default() };
    document.rules.tenants.insert(TenantName::from("siam"), tenant);
    document
}

fn script() -> ScriptedTarget {
    ScriptedTarget {
        behaviour: RefCell::new(Behaviour::Answer(Duration::from_millis(6), Vec::new())),
        phase: Cell::new(Phase::Ready),
        up: Cell::new(true),
        incarnation: Cell::new(1),
        version: Cell::new(VERSION),
        extra_held: RefCell::default(),
        calls: RefCell::default(),
        in_flight: Cell::new(0),
        max_in_flight: Cell::new(0),
        crashes: Cell::new(0),
        probes: Cell::new(0),
        down_delay: Cell::default(),
        probes_after_crash: Cell::default(),
        extra_probe_steps: Cell::new(0),
    }
}
