//! A pool of connections to one address.
//!
//! The number of connections is bounded, and they are opened one at a time with backoff and
//! jitter. Each new connection takes a target milliseconds of work, so a connection storm
//! after a restart of many nodes would leave the targets unable to answer any request. The
//! pool has two lanes, so that probes and cancellations are not blocked while all connections
//! for other requests are in use.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch_core::{Clock, Error, Result, clock, random::Random};

use crate::{
    client_connection, client_connection::Job, exchange::ClientStream, latency::LatencyEstimator,
    socket,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff after the first failure to open a connection, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff after failures, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Upper bound of the random initial request id, which makes the ids of pools differ.
const INITIAL_ID_RANGE: usize = 10_000;

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Probes, cancellations and messages that must not wait behind other requests.
    Control,
    /// Everything else.
    Work,
}

const LANES: [Lane; 2] = [Lane::Control, Lane::Work];

/// Limits of a pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolOptions {
    /// Maximum number of connections in the control lane.
    pub(crate) max_control: usize,
    /// Maximum number of connections in the work lane.
    pub(crate) max_work: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Duration,
    /// Maximum size of a reply body, in bytes.
    pub(crate) max_body: usize,
}

/// A pool of connections to one address.
pub(crate) struct Pool {
    pub(crate) address: SocketAddr,
    pub(crate) options: PoolOptions,
    pub(crate) clock: Rc<dyn Clock>,
    /// Latency of the requests sent with [`Pool::call_with_retry`].
    pub(crate) latency: LatencyEstimator,
    random: Random,
    last_id: Cell<u64>,
    lanes: [RefCell<LaneState>; 2],
    opening: Cell<bool>,
    failures: Cell<u32>,
    /// Whether the last failure was a refusal by the VM at the address.
    refused: Cell<bool>,
    backoff_end: Cell<Instant>,
    closed: Cell<bool>,
}

#[derive(Default)]
struct LaneState {
    idle: Vec<(JobSender, Instant)>,
    waiters: VecDeque<oneshot::Sender<Result<Lease>>>,
    open: usize,
    /// Whether a connection was established, so that a timeout means time spent in the queue.
    connected: bool,
}

type JobSender = oneshot::Sender<Job>;

/// A connection that is reserved for a job.
pub(crate) struct Lease {
    slot: Option<JobSender>,
    since: Instant,
    pool: Rc<Pool>,
    lane: Lane,
}

impl Lease {
    /// Returns how long the connection was idle.
    pub(crate) fn idle_for(&self) -> Duration {
        self.pool.clock.now().saturating_duration_since(self.since)
    }

    /// Runs a job; returns false if the connection is closed and nothing was sent.
    pub(crate) fn run(mut self, job: Job) -> bool {
        self.slot.take().is_some_and(|slot| slot.send(job).is_ok())
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The caller was cancelled before it passed a job; the next waiter gets the connection.
        if let Some(slot) = self.slot.take() {
            self.pool.assign(self.lane, slot, self.since);
        }
    }
}

impl Pool {
    pub(crate) fn new(
        address: SocketAddr,
        options: PoolOptions,
        clock: Rc<dyn Clock>,
        random: Random,
    ) -> Rc<Pool> {
        let backoff_end = Cell::new(clock.now());
        Rc::new(Pool {
            address,
            options,
            clock,
            latency: LatencyEstimator::default(),
            last_id: Cell::new(random.below(INITIAL_ID_RANGE) as u64),
            random,
            lanes: Default::default(),
            opening: Cell::new(false),
            failures: Cell::new(0),
            refused: Cell::new(false),
            backoff_end,
            closed: Cell::new(false),
        })
    }

    /// Returns a request id that is unique within this pool.
    ///
    /// Ids are kept small, as they add to the size of each membership message on the wire.
    pub(crate) fn next_request_id(&self) -> u64 {
        let request_id = self.last_id.get() + 1;
        self.last_id.set(request_id);
        request_id
    }

    /// Waits for a connection until `deadline`.
    pub(crate) async fn acquire(self: &Rc<Pool>, lane: Lane, deadline: Instant) -> Result<Lease> {
        if self.closed.get() {
            return Err(Error::ConnectFailed);
        }
        let receiver = {
            let mut state = self.lane(lane).borrow_mut();
            // Takes the most recently used connection, so that surplus ones reach their idle
            // timeout.
            while let Some((slot, since)) = state.idle.pop() {
                if !slot.is_canceled() {
                    return Ok(Lease { slot: Some(slot), since, pool: self.clone(), lane });
                }
            }
            // During the backoff, an address without connections fails immediately, so that
            // the caller can try another replica.
            if state.open == 0 && self.is_backing_off() {
                return Err(self.last_failure());
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.push_back(sender);
            receiver
        };
        self.open_more();
        match clock::timeout_at(&*self.clock, deadline, receiver).await {
            Ok(Ok(lease)) => lease,
            Ok(Err(_)) => Err(Error::ConnectFailed),
            Err(_) if self.lane(lane).borrow().connected => Err(Error::ExpiredInQueue),
            Err(_) => Err(Error::ConnectFailed),
        }
    }

    /// Accepts a connection that has become idle.
    pub(crate) fn offer(self: &Rc<Pool>, lane: Lane, slot: JobSender) {
        self.assign(lane, slot, self.clock.now());
    }

    fn assign(self: &Rc<Pool>, lane: Lane, slot: JobSender, since: Instant) {
        // Dropping the slot closes the connection.
        if self.closed.get() {
            return;
        }
        let mut lease = Lease { slot: Some(slot), since, pool: self.clone(), lane };
        loop {
            let Some(waiter) = self.lane(lane).borrow_mut().waiters.pop_front() else {
                break;
            };
            match waiter.send(Ok(lease)) {
                Ok(()) => return,
                Err(Ok(returned)) => lease = returned,
                Err(Err(_)) => return,
            }
        }
        if let Some(slot) = lease.slot.take() {
            self.lane(lane).borrow_mut().idle.push((slot, since));
        }
    }

    /// Records that a request was served, which resets the backoff.
    pub(crate) fn record_success(&self) {
        self.failures.set(0);
    }

    /// Records that a connection is closed; `dropped` is true if the other side closed it
    /// before it served a request.
    pub(crate) fn closed(self: &Rc<Pool>, lane: Lane, dropped: bool) {
        if dropped {
            self.record_failure(false);
        }
        {
            let mut state = self.lane(lane).borrow_mut();
            state.open -= 1;
            state.connected &= state.open > 0;
            state.idle.retain(|(slot, _)| !slot.is_canceled());
        }
        self.fail_waiters();
        self.open_more();
    }

    /// Returns whether a caller waits for a connection.
    pub(crate) fn has_waiters(&self, lane: Lane) -> bool {
        self.lane(lane).borrow().waiters.iter().any(|waiter| !waiter.is_canceled())
    }

    /// Closes the idle connections of a lane.
    pub(crate) fn purge(&self, lane: Lane) {
        let idle = std::mem::take(&mut self.lane(lane).borrow_mut().idle);
        drop(idle);
    }

    /// Closes idle connections immediately, and the others when their requests end.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        for lane in LANES {
            self.purge(lane);
            let waiters = std::mem::take(&mut self.lane(lane).borrow_mut().waiters);
            drop(waiters);
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub(crate) fn open_count(&self) -> usize {
        LANES.iter().map(|lane| self.lane(*lane).borrow().open).sum()
    }

    fn lane(&self, lane: Lane) -> &RefCell<LaneState> {
        match lane {
            Lane::Control => &self.lanes[0],
            Lane::Work => &self.lanes[1],
        }
    }

    fn limit(&self, lane: Lane) -> usize {
        match lane {
            Lane::Control => self.options.max_control,
            Lane::Work => self.options.max_work,
        }
    }

    /// Returns whether the backoff is in effect, so that no connection may be opened.
    fn is_backing_off(&self) -> bool {
        self.clock.now() < self.backoff_end.get()
    }

    /// Starts opening connections if a caller waits for one and the limits allow it.
    fn open_more(self: &Rc<Pool>) {
        if self.opening.get() || self.is_backing_off() || self.lane_to_open().is_none() {
            return;
        }
        self.opening.set(true);
        monoio::spawn(open_connections(self.clone()));
    }

    /// Returns a lane in which callers wait and another connection is allowed.
    fn lane_to_open(&self) -> Option<Lane> {
        if self.closed.get() {
            return None;
        }
        LANES.into_iter().find(|lane| {
            let mut state = self.lane(*lane).borrow_mut();
            state.waiters.retain(|waiter| !waiter.is_canceled());
            !state.waiters.is_empty() && state.open < self.limit(*lane)
        })
    }

    /// Returns the error of the last failure to open a connection.
    fn last_failure(&self) -> Error {
        if self.refused.get() { Error::ConnectRefused } else { Error::ConnectFailed }
    }

    fn record_failure(&self, refused: bool) {
        self.refused.set(refused);
        let failures = self.failures.get();
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << failures.min(10)).min(MAX_BACKOFF);
        self.failures.set(failures.saturating_add(1));
        self.backoff_end.set(self.clock.now() + self.random.jitter(backoff));
    }

    /// Fails the waiters of lanes without connections while the backoff is in effect.
    fn fail_waiters(&self) {
        if !self.is_backing_off() {
            return;
        }
        for lane in LANES {
            let mut state = self.lane(lane).borrow_mut();
            if state.open > 0 {
                continue;
            }
            for waiter in state.waiters.drain(..) {
                let _ = waiter.send(Err(self.last_failure()));
            }
        }
    }
}

/// Opens connections one at a time while callers wait for them.
async fn open_connections(pool: Rc<Pool>) {
    while let Some(lane) = pool.lane_to_open() {
        let pause = pool.backoff_end.get().saturating_duration_since(pool.clock.now());
        if !pause.is_zero() {
            clock::sleep(&*pool.clock, pause).await;
        }
        pool.lane(lane).borrow_mut().open += 1;
        let deadline = pool.clock.now() + CONNECT_TIMEOUT;
        let opened = clock::timeout_at(&*pool.clock, deadline, socket::connect(pool.address)).await;
        metrics::counter!("kumquatnotch_connections_opened_total").increment(1);
        match opened {
            Ok(Ok(stream)) => {
                pool.lane(lane).borrow_mut().connected = true;
                let stream = ClientStream::new(stream, pool.address, pool.options.max_body);
                let link = client_connection::run(stream, Rc::downgrade(&pool), lane, pool.address);
                monoio::spawn(link);
                // Lets the new connection offer itself before the next one is opened.
                clock::yield_now().await;
            }
            failed => {
                pool.lane(lane).borrow_mut().open -= 1;
                let error = failed.ok().and_then(std::result::Result::err);
                let refused =
                    error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
                pool.record_failure(refused);
                break;
            }
        }
    }
    pool.opening.set(false);
    pool.fail_waiters();
}
