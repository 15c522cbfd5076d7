//! One stand-in target: the target forms of docs/PROTOCOLS.md over a slot model.

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

/// When a shed caller should come back, in milliseconds.
const RETRY_MS: u64 = 50;

/// How many times as long a cold target takes.
const COLD_FACTOR: f64 = 5.0;

/// The longest deadline that is honoured.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// A stand-in target.
pub struct Target {
    /// What it is like.
    pub plan: TargetPlan,
    /// The faults in force.
    pub faults: RefCell<Faults>,
    random: Random,
    log: Rc<RefCell<RunLog>>,
    held: RefCell<Vec<HeldVersion>>,
    life: RefCell<Rc<Life>>,
    cold_until: Cell<Instant>,
    connected: Cell<u64>,
    silent_below: Cell<u64>,
}

/// One life of a target, from one crash to the next.
pub struct Life {
    /// Given at the crash.
    pub stop: Signal,
    incarnation: u64,
    slots: Slots,
    calls: RefCell<HashMap<u64, Rc<Signal>>>,
    open: Cell<usize>,
    connect_free: Cell<Instant>,
}

impl Target {
    /// A target after `plan` that records its runs in `log`.
    pub fn new(plan: TargetPlan, random: Random, log: Rc<RefCell<RunLog>>) -> Target {
        let life = Life::new(&plan, random.number());
        Target {
            faults: RefCell::default(),
            random,
            log,
            held: RefCell::new(plan.held.clone()),
            life: RefCell::new(Rc::new(life)),
            cold_until: Cell::new(Instant::now()),
            connected: Cell::new(0),
            silent_below: Cell::new(0),
            plan,
        }
    }

    /// Changes the faults.
    pub fn apply(&self, change: &FaultChange) {
        self.faults.borrow_mut().apply(change);
        if let Some(span) = change.cold_ms {
            self.cold_until.set(Instant::now() + Duration::from_millis(span));
        }
        if change.silence {
            self.silent_below.set(self.connected.get());
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
            self.life().stop.give();
        }
    }

    /// The life it is in.
    pub fn life(&self) -> Rc<Life> {
        self.life.borrow().clone()
    }

    /// Starts another life.
    pub fn restart(&self) {
        self.life.replace(Rc::new(Life::new(&self.plan, self.random.number())));
    }

    /// How many requests wait or run.
    pub fn load(&self) -> usize {
        self.life().slots.load()
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
            incarnation: self.life().incarnation,
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

    /// Draws a service time: a log-normal one about the plan's median.
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

impl Life {
    fn new(plan: &TargetPlan, incarnation: u64) -> Life {
        Life {
            stop: Signal::default(),
            incarnation,
            slots: Slots::new(plan.slots, plan.queue),
            calls: RefCell::default(),
            open: Cell::new(0),
            connect_free: Cell::new(Instant::now()),
        }
    }
}

/// One connection to a target.
pub struct Connection {
    target: Rc<Target>,
    life: Rc<Life>,
    number: u64,
    over: bool,
}

impl Connection {
    /// Opens a connection to the life that `target` is in.
    pub fn open(target: &Rc<Target>) -> Connection {
        let life = target.life();
        let number = target.connected.get();
        target.connected.set(number + 1);
        life.open.set(life.open.get() + 1);
        let over = life.open.get() > target.plan.connections;
        if over {
            target.log.borrow_mut().over_limit += 1;
        }
        Connection { target: target.clone(), life, number, over }
    }

    /// Does the work of a new connection; one after the other.
    pub async fn prepare(&self) {
        let from = self.life.connect_free.get().max(Instant::now());
        let ready = from + Duration::from_millis(self.target.plan.connect_ms);
        self.life.connect_free.set(ready);
        monoio::time::sleep_until(ready.into()).await;
    }

    fn is_silent(&self) -> bool {
        self.number < self.target.silent_below.get()
    }

    async fn run(&self, request: &Request) -> Reply {
        let call: TargetCall = match request.json() {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let shed = self.target.faults.borrow().shed || self.over;
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
        let span = request.header("x-deadline-ms").map_or(LONGEST_DEADLINE, Duration::from_millis);
        let deadline = Instant::now() + span.min(LONGEST_DEADLINE);
        let Ok(turn) = self.life.slots.enter() else {
            return self.shed();
        };
        let cancel = Rc::new(Signal::default());
        self.life.calls.borrow_mut().insert(call.id, cancel.clone());
        let reply = self.run_in_turn(&call, turn, &cancel, deadline, arrived_us).await;
        self.life.calls.borrow_mut().remove(&call.id);
        reply
    }

    async fn run_in_turn(
        &self,
        call: &TargetCall,
        turn: futures_channel::oneshot::Receiver<crate::slots::Slot>,
        cancel: &Signal,
        deadline: Instant,
        arrived_us: u64,
    ) -> Reply {
        let slot = match unless_stopped(turn, cancel, deadline).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(_)) => return Reply::Close,
            Err(RunEnd::Cancelled) => return Reply::json(499, &json!({ "ran": false })),
            Err(_) => return Reply::json(504, &json!({ "ran": false })),
        };
        let run = self.record(call, slot.number, arrived_us);
        let marked = self
            .target
            .faults
            .borrow()
            .marker
            .as_deref()
            .is_some_and(|marker| call.body.contains(marker));
        if marked {
            self.life.stop.give();
            return Reply::Close;
        }
        let service = monoio::time::sleep(self.target.service_time());
        match unless_stopped(service, cancel, deadline).await {
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
        let load = self.life.slots.load() as u32;
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
        match Reply::json(429, &json!({ "retry_ms": RETRY_MS })) {
            Reply::Answer { status, revision, body, .. } => {
                Reply::Answer { status, revision, body, close: self.over }
            }
            reply => reply,
        }
    }

    fn record(&self, call: &TargetCall, slot: usize, arrived_us: u64) -> Run {
        let mut log = self.target.log.borrow_mut();
        log.runs.push(RunRecord {
            target: self.target.plan.name.clone(),
            incarnation: self.life.incarnation,
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
            running: self.life.slots.running(),
            end: RunEnd::Running,
        });
        Run { log: self.target.log.clone(), at: log.runs.len() - 1 }
    }

    fn cancel(&self, request: &Request) -> Reply {
        let call: CancelBody = match request.json() {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        if let Some(cancel) = self.life.calls.borrow().get(&call.id) {
            cancel.give();
        }
        Reply::status(204)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.life.open.set(self.life.open.get() - 1);
    }
}

impl Handler for Connection {
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply> {
        Box::pin(async move {
            // What lies between the two ends has lost track of the connection:
            // the request never comes here, or its answer never goes back.
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

/// A run that is recorded; one that is dropped before its end was lost.
struct Run {
    log: Rc<RefCell<RunLog>>,
    at: usize,
}

impl Run {
    fn finish(&self, end: RunEnd) {
        let run = &mut self.log.borrow_mut().runs[self.at];
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

/// Waits for `work` unless it is cancelled or its deadline passes first.
async fn unless_stopped<T>(
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
