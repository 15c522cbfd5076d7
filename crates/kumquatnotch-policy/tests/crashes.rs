//! Requests that crash replicas: what is counted, who may try them, and for how long.

use std::time::{Duration, Instant};

use kumquatnotch_core::ids::Fingerprint;
use kumquatnotch_policy::crashes::{
    Crash, CrashRecord, Crashes, MAX_TRIALS, MIN_CRASHES, RECORD_TIME, TRIAL_INTERVAL, Verdict,
};

/// Number of attempts that operators let reach replicas once the request counts.
const MAX_COUNTED: usize = 3;

/// Time from the crash of the third replica until attempts count: the shortest that is asked for.
const CONTACT_TIME: Duration = Duration::from_secs(4);

const PRINT: Fingerprint = Fingerprint(7);

fn record() -> CrashRecord {
    CrashRecord::new("/a/crash", 1_000)
}

fn crash(replica: u64, service: u64) -> Crash {
    Crash { incarnation: replica, service }
}

/// Records crashes of these replicas, each of a service of its own.
fn note_all(crashes: &Crashes, replicas: &[u64], now: Instant) {
    for replica in replicas {
        crashes.note_crash(PRINT, crash(*replica, *replica), record(), now);
    }
}

/// Guards against a search that crashes a replica of each shard at once, and counts as one crash.
#[test]
fn replicas_that_crash_at_once_count_each() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    note_all(&crashes, &[1, 2], now);
    let before = crashes.verdict(PRINT, now);
    note_all(&crashes, &[3], now);

    assert_eq!((before, crashes.verdict(PRINT, now)), (Verdict::Free, Verdict::Trial));
}

/// Guards against a request of many callers that is refused because one replica crashed, as each
/// caller and each node reports that crash.
#[test]
fn crash_of_one_replica_counts_once_however_often_it_is_reported() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    for _ in 0..20 {
        note_all(&crashes, &[1], now);
        let reported = CrashRecord { crashes: vec![crash(1, 1)], ..record() };
        crashes.merge(PRINT, &reported, now);
    }

    assert_eq!(crashes.verdict(PRINT, now), Verdict::Free);
    assert_eq!(crashes.record(PRINT).unwrap().crashes.len(), 1);
}

#[test]
fn another_request_is_free() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    note_all(&crashes, &[1, 2, 3], now);

    assert_eq!(crashes.verdict(Fingerprint(8), now), Verdict::Free);
}

/// Guards against a popular search that is refused because it was running on many replicas of a
/// rack when this was lost: it was answered a moment before.
#[test]
fn request_answered_shortly_before_is_not_suspect() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    crashes.note_answer(PRINT, now);
    note_all(&crashes, &[1, 2, 3, 4, 5, 6, 7], now + Duration::from_secs(2));

    assert_eq!(crashes.verdict(PRINT, now + Duration::from_secs(2)), Verdict::Free);
    assert_eq!(crashes.record(PRINT), None);
}

/// Guards against a request that begins to crash replicas when these have been updated, and is
/// never counted as it was answered before.
#[test]
fn earlier_answer_does_not_speak_for_a_request_for_ever() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    crashes.note_answer(PRINT, now);
    let later = now + Duration::from_secs(30);
    note_all(&crashes, &[1, 2, 3], later);

    assert_eq!(crashes.verdict(PRINT, later), Verdict::Trial);
}

/// Guards against a harmless request that counts a crash although the other replica of the shard
/// has replied to it: the crash is confirmed only a moment later.
#[test]
fn reply_during_the_check_of_a_crash_is_known_at_its_end() {
    let crashes = Crashes::default();

    crashes.begin_check(PRINT);
    crashes.begin_check(PRINT);
    crashes.note_reply(PRINT, 5);

    assert!(crashes.end_check(PRINT, 5));
    assert!(!crashes.end_check(PRINT, 6));
    assert!(crashes.is_idle());
}

/// Guards against a request that crashes the replicas of some shards and is acquitted by the
/// others, which keep answering it.
#[test]
fn only_a_reply_of_a_service_that_crashed_acquits() {
    let (crashes, now) = (Crashes::default(), Instant::now());

    note_all(&crashes, &[1, 2, 3], now);

    assert!(!crashes.note_reply(PRINT, 9));
    assert!(crashes.note_reply(PRINT, 2));
}

/// Guards against a request that is let in for ever, once at the end of each refusal.
#[test]
fn request_is_tried_a_few_times_in_a_day() {
    let (crashes, start) = (Crashes::default(), Instant::now());
    note_all(&crashes, &[1, 2, 3], start);

    let mut trials = 0;
    let mut last = start;
    let mut shortest = RECORD_TIME;
    let mut now = start;
    while now < start + RECORD_TIME {
        if crashes.verdict(PRINT, now) == Verdict::Trial {
            crashes.note_trial(PRINT, now);
            shortest = if trials > 0 { shortest.min(now - last) } else { shortest };
            (trials, last) = (trials + 1, now);
        }
        now += Duration::from_secs(1);
    }

    assert_eq!(trials, MAX_TRIALS);
    assert!(MAX_TRIALS as usize <= MAX_COUNTED && shortest >= TRIAL_INTERVAL, "{shortest:?}");
}

/// Guards against callers of a harmless request that are sent away for a minute because another
/// one is just trying it.
#[test]
fn callers_come_back_soon_while_a_trial_runs() {
    let (crashes, now) = (Crashes::default(), Instant::now());
    note_all(&crashes, &[1, 2, 3], now);

    crashes.note_trial(PRINT, now);
    let during = crashes.verdict(PRINT, now + Duration::from_millis(50));
    let after = crashes.verdict(PRINT, now + Duration::from_secs(20));

    let expected = Verdict::Refused { retry_after: Duration::from_millis(200) };
    assert_eq!(during, expected);
    assert_eq!(after, Verdict::Refused { retry_after: TRIAL_INTERVAL - Duration::from_secs(20) });
}

#[test]
fn trial_that_reached_no_replica_is_taken_back() {
    let (crashes, now) = (Crashes::default(), Instant::now());
    note_all(&crashes, &[1, 2, 3], now);

    crashes.note_trial(PRINT, now);
    crashes.undo_trial(PRINT);

    assert_eq!(crashes.verdict(PRINT, now), Verdict::Trial);
}

/// Guards against records that fill the memory of a node, and against the loss of those that
/// keep a request from replicas.
#[test]
fn requests_with_the_fewest_crashes_are_forgotten_first() {
    let (crashes, now) = (Crashes::default(), Instant::now());
    note_all(&crashes, &[1, 2, 3], now);

    for number in 0..10_000 {
        let other = Fingerprint(1_000 + number);
        crashes.note_crash(other, crash(number, 1), record(), now + Duration::from_secs(1));
    }

    assert!(crashes.records().len() <= 4_096);
    assert_eq!(crashes.verdict(PRINT, now), Verdict::Trial);
}

#[test]
fn long_target_is_cut_at_a_character() {
    let record = CrashRecord::new(&"ü".repeat(150), 0);

    assert_eq!(record.target.len(), 200);
    assert!(record.is_expired(RECORD_TIME.as_secs()) && !record.is_expired(60));
}

/// Nodes that share a record by compare-and-swap, and hear of its changes late.
struct Fleet {
    nodes: Vec<Crashes>,
    /// The record in the store, with its revision.
    stored: Option<(CrashRecord, u64)>,
    /// Changes under way: when each reaches a node.
    news: Vec<(Instant, usize, CrashRecord)>,
    random: fastrand::Rng,
    next_replica: u64,
    crashed_at: Vec<Instant>,
}

/// Maximum time until a node hears of a change: within the contact time, with room for the
/// detection of a crash.
const MAX_NEWS_DELAY_MS: u64 = 3_000;

/// Time from a crash until its node knows of it.
const DETECTION: Duration = Duration::from_millis(550);

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..count).map(|_| Crashes::default()).collect(),
            stored: None,
            news: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            next_replica: 0,
            crashed_at: Vec::new(),
        }
    }

    fn deliver(&mut self, now: Instant) {
        let (due, later) = self.news.drain(..).partition(|(at, ..)| *at <= now);
        self.news = later;
        for (at, node, record) in due {
            self.nodes[node].apply(PRINT, &record, at);
        }
    }

    /// Writes a record; returns whether its revision was the expected one.
    fn write(&mut self, record: CrashRecord, expected: u64, now: Instant) -> bool {
        let revision = self.stored.as_ref().map_or(0, |(_, revision)| *revision);
        if revision != expected {
            return false;
        }
        self.stored = Some((record.clone(), revision + 1));
        for node in 0..self.nodes.len() {
            let delay = Duration::from_millis(self.random.u64(..MAX_NEWS_DELAY_MS));
            self.news.push((now + delay, node, record.clone()));
        }
        true
    }

    /// The node crashes `count` replicas, and publishes that.
    fn crash(&mut self, node: usize, count: usize, now: Instant) {
        for _ in 0..count {
            self.next_replica += 1;
            self.crashed_at.push(now);
            let crash = crash(self.next_replica, self.next_replica % 20);
            self.nodes[node].note_crash(PRINT, crash, record(), now + DETECTION);
        }
        let (mut stored, revision) = self.stored.clone().unwrap_or_default();
        if stored.merge(&self.nodes[node].record(PRINT).unwrap()) {
            assert!(self.write(stored, revision, now + DETECTION));
        }
    }

    /// An attempt at a node; returns whether it reaches replicas.
    fn attempt(&mut self, node: usize, now: Instant) -> bool {
        match self.nodes[node].verdict(PRINT, now) {
            Verdict::Free => {
                // Two replicas of each of many shards, or two of a service.
                let count = if self.random.bool() { 20 } else { 2 };
                self.crash(node, count, now);
                true
            }
            Verdict::Refused { .. } => false,
            Verdict::Trial => {
                let (mut stored, revision) = self.stored.clone().unwrap_or_default();
                self.nodes[node].merge(PRINT, &stored, now);
                if self.nodes[node].verdict(PRINT, now) != Verdict::Trial {
                    return false;
                }
                stored.merge(&self.nodes[node].record(PRINT).unwrap());
                stored.trials += 1;
                assert!(self.write(stored, revision, now));
                self.nodes[node].note_trial(PRINT, now);
                self.crash(node, 1, now);
                true
            }
        }
    }

    fn restart(&mut self, node: usize, now: Instant) {
        self.news.retain(|(_, other, _)| *other != node);
        self.nodes[node] = Crashes::default();
        if let Some((record, _)) = &self.stored {
            self.nodes[node].apply(PRINT, record, now);
        }
    }
}

/// Guards against a request that reaches replicas again and again over a day: at other nodes, at
/// the end of each refusal, after restarts of nodes, and after losses of power of all of them.
#[test]
fn request_reaches_replicas_few_times_in_a_day_at_any_node() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(if seed % 4 == 0 { 120 } else { 9 }, seed);
        let start = Instant::now();
        let mut now = start;
        let mut reached = Vec::new();
        while now < start + RECORD_TIME - Duration::from_secs(60) {
            fleet.deliver(now);
            // Bursts of several callers at once, seconds or an hour apart.
            for _ in 0..fleet.random.usize(1..12) {
                let node = fleet.random.usize(..fleet.nodes.len());
                if fleet.attempt(node, now) {
                    reached.push(now);
                }
            }
            match fleet.random.u32(..12) {
                0 => (0..fleet.nodes.len()).for_each(|node| fleet.restart(node, now)),
                1 => {
                    let node = fleet.random.usize(..fleet.nodes.len());
                    fleet.restart(node, now);
                }
                _ => {}
            }
            let longest = if fleet.random.bool() { 8_000 } else { 3_600_000 };
            now += Duration::from_millis(fleet.random.u64(100..longest));
        }

        let from = fleet.crashed_at[MIN_CRASHES - 1] + CONTACT_TIME;
        let counted = reached.iter().filter(|at| **at > from).count();
        assert!(counted <= MAX_COUNTED, "seed {seed}: {counted} attempts reached replicas");
    }
}
