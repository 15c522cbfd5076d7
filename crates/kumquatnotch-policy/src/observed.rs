//! What one node has learned of a replica, from its replies and by its own word.
//!
//! A node sees only its own share of what a replica does. What the replica tells of its
//! load includes the rest, but is as old as its last reply; so what was told is taken to
//! have been worked off since, and what was measured is believed less the older it is.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::distances::Distance;

/// Whether requests are sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// They are.
    Fit,
    /// Only if there is no other: it broke connections or stood still.
    Suspect,
    /// Never: its address belongs to another one by now.
    Replaced,
}

/// The weight of a new measurement of speed.
const SPEED_WEIGHT: f64 = 0.2;

/// The bounds of the slowness of a replica.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 60.0);

/// The time after which only a third of a measured slowness is believed.
///
/// A slow replica gets no requests, so it could never show that it has recovered.
const SLOWNESS_DECAY: Duration = Duration::from_secs(3);

/// The bounds of how many times as long as usual a machine is believed to take.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 60.0);

/// The time after which only a third of what a machine told is believed.
///
/// Measured on replicas that share machines: what was told up to 0.2 s ago goes with the
/// time of the next request (correlation 0.7), after half a second hardly. To use it
/// leaves out a tenth fewer parts.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(300);

/// The work on a request that is assumed before any was measured, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 0.01;

/// The weight of a new measurement of the work on a request.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// After how long an attempt is taken to fail before one did, in seconds.
///
/// About what a request takes. It counts only for the first few failures of a replica.
const INITIAL_FAILED_AFTER_S: f64 = 0.02;

/// The weight of a new failure or success.
const FAILURE_WEIGHT: f64 = 0.15;

/// The most of a share of failures that is still held against a replica that is fit again.
const MAX_RECOVERED_FAILURES: f64 = 0.3;

/// What one node has learned of one incarnation of a replica.
#[derive(Debug)]
pub struct Observed {
    slots: Cell<u32>,
    fitness: Cell<Fitness>,
    /// The way there and back, from the quickest opening of a connection.
    round_trip: Cell<Option<Duration>>,
    /// The way to its data centre.
    distance: Rc<Distance>,
    slowness: Cell<f64>,
    failures: Cell<f64>,
    /// How long after it is sent an attempt fails, if it does, in seconds.
    failed_after: Cell<f64>,
    measured: Cell<Instant>,
    /// When the requests that it has not answered yet were sent.
    sent: RefCell<Vec<Instant>>,
    last_reply: Cell<Instant>,
    asked: Cell<u64>,
    load: Cell<(u32, Instant)>,
    machine_slowdown: Cell<(f64, Instant)>,
    /// How long it works on a request of the usual mixture, in seconds.
    service_time: Cell<f64>,
}

impl Observed {
    /// Nothing learned yet of a replica that runs so many requests at once.
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
            asked: Cell::new(0),
            load: Cell::new((0, now)),
            machine_slowdown: Cell::new((1.0, now)),
            service_time: Cell::new(INITIAL_SERVICE_TIME_S),
        }
    }

    /// How many requests it runs at once.
    pub fn slots(&self) -> f64 {
        f64::from(self.slots.get().max(1))
    }

    /// Sets how many requests it runs at once.
    pub fn set_slots(&self, slots: u32) {
        self.slots.set(slots);
    }

    /// Whether requests are sent to it.
    pub fn fitness(&self) -> Fitness {
        self.fitness.get()
    }

    /// Sets whether requests are sent to it; gives what was so before.
    pub fn set_fitness(&self, fitness: Fitness) -> Fitness {
        if fitness == Fitness::Fit {
            self.failures.set(self.failures.get().min(MAX_RECOVERED_FAILURES));
        }
        self.fitness.replace(fitness)
    }

    /// Notes how long a connection took to open.
    pub fn note_connect(&self, took: Duration) {
        let known = self.round_trip.get().unwrap_or(Duration::MAX);
        self.round_trip.set(Some(known.min(took)));
        self.distance.note(took);
    }

    /// The way there and back, by what is known of its data centre before the first
    /// connection.
    pub fn round_trip(&self) -> Duration {
        self.round_trip.get().unwrap_or_else(|| self.distance.round_trip())
    }

    /// Whether it is in another region.
    pub fn is_far(&self) -> bool {
        self.distance.is_far()
    }

    /// The way there and back, if it was measured.
    pub fn measured_round_trip(&self) -> Option<Duration> {
        self.round_trip.get()
    }

    /// How many times longer than usual it takes, by what was measured and told lately.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.own_slowness(now) * self.machine_slowdown(now)
    }

    /// The same without what comes of its machine.
    fn own_slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured.get()).as_secs_f64();
        let faded = (-age / SLOWNESS_DECAY.as_secs_f64()).exp();
        1.0 + (self.slowness.get() - 1.0) * faded
    }

    /// Notes how many times as long as usual its machine takes, by its own word.
    pub fn note_machine_slowdown(&self, times: f64, now: Instant) {
        self.machine_slowdown.set((times.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1), now));
    }

    /// How many times as long as usual its machine takes, as far as is known.
    pub fn machine_slowdown(&self, now: Instant) -> f64 {
        let (told, at) = self.machine_slowdown.get();
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (told - 1.0) * (-age / SLOWDOWN_DECAY.as_secs_f64()).exp()
    }

    /// The share of requests that failed lately.
    pub fn failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured.get()).as_secs_f64();
        self.failures.get() * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    /// How many requests were sent to it.
    pub fn asked(&self) -> u64 {
        self.asked.get()
    }

    /// Notes that a request was sent.
    pub fn note_sent(&self, now: Instant) {
        self.asked.set(self.asked.get() + 1);
        self.sent.borrow_mut().push(now);
    }

    /// Notes the end of the request sent at `at`, with or without a reply.
    pub fn note_end(&self, at: Instant, replied: Option<Instant>) {
        let mut sent = self.sent.borrow_mut();
        if let Some(index) = sent.iter().position(|other| *other == at) {
            sent.swap_remove(index);
        }
        if let Some(now) = replied {
            self.last_reply.set(now);
        }
    }

    /// Notes that a request took `took` where `usual` is usual, both without the way.
    pub fn note_speed(&self, took: Duration, usual: Duration, now: Instant) {
        let sample = took.as_secs_f64() / usual.as_secs_f64().max(1e-4);
        let sample = sample.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let before = self.own_slowness(now);
        self.slowness.set(before + SPEED_WEIGHT * (sample - before));
        self.failures.set(self.failures(now));
        self.measured.set(now);
    }

    /// Notes how long the replica worked on a request.
    pub fn note_service_time(&self, took: Duration) {
        let before = self.service_time.get();
        self.service_time.set(before + SERVICE_TIME_WEIGHT * (took.as_secs_f64() - before));
    }

    /// Notes that a request was given up after `took` without a reply.
    ///
    /// It would have taken longer still, so it counts only against the replica.
    pub fn note_unanswered(&self, took: Duration, usual: Duration, now: Instant) {
        let least = took.as_secs_f64() / usual.as_secs_f64().max(1e-4);
        if least > self.slowness(now) {
            self.note_speed(took, usual, now);
        }
    }

    /// Notes how long after it was sent an attempt failed.
    pub fn note_failed_after(&self, took: Duration) {
        let before = self.failed_after.get();
        self.failed_after.set(before + FAILURE_WEIGHT * (took.as_secs_f64() - before));
    }

    /// How long after it is sent an attempt fails, if it does, in seconds.
    pub fn failed_after(&self) -> f64 {
        self.failed_after.get()
    }

    /// Notes a success or a failure.
    pub fn note_outcome(&self, failed: bool, now: Instant) {
        let sample = if failed { 1.0 } else { 0.0 };
        let before = self.failures(now);
        self.slowness.set(self.own_slowness(now));
        self.failures.set(before + FAILURE_WEIGHT * (sample - before));
        self.measured.set(now);
    }

    /// Notes the load that the replica told: the requests that ran and waited there.
    pub fn note_load(&self, load: u32, now: Instant) {
        self.load.set((load, now));
    }

    /// The requests that run and wait there, as far as is known.
    ///
    /// What it told includes those of other nodes. It is taken to have worked off as
    /// many since as it can; that more have come will show in its next reply.
    pub fn load(&self, now: Instant) -> f64 {
        let own = self.unanswered() as f64;
        let (told, at) = self.load.get();
        let age = now.saturating_duration_since(at).as_secs_f64();
        let done = age * self.slots() / self.service_time.get().max(1e-4);
        own.max(f64::from(told) - done)
    }

    /// Whether all its slots are taken, as far as is known.
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now) >= self.slots()
    }

    /// How long it works on a request of the usual mixture, in seconds.
    pub fn service_time(&self) -> f64 {
        self.service_time.get()
    }

    /// How long it has answered nothing although requests wait.
    pub fn silence(&self, now: Instant) -> Duration {
        let sent = self.sent.borrow();
        let Some(oldest) = sent.iter().min() else {
            return Duration::ZERO;
        };
        now.saturating_duration_since((*oldest).max(self.last_reply.get()))
    }

    /// Whether it has answered a request since then.
    pub fn has_replied_since(&self, then: Instant) -> bool {
        self.last_reply.get() > then
    }

    /// How many requests it has not answered yet.
    pub fn unanswered(&self) -> usize {
        self.sent.borrow().len()
    }
}
