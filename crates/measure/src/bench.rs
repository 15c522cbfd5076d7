//! A small tier for measurements: holders over fake targets, and a root that
//! asks them.
//!
//! This is no simulator of a cluster: the holders are the real ones, and what
//! surrounds them stands in at their interfaces.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hdrhistogram::Histogram;
use kumquatnotch::{
    core::{
        Clock, Error, Result, Targets,
        answer::GroupAnswer,
        clock::timeout_at,
        document::{Class, Document, Documents, Rules, SelectorSpec, TargetSpec, TenantSpec},
        ids::{
            ConfigVersion, DataCentre, Fingerprint, QueryId, Region, SelectorName, ShardName,
            TargetName, TenantName, rendezvous, stable_hash,
        },
        labels::Expression,
        marks::{Mark, MarkKind, Marks},
        peer::{PeerHandler, PeerMessage, PeerReply},
        query::GroupRequest,
        random::Random,
        registry::Registry,
        services,
    },
    holder::{Decisions, HolderOptions, HolderService},
};

use crate::{
    fakes::{Fake, FakeTargets, POISON, SERVICE, VERSION},
    virtual_time::VirtualTime,
};

/// The shards of the index, each with two replicas.
pub const SHARDS: usize = 50;
/// The slots of a replica.
pub const SLOTS: u32 = 2;
/// The holders of the shards, one for a group.
const HOLDERS: usize = 3;
/// The one-way delay between root and holder.
const HOP: Duration = Duration::from_micros(500);
/// The time before anything is counted.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// The coverage that is enough for an answer to count as good.
const ENOUGH: f64 = 0.9;

/// The queries that all slots together can answer in a second.
pub fn capacity() -> f64 {
    SHARDS as f64 * 2.0 * f64::from(SLOTS) / SERVICE.as_secs_f64() / SHARDS as f64
}

/// What came of the queries of one class.
pub struct Tally {
    pub latency: Histogram<u64>,
    pub offered: u64,
    pub answered: u64,
    pub good: u64,
    pub coverage: f64,
}

impl Default for Tally {
    fn default() -> Tally {
        let latency = Histogram::new_with_max(60_000_000, 3).expect("the bounds fit");
        Tally { latency, offered: 0, answered: 0, good: 0, coverage: 0.0 }
    }
}

/// The small tier.
pub struct Bench {
    pub time: VirtualTime,
    pub random: Random,
    pub targets: Rc<FakeTargets>,

    holders: Vec<Rc<HolderService>>,
    groups: Vec<Vec<ShardName>>,
    pub tallies: RefCell<HashMap<Class, Tally>>,
    /// The good answers in each tenth of a second.
    pub good_at: RefCell<HashMap<u64, u64>>,
    pub counts: Cell<bool>,
    serial: Cell<u64>,
}

/// Marks that every holder sees at once.
pub struct FakeMarks {
    time: VirtualTime,
    marks: RefCell<HashMap<MarkKind, Instant>>,
}

impl Marks for FakeMarks {
    fn set(&self, mark: Mark) {
        let until = self.time.now() + Duration::from_millis(mark.left_ms);
        self.marks.borrow_mut().insert(mark.kind, until);
    }

    fn left_ms(&self, kind: &MarkKind) -> Option<u64> {
        let until = *self.marks.borrow().get(kind)?;
        let now = self.time.now();
        (until > now).then(|| (until - now).as_millis() as u64)
    }

    fn all(&self) -> Vec<Mark> {
        let marks = self.marks.borrow();
        let kinds = marks.keys();
        let left =
            |kind: &MarkKind| Some(Mark { kind: kind.clone(), left_ms: self.left_ms(kind)? });
        kinds.filter_map(left).collect()
    }
}

struct FixedDocument(Rc<Document>);

impl Documents for FixedDocument {
    fn current(&self) -> Option<Rc<Document>> {
        Some(self.0.clone())
    }
}

impl Bench {
    /// A tier whose holders decide by `decisions`.
    pub fn new(seed: u64, decisions: fn() -> Decisions) -> Rc<Bench> {
        let time = VirtualTime::default();
        let random = Random::with_seed(seed);
        let mut targets = FakeTargets::new(&time, &random);
        let mut document = document();
        for shard in 0..SHARDS {
            for replica in 0..2 {
                let name = target_name(shard, replica);
                let delay = Duration::from_micros(if replica == 0 { 100 } else { 500 });
                let fake = Fake::new(shard_name(shard), delay, SLOTS);
                targets.targets.insert(name.clone(), Rc::new(fake));
                document.targets.insert(name, spec(shard, replica));
            }
        }
        let targets = Rc::new(targets);
        let marks = Rc::new(FakeMarks { time: time.clone(), marks: RefCell::default() });
        let document = Rc::new(document);
        let holders: Vec<Rc<HolderService>> = (0..HOLDERS)
            .map(|index| {
                let registry = registry(&time, &targets, &marks, &document, seed + index as u64);
                let options =
                    HolderOptions { centre: DataCentre::from("c0"), ..HolderOptions::default() };
                HolderService::with_decisions(options, decisions(), &registry)
                    .expect("every service is registered")
            })
            .collect();
        for holder in &holders {
            time.spawn(holder.watch());
        }
        let shards: Vec<ShardName> = (0..SHARDS).map(shard_name).collect();
        let groups = shards.chunks(SHARDS.div_ceil(HOLDERS)).map(<[_]>::to_vec).collect();
        Rc::new(Bench {
            time,
            random,
            targets,

            holders,
            groups,
            tallies: RefCell::default(),
            good_at: RefCell::default(),
            counts: Cell::new(false),
            serial: Cell::new(0),
        })
    }

    /// The fake of a replica.
    pub fn fake(&self, shard: usize, replica: usize) -> Rc<Fake> {
        self.targets.targets[&target_name(shard, replica)].clone()
    }

    /// Every fake.
    pub fn fakes(&self) -> Vec<Rc<Fake>> {
        (0..SHARDS).flat_map(|shard| [self.fake(shard, 0), self.fake(shard, 1)]).collect()
    }

    /// Sends queries of `class` at `rate` a second for ever.
    pub fn offer(self: &Rc<Self>, class: Class, rate: f64) {
        let bench = self.clone();
        self.time.spawn(async move {
            loop {
                let gap = -(1.0 - bench.random.fraction()).ln() / rate;
                bench.time.sleep(Duration::from_secs_f64(gap)).await;
                let query = bench.clone();
                bench.time.spawn(async move { query.ask(class).await });
            }
        });
    }

    async fn ask(self: Rc<Self>, class: Class) {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        let tenant = if serial.is_multiple_of(2) { "siam" } else { "barid" };
        let body = format!("query {serial}");
        self.ask_body(class, tenant, body, false).await;
    }

    /// Sends the poisoned request as its caller does; whether it was refused as contained.
    pub async fn ask_poison(self: &Rc<Self>) -> bool {
        let body = POISON.to_owned();
        let answers = self.ask_body(Class::Desk, "siam", body, true).await;
        answers.iter().any(|answer| matches!(answer, Err(Error::Contained { .. })))
    }

    async fn ask_body(
        self: &Rc<Self>,
        class: Class,
        tenant: &str,
        body: String,
        canary: bool,
    ) -> Vec<Result<GroupAnswer>> {
        let start = self.time.now();
        let (patience, deadline) = patience(class);
        let print = Fingerprint(stable_hash(&[body.as_bytes()]));
        let request = GroupRequest {
            query: QueryId(self.random.number()),
            tenant: TenantName::from(tenant),
            class,
            selector: SelectorName::from(class.as_str()),
            version: VERSION,
            shards: Vec::new(),
            body,
            limit: 10,
            fingerprint: print,
            patience_ms: patience,
            deadline_ms: deadline,
            hedge: false,
        };
        let mut answers = Vec::new();
        if canary {
            let answer = self.ask_first(&request).await;
            let full = answer.as_ref().is_ok_and(|answer| answer.missing.is_empty());
            answers.push(answer);
            if !full {
                return answers;
            }
        }
        let mut open: FuturesUnordered<_> =
            (0..self.groups.len()).map(|group| self.ask_group(group, &request)).collect();
        while let Some(answer) = open.next().await {
            let refused = matches!(answer, Err(Error::Overloaded { .. }));
            answers.push(answer);
            // One group refused means that the answer can't be whole; the work
            // of the others is saved by dropping them.
            if refused {
                break;
            }
        }
        drop(open);
        if !canary {
            self.count(class, start, Duration::from_millis(deadline), &answers);
        }
        answers
    }

    /// Asks the one shard that an unknown request is tried on.
    async fn ask_first(&self, request: &GroupRequest) -> Result<GroupAnswer> {
        let names: Vec<&str> = self.groups.iter().flatten().map(|shard| shard.as_str()).collect();
        let first = rendezvous(&request.fingerprint.0.to_be_bytes(), &names)[0];
        let shard = ShardName::from(first);
        let group = self.groups.iter().position(|group| group.contains(&shard));
        let mut request = request.clone();
        request.shards = vec![shard];
        self.send(group.unwrap_or(0), request).await
    }

    async fn ask_group(&self, group: usize, request: &GroupRequest) -> Result<GroupAnswer> {
        let mut request = request.clone();
        request.shards = self.groups[group].clone();
        self.send(group, request).await
    }

    async fn send(&self, group: usize, request: GroupRequest) -> Result<GroupAnswer> {
        let deadline = self.time.now() + Duration::from_millis(request.deadline_ms);
        self.time.sleep(HOP).await;
        let message = PeerMessage::Group(Box::new(request));
        let reply = self.holders[group].handle(message);
        let reply = timeout_at(&self.time, deadline, reply).await??;
        self.time.sleep(HOP).await;
        match reply {
            PeerReply::Group(answer) => Ok(*answer),
            _ => Err(Error::protocol("not an answer of a group")),
        }
    }

    fn count(
        &self,
        class: Class,
        start: Instant,
        deadline: Duration,
        answers: &[Result<GroupAnswer>],
    ) {
        let covered: usize = answers.iter().flatten().map(|answer| answer.covered.len()).sum();
        let share = covered as f64 / SHARDS as f64;
        let span = self.time.now() - start;
        let refused = answers.iter().any(|answer| matches!(answer, Err(Error::Overloaded { .. })));
        let good = !refused && share >= ENOUGH && span <= deadline;
        if good {
            let tenth = self.time.elapsed().as_millis() as u64 / 100;
            *self.good_at.borrow_mut().entry(tenth).or_default() += 1;
        }
        if !self.counts.get() {
            return;
        }
        let mut tallies = self.tallies.borrow_mut();
        let tally = tallies.entry(class).or_default();
        tally.offered += 1;
        if refused {
            return;
        }
        tally.answered += 1;
        tally.good += u64::from(good);
        tally.coverage += share;
        tally.latency.saturating_record(span.as_micros() as u64);
    }
}

/// When partial answers are wanted, and the deadline, in milliseconds.
fn patience(class: Class) -> (u64, u64) {
    match class {
        Class::Desk => (150, 300),
        Class::Batch => (700, 1_000),
        Class::Audit => (4_500, 5_000),
    }
}

fn registry(
    time: &VirtualTime,
    targets: &Rc<FakeTargets>,
    marks: &Rc<FakeMarks>,
    document: &Rc<Document>,
    seed: u64,
) -> Registry {
    let registry = Registry::default();
    let clock: Rc<dyn Clock> = Rc::new(time.clone());
    let targets: Rc<dyn Targets> = targets.clone();
    let marks: Rc<dyn Marks> = marks.clone();
    let documents: Rc<dyn Documents> = Rc::new(FixedDocument(document.clone()));
    registry.register(services::CLOCK, clock);
    registry.register(services::TARGETS, targets);
    registry.register(services::MARKS, marks);
    registry.register(services::DOCUMENTS, documents);
    registry.register(services::RANDOM, Random::with_seed(seed));
    registry
}

fn document() -> Document {
    let mut rules = Rules::default();
    for centre in ["c0", "c1"] {
        rules.regions.insert(DataCentre::from(centre), Region::from("r"));
    }
    for class in Class::ALL {
        let spec = SelectorSpec {
            targets: Expression::parse("").expect("no term is an expression"),
            class,
            exclusive: false,
            tenants: Vec::new(),
            deadline_ms: 5_000,
        };
        rules.selectors.insert(SelectorName::from(class.as_str()), spec);
    }
    for tenant in ["siam", "barid"] {
        let spec = TenantSpec { keys: Vec::new(), weight: 1, stop: Default::default() };
        rules.tenants.insert(TenantName::from(tenant), spec);
    }
    Document { version: ConfigVersion(1), targets: Default::default(), rules }
}

fn spec(shard: usize, replica: usize) -> TargetSpec {
    let port = 1_000 + (shard * 2 + replica) as u16;
    TargetSpec {
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        centre: DataCentre::from(if replica == 0 { "c0" } else { "c1" }),
        shard: shard_name(shard),
        labels: Default::default(),
        drain: false,
    }
}

fn shard_name(shard: usize) -> ShardName {
    ShardName::from(format!("s{shard:02}"))
}

fn target_name(shard: usize, replica: usize) -> TargetName {
    TargetName::from(format!("t{shard:02}-{replica}"))
}
