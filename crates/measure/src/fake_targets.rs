//! An implementation of `Targets` with fake targets.
//!
//! A target has slots with a queue, a set-up time for new connections, and faults that a
//! scenario turns on and off. It records the load that the tier puts on it: the number of
//! calls that ran, and the time-weighted excess of calls over its slots.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use kumquatnotch::core::{
    Clock, Error, LocalFuture, Result, Targets,
    document::TargetSpec,
    ids::{IndexVersion, TargetName},
    query::Hit,
    random::Random,
    target::{HeldVersion, Phase, TargetCall, TargetReply, TargetStatus},
};

use crate::{
    fake_target::{ActiveCall, COLD, Connection, FakeTarget, QUEUE_LIMIT},
    virtual_time::VirtualTime,
};

/// The version of the index that every fake target holds.
pub const VERSION: IndexVersion = IndexVersion(7);
/// Mean service time.
pub const SERVICE_TIME: Duration = Duration::from_millis(6);
/// Standard deviation of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.3;
/// Set-up time of a new connection.
const CONNECT_TIME: Duration = Duration::from_millis(6);
/// Time after which the network layer detects a silent connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a crashed target takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Text of a request that crashes the targets that run it.
pub const POISON: &str = "poison";

/// Counters over all targets.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub runs: u64,
    pub crashes: u64,
    pub connects: u64,
}

/// All fake targets.
pub struct FakeTargets {
    time: VirtualTime,
    random: Random,
    pub targets: HashMap<TargetName, Rc<FakeTarget>>,
    pub counters: RefCell<Counters>,
    /// Whether runs are being counted.
    pub counting: Cell<bool>,
    serial: Cell<u64>,
}

impl FakeTargets {
    pub fn new(time: &VirtualTime, random: &Random) -> FakeTargets {
        FakeTargets {
            time: time.clone(),
            random: random.clone(),
            targets: HashMap::new(),
            counters: RefCell::default(),
            counting: Cell::new(false),
            serial: Cell::new(0),
        }
    }

    async fn run(&self, fake: &FakeTarget, call: &TargetCall) -> Result<TargetReply> {
        let mut connection = self.connect(fake).await?;
        let incarnation = connection.incarnation;
        self.time.sleep(fake.delay.get()).await;
        if fake.cut.get() {
            connection.broken = true;
            self.time.sleep(SILENCE_TIMEOUT).await;
            return Err(Error::ConnectionSilent);
        }
        if !fake.up.get() || fake.incarnation.get() != incarnation {
            return Err(Error::ConnectionLost);
        }
        if fake.phase.get() == Phase::Draining {
            return Err(Error::Draining);
        }
        if fake.inner.borrow().waiting.len() >= QUEUE_LIMIT {
            return Err(Error::Shed { retry_ms: 20 });
        }
        let (abort, aborted) = oneshot::channel();
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        fake.inner.borrow_mut().aborts.insert(serial, abort);
        let served = Box::pin(self.serve(fake, call, serial));
        match select(served, aborted).await {
            Either::Left((result, _)) => result?,
            Either::Right(_) => return Err(Error::ConnectionLost),
        }
        self.time.sleep(fake.delay.get()).await;
        if fake.cut.get() {
            connection.broken = true;
            self.time.sleep(SILENCE_TIMEOUT).await;
            return Err(Error::ConnectionSilent);
        }
        let hit = Hit {
            key: call.shard.to_string(),
            score: self.random.fraction(),
            owner: None,
            fields: serde_json::Value::Null,
            private: None,
        };
        Ok(TargetReply {
            hits: vec![hit],
            version: VERSION,
            load: fake.load(),
            ..TargetReply::default()
        })
    }

    async fn serve(&self, fake: &FakeTarget, call: &TargetCall, serial: u64) -> Result<()> {
        let pending_slot = fake.acquire(self.time.now());
        let holds_slot = pending_slot.is_none();
        let mut active = ActiveCall { fake, time: &self.time, serial, holds_slot, pending_slot };
        if let Some(pending_slot) = &mut active.pending_slot {
            pending_slot.await.map_err(|_| Error::ConnectionLost)?;
            active.pending_slot = None;
            active.holds_slot = true;
        }
        self.count_run();
        self.time.sleep(self.service(fake)).await;
        if call.body.contains(POISON) {
            self.counters.borrow_mut().crashes += 1;
            // Frees the slot before the crash clears the target's state.
            drop(active);
            self.crash(fake);
            return Err(Error::ConnectionLost);
        }
        Ok(())
    }

    fn crash(&self, fake: &FakeTarget) {
        fake.stop();
        let name = self.targets.values().find(|other| std::ptr::eq(&***other, fake)).cloned();
        let (time, fake) = (self.time.clone(), name.expect("the target is registered"));
        self.time.spawn(async move {
            time.sleep(RESTART_TIME).await;
            fake.start();
        });
    }

    fn service(&self, fake: &FakeTarget) -> Duration {
        let mut factor = fake.factor.get();
        if fake.cold.get() > 0 {
            fake.cold.set(fake.cold.get() - 1);
            factor *= COLD.0;
        }
        // Draws a log-normal number by the Box-Muller transform.
        let (u, v) = (1.0 - self.random.fraction(), self.random.fraction());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        SERVICE_TIME
            .mul_f64(factor * (SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp())
    }

    fn count_run(&self) {
        if self.counting.get() {
            self.counters.borrow_mut().runs += 1;
        }
    }

    async fn connect<'a>(&self, fake: &'a FakeTarget) -> Result<Connection<'a>> {
        if fake.idle.get() > 0 {
            fake.idle.set(fake.idle.get() - 1);
            if fake.silent.get() > 0 {
                fake.silent.set(fake.silent.get() - 1);
                self.time.sleep(SILENCE_TIMEOUT).await;
                return Err(Error::ConnectionSilent);
            }
            return Ok(Connection { fake, incarnation: fake.incarnation.get(), broken: false });
        }
        if fake.cut.get() {
            self.time.sleep(SILENCE_TIMEOUT).await;
            return Err(Error::ConnectFailed);
        }
        self.time.sleep(2 * fake.delay.get()).await;
        if !fake.up.get() {
            return Err(Error::ConnectFailed);
        }
        self.counters.borrow_mut().connects += 1;
        self.time.sleep(CONNECT_TIME).await;
        Ok(Connection { fake, incarnation: fake.incarnation.get(), broken: false })
    }

    fn find(&self, name: &TargetName) -> Result<&Rc<FakeTarget>> {
        self.targets.get(name).ok_or(Error::ConnectFailed)
    }
}

impl Targets for FakeTargets {
    fn call<'a>(
        &'a self,
        name: &'a TargetName,
        _spec: &'a TargetSpec,
        call: &'a TargetCall,
        _deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetReply>> {
        Box::pin(async move { self.run(self.find(name)?, call).await })
    }

    fn probe<'a>(
        &'a self,
        name: &'a TargetName,
        _spec: &'a TargetSpec,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetStatus>> {
        Box::pin(async move {
            let fake = self.find(name)?;
            if fake.cut.get() {
                self.time.sleep_until(deadline).await;
                return Err(Error::TimedOut);
            }
            self.time.sleep(2 * fake.delay.get()).await;
            if !fake.up.get() {
                return Err(Error::ConnectFailed);
            }
            let held = HeldVersion {
                version: VERSION,
                shard: fake.shard.clone(),
                collection: "rooms".to_owned(),
                total: 50,
            };
            Ok(TargetStatus {
                phase: fake.phase.get(),
                load: fake.load(),
                held: vec![held],
                incarnation: fake.incarnation.get(),
            })
        })
    }

    fn disconnect(&self, name: &TargetName) {
        if let Ok(fake) = self.find(name) {
            fake.idle.set(0);
        }
    }
}
