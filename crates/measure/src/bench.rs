//! A query tier in virtual time, and the callers that load it.
//!
//! The holders and roots are the production code; only their surroundings (clock, network,
//! membership, targets) are replaced by fakes. With [`Root::Small`], the holders are
//! benchmarked alone, behind a root that only fans out.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hdrhistogram::Histogram;
use kumquatnotch::{
    core::{
        Clock, Error, Result,
        answer::GroupAnswer,
        clock::timeout_at,
        document::{Class, Document, Rules, SelectorSpec, StopSpec, TargetSpec, TenantSpec},
        front::{Front, key_digest},
        ids::{
            ConfigVersion, DataCentre, Fingerprint, QueryId, Region, SelectorName, ShardName,
            TargetName, TenantName, stable_hash,
        },
        labels::Expression,
        peer::{PeerHandler, PeerMessage, PeerReply},
        query::{GroupRequest, SearchRequest},
        random::Random,
    },
    holder::Decisions,
    query::QueryOptions,
};

use crate::{
    fake_target::FakeTarget,
    fake_targets::{FakeTargets, POISON, SERVICE_TIME, VERSION},
    nodes::{BenchNode, FakeMarks, HOP_DELAY, Shared, start_nodes},
    virtual_time::VirtualTime,
};

/// Number of shards of the index, each with two replicas.
pub const SHARDS: usize = 50;
/// Number of slots of a replica.
pub const SLOTS: u32 = 2;
/// Number of groups into which the small root divides the shards.
const GROUPS: usize = 3;
/// Time before results are recorded.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// Minimum coverage of a good answer.
const MIN_COVERAGE: f64 = 0.9;
/// Number of distinct popular queries, and their share of all queries.
const POPULAR: (usize, f64) = (500, 0.9);

/// The root that handles the queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Root {
    /// A minimal root that only fans out.
    Small,
    /// The production root of the query crate.
    Front,
}

/// The configuration of a tier.
#[derive(Clone, Copy)]
pub struct Setup {
    pub root: Root,
    pub decisions: fn() -> Decisions,
    pub options: fn() -> QueryOptions,
}

/// Returns the number of queries per second that all slots together can answer.
pub fn capacity() -> f64 {
    2.0 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64()
}

/// Results of the queries of one class.
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

/// The tier under test.
pub struct Bench {
    pub time: VirtualTime,
    pub targets: Rc<FakeTargets>,
    pub tallies: RefCell<HashMap<Class, Tally>>,
    /// Number of good answers in each tenth of a second.
    pub good_by_tenth: RefCell<HashMap<u64, u64>>,
    /// Number of shards that answered, summed over queries.
    pub covered: Cell<u64>,
    pub counting: Cell<bool>,
    root: Root,
    random: Random,
    nodes: Vec<BenchNode>,
    groups: Vec<Vec<ShardName>>,
    serial: Cell<u64>,
}

/// The result of a query.
struct Outcome {
    covered: usize,
    refused: bool,
}

impl Bench {
    /// Creates a tier with the configuration `setup`.
    pub fn new(seed: u64, setup: &Setup) -> Rc<Bench> {
        let time = VirtualTime::default();
        let random = Random::with_seed(seed);
        let mut targets = FakeTargets::new(&time, &random);
        let mut document = document();
        for shard in 0..SHARDS {
            for replica in 0..2 {
                let name = target_name(shard, replica);
                let delay = Duration::from_micros(if replica == 0 { 100 } else { 500 });
                let fake = FakeTarget::new(shard_name(shard), delay, SLOTS);
                targets.targets.insert(name.clone(), Rc::new(fake));
                document.targets.insert(name, spec(shard, replica));
            }
        }
        let targets = Rc::new(targets);
        let marks = Rc::new(FakeMarks::new(&time));
        let shared = Shared {
            time: time.clone(),
            targets: targets.clone(),
            document: Rc::new(document),
            marks,
        };
        let nodes = start_nodes(&shared, seed, setup.decisions, &(setup.options)());
        let shards: Vec<ShardName> = (0..SHARDS).map(shard_name).collect();
        let groups = shards.chunks(SHARDS.div_ceil(GROUPS)).map(<[_]>::to_vec).collect();
        Rc::new(Bench {
            time,
            targets,
            tallies: RefCell::default(),
            good_by_tenth: RefCell::default(),
            covered: Cell::new(0),
            counting: Cell::new(false),
            root: setup.root,
            random,
            nodes,
            groups,
            serial: Cell::new(0),
        })
    }

    /// Returns the fake target of a replica.
    pub fn fake(&self, shard: usize, replica: usize) -> Rc<FakeTarget> {
        self.targets.targets[&target_name(shard, replica)].clone()
    }

    /// Returns all fake targets.
    pub fn fakes(&self) -> Vec<Rc<FakeTarget>> {
        (0..SHARDS).flat_map(|shard| [self.fake(shard, 0), self.fake(shard, 1)]).collect()
    }

    /// Sends queries of `class` at `rate` per second, with exponentially distributed gaps.
    pub fn offer_load(self: &Rc<Self>, class: Class, rate: f64) {
        let bench = self.clone();
        self.time.spawn(async move {
            loop {
                let gap = -(1.0 - bench.random.fraction()).ln() / rate;
                bench.time.sleep(Duration::from_secs_f64(gap)).await;
                let query = bench.clone();
                bench.time.spawn(async move { query.send_query(class).await });
            }
        });
    }

    async fn send_query(self: Rc<Self>, class: Class) {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        let tenant = if serial.is_multiple_of(2) { "siam" } else { "barid" };
        let number = match self.random.chance(POPULAR.1) {
            true => self.random.below(POPULAR.0) as u64,
            false => POPULAR.0 as u64 + serial,
        };
        let start = self.time.now();
        let outcome = self.search(class, tenant, &format!("query {number}")).await;
        self.record_outcome(class, self.time.now() - start, &outcome);
    }

    /// Sends a request that crashes the targets that run it.
    pub async fn send_poison(&self) {
        self.search(Class::Desk, "siam", POISON).await;
    }

    async fn search(&self, class: Class, tenant: &str, text: &str) -> Outcome {
        match self.root {
            Root::Small => self.search_small(class, tenant, text).await,
            Root::Front => self.search_front(class, tenant, text).await,
        }
    }

    async fn search_front(&self, class: Class, tenant: &str, text: &str) -> Outcome {
        let request = SearchRequest {
            selector: SelectorName::from(class.as_str()),
            query: serde_json::Value::from(text),
            limit: 10,
            deadline_ms: None,
        };
        let node = &self.nodes[self.random.below(self.nodes.len())];
        match node.front.search(tenant, request).await {
            Ok(answer) => Outcome { covered: answer.coverage.covered as usize, refused: false },
            Err(Error::GivenUp { .. }) => Outcome { covered: 0, refused: true },
            Err(error) => Outcome { covered: 0, refused: error.code() / 1_000 == 2 },
        }
    }

    async fn search_small(&self, class: Class, tenant: &str, text: &str) -> Outcome {
        let deadline = deadline_ms(class);
        let body = text.to_owned();
        let request = GroupRequest {
            query: QueryId(self.random.number()),
            tenant: TenantName::from(tenant),
            class,
            selector: SelectorName::from(class.as_str()),
            version: VERSION,
            shards: Vec::new(),
            fingerprint: Fingerprint(stable_hash(&[body.as_bytes()])),
            body,
            limit: 10,
            patience_ms: deadline / 2,
            deadline_ms: deadline,
            hedge: false,
        };
        if text == POISON {
            // Canary: a root first sends an unknown request to a single shard.
            let mut first = request.clone();
            first.shards = vec![shard_name(17)];
            let first = self.send(1, first).await;
            if first.map_or(true, |answer| answer.covered.is_empty()) {
                return Outcome { covered: 0, refused: false };
            }
        }
        let groups = self.groups.iter().enumerate();
        let mut open: FuturesUnordered<_> = groups
            .map(|(group, shards)| {
                let request = GroupRequest { shards: shards.clone(), ..request.clone() };
                self.send(group, request)
            })
            .collect();
        let mut outcome = Outcome { covered: 0, refused: false };
        while let Some(answer) = open.next().await {
            match answer {
                Ok(answer) => outcome.covered += answer.covered.len(),
                // The answer cannot be complete once a group has refused; dropping the requests
                // to the other groups saves their work.
                Err(Error::Overloaded { .. }) => {
                    outcome.refused = true;
                    break;
                }
                Err(_) => {}
            }
        }
        outcome
    }

    async fn send(&self, group: usize, request: GroupRequest) -> Result<GroupAnswer> {
        let deadline = self.time.now() + Duration::from_millis(request.deadline_ms);
        self.time.sleep(HOP_DELAY).await;
        let message = PeerMessage::Group(Box::new(request));
        let reply = self.nodes[group].holder.handle(message);
        let reply = timeout_at(&self.time, deadline, reply).await??;
        self.time.sleep(HOP_DELAY).await;
        match reply {
            PeerReply::Group(answer) => Ok(*answer),
            _ => Err(Error::protocol("unexpected reply to a group request")),
        }
    }

    fn record_outcome(&self, class: Class, span: Duration, outcome: &Outcome) {
        let share = outcome.covered as f64 / SHARDS as f64;
        let deadline = Duration::from_millis(deadline_ms(class));
        let good = !outcome.refused && share >= MIN_COVERAGE && span <= deadline;
        if good {
            let tenth = self.time.elapsed().as_millis() as u64 / 100;
            *self.good_by_tenth.borrow_mut().entry(tenth).or_default() += 1;
        }
        if !self.counting.get() {
            return;
        }
        let mut tallies = self.tallies.borrow_mut();
        let tally = tallies.entry(class).or_default();
        tally.offered += 1;
        if outcome.refused {
            return;
        }
        self.covered.set(self.covered.get() + outcome.covered as u64);
        tally.answered += 1;
        tally.good += u64::from(good);
        tally.coverage += share;
        tally.latency.saturating_record(span.as_micros() as u64);
    }
}

/// Returns the deadline of a class, in milliseconds.
fn deadline_ms(class: Class) -> u64 {
    match class {
        Class::Desk => 300,
        Class::Batch => 1_000,
        Class::Audit => 5_000,
    }
}

fn document() -> Document {
    let mut rules = Rules::default();
    for centre in ["c0", "c1"] {
        rules.regions.insert(DataCentre::from(centre), Region::from("r"));
    }
    for class in Class::ALL {
        let spec = SelectorSpec {
            targets: Expression::default(),
            class,
            exclusive: false,
            tenants: Vec::new(),
            deadline_ms: deadline_ms(class),
        };
        rules.selectors.insert(SelectorName::from(class.as_str()), spec);
    }
    for tenant in ["siam", "barid"] {
        let stop = StopSpec { patience: 0.5, enough: MIN_COVERAGE };
        let spec = TenantSpec { keys: vec![key_digest(tenant)], weight: 1, stop };
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
