//! Requests that crash the replicas that run them.
//!
//! The caller of such a request retries it at any node, and each time a replica is lost to everyone
//! else for seconds. Each node therefore records which requests were in flight to a replica when it
//! crashed, and publishes them to other nodes through the store. A request that was present at
//! several crashes, some seconds apart, is refused by all nodes for a while.
//!
//! A replica that crashes for another reason also makes suspects of unrelated requests. Such a
//! request is cleared by a complete answer when it is retried, at the latest when the first attempt
//! is admitted after the refusal. A partial answer clears nothing, as the other shards of a search
//! keep answering.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::Fingerprint,
};
use serde::{Deserialize, Serialize};

/// Number of crashes with a request in flight after which it is refused.
///
/// Two may be a coincidence: a caller that retries after a crash can be present at another one.
const MIN_STRIKES: u32 = 3;

/// Time within which all crashes with a request count once.
///
/// A request sent by many callers is in flight to a crashing replica several times, and the loss of
/// a rack takes many replicas. Other nodes report the same moment up to 2 s later: a lease renewal,
/// the delivery of a watch and the time of a connection.
const STRIKE_GAP: Duration = Duration::from_millis(2_500);

/// How long a request stays suspect after the last crash.
const SUSPICION_TIME: Duration = Duration::from_secs(120);

/// Initial refusal time of such a request; it doubles with each further crash.
///
/// One attempt is admitted after it. A request that was present by coincidence is then no longer
/// refused, and one that does crash replicas causes only a few more crashes.
const INITIAL_REFUSAL: Duration = Duration::from_secs(15);

/// Maximum refusal time.
const MAX_REFUSAL: Duration = Duration::from_secs(600);

/// Maximum number of suspect requests; the oldest is dropped first.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes remembered as counted, about half a megabyte.
///
/// A crash that is reported again after it was forgotten counts once more, as a single crash.
const MAX_COUNTED: usize = 32_768;

/// Maximum number of crashes that a node publishes, the latest ones.
const MAX_PUBLISHED: usize = 64;

/// A crash of a replica with a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request's content.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Hash of the identity of the caller's attempt.
    pub attempt: u64,
}

/// A request that is refused from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// Number of crashes at which it was present.
    pub strikes: u32,
    /// Refusal time.
    pub span: Duration,
}

/// Requests that were in flight to replicas when these crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: RefCell<HashMap<Fingerprint, Suspect>>,
    /// Counted crashes. Nodes report each crash many times, also after an answer has cleared the
    /// request.
    counted: RefCell<HashSet<Crash>>,
    /// Crashes seen by this node, the latest last.
    published: RefCell<Vec<Crash>>,
}

#[derive(Debug)]
struct Suspect {
    strikes: u32,
    /// Time of the last strike.
    last: Instant,
    /// End of the refusal.
    until: Option<Instant>,
    span: Duration,
}

impl Crashes {
    /// Records a crash seen by this node; returns the request if it is refused now.
    pub fn note(&self, crash: Crash, now: Instant) -> Option<Refused> {
        let mut published = self.published.borrow_mut();
        if published.contains(&crash) {
            return None;
        }
        if published.len() == MAX_PUBLISHED {
            published.remove(0);
        }
        published.push(crash);
        self.suspect(crash, now)
    }

    /// Records the crashes seen by another node; returns the requests that are refused now.
    pub fn merge(&self, crashes: &[Crash], now: Instant) -> Vec<Refused> {
        crashes.iter().filter_map(|crash| self.suspect(*crash, now)).collect()
    }

    /// Clears a request that was answered completely.
    pub fn clear(&self, fingerprint: Fingerprint) {
        self.suspects.borrow_mut().remove(&fingerprint);
    }

    /// Whether no request is suspect, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// Remaining refusal time of a request; `None` if it is not refused.
    pub fn refused_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.suspects.borrow().get(&fingerprint)?.until?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// Number of crashes at which a request was present.
    pub fn strikes_of(&self, fingerprint: Fingerprint) -> u32 {
        self.suspects.borrow().get(&fingerprint).map_or(0, |suspect| suspect.strikes)
    }

    /// Crashes that this node publishes to the others.
    pub fn published(&self) -> Vec<Crash> {
        self.published.borrow().clone()
    }

    fn suspect(&self, crash: Crash, now: Instant) -> Option<Refused> {
        let mut counted = self.counted.borrow_mut();
        if counted.len() >= MAX_COUNTED {
            counted.clear();
        }
        if !counted.insert(crash) {
            return None;
        }
        let mut suspects = self.suspects.borrow_mut();
        if suspects.len() >= MAX_SUSPECTS && !suspects.contains_key(&crash.fingerprint) {
            let oldest = suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                suspects.remove(&fingerprint);
            }
        }
        let suspect = suspects.entry(crash.fingerprint).or_insert_with(|| Suspect::new(now));
        let since = now.saturating_duration_since(suspect.last);
        if suspect.strikes > 0 && since < STRIKE_GAP {
            return None;
        }
        if since > SUSPICION_TIME {
            *suspect = Suspect::new(now);
        }
        suspect.strikes += 1;
        suspect.last = now;
        if suspect.strikes < MIN_STRIKES {
            return None;
        }
        let span = suspect.span;
        suspect.until = Some(now + span);
        suspect.span = (span * 2).min(MAX_REFUSAL);
        Some(Refused { fingerprint: crash.fingerprint, strikes: suspect.strikes, span })
    }
}

impl Suspect {
    fn new(now: Instant) -> Suspect {
        Suspect { strikes: 0, last: now, until: None, span: INITIAL_REFUSAL }
    }
}
