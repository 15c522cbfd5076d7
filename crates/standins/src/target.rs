//! A stand-in target: implements the target API of docs/PROTOCOLS.md with simulated slots and
//! service times.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_core::{
    LocalFuture,
    collections::HashMap,
    random::Random,
    target::{HeldVersion, Phase, TargetCall, TargetReply, TargetStatus},
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    data,
    faults::{FaultChange, Faults},
    http::{Handler, Reply, Request},
    now_us,
    plan::TargetPlan,
    records::{Refusal, RunEnd, RunLog, RunRecord},
    signal::Signal,
    slots::Slots,
};

/// Retry delay reported to clients whose requests are shed, in milliseconds.
const RETRY_AFTER_MS: u64 = 50;

/// Factor by which service times are multiplied while a target is cold.
const COLD_FACTOR: f64 = 5.0;

/// Upper limit for deadlines of requests.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A stand-in target.
pub struct Target {
    /// The configuration of the target.
    pub plan: TargetPlan,
    /// The faults in force.
    pub faults: RefCell<Faults>,
    random: Random,
    log: Rc<RefCell<RunLog>>,
    held: RefCell<Vec<HeldVersion>>,
    incarnation: RefCell<Rc<Incarnation>>,
    cold_until: Cell<Instant>,
    opened: Cell<u64>,
    first_live: Cell<u64>,
}

/// One incarnation of a target, from its start to its crash.
pub struct Incarnation {
    /// Triggered at the crash.
    pub stop: Signal,
    id: u64,
    slots: Slots,
    calls: RefCell<HashMap<u64, Rc<Signal>>>,
    open: Cell<usize>,
    next_setup: Cell<Instant>,
}

impl Target {
    /// Creates a target with the configuration `plan` that records its runs in `log`.
    pub fn new(plan: TargetPlan, random: Random, log: Rc<RefCell<RunLog>>) -> Target {
        let incarnation = Incarnation::new(&plan, random.number());
        Target {
            faults: RefCell::default(),
            random,
            log,
            held: RefCell::new(plan.held.clone()),
            incarnation: RefCell::new(Rc::new(incarnation)),
            cold_until: Cell::new(Instant::now()),
            opened: Cell::new(0),
            first_live: Cell::new(0),
            plan,
        }
    }

    /// Applies a change of faults.
    pub fn apply(&self, change: &FaultChange) {
        self.faults.borrow_mut().apply(change);
        if let Some(span) = change.cold_ms {
            self.cold_until.set(Instant::now() + Duration::from_millis(span));
        }
        if change.silence {
            self.first_live.set(self.opened.get());
        }
        if let Some(held) = &change.held {
            self.held.replace(held.clone());
        }
        if let Some(version) = change.unpublish {
            self.held.borrow_mut().retain(|held| held.version != version);
        }
        if let Some(held) = &change.publish {
            self.held.borrow_mut().push(held.clone());
        }
        if change.crash {
            self.incarnation().stop.trigger();
        }
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Rc<Incarnation> {
        self.incarnation.borrow().clone()
    }

    /// Starts a new incarnation.
    pub fn restart(&self) {
        self.incarnation.replace(Rc::new(Incarnation::new(&self.plan, self.random.number())));
    }

    /// Number of queued and running requests.
    pub fn load(&self) -> usize {
        self.incarnation().slots.load()
    }

    fn status(&self) -> TargetStatus {
        let faults = self.faults.borrow();
        let phase = match faults.lie {
            Some(phase) => phase,
            None if faults.drain => Phase::Draining,
            None if Instant::now() < self.cold_until.get() => Phase::Cold,
            None => Phase::Ready,
        };
        TargetStatus {
            phase,
            load: faults.load.unwrap_or(self.load() as u32),
            held: self.held.borrow().clone(),
            incarnation: self.incarnation().id,
        }
    }

    fn holds(&self, call: &TargetCall) -> bool {
        let held = self.held.borrow();
        match call.version {
            Some(version) => {
                held.iter().any(|held| held.version == version && held.shard == call.shard)
            }
            None => held.iter().any(|held| held.shard == call.shard),
        }
    }

    /// Draws a service time from a log-normal distribution around the configured median.
    fn service_time(&self) -> Duration {
        let angle = std::f64::consts::TAU * self.random.fraction();
        let radius = (-2.0 * (1.0 - self.random.fraction()).ln()).sqrt();
        let median = self.plan.service_ms * self.faults.borrow().factor;
        let cold = Instant::now() < self.cold_until.get();
        let factor = if cold { COLD_FACTOR } else { 1.0 };
        let span = median * factor * (self.plan.spread * radius * angle.cos()).exp();
        Duration::from_secs_f64(span / 1_000.0)
    }
}

impl Incarnation {
    fn new(plan: &TargetPlan, id: u64) -> Incarnation {
        Incarnation {
            stop: Signal::default(),
            id,
            slots: Slots::new(plan.slots, plan.queue),
            calls: RefCell::default(),
            open: Cell::new(0),
            next_setup: Cell::new(Instant::now()),
        }
    }
}

/// A connection to a target.
pub struct Connection {
    target: Rc<Target>,
    incarnation: Rc<Incarnation>,
    number: u64,
    is_over_limit: bool,
}

impl Connection {
    /// Opens a connection to the current incarnation of `target`.
    pub fn open(target: &Rc<Target>) -> Connection {
        let incarnation = target.incarnation();
        let number = target.opened.get();
        target.opened.set(number + 1);
        incarnation.open.set(incarnation.open.get() + 1);
        let is_over_limit = incarnation.open.get() > target.plan.connections;
        if is_over_limit {
            target.log.borrow_mut().over_limit += 1;
        }
        Connection { target: target.clone(), incarnation, number, is_over_limit }
    }

    /// Waits for the set-up time of a new connection; set-ups run one after the other.
    pub async fn simulate_setup(&self) {
        let from = self.incarnation.next_setup.get().max(Instant::now());
        let ready = from + Duration::from_millis(self.target.plan.connect_ms);
        self.incarnation.next_setup.set(ready);
        monoio::time::sleep_until(ready.into()).await;
    }

    fn is_silent(&self) -> bool {
        self.number < self.target.first_live.get()
    }

    async fn run(&self, request: &Request) -> Reply {
        let call: TargetCall = match request.json() {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let shed = self.target.faults.borrow().shed || self.is_over_limit;
        if shed {
            return self.shed();
        }
        if self.target.faults.borrow().drain {
            let target = self.target.plan.name.clone();
            self.target.log.borrow_mut().drained.push(Refusal { target, arrived_us: now_us() });
            return Reply::json(503, &json!({}));
        }
        if !self.target.holds(&call) {
            return Reply::json(410, &json!({ "version": call.version }));
        }
        let arrived_us = now_us();
        let span = request.header("x-deadline-ms").map_or(MAX_DEADLINE, Duration::from_millis);
        let deadline = Instant::now() + span.min(MAX_DEADLINE);
        let Ok(pending_slot) = self.incarnation.slots.acquire() else {
            return self.shed();
        };
        let cancel = Rc::new(Signal::default());
        self.incarnation.calls.borrow_mut().insert(call.id, cancel.clone());
        let reply = self.run_queued(&call, pending_slot, &cancel, deadline, arrived_us).await;
        self.incarnation.calls.borrow_mut().remove(&call.id);
        reply
    }

    async fn run_queued(
        &self,
        call: &TargetCall,
        pending_slot: futures_channel::oneshot::Receiver<crate::slots::Slot>,
        cancel: &Signal,
        deadline: Instant,
        arrived_us: u64,
    ) -> Reply {
        let slot = match cancellable(pending_slot, cancel, deadline).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(_)) => return Reply::Close,
            Err(RunEnd::Cancelled) => return Reply::json(499, &json!({ "ran": false })),
            Err(_) => return Reply::json(504, &json!({ "ran": false })),
        };
        let run = self.record(call, slot.number, arrived_us);
        let is_poisoned = self
            .target
            .faults
            .borrow()
            .marker
            .as_deref()
            .is_some_and(|marker| call.body.contains(marker));
        if is_poisoned {
            self.incarnation.stop.trigger();
            return Reply::Close;
        }
        let service = monoio::time::sleep(self.target.service_time());
        match cancellable(service, cancel, deadline).await {
            Ok(()) => run.finish(RunEnd::Done),
            Err(end) => {
                run.finish(end);
                let status = if end == RunEnd::Cancelled { 499 } else { 504 };
                return Reply::json(status, &json!({ "ran": true }));
            }
        }
        drop(slot);
        Reply::json(200, &self.reply(call))
    }

    fn reply(&self, call: &TargetCall) -> TargetReply {
        let load = self.incarnation.slots.load() as u32;
        if call.exclusive {
            let key = data::field(&call.body, "key");
            let nonce = data::field(&call.body, "nonce");
            let result = json!({ "key": key, "nonce": nonce, "target": self.target.plan.name });
            return TargetReply { result, load, ..TargetReply::default() };
        }
        let version = call.version.unwrap_or_default();
        let hits = data::hits(&call.shard, version, &call.body, call.limit);
        TargetReply { hits, version, load, ..TargetReply::default() }
    }

    fn shed(&self) -> Reply {
        self.target.log.borrow_mut().shed += 1;
        match Reply::json(429, &json!({ "retry_ms": RETRY_AFTER_MS })) {
            Reply::Answer { status, revision, body, .. } => {
                Reply::Answer { status, revision, body, close: self.is_over_limit }
            }
            reply => reply,
        }
    }

    fn record(&self, call: &TargetCall, slot: usize, arrived_us: u64) -> Run {
        let mut log = self.target.log.borrow_mut();
        log.runs.push(RunRecord {
            target: self.target.plan.name.clone(),
            incarnation: self.incarnation.id,
            id: call.id,
            shard: call.shard.clone(),
            version: call.version,
            tenant: call.tenant.clone(),
            body: call.body.clone(),
            exclusive: call.exclusive,
            arrived_us,
            start_us: now_us(),
            end_us: 0,
            slot,
            running: self.incarnation.slots.running(),
            end: RunEnd::Running,
        });
        Run { log: self.target.log.clone(), index: log.runs.len() - 1 }
    }

    fn cancel(&self, request: &Request) -> Reply {
        let call: CancelBody = match request.json() {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        if let Some(cancel) = self.incarnation.calls.borrow().get(&call.id) {
            cancel.trigger();
        }
        Reply::status(204)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.incarnation.open.set(self.incarnation.open.get() - 1);
    }
}

impl Handler for Connection {
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply> {
        Box::pin(async move {
            // Simulates a network device that lost the state of the connection: the request
            // does not arrive, or its response does not get back.
            if self.is_silent() {
                return Reply::Silence;
            }
            let reply = match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/v1/run") => self.run(&request).await,
                ("POST", "/v1/cancel") => self.cancel(&request),
                ("GET", "/v1/status") => Reply::json(200, &self.target.status()),
                _ => Reply::status(404),
            };
            if self.is_silent() { Reply::Silence } else { reply }
        })
    }
}

#[derive(Deserialize)]
struct CancelBody {
    id: u64,
}

/// A recorded run; one dropped before it finishes is recorded as lost.
struct Run {
    log: Rc<RefCell<RunLog>>,
    index: usize,
}

impl Run {
    fn finish(&self, end: RunEnd) {
        let run = &mut self.log.borrow_mut().runs[self.index];
        if run.end == RunEnd::Running {
            run.end = end;
            run.end_us = now_us();
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.finish(RunEnd::Lost);
    }
}

/// Waits for `work`; fails if it is cancelled or the deadline passes first.
async fn cancellable<T>(
    work: impl Future<Output = T>,
    cancel: &Signal,
    deadline: Instant,
) -> Result<T, RunEnd> {
    let work = std::pin::pin!(work);
    let cancelled = std::pin::pin!(cancel.wait());
    let expired = std::pin::pin!(monoio::time::sleep_until(deadline.into()));
    match select(work, select(cancelled, expired)).await {
        Either::Left((value, _)) => Ok(value),
        Either::Right((Either::Left(_), _)) => Err(RunEnd::Cancelled),
        Either::Right((Either::Right(_), _)) => Err(RunEnd::Expired),
    }
}
