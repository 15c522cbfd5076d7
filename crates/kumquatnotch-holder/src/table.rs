//! The table of targets and shards: their configuration and observed state.

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

use crate::{HolderOptions, schedule::ProbeSchedule, slots::Slot, slots::Work};

/// Set of the targets that a selector matches.
pub type TargetSet = Rc<HashSet<TargetName>>;

/// Service time assumed before the first answer.
const INITIAL_SERVICE_SECONDS: f64 = 0.006;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Number of consecutive abandoned calls after which a target counts as unresponsive.
const MAX_ABANDONED_CALLS: u32 = 3;

/// The state of a holder.
pub struct Table {
    pub document: Option<Rc<Document>>,
    pub entries: HashMap<TargetName, Entry>,
    pub shards: HashMap<ShardName, Shard>,
    /// Targets that declare or hold a shard, sorted by name.
    pub index: HashMap<ShardName, Vec<TargetName>>,
    pub eligible: HashMap<SelectorName, TargetSet>,
    pub schedule: ProbeSchedule,
    /// Targets with a draining mark.
    pub marked_draining: Vec<TargetName>,
    /// How long the targets of a shard are probed after its last request.
    idle_timeout: Duration,
    /// Suspect requests running alone; another call of the same request waits.
    pub running_suspects: HashSet<Fingerprint>,
}

/// Configuration and state of a target.
pub struct Entry {
    pub spec: Rc<TargetSpec>,
    pub replica: Replica,
    pub limit: Box<dyn Limit>,
    /// Assumed one-way network delay to the target.
    pub delay: Duration,
    /// Requests in flight, with the ids of their slots.
    pub running: Vec<(u64, Running)>,
    /// Slot of a suspect request that runs alone.
    pub suspect_slot: Option<u64>,
    /// Waiter for which the replica is reserved; it takes no other calls until then.
    pub reserved_for: Option<u64>,
    /// Calls waiting for the crash check in progress, if there is one.
    pub crash_waiters: Option<Vec<oneshot::Sender<()>>>,
    /// Whether the target has a draining mark.
    pub marked_draining: bool,
    pub probing: bool,
    pub next_probe: Option<Instant>,
    /// When a probe last succeeded.
    pub last_status: Option<Instant>,
    /// Shards under which the target is indexed.
    pub indexed_shards: Vec<ShardName>,
    /// Number of consecutive failed probes.
    pub failed_probes: u32,
    /// Number of calls abandoned since the last answer or successful probe.
    pub abandoned_calls: u32,
}

/// State of a requested shard.
pub struct Shard {
    pub queue: Box<dyn WaitQueue>,
    pub pending: HashMap<u64, Pending>,
    pub last_request: Instant,
    /// Time of the last request of the desk class.
    pub last_desk_request: Option<Instant>,
    /// Moving average of the service time, in seconds.
    pub service_seconds: f64,
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
            eligible: HashMap::default(),
            schedule: ProbeSchedule::default(),
            marked_draining: Vec::new(),
            idle_timeout: options.idle_timeout,
            running_suspects: HashSet::default(),
        }
    }

    /// Applies `document` and returns the targets that were removed or have a new address.
    pub fn apply_document(
        &mut self,
        document: &Rc<Document>,
        options: &HolderOptions,
        limit: fn() -> Box<dyn Limit>,
    ) -> Vec<TargetName> {
        let same = |idle_time: &Rc<Document>| Rc::ptr_eq(idle_time, document);
        if self.document.as_ref().is_some_and(same) {
            return Vec::new();
        }
        let mut removed: Vec<TargetName> = Vec::new();
        for (name, entry) in &self.entries {
            match document.targets.get(name) {
                Some(spec) if spec.address == entry.spec.address => {}
                _ => removed.push(name.clone()),
            }
        }
        for name in &removed {
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
        self.eligible.clear();
        self.rebuild_index();
        self.schedule.invalidate();
        removed
    }

    /// Returns the targets that `selector` matches.
    pub fn eligible(&mut self, selector: &SelectorName) -> Result<TargetSet> {
        if let Some(eligible) = self.eligible.get(selector) {
            return Ok(eligible.clone());
        }
        let document = self.document.as_ref().ok_or(Error::NotReady)?;
        let Some(spec) = document.rules.selectors.get(selector) else {
            return Err(Error::UnknownSelector { name: selector.to_string() });
        };
        let eligible: TargetSet =
            Rc::new(document.select(spec).map(|(name, _)| name.clone()).collect());
        self.eligible.insert(selector.clone(), eligible.clone());
        Ok(eligible)
    }

    /// Records a request for a shard and returns the state of the shard.
    pub fn touch_shard(
        &mut self,
        name: &ShardName,
        now: Instant,
        queue: fn() -> Box<dyn WaitQueue>,
    ) -> &mut Shard {
        let idle_time =
            self.shards.get(name).map(|shard| now.saturating_duration_since(shard.last_request));
        if idle_time.is_none_or(|since| since > self.idle_timeout) {
            self.schedule.add_shard(name);
        }
        let shard = self.shards.entry(name.clone()).or_insert_with(|| Shard {
            queue: queue(),
            pending: HashMap::default(),
            last_request: now,
            last_desk_request: None,
            service_seconds: INITIAL_SERVICE_SECONDS,
        });
        shard.last_request = now;
        shard
    }

    /// Returns the service rate of the usable replicas of a shard.
    pub fn service_rate(&self, name: &ShardName, holders: u32, now: Instant) -> ServiceRate {
        let targets = self.index.get(name).map(Vec::as_slice).unwrap_or_default();
        let entries = targets.iter().filter_map(|target| self.entries.get(target));
        let usable = entries.filter(|entry| entry.fitness(now) == Fitness::Ready);
        let slots = usable.map(|entry| entry.allowed(holders)).fold(0, u32::saturating_add);
        let service =
            self.shards.get(name).map_or(INITIAL_SERVICE_SECONDS, |shard| shard.service_seconds);
        ServiceRate { slots, service: Duration::from_secs_f64(service) }
    }

    /// Indexes every target under the shard it declares and those it holds.
    fn rebuild_index(&mut self) {
        self.index.clear();
        let mut entries: Vec<_> = self.entries.iter_mut().collect();
        entries.sort_unstable_by_key(|(name, _)| *name);
        for (name, entry) in entries {
            entry.indexed_shards = entry.shards();
            for shard in &entry.indexed_shards {
                self.index.entry(shard.clone()).or_default().push(name.clone());
            }
        }
    }

    /// Updates the index after the shards held by a target have changed.
    pub fn reindex(&mut self, name: &TargetName) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let shards = entry.shards();
        if shards == entry.indexed_shards {
            return;
        }
        for shard in std::mem::replace(&mut entry.indexed_shards, shards) {
            if let Some(targets) = self.index.get_mut(&shard) {
                targets.retain(|other| other != name);
            }
        }
        for shard in &entry.indexed_shards {
            let targets = self.index.entry(shard.clone()).or_default();
            if let Err(at) = targets.binary_search(name) {
                targets.insert(at, name.clone());
            }
        }
    }
}

impl Shard {
    /// Updates the moving average of the service time with the duration of a call.
    pub fn update_service_time(&mut self, span: Duration) {
        self.service_seconds += (span.as_secs_f64() - self.service_seconds) * SERVICE_TIME_WEIGHT;
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
            suspect_slot: None,
            reserved_for: None,
            crash_waiters: None,
            marked_draining: false,
            probing: false,
            next_probe: None,
            last_status: None,
            indexed_shards: Vec::new(),
            failed_probes: 0,
            abandoned_calls: 0,
        }
    }

    /// Returns whether it can be given a call now, including draining marks and crash checks.
    pub fn fitness(&self, now: Instant) -> Fitness {
        if self.spec.drain || self.marked_draining {
            return Fitness::Draining;
        }
        if self.crash_waiters.is_some() {
            return Fitness::Down;
        }
        self.replica.fitness(now)
    }

    /// Returns whether it can be given calls now or once it stops shedding load.
    pub fn is_usable(&self, now: Instant) -> bool {
        matches!(self.fitness(now), Fitness::Ready | Fitness::Shedding(_))
    }

    /// Returns the shard it declares and those it holds.
    fn shards(&self) -> Vec<ShardName> {
        let mut shards = vec![self.spec.shard.clone()];
        for held in self.replica.held() {
            if !shards.contains(&held.shard) {
                shards.push(held.shard.clone());
            }
        }
        shards
    }

    /// Records an abandoned call; returns whether the target must be probed immediately.
    pub fn on_abandoned(&mut self, elapsed: Duration, now: Instant) -> bool {
        self.replica.on_cancelled(elapsed);
        self.abandoned_calls += 1;
        // An unreachable target neither answers nor refuses calls. An immediate probe
        // distinguishes it from a slow one.
        let probe_now = self.is_unresponsive() && self.next_probe.is_some_and(|at| at > now);
        if probe_now {
            self.next_probe = Some(now);
        }
        probe_now
    }

    /// Returns whether repeated calls were abandoned with no answer or successful probe since.
    pub fn is_unresponsive(&self) -> bool {
        self.abandoned_calls >= MAX_ABANDONED_CALLS
    }

    /// Returns the maximum number of calls in flight to it from this holder.
    pub fn allowed(&self, holders: u32) -> u32 {
        kumquatnotch_policy::limit::share(self.limit.allowed(), holders)
    }
}

fn delay_to(document: &Document, centre: &DataCentre, options: &HolderOptions) -> Duration {
    let own = document.region(&options.centre);
    match document.region(centre) {
        _ if *centre == options.centre => Duration::ZERO,
        region if region.is_some() && region == own => options.near_delay,
        _ => options.far_delay,
    }
}
