//! Connections to targets.

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
    client_connection::{Cancel, JobError},
    latency::LatencyEstimator,
    message::{JSON, Reply, Request},
    outbound::{OutboundRequest, PendingRequest},
    pool::{Lane, Pool, PoolOptions},
    silence::{self, CancelOutcome},
    target_reply,
};

/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a probe of the load of a target.
const LOAD_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum age at which a probed load is reused.
const LOAD_MAX_AGE: Duration = Duration::from_millis(40);

/// Minimum and maximum pause between two load probes.
const LOAD_PROBE_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));

/// Time without challenges after a challenged connection of a target has answered.
const CHALLENGE_COOLDOWN: Duration = Duration::from_secs(10);

/// Maximum number of attempts of a call that find their connection closed before it is sent.
const MAX_ATTEMPTS: usize = 4;

/// Options of [`TargetLinks`].
#[derive(Clone, Debug)]
pub struct TargetLinkOptions {
    /// Maximum number of connections to one target, one of them for the control lane.
    ///
    /// With a single connection, no probe can be sent while a request is in flight: a silent
    /// connection is then only detected by the kernel or at the deadline of the request.
    pub max_connections: usize,
    /// Maximum size of a reply body, in bytes.
    pub max_body: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for TargetLinkOptions {
    fn default() -> TargetLinkOptions {
        TargetLinkOptions {
            max_connections: 3,
            max_body: 8 << 20,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl TargetLinkOptions {
    fn pool_options(&self) -> PoolOptions {
        let max_work = self.max_connections.saturating_sub(1).max(1);
        let max_control = self.max_connections.saturating_sub(max_work);
        PoolOptions {
            max_control,
            max_work,
            idle_timeout: self.idle_timeout,
            max_body: self.max_body,
        }
    }

    /// Returns the lane of probes and cancellations; a single connection is shared with calls.
    fn control_lane(&self) -> Lane {
        if self.max_connections > 1 { Lane::Control } else { Lane::Work }
    }
}

/// Connections to targets, by name.
pub struct TargetLinks {
    options: TargetLinkOptions,
    clock: Rc<dyn Clock>,
    random: Random,
    targets: RefCell<HashMap<TargetName, Rc<TargetLink>>>,
}

/// State of one target.
struct TargetLink {
    pool: Rc<Pool>,
    latencies: [LatencyEstimator; 3],
    last_load: Cell<Option<(Instant, u32)>>,
    probing: Cell<bool>,
    /// End of the time without challenges, set when a challenged connection has answered.
    cooldown_end: Cell<Option<Instant>>,
}

impl TargetLink {
    /// Suspends challenges after a challenged connection has answered.
    ///
    /// The status of such a target is unreliable. Without the cooldown, each search on a
    /// straggler that reports itself idle would be cancelled.
    fn start_cooldown(&self, now: Instant) {
        self.cooldown_end.set(Some(now + CHALLENGE_COOLDOWN));
    }

    fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_end.get().is_some_and(|end| now < end)
    }

    fn latency(&self, call: &TargetCall) -> &LatencyEstimator {
        &self.latencies[call.class as usize]
    }
}

impl TargetLinks {
    /// Creates links that use the clock and the random generator of `registry`, and registers
    /// them there.
    pub fn try_new(options: TargetLinkOptions, registry: &Registry) -> Result<Rc<TargetLinks>> {
        if options.max_connections == 0 {
            return Err(Error::BadSettings { detail: "connections: must be above 0".to_owned() });
        }
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let random = registry.find::<Random>(services::RANDOM)?;
        let links = Rc::new(TargetLinks { options, clock, random, targets: RefCell::default() });
        registry.register::<Rc<dyn Targets>>(services::TARGETS, links.clone());
        Ok(links)
    }

    /// Returns the number of open connections to a target.
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
        let pool = Pool::new(
            address,
            self.options.pool_options(),
            self.clock.clone(),
            self.random.clone(),
        );
        let link = Rc::new(TargetLink {
            pool,
            latencies: Default::default(),
            last_load: Cell::new(None),
            probing: Cell::new(false),
            cooldown_end: Cell::new(None),
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
        let request = self.outbound_request(link, call)?;
        for _ in 0..MAX_ATTEMPTS {
            let pending = link.pool.start(Lane::Work, &request, deadline).await?;
            match self.await_reply(link, call, pending, deadline).await {
                Ok(reply) => return target_reply::read_reply(call, &reply),
                Err(JobError::Failed(error)) => return Err(error),
                Err(JobError::NotSent) => {}
            }
        }
        Err(Error::ConnectFailed)
    }

    fn outbound_request(&self, link: &TargetLink, call: &TargetCall) -> Result<OutboundRequest> {
        let body = serde_json::to_vec(call).map_err(Error::internal)?;
        let request = Request::post("/v1/run", JSON, body);
        let status = Request::get("/v1/status");
        if call.exclusive {
            // Exclusive requests are never cancelled: a reply with the outcome may be on the way.
            let check = Some((silence::EXCLUSIVE_CHECK_IDLE, status));
            return Ok(OutboundRequest {
                request,
                carry_deadline: true,
                cancel: None,
                check,
                silence_timeout: None,
            });
        }
        let cancel = Some(canceller(link.pool.clone(), self.options.control_lane(), call.id));
        let check = Some((silence::SEARCH_CHECK_IDLE, status));
        Ok(OutboundRequest { request, carry_deadline: true, cancel, check, silence_timeout: None })
    }

    /// Waits for the reply, and challenges the connection if it appears to be silent.
    async fn await_reply(
        &self,
        link: &TargetLink,
        call: &TargetCall,
        mut pending: PendingRequest,
        deadline: Instant,
    ) -> Result<Reply, JobError> {
        let clock = &*self.clock;
        let latency = link.latency(call);
        let start = pending.start;
        let mut until = start + latency.late_threshold();
        let mut interval = LOAD_PROBE_INTERVALS.0;
        let mut idle_probes = 0;
        let mut challenged = false;
        loop {
            if let Some(result) = pending.wait(clock, until.min(deadline)).await {
                if result.is_ok() {
                    latency.record(start, clock.now());
                }
                if result.is_ok() && challenged {
                    link.start_cooldown(clock.now());
                }
                return result;
            }
            if clock.now() >= deadline {
                return Err(JobError::Failed(Error::TimedOut));
            }
            if call.exclusive || challenged || link.is_cooling_down(clock.now()) {
                until = deadline;
                continue;
            }
            if latency.replies_after(start) >= silence::MIN_LATER_REPLIES {
                idle_probes = silence::IDLE_PROBES;
            } else {
                let probe = pin!(self.probe_load(link));
                let reply = pin!(pending.wait(clock, deadline));
                match select(reply, probe).await {
                    Either::Left((Some(result), _)) => {
                        latency.record(start, clock.now());
                        return result;
                    }
                    Either::Left((None, _)) => return Err(JobError::Failed(Error::TimedOut)),
                    Either::Right((Some(0), _)) => idle_probes += 1,
                    Either::Right((Some(_), _)) => idle_probes = 0,
                    Either::Right((None, _)) => {}
                }
            }
            if idle_probes >= silence::IDLE_PROBES {
                pending.challenge();
                challenged = true;
            }
            until = clock.now() + interval;
            interval = (interval * 2).min(LOAD_PROBE_INTERVALS.1);
        }
    }

    /// Returns the load that the target reports on another connection; `None` if unknown.
    async fn probe_load(&self, link: &TargetLink) -> Option<u32> {
        let now = self.clock.now();
        if let Some((at, load)) = link.last_load.get()
            && now.saturating_duration_since(at) < LOAD_MAX_AGE
        {
            return Some(load);
        }
        // Many requests can be late at the same time; only one of them sends a probe.
        if link.probing.replace(true) {
            return None;
        }
        let _probing = ProbeGuard(&link.probing);
        let status = self.status(link, now + LOAD_PROBE_TIMEOUT).await.ok()?;
        link.last_load.set(Some((self.clock.now(), status.load)));
        Some(status.load)
    }

    async fn status(&self, link: &TargetLink, deadline: Instant) -> Result<TargetStatus> {
        let request = OutboundRequest::plain(Request::get("/v1/status"));
        let reply =
            link.pool.call_with_retry(self.options.control_lane(), &request, deadline).await?;
        match reply.status.as_u16() {
            200 => reply.read_json(),
            status => Err(Error::protocol(format!("unexpected status {status}"))),
        }
    }
}

/// Allows the next load probe once this one has ended or was dropped.
struct ProbeGuard<'a>(&'a Cell<bool>);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Creates the function that cancels request `id` over `lane`.
fn canceller(pool: Rc<Pool>, lane: Lane, id: u64) -> Cancel {
    Rc::new(move || {
        let pool = pool.clone();
        Box::pin(async move {
            let body = format!("{{\"id\":{id}}}");
            let request = OutboundRequest::plain(Request::post("/v1/cancel", JSON, body));
            let deadline = pool.clock.now() + CANCEL_TIMEOUT;
            match pool.call_with_retry(lane, &request, deadline).await {
                Ok(_) => CancelOutcome::Answered,
                Err(_) => CancelOutcome::Unanswered,
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
            let elapsed = self.clock.now().saturating_duration_since(start);
            let code = result.as_ref().err().map_or(0, Error::code);
            metrics::histogram!(
                "kumquatnotch_target_seconds",
                "tenant" => call.tenant.as_str().to_owned(),
                "class" => call.class.as_str(),
                "code" => code.to_string(),
            )
            .record(elapsed.as_secs_f64());
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
