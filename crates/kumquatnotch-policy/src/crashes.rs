//! Requests that crash the replicas that run them.
//!
//! The caller of such a request sends it again, to any node, and each time it takes a
//! replica from everyone else for seconds. So each node notes which requests were with
//! a replica when it crashed, and tells the others through the store. A request that was
//! there several times, some seconds apart, is refused for a while by all nodes.
//!
//! A replica that crashes for another reason takes innocent requests along. Those are
//! answered whole when they come again, which clears them; at the latest when the first
//! one is let in after a while. An answer without some parts clears nothing, as the
//! other shards of a search answer well all the while.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::{HashMap, HashSet},
    ids::Fingerprint,
};
use serde::{Deserialize, Serialize};

/// How often a request must have been there when replicas crashed to be refused.
///
/// Two may be chance: a caller that comes again after a crash can meet another one.
const MIN_STRIKES: u32 = 3;

/// The time within which all crashes with a request count once.
///
/// A request that many callers send is with a replica several times when that crashes,
/// and a rack that is lost takes many replicas. Other nodes tell of the same moment up to
/// a renewal, the return of a watch and a connection's time later, 2 s in all.
const STRIKE_GAP: Duration = Duration::from_millis(2_500);

/// How long after the last crash a request is suspected.
const SUSPICION_TIME: Duration = Duration::from_secs(120);

/// How long such a request is refused at first; it doubles with each further crash.
///
/// One attempt is let in after it, so that a request that was there by chance is
/// refused no longer, and one that does crash replicas does so only a few times more.
const INITIAL_REFUSAL: Duration = Duration::from_secs(15);

/// How long a request is refused at most.
const MAX_REFUSAL: Duration = Duration::from_secs(600);

/// The most requests that are suspected; the oldest suspicion goes first.
const MAX_SUSPECTS: usize = 1_024;

/// The most crashes that are remembered as counted, about half a megabyte.
///
/// What is told again after they were forgotten counts once more, as one crash.
const MAX_COUNTED: usize = 32_768;

/// The most crashes that a node tells the others of: the latest.
const MAX_PUBLISHED: usize = 64;

/// A crash of a replica while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The content of the request.
    pub print: Fingerprint,
    /// The attempt of the caller, by a hash of its identity.
    pub attempt: u64,
}

/// A request that is kept from replicas from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Its content.
    pub print: Fingerprint,
    /// How often it was there when replicas crashed.
    pub strikes: u32,
    /// For how long it is refused.
    pub span: Duration,
}

/// The requests that were with replicas when these crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: RefCell<HashMap<Fingerprint, Suspect>>,
    /// The crashes that were counted: nodes tell of each many times, also after an
    /// answer has cleared the request.
    counted: RefCell<HashSet<Crash>>,
    /// The crashes that this node has seen itself, the latest last.
    published: RefCell<Vec<Crash>>,
}

#[derive(Debug)]
struct Suspect {
    strikes: u32,
    /// When the last of them was.
    last: Instant,
    /// Until when it is refused.
    until: Option<Instant>,
    span: Duration,
}

impl Crashes {
    /// Notes a crash that this node has seen; tells if the request is refused by now.
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

    /// Takes over the crashes that another node has seen; tells which requests are
    /// refused by now.
    pub fn merge(&self, crashes: &[Crash], now: Instant) -> Vec<Refused> {
        crashes.iter().filter_map(|crash| self.suspect(*crash, now)).collect()
    }

    /// Clears a request that was answered whole.
    pub fn clear(&self, print: Fingerprint) {
        self.suspects.borrow_mut().remove(&print);
    }

    /// Whether no request is suspected, as nearly always.
    pub fn is_empty(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// For how long a request is kept from replicas; `None` if it isn't.
    pub fn refused_for(&self, print: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.suspects.borrow().get(&print)?.until?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// How often a request was there when replicas crashed.
    pub fn strikes_of(&self, print: Fingerprint) -> u32 {
        self.suspects.borrow().get(&print).map_or(0, |suspect| suspect.strikes)
    }

    /// What this node tells the others.
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
        if suspects.len() >= MAX_SUSPECTS && !suspects.contains_key(&crash.print) {
            let oldest = suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            if let Some(print) = oldest.map(|(print, _)| *print) {
                suspects.remove(&print);
            }
        }
        let suspect = suspects.entry(crash.print).or_insert_with(|| Suspect::new(now));
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
        Some(Refused { print: crash.print, strikes: suspect.strikes, span })
    }
}

impl Suspect {
    fn new(now: Instant) -> Suspect {
        Suspect { strikes: 0, last: now, until: None, span: INITIAL_REFUSAL }
    }
}
