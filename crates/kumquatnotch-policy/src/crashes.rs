//! Requests that crash the replicas that run them.
//!
//! The caller of such a request retries it at any node, and each time replicas are lost to
//! everyone else for seconds; a search takes one replica of every shard with it. What the nodes
//! know of such a request is therefore counted by incarnation of a replica, shared by all of them,
//! and kept for a day. From a small number of crashes on, the request runs only in trials: one
//! replica runs it, and nothing else of it is sent until that one has replied. All nodes together
//! start few trials, each of which is claimed in the store; after that the request is refused.
//!
//! A replica that crashes for another reason takes unrelated requests with it, a rack takes many
//! replicas at once. A request that does no harm is told apart by replies: one of a service whose
//! replica it seemed to have crashed acquits it, and so does a complete answer shortly before.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::Fingerprint,
};
use serde::{Deserialize, Deserializer, Serialize};

/// Number of crashes of replicas from which on a request runs only in trials.
///
/// Fewer may be a coincidence: a caller that retries after a crash can be present at another one.
pub const MIN_CRASHES: usize = 3;

/// Maximum number of trials of a request, over all nodes.
///
/// Operators tolerate three further attempts that reach replicas. One is left for a node that has
/// not heard of the crashes yet.
pub const MAX_TRIALS: u32 = 2;

/// Time between two trials of a request.
///
/// Long enough for replicas that were lost for another reason to be back.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Time for which the outcome of a trial is awaited.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// `Retry-After` while the outcome of a trial is awaited.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a record of crashes is kept.
pub const RECORD_TIME: Duration = Duration::from_secs(24 * 3_600);

/// How long a complete answer speaks for a request.
///
/// A request that is asked often was answered within this time before a crash that it did not
/// cause. One that begins to crash replicas after an update of these is told apart later.
const ANSWER_MEMORY: Duration = Duration::from_secs(10);

/// Maximum number of requests whose complete answers are remembered.
const MAX_ANSWERED: usize = 4_096;

/// Maximum number of suspect requests; of those with the fewest crashes the oldest is dropped.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum length of the target in a record, in bytes.
const MAX_TARGET: usize = 200;

/// Maximum number of trials that is taken from a record.
const MAX_TOLD_TRIALS: u32 = 1_000;

/// A crash of a replica while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the incarnation of the replica, which can crash once.
    pub incarnation: u64,
    /// Hash of the name of its service.
    pub service: u64,
}

/// What the nodes share of a request that was running on replicas when these crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The first crashes, up to the number from which on trials are needed.
    #[serde(deserialize_with = "read_crashes")]
    pub crashes: Vec<Crash>,
    /// Number of trials that were started and have not shown the request to be harmless.
    #[serde(deserialize_with = "read_trials")]
    pub trials: u32,
    /// The beginning of the request's target, for operators.
    #[serde(deserialize_with = "read_target")]
    pub target: String,
    /// Unix time of the first crash, in seconds.
    pub created_s: u64,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Without restrictions.
    Free,
    /// As a trial, if all nodes together may start one.
    Trial,
    /// Not now.
    Refused {
        /// When the caller may come again.
        retry_after: Duration,
    },
}

/// Requests that were running on replicas when these crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: RefCell<HashMap<Fingerprint, Suspect>>,
    /// Requests whose broken connections are being checked, with the services that replied to
    /// them meanwhile.
    checks: RefCell<HashMap<Fingerprint, Check>>,
    /// When requests were last answered completely.
    answered: RefCell<HashMap<Fingerprint, Instant>>,
}

#[derive(Debug)]
struct Suspect {
    record: CrashRecord,
    /// When this node first heard of it.
    since: Instant,
    /// When this node heard of the latest trial.
    tried_at: Instant,
    /// Number of crashes that this node has confirmed, also beyond those in the record.
    confirmed: u64,
}

#[derive(Debug, Default)]
struct Check {
    running: u32,
    replied: HashSet<u64>,
}

fn read_crashes<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<Crash>, D::Error> {
    let mut crashes = Vec::deserialize(source)?;
    crashes.truncate(MIN_CRASHES);
    crashes.shrink_to_fit();
    Ok(crashes)
}

fn read_trials<'de, D: Deserializer<'de>>(source: D) -> Result<u32, D::Error> {
    Ok(u32::deserialize(source)?.min(MAX_TOLD_TRIALS))
}

fn read_target<'de, D: Deserializer<'de>>(source: D) -> Result<String, D::Error> {
    Ok(shorten(&String::deserialize(source)?))
}

/// Returns the beginning of a request's target.
fn shorten(target: &str) -> String {
    let mut end = target.len().min(MAX_TARGET);
    while !target.is_char_boundary(end) {
        end -= 1;
    }
    target[..end].to_owned()
}

impl CrashRecord {
    /// Creates the record of a request without crashes.
    pub fn new(target: &str, created_s: u64) -> CrashRecord {
        CrashRecord { target: shorten(target), created_s, ..CrashRecord::default() }
    }

    /// Whether the request runs only in trials.
    pub fn needs_trial(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES
    }

    /// Whether the record is too old to count, at this Unix time in seconds.
    pub fn is_expired(&self, now_s: u64) -> bool {
        now_s.saturating_sub(self.created_s) >= RECORD_TIME.as_secs()
    }

    /// Adds what another record knows; returns whether this one has changed.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let before = (self.crashes.len(), self.trials);
        for crash in &other.crashes {
            self.add(*crash);
        }
        self.trials = self.trials.max(other.trials);
        before != (self.crashes.len(), self.trials)
    }

    fn add(&mut self, crash: Crash) {
        let is_known = self.crashes.iter().any(|known| known.incarnation == crash.incarnation);
        if !is_known && !self.needs_trial() {
            self.crashes.push(crash);
        }
    }
}

impl Crashes {
    /// Notes that a broken connection of a request is being checked.
    pub fn begin_check(&self, fingerprint: Fingerprint) {
        self.checks.borrow_mut().entry(fingerprint).or_default().running += 1;
    }

    /// Ends a check; returns whether the service has replied to the request meanwhile.
    pub fn end_check(&self, fingerprint: Fingerprint, service: u64) -> bool {
        let mut checks = self.checks.borrow_mut();
        let Some(check) = checks.get_mut(&fingerprint) else {
            return false;
        };
        check.running = check.running.saturating_sub(1);
        let has_replied = check.replied.contains(&service);
        if check.running == 0 {
            checks.remove(&fingerprint);
        }
        has_replied
    }

    /// Whether no request is suspect or being checked, which is the usual case.
    pub fn is_idle(&self) -> bool {
        self.suspects.borrow().is_empty() && self.checks.borrow().is_empty()
    }

    /// Records a reply of a replica, and whether it acquits the request.
    pub fn note_reply(&self, fingerprint: Fingerprint, service: u64) -> bool {
        if let Some(check) = self.checks.borrow_mut().get_mut(&fingerprint) {
            check.replied.insert(service);
        }
        let suspects = self.suspects.borrow();
        let Some(suspect) = suspects.get(&fingerprint) else {
            return false;
        };
        suspect.record.crashes.iter().any(|crash| crash.service == service)
    }

    /// Records a complete answer.
    pub fn note_answer(&self, fingerprint: Fingerprint, now: Instant) {
        let mut answered = self.answered.borrow_mut();
        if answered.len() >= MAX_ANSWERED {
            answered.retain(|_, at| now.saturating_duration_since(*at) < ANSWER_MEMORY);
        }
        if answered.len() < MAX_ANSWERED || answered.contains_key(&fingerprint) {
            answered.insert(fingerprint, now);
        }
    }

    /// Whether the request was answered completely a short time ago.
    pub fn was_answered(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let answered = self.answered.borrow().get(&fingerprint).copied();
        answered.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_MEMORY)
    }

    /// Records a crash; returns whether the other nodes must be told.
    ///
    /// `record` is that of the request without crashes.
    pub fn note_crash(
        &self,
        fingerprint: Fingerprint,
        crash: Crash,
        record: CrashRecord,
        now: Instant,
    ) -> bool {
        if self.was_answered(fingerprint, now) {
            return false;
        }
        self.merge(fingerprint, &CrashRecord { crashes: vec![crash], ..record }, now)
    }

    /// Applies the record that the store holds, whose number of trials is the valid one.
    pub fn apply(&self, fingerprint: Fingerprint, record: &CrashRecord, now: Instant) {
        self.merge(fingerprint, record, now);
        if let Some(suspect) = self.suspects.borrow_mut().get_mut(&fingerprint) {
            suspect.record.trials = record.trials;
        }
    }

    /// Counts a crash that this node has confirmed.
    pub fn note_confirmed(&self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.borrow_mut().get_mut(&fingerprint) {
            suspect.confirmed += 1;
        }
    }

    /// Number of crashes that this node has confirmed while the request was suspect.
    pub fn confirmed(&self, fingerprint: Fingerprint) -> u64 {
        self.suspects.borrow().get(&fingerprint).map_or(0, |suspect| suspect.confirmed)
    }

    /// Adds what is known elsewhere; returns whether it was new.
    pub fn merge(&self, fingerprint: Fingerprint, record: &CrashRecord, now: Instant) -> bool {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.len() >= MAX_SUSPECTS && !suspects.contains_key(&fingerprint) {
            let rank = |suspect: &Suspect| (suspect.record.crashes.len(), suspect.since);
            let weakest = suspects.iter().min_by_key(|(_, suspect)| rank(suspect));
            if let Some(weakest) = weakest.map(|(fingerprint, _)| *fingerprint) {
                suspects.remove(&weakest);
            }
        }
        let suspect = suspects.entry(fingerprint).or_insert_with(|| Suspect {
            record: CrashRecord {
                crashes: Vec::new(),
                trials: 0,
                target: record.target.clone(),
                created_s: record.created_s,
            },
            since: now,
            tried_at: now,
            confirmed: 0,
        });
        let trials = suspect.record.trials;
        let changed = suspect.record.merge(record);
        if suspect.record.trials != trials {
            suspect.tried_at = now;
        }
        changed
    }

    /// Forgets a request: it was acquitted, lifted by an operator, or its record has expired.
    /// Returns whether it was known.
    pub fn remove(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.borrow_mut().remove(&fingerprint).is_some()
    }

    /// Counts a trial that starts now.
    pub fn note_trial(&self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.suspects.borrow_mut().get_mut(&fingerprint) {
            suspect.record.trials += 1;
            suspect.tried_at = now;
        }
    }

    /// Takes back the latest trial, which has reached no replica.
    pub fn undo_trial(&self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.borrow_mut().get_mut(&fingerprint) {
            suspect.record.trials = suspect.record.trials.saturating_sub(1);
        }
    }

    /// Returns how a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let suspects = self.suspects.borrow();
        let Some(Suspect { record, since, tried_at, .. }) = suspects.get(&fingerprint) else {
            return Verdict::Free;
        };
        let age = now.saturating_duration_since(*since);
        if !record.needs_trial() || age >= RECORD_TIME {
            return Verdict::Free;
        }
        if record.trials == 0 {
            return Verdict::Trial;
        }
        let elapsed = now.saturating_duration_since(*tried_at);
        let retry_after = if elapsed < TRIAL_TIME {
            TRIAL_RETRY_AFTER
        } else if record.trials >= MAX_TRIALS {
            RECORD_TIME - age
        } else if elapsed < TRIAL_INTERVAL {
            TRIAL_INTERVAL - elapsed
        } else {
            return Verdict::Trial;
        };
        Verdict::Refused { retry_after }
    }

    /// Returns the record of a request, if it is suspect.
    pub fn record(&self, fingerprint: Fingerprint) -> Option<CrashRecord> {
        self.suspects.borrow().get(&fingerprint).map(|suspect| suspect.record.clone())
    }

    /// Number of suspect requests.
    pub fn count(&self) -> usize {
        self.suspects.borrow().len()
    }

    /// Returns the records of all suspect requests.
    pub fn records(&self) -> Vec<(Fingerprint, CrashRecord)> {
        let suspects = self.suspects.borrow();
        suspects
            .iter()
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.record.clone()))
            .collect()
    }
}
