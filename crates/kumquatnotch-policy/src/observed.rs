//! The state of a replica as learned by this node, from its replies and its own reports.
//!
//! A node sees only its own share of a replica's load. The load reported by a replica includes the
//! rest, but is as old as its last reply, so the reported requests are assumed to have been worked
//! off since then, and measurements lose weight with age.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::distances::Distance;

/// Whether requests are sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// Requests are sent.
    Fit,
    /// Requests are sent only without an alternative: it broke connections or stalled.
    Suspect,
    /// No requests are sent: its address now belongs to another replica.
    Replaced,
}

/// Weight of a new speed measurement.
const SPEED_WEIGHT: f64 = 0.2;

/// Bounds of the slowness factor of a replica.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 60.0);

/// Time constant with which a measured slowness decays (to a third after this time).
///
/// A slow replica gets no requests, so it could otherwise never show that it has recovered.
const SLOWNESS_DECAY: Duration = Duration::from_secs(3);

/// Bounds of the slowdown factor of a machine.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 60.0);

/// Time constant with which a reported machine slowdown decays (to a third after this time).
///
/// Where replicas share machines, a slowdown reported up to 0.2 s ago predicts the time of the next
/// request (correlation 0.7); after half a second it hardly does. Using it leaves out a tenth fewer
/// parts.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(300);

/// Service time assumed before the first measurement, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 0.01;

/// Weight of a new service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Time after which an attempt is assumed to fail before the first failure, in seconds.
///
/// About the duration of a request. It matters only for the first few failures of a replica.
const INITIAL_FAILED_AFTER_S: f64 = 0.02;

/// Weight of a new success or failure.
const FAILURE_WEIGHT: f64 = 0.15;

/// Maximum failure rate that is kept when a replica becomes fit again.
const MAX_RECOVERED_FAILURES: f64 = 0.3;

/// What this node has learned of one incarnation of a replica.
#[derive(Debug)]
pub struct Observed {
    slots: Cell<u32>,
    fitness: Cell<Fitness>,
    /// Shortest time to open a connection.
    round_trip: Cell<Option<Duration>>,
    /// Distance to its data centre.
    distance: Rc<Distance>,
    slowness: Cell<f64>,
    failures: Cell<f64>,
    /// Time from sending an attempt to its failure, in seconds.
    failed_after: Cell<f64>,
    measured: Cell<Instant>,
    /// When the unanswered requests were sent.
    sent: RefCell<Vec<Instant>>,
    last_reply: Cell<Instant>,
    requests_sent: Cell<u64>,
    load: Cell<(u32, Instant)>,
    machine_slowdown: Cell<(f64, Instant)>,
    /// Average service time of a request, in seconds.
    service_time: Cell<f64>,
}

impl Observed {
    /// Creates the initial state of a replica that runs up to `slots` requests at once.
    pub fn new(slots: u32, distance: Rc<Distance>, now: Instant) -> Observed {
        Observed {
            slots: Cell::new(slots),
            fitness: Cell::new(Fitness::Fit),
            round_trip: Cell::new(None),
            distance,
            slowness: Cell::new(1.0),
            failures: Cell::new(0.0),
            failed_after: Cell::new(INITIAL_FAILED_AFTER_S),
            measured: Cell::new(now),
            sent: RefCell::default(),
            last_reply: Cell::new(now),
            requests_sent: Cell::new(0),
            load: Cell::new((0, now)),
            machine_slowdown: Cell::new((1.0, now)),
            service_time: Cell::new(INITIAL_SERVICE_TIME_S),
        }
    }

    /// Number of requests that it runs at once.
    pub fn slots(&self) -> f64 {
        f64::from(self.slots.get().max(1))
    }

    /// Sets the number of requests that it runs at once.
    pub fn set_slots(&self, slots: u32) {
        self.slots.set(slots);
    }

    /// Whether requests are sent to it.
    pub fn fitness(&self) -> Fitness {
        self.fitness.get()
    }

    /// Sets whether requests are sent to it; returns the previous value.
    pub fn set_fitness(&self, fitness: Fitness) -> Fitness {
        if fitness == Fitness::Fit {
            self.failures.set(self.failures.get().min(MAX_RECOVERED_FAILURES));
        }
        self.fitness.replace(fitness)
    }

    /// Records the time to open a connection.
    pub fn note_connect(&self, took: Duration) {
        let known = self.round_trip.get().unwrap_or(Duration::MAX);
        self.round_trip.set(Some(known.min(took)));
        self.distance.note(took);
    }

    /// Round trip to the replica; before the first connection, that to its data centre.
    pub fn round_trip(&self) -> Duration {
        self.round_trip.get().unwrap_or_else(|| self.distance.round_trip())
    }

    /// Whether it is in another region.
    pub fn is_far(&self) -> bool {
        self.distance.is_far()
    }

    /// Measured round trip, if any.
    pub fn measured_round_trip(&self) -> Option<Duration> {
        self.round_trip.get()
    }

    /// How many times slower than usual it is, from recent measurements and reports.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.own_slowness(now) * self.machine_slowdown(now)
    }

    /// Slowness without the slowdown of its machine.
    fn own_slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured.get()).as_secs_f64();
        let decay = (-age / SLOWNESS_DECAY.as_secs_f64()).exp();
        1.0 + (self.slowness.get() - 1.0) * decay
    }

    /// Records how many times slower than usual its machine is, as reported by the replica.
    pub fn note_machine_slowdown(&self, slowdown: f64, now: Instant) {
        self.machine_slowdown.set((slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1), now));
    }

    /// Estimated factor by which its machine is slower than usual.
    pub fn machine_slowdown(&self, now: Instant) -> f64 {
        let (reported, at) = self.machine_slowdown.get();
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (reported - 1.0) * (-age / SLOWDOWN_DECAY.as_secs_f64()).exp()
    }

    /// Recent failure rate.
    pub fn failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured.get()).as_secs_f64();
        self.failures.get() * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    /// Number of requests sent to it.
    pub fn requests_sent(&self) -> u64 {
        self.requests_sent.get()
    }

    /// Records that a request was sent.
    pub fn note_sent(&self, now: Instant) {
        self.requests_sent.set(self.requests_sent.get() + 1);
        self.sent.borrow_mut().push(now);
    }

    /// Records the end of the request sent at `at`, with or without a reply.
    pub fn note_end(&self, at: Instant, replied: Option<Instant>) {
        let mut sent = self.sent.borrow_mut();
        if let Some(index) = sent.iter().position(|other| *other == at) {
            sent.swap_remove(index);
        }
        if let Some(now) = replied {
            self.last_reply.set(now);
        }
    }

    /// Records that a request took `took` instead of `usual`, both without the round trip.
    pub fn note_speed(&self, took: Duration, usual: Duration, now: Instant) {
        let sample = took.as_secs_f64() / usual.as_secs_f64().max(1e-4);
        let sample = sample.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let before = self.own_slowness(now);
        self.slowness.set(before + SPEED_WEIGHT * (sample - before));
        self.failures.set(self.failures(now));
        self.measured.set(now);
    }

    /// Records a service time.
    pub fn note_service_time(&self, took: Duration) {
        let before = self.service_time.get();
        self.service_time.set(before + SERVICE_TIME_WEIGHT * (took.as_secs_f64() - before));
    }

    /// Records that a request was given up after `took` without a reply.
    ///
    /// It would have taken even longer, so it is recorded only if it raises the slowness.
    pub fn note_unanswered(&self, took: Duration, usual: Duration, now: Instant) {
        let least = took.as_secs_f64() / usual.as_secs_f64().max(1e-4);
        if least > self.slowness(now) {
            self.note_speed(took, usual, now);
        }
    }

    /// Records the time from sending an attempt to its failure.
    pub fn note_failed_after(&self, took: Duration) {
        let before = self.failed_after.get();
        self.failed_after.set(before + FAILURE_WEIGHT * (took.as_secs_f64() - before));
    }

    /// Average time from sending an attempt to its failure, in seconds.
    pub fn failed_after(&self) -> f64 {
        self.failed_after.get()
    }

    /// Records a success or failure.
    pub fn note_outcome(&self, failed: bool, now: Instant) {
        let sample = if failed { 1.0 } else { 0.0 };
        let before = self.failures(now);
        self.slowness.set(self.own_slowness(now));
        self.failures.set(before + FAILURE_WEIGHT * (sample - before));
        self.measured.set(now);
    }

    /// Records the reported load: the requests running and queued at the replica.
    pub fn note_load(&self, load: u32, now: Instant) {
        self.load.set((load, now));
    }

    /// Estimated number of requests running and queued at the replica.
    ///
    /// The reported load includes requests of other nodes. The replica is assumed to have worked
    /// off as many of them as it can since then; newly arrived ones appear in its next reply.
    pub fn load(&self, now: Instant) -> f64 {
        let own = self.unanswered() as f64;
        let (reported, at) = self.load.get();
        let age = now.saturating_duration_since(at).as_secs_f64();
        let done = age * self.slots() / self.service_time.get().max(1e-4);
        own.max(f64::from(reported) - done)
    }

    /// Whether all its slots are estimated to be taken.
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now) >= self.slots()
    }

    /// Average service time of a request, in seconds.
    pub fn service_time(&self) -> f64 {
        self.service_time.get()
    }

    /// How long it has not replied although requests are outstanding.
    pub fn silence(&self, now: Instant) -> Duration {
        let sent = self.sent.borrow();
        let Some(oldest) = sent.iter().min() else {
            return Duration::ZERO;
        };
        now.saturating_duration_since((*oldest).max(self.last_reply.get()))
    }

    /// Whether it has replied to a request after `then`.
    pub fn has_replied_since(&self, then: Instant) -> bool {
        self.last_reply.get() > then
    }

    /// Number of requests that it has not answered yet.
    pub fn unanswered(&self) -> usize {
        self.sent.borrow().len()
    }
}
