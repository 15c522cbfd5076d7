//! The connections to targets.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, Targets,
    collections::HashMap,
    document::TargetSpec,
    ids::TargetName,
    random::Random,
    registry::Registry,
    services,
    target::{TargetCall, TargetReply, TargetStatus},
};

use crate::{
    flight::{Flight, Plan},
    link::{Cancel, JobFault},
    message::{JSON, Reply, Request},
    pace::Pace,
    pool::{Lane, Pool, PoolOptions},
    silence::{self, CancelProof},
    target_reply,
};

/// How long a cancellation may take.
const CANCEL_TIME: Duration = Duration::from_millis(400);

/// How long a look at the load of a target may take.
const LOOK_TIME: Duration = Duration::from_millis(300);

/// How long a look counts as new.
const LOOK_AGE: Duration = Duration::from_millis(40);

/// The least and the longest pause between two looks.
const LOOK_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// How long a target's connections are left alone after one was cleared.
const CLEARED_PAUSE: Duration = Duration::from_secs(10);

/// How many requests of a call may turn out unsent, each on an ended connection.
const TRY_COUNT: usize = 4;

/// Options of [`TargetLinks`].
#[derive(Clone, Debug)]
pub struct TargetLinkOptions {
    /// The most connections open to one target, one of them for control.
    ///
    /// With a single one nothing can be asked while a request is out: a silent
    /// connection is then found by the kernel or at the request's deadline only.
    pub connections: usize,
    /// The largest body of a reply, in bytes.
    pub body: usize,
    /// How long a connection is kept without use.
    pub idle: Duration,
}

impl Default for TargetLinkOptions {
    fn default() -> TargetLinkOptions {
        TargetLinkOptions { connections: 3, body: 8 << 20, idle: Duration::from_secs(30) }
    }
}

impl TargetLinkOptions {
    fn pool(&self) -> PoolOptions {
        let work = self.connections.saturating_sub(1).max(1);
        let control = self.connections.saturating_sub(work);
        PoolOptions { control, work, idle: self.idle, body: self.body }
    }

    /// The lane of probes and cancellations; a single connection is shared.
    fn control(&self) -> Lane {
        if self.connections > 1 { Lane::Control } else { Lane::Work }
    }
}

/// The connections to targets, by name.
pub struct TargetLinks {
    options: TargetLinkOptions,
    clock: Rc<dyn Clock>,
    random: Random,
    targets: RefCell<HashMap<TargetName, Rc<TargetLink>>>,
}

/// What is kept for one target.
struct TargetLink {
    pool: Rc<Pool>,
    paces: [Pace; 3],
    look: Cell<Option<(Instant, u32)>>,
    looking: Cell<bool>,
    /// Until when connections are not challenged, because one was cleared.
    cleared: Cell<Option<Instant>>,
}

impl TargetLink {
    /// Notes that a challenged connection has answered.
    ///
    /// The status of such a target is worth nothing. Without the pause, each
    /// search on a straggler that calls itself idle would be cancelled.
    fn clear(&self, now: Instant) {
        self.cleared.set(Some(now + CLEARED_PAUSE));
    }

    fn is_cleared(&self, now: Instant) -> bool {
        self.cleared.get().is_some_and(|end| now < end)
    }

    fn pace(&self, call: &TargetCall) -> &Pace {
        &self.paces[call.class as usize]
    }
}

impl TargetLinks {
    /// Links that use the clock and generator of the registry; registers itself.
    pub fn try_new(options: TargetLinkOptions, registry: &Registry) -> Result<Rc<TargetLinks>> {
        if options.connections == 0 {
            return Err(Error::BadSettings { detail: "connections: must be above 0".to_owned() });
        }
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let random = registry.find::<Random>(services::RANDOM)?;
        let links = Rc::new(TargetLinks { options, clock, random, targets: RefCell::default() });
        registry.register::<Rc<dyn Targets>>(services::TARGETS, links.clone());
        Ok(links)
    }

    /// How many connections are open to a target.
    pub fn open_count(&self, name: &TargetName) -> usize {
        self.targets.borrow().get(name).map_or(0, |link| link.pool.open_count())
    }

    fn link(&self, name: &TargetName, address: SocketAddr) -> Rc<TargetLink> {
        let mut targets = self.targets.borrow_mut();
        if let Some(link) = targets.get(name) {
            if link.pool.address == address {
                return link.clone();
            }
            link.pool.close();
        }
        let pool = Pool::new(address, self.options.pool(), self.clock.clone(), self.random.clone());
        let link = Rc::new(TargetLink {
            pool,
            paces: Default::default(),
            look: Cell::new(None),
            looking: Cell::new(false),
            cleared: Cell::new(None),
        });
        targets.insert(name.clone(), link.clone());
        link
    }

    async fn run(
        &self,
        link: &TargetLink,
        call: &TargetCall,
        deadline: Instant,
    ) -> Result<TargetReply> {
        let plan = self.plan(link, call)?;
        for _ in 0..TRY_COUNT {
            let flight = link.pool.start(Lane::Work, &plan, deadline).await?;
            match self.await_reply(link, call, flight, deadline).await {
                Ok(reply) => return target_reply::read_reply(call, &reply),
                Err(JobFault::Failed(error)) => return Err(error),
                Err(JobFault::NotSent) => {}
            }
        }
        Err(Error::ConnectFailed)
    }

    fn plan(&self, link: &TargetLink, call: &TargetCall) -> Result<Plan> {
        let body = serde_json::to_vec(call).map_err(Error::internal)?;
        let request = Request::post("/v1/run", JSON, body);
        let status = Request::get("/v1/status");
        if call.exclusive {
            // It is never cancelled: a reply that tells its outcome may be on the way.
            let check = Some((silence::CHECK_EXCLUSIVE, status));
            return Ok(Plan { request, timed: true, cancel: None, check, mute: None });
        }
        let cancel = Some(canceller(link.pool.clone(), self.options.control(), call.id));
        let check = Some((silence::CHECK_SEARCH, status));
        Ok(Plan { request, timed: true, cancel, check, mute: None })
    }

    /// Waits for the reply, and challenges the connection if it seems silent.
    async fn await_reply(
        &self,
        link: &TargetLink,
        call: &TargetCall,
        mut flight: Flight,
        deadline: Instant,
    ) -> Result<Reply, JobFault> {
        let clock = &*self.clock;
        let pace = link.pace(call);
        let start = flight.start;
        let mut until = start + pace.lateness();
        let mut pause = LOOK_PAUSES.0;
        let mut idle_looks = 0;
        let mut challenged = false;
        loop {
            if let Some(result) = flight.wait(clock, until.min(deadline)).await {
                if result.is_ok() {
                    pace.note(start, clock.now());
                }
                if result.is_ok() && challenged {
                    link.clear(clock.now());
                }
                return result;
            }
            if clock.now() >= deadline {
                return Err(JobFault::Failed(Error::TimedOut));
            }
            if call.exclusive || challenged || link.is_cleared(clock.now()) {
                until = deadline;
                continue;
            }
            if pace.overtaken(start) >= silence::OVERTAKEN_LIMIT {
                idle_looks = silence::IDLE_PROBES;
            } else {
                let look = pin!(self.look(link));
                let reply = pin!(flight.wait(clock, deadline));
                match select(reply, look).await {
                    Either::Left((Some(result), _)) => {
                        pace.note(start, clock.now());
                        return result;
                    }
                    Either::Left((None, _)) => return Err(JobFault::Failed(Error::TimedOut)),
                    Either::Right((Some(0), _)) => idle_looks += 1,
                    Either::Right((Some(_), _)) => idle_looks = 0,
                    Either::Right((None, _)) => {}
                }
            }
            if idle_looks >= silence::IDLE_PROBES {
                flight.challenge();
                challenged = true;
            }
            until = clock.now() + pause;
            pause = (pause * 2).min(LOOK_PAUSES.1);
        }
    }

    /// The load that the target tells on another connection; `None` if it tells nothing.
    async fn look(&self, link: &TargetLink) -> Option<u32> {
        let now = self.clock.now();
        if let Some((at, load)) = link.look.get()
            && now.saturating_duration_since(at) < LOOK_AGE
        {
            return Some(load);
        }
        // Many requests can be late together; one of them asks.
        if link.looking.replace(true) {
            return None;
        }
        let _looking = Looking(&link.looking);
        let status = self.status(link, now + LOOK_TIME).await.ok()?;
        link.look.set(Some((self.clock.now(), status.load)));
        Some(status.load)
    }

    async fn status(&self, link: &TargetLink, deadline: Instant) -> Result<TargetStatus> {
        let plan = Plan::plain(Request::get("/v1/status"));
        let reply = link.pool.call_again(self.options.control(), &plan, deadline).await?;
        match reply.status.as_u16() {
            200 => reply.read_json(),
            status => Err(Error::protocol(format!("status {status}"))),
        }
    }
}

/// Lets the next request look when this look has ended or was dropped.
struct Looking<'a>(&'a Cell<bool>);

impl Drop for Looking<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Cancels request `id` over the control lane.
fn canceller(pool: Rc<Pool>, lane: Lane, id: u64) -> Cancel {
    Rc::new(move || {
        let pool = pool.clone();
        Box::pin(async move {
            let body = format!("{{\"id\":{id}}}");
            let plan = Plan::plain(Request::post("/v1/cancel", JSON, body));
            let deadline = pool.clock.now() + CANCEL_TIME;
            match pool.call_again(lane, &plan, deadline).await {
                Ok(_) => CancelProof::Answered,
                Err(_) => CancelProof::Nothing,
            }
        })
    })
}

impl Targets for TargetLinks {
    fn call<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        call: &'a TargetCall,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetReply>> {
        Box::pin(async move {
            let link = self.link(name, spec.address);
            let start = self.clock.now();
            let result = self.run(&link, call, deadline).await;
            let took = self.clock.now().saturating_duration_since(start);
            let code = result.as_ref().err().map_or(0, Error::code);
            metrics::histogram!(
                "kumquatnotch_target_seconds",
                "tenant" => call.tenant.as_str().to_owned(),
                "class" => call.class.as_str(),
                "code" => code.to_string(),
            )
            .record(took.as_secs_f64());
            result
        })
    }

    fn probe<'a>(
        &'a self,
        name: &'a TargetName,
        spec: &'a TargetSpec,
        deadline: Instant,
    ) -> LocalFuture<'a, Result<TargetStatus>> {
        Box::pin(async move {
            let link = self.link(name, spec.address);
            self.status(&link, deadline).await
        })
    }

    fn disconnect(&self, name: &TargetName) {
        if let Some(link) = self.targets.borrow_mut().remove(name) {
            link.pool.close();
        }
    }
}
