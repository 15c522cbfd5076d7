//! Tests of the learned concurrency limit of a replica.

use std::time::{Duration, Instant};

use kumquatnotch_core::random::Random;
use kumquatnotch_policy::limit::{FixedLimit, LearnedLimit, Limit, NoLimit, share};
use yare::parameterized;

/// A simulated FIFO replica under continuous load.
struct Replica {
    slots: usize,
    service: Duration,
    random: Random,
    now: Instant,
    /// When each slot becomes free.
    free: Vec<Instant>,
    /// Calls in flight: end, level and start.
    running: Vec<(Instant, u32, Instant)>,
}

/// Result of a run.
struct Run {
    /// Mean number of calls in flight beyond the slots, as a share of the slots.
    excess: f64,
    /// Number of calls answered, as a share of the capacity of the slots.
    goodput: f64,
}

fn replica(slots: usize) -> Replica {
    let now = Instant::now();
    Replica {
        slots,
        service: Duration::from_millis(6),
        random: Random::with_seed(3),
        now,
        free: vec![now; slots],
        running: Vec::new(),
    }
}

impl Replica {
    fn resize(&mut self, slots: usize) {
        self.slots = slots;
        self.free = vec![self.now; slots];
    }

    /// Keeps as many calls in flight as `limit` allows until this number of `answers` has arrived.
    fn run(&mut self, limit: &mut dyn Limit, answers: usize) -> Run {
        let start = self.now;
        let mut excess = 0.0;
        for _ in 0..answers {
            while (self.running.len() as u32) < limit.allowed().min(100) {
                self.start(limit);
            }
            let (next, _) = self.next_end();
            let beyond = self.running.len().saturating_sub(self.slots) as f64;
            excess += (next - self.now).as_secs_f64() * beyond;
            self.end(limit);
        }
        let span = (self.now - start).as_secs_f64();
        let most = span / self.service.as_secs_f64() * self.slots as f64;
        Run { excess: excess / span / self.slots as f64, goodput: answers as f64 / most }
    }

    fn start(&mut self, limit: &mut dyn Limit) {
        let level = self.running.len() as u32 + 1;
        limit.on_start(level);
        let service = self.service.mul_f64(0.5 + self.random.fraction());
        let slot = self.free.iter_mut().min().unwrap();
        let end = (*slot).max(self.now) + service;
        *slot = end;
        self.running.push((end, level, self.now));
    }

    fn next_end(&self) -> (Instant, usize) {
        let ends = self.running.iter().enumerate().map(|(index, (end, ..))| (*end, index));
        ends.min().unwrap()
    }

    fn end(&mut self, limit: &mut dyn Limit) {
        let (end, index) = self.next_end();
        let (_, level, started) = self.running.swap_remove(index);
        self.now = end;
        limit.on_answer(level, end - started, end);
    }
}

// Many callers use one replica whose number of slots is unknown. Without a limit all their calls
// queue at the replica; a limit that is too low leaves slots idle. The learned limit must do
// neither.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, six = { 6 })]
fn learned_limit_matches_the_slots(slots: usize) {
    let mut learned = LearnedLimit::default();
    let mut target = replica(slots);
    target.run(&mut learned, 8_000);

    let run = target.run(&mut learned, 8_000);

    assert!(run.excess <= 0.10, "excess {}", run.excess);
    assert!(run.goodput >= 0.9, "goodput {}", run.goodput);
    let naive = replica(slots).run(&mut NoLimit, 2_000);
    assert!(naive.excess > 1.0, "excess without a limit {}", naive.excess);
}

#[test]
fn fixed_limit_underuses_a_larger_target() {
    let run = replica(6).run(&mut FixedLimit(2), 2_000);

    assert!(run.goodput < 0.5);
}

// A target under full load restarts with fewer slots. Latency jumps at the current limit, and lower
// levels never occur, so the old means would keep the limit at six, as the fixed limit shows.
#[test]
fn learned_limit_follows_slots_that_are_lost() {
    let mut learned = LearnedLimit::default();
    let mut target = replica(6);
    target.run(&mut learned, 8_000);
    target.resize(2);
    target.run(&mut learned, 4_000);

    let run = target.run(&mut learned, 4_000);

    assert!(run.excess <= 0.10, "excess {}", run.excess);
    let mut target = replica(6);
    target.resize(2);
    assert!(target.run(&mut FixedLimit(6), 4_000).excess > 1.0);
}

#[test]
fn learned_limit_follows_slots_that_are_added() {
    let mut learned = LearnedLimit::default();
    let mut target = replica(2);
    target.run(&mut learned, 4_000);
    target.resize(4);
    target.run(&mut learned, 40_000);

    let run = target.run(&mut learned, 4_000);

    assert!(run.goodput >= 0.9, "goodput {}", run.goodput);
}

// A straggler is slow at every level. A latency threshold would reduce its limit to one call, and
// its recovery would never be noticed.
#[test]
fn learned_limit_of_a_straggler_is_kept() {
    let mut learned = LearnedLimit::default();
    let mut target = replica(3);
    target.run(&mut learned, 4_000);
    target.service *= 10;
    target.run(&mut learned, 4_000);

    let run = target.run(&mut learned, 4_000);

    assert!(run.goodput >= 0.9, "goodput {}", run.goodput);
}

#[test]
fn refusal_lowers_the_limit_at_once() {
    let mut learned = LearnedLimit::default();
    replica(6).run(&mut learned, 8_000);

    learned.on_shed(4, Instant::now());

    assert_eq!(learned.allowed(), 3);
}

#[parameterized(alone = { 6, 1, 6 }, two = { 6, 2, 3 }, more_than_slots = { 2, 3, 1 })]
fn holders_share_a_limit(allowed: u32, holders: u32, expected: u32) {
    assert_eq!(share(allowed, holders), expected);
}
