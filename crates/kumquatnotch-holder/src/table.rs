//! The table of targets and shards: what the document says of them, and what
//! was observed.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch_core::{
    Error, Result,
    collections::{HashMap, HashSet},
    document::{Document, TargetSpec},
    ids::{DataCentre, Fingerprint, SelectorName, ShardName, TargetName},
};
use kumquatnotch_policy::{
    containment::Running,
    limit::Limit,
    queue::{ServiceRate, WaitQueue, Waiter},
    replica::{Fitness, Replica},
};

use crate::{HolderOptions, agenda::Agenda, slots::Slot, slots::Work};

/// The targets that a selector may reach.
pub type Reach = Rc<HashSet<TargetName>>;

/// The service time assumed before anything was answered.
const FIRST_SERVICE: f64 = 0.006;
/// The weight of a new service time in the moving mean.
const SERVICE_WEIGHT: f64 = 0.05;

/// The calls given up without an answer in between that make a target quiet.
const MOST_GIVEN_UP: u32 = 3;

/// The state of a holder.
pub struct Table {
    pub document: Option<Rc<Document>>,
    pub entries: HashMap<TargetName, Entry>,
    pub shards: HashMap<ShardName, Shard>,
    /// The targets that declare or hold a shard.
    pub index: HashMap<ShardName, Vec<TargetName>>,
    pub reach: HashMap<SelectorName, Reach>,
    pub agenda: Agenda,
    /// The targets that other nodes say are draining.
    pub marked: Vec<TargetName>,
    /// How long a shard is probed after it was last asked for.
    asked_for: Duration,
    /// Suspect requests that run alone now; a second copy of one waits.
    pub alone: HashSet<Fingerprint>,
}

/// A target.
pub struct Entry {
    pub spec: Rc<TargetSpec>,
    pub replica: Replica,
    pub limit: Box<dyn Limit>,
    /// The one-way delay to it.
    pub delay: Duration,
    /// What is in flight to it, by the number of the slot.
    pub running: Vec<(u64, Running)>,
    /// The slot of a suspect request that runs alone.
    pub alone: Option<u64>,
    /// The waiter for which it is being emptied.
    pub reserved: Option<u64>,
    /// Those who wait to hear whether it crashed.
    pub checking: Option<Vec<oneshot::Sender<()>>>,
    /// Whether other nodes say that it is draining.
    pub marked: bool,
    pub probing: bool,
    pub next_probe: Option<Instant>,
    /// When it last told its state.
    pub told: Option<Instant>,
    /// The shards in whose index it stands.
    pub indexed: Vec<ShardName>,
    /// The probes that failed in a row.
    pub unheard: u32,
    /// The calls given up since it was last heard of.
    pub given_up: u32,
}

/// A shard that was asked for.
pub struct Shard {
    pub queue: Box<dyn WaitQueue>,
    pub pending: HashMap<u64, Pending>,
    pub asked: Instant,
    /// When the desk last asked for it.
    pub urgent: Option<Instant>,
    /// The moving mean of its service time, in seconds.
    pub service: f64,
}

/// A call that waits for a slot.
pub struct Pending {
    pub waiter: Waiter,
    pub work: Rc<Work>,
    pub tried: Vec<TargetName>,
    pub alone: bool,
    pub sender: oneshot::Sender<Result<Slot>>,
}

impl Table {
    pub fn new(options: &HolderOptions) -> Table {
        Table {
            document: None,
            entries: HashMap::default(),
            shards: HashMap::default(),
            index: HashMap::default(),
            reach: HashMap::default(),
            agenda: Agenda::default(),
            marked: Vec::new(),
            asked_for: options.asked_for,
            alone: HashSet::default(),
        }
    }

    /// Takes over `document`; the targets that are gone or have moved.
    pub fn follow(
        &mut self,
        document: &Rc<Document>,
        options: &HolderOptions,
        limit: fn() -> Box<dyn Limit>,
    ) -> Vec<TargetName> {
        let same = |known: &Rc<Document>| Rc::ptr_eq(known, document);
        if self.document.as_ref().is_some_and(same) {
            return Vec::new();
        }
        let mut gone: Vec<TargetName> = Vec::new();
        for (name, entry) in &self.entries {
            match document.targets.get(name) {
                Some(spec) if spec.address == entry.spec.address => {}
                _ => gone.push(name.clone()),
            }
        }
        for name in &gone {
            self.entries.remove(name);
        }
        for (name, spec) in &document.targets {
            let delay = delay_to(document, &spec.centre, options);
            match self.entries.get_mut(name) {
                Some(entry) if *entry.spec == *spec => entry.delay = delay,
                Some(entry) => {
                    entry.spec = Rc::new(spec.clone());
                    entry.delay = delay;
                }
                None => {
                    self.entries.insert(name.clone(), Entry::new(spec, delay, limit()));
                }
            }
        }
        self.document = Some(document.clone());
        self.reach.clear();
        self.rebuild_index();
        self.agenda.spoil();
        gone
    }

    /// The targets that `selector` may reach.
    pub fn reach(&mut self, selector: &SelectorName) -> Result<Reach> {
        if let Some(reach) = self.reach.get(selector) {
            return Ok(reach.clone());
        }
        let document = self.document.as_ref().ok_or(Error::NotReady)?;
        let Some(spec) = document.rules.selectors.get(selector) else {
            return Err(Error::UnknownSelector { name: selector.to_string() });
        };
        let reach: Reach = Rc::new(document.select(spec).map(|(name, _)| name.clone()).collect());
        self.reach.insert(selector.clone(), reach.clone());
        Ok(reach)
    }

    /// The shard, known from now on as asked for.
    pub fn ask(
        &mut self,
        name: &ShardName,
        now: Instant,
        queue: fn() -> Box<dyn WaitQueue>,
    ) -> &mut Shard {
        let known = self.shards.get(name).map(|shard| now.saturating_duration_since(shard.asked));
        if known.is_none_or(|since| since > self.asked_for) {
            self.agenda.add_shard(name);
        }
        let shard = self.shards.entry(name.clone()).or_insert_with(|| Shard {
            queue: queue(),
            pending: HashMap::default(),
            asked: now,
            urgent: None,
            service: FIRST_SERVICE,
        });
        shard.asked = now;
        shard
    }

    /// How fast the replicas of a shard work.
    pub fn pace(&self, name: &ShardName, holders: u32, now: Instant) -> ServiceRate {
        let targets = self.index.get(name).map(Vec::as_slice).unwrap_or_default();
        let entries = targets.iter().filter_map(|target| self.entries.get(target));
        let usable = entries.filter(|entry| entry.fitness(now) == Fitness::Ready);
        let slots = usable.map(|entry| entry.allowed(holders)).fold(0, u32::saturating_add);
        let service = self.shards.get(name).map_or(FIRST_SERVICE, |shard| shard.service);
        ServiceRate { slots, service: Duration::from_secs_f64(service) }
    }

    /// Every target belongs to the shard it declares and to those it holds.
    fn rebuild_index(&mut self) {
        self.index.clear();
        let mut entries: Vec<_> = self.entries.iter_mut().collect();
        entries.sort_unstable_by_key(|(name, _)| *name);
        for (name, entry) in entries {
            entry.indexed = entry.shards();
            for shard in &entry.indexed {
                self.index.entry(shard.clone()).or_default().push(name.clone());
            }
        }
    }

    /// Moves a target to the shards that it holds now.
    pub fn reindex(&mut self, name: &TargetName) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let shards = entry.shards();
        if shards == entry.indexed {
            return;
        }
        for shard in std::mem::replace(&mut entry.indexed, shards) {
            if let Some(targets) = self.index.get_mut(&shard) {
                targets.retain(|other| other != name);
            }
        }
        for shard in &entry.indexed {
            let targets = self.index.entry(shard.clone()).or_default();
            if let Err(at) = targets.binary_search(name) {
                targets.insert(at, name.clone());
            }
        }
    }
}

impl Shard {
    /// A call took this long at a target.
    pub fn add_service(&mut self, span: Duration) {
        self.service += (span.as_secs_f64() - self.service) * SERVICE_WEIGHT;
    }
}

impl Entry {
    fn new(spec: &TargetSpec, delay: Duration, limit: Box<dyn Limit>) -> Entry {
        Entry {
            spec: Rc::new(spec.clone()),
            replica: Replica::default(),
            limit,
            delay,
            running: Vec::new(),
            alone: None,
            reserved: None,
            checking: None,
            marked: false,
            probing: false,
            next_probe: None,
            told: None,
            indexed: Vec::new(),
            unheard: 0,
            given_up: 0,
        }
    }

    /// Whether it may be given a call now, whoever says that it may not.
    pub fn fitness(&self, now: Instant) -> Fitness {
        if self.spec.drain || self.marked {
            return Fitness::Draining;
        }
        if self.checking.is_some() {
            return Fitness::Down;
        }
        self.replica.fitness(now)
    }

    /// Whether it can be given calls, now or within a moment.
    pub fn is_usable(&self, now: Instant) -> bool {
        matches!(self.fitness(now), Fitness::Ready | Fitness::Shedding(_))
    }

    /// The shard it declares and those it holds.
    fn shards(&self) -> Vec<ShardName> {
        let mut shards = vec![self.spec.shard.clone()];
        for held in self.replica.held() {
            if !shards.contains(&held.shard) {
                shards.push(held.shard.clone());
            }
        }
        shards
    }

    /// A call to it was given up; whether it has to be probed at once.
    pub fn on_given_up(&mut self, elapsed: Duration, now: Instant) -> bool {
        self.replica.on_cancelled(elapsed);
        self.given_up += 1;
        // A target that was cut off answers nothing and refuses nothing; a
        // probe at once tells it from one that is slow.
        let sooner = self.is_quiet() && self.next_probe.is_some_and(|at| at > now);
        if sooner {
            self.next_probe = Some(now);
        }
        sooner
    }

    /// Whether calls to it were given up and nothing was heard of it since.
    pub fn is_quiet(&self) -> bool {
        self.given_up >= MOST_GIVEN_UP
    }

    /// The most calls that may be in flight to it from here.
    pub fn allowed(&self, holders: u32) -> u32 {
        kumquatnotch_policy::limit::share(self.limit.allowed(), holders)
    }
}

fn delay_to(document: &Document, centre: &DataCentre, options: &HolderOptions) -> Duration {
    let own = document.region(&options.centre);
    match document.region(centre) {
        _ if *centre == options.centre => Duration::ZERO,
        region if region.is_some() && region == own => options.near,
        _ => options.far,
    }
}
