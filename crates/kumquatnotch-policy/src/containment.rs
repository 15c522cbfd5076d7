//! Containment of requests that crash the targets which run them.
//!
//! When a target crashes, every request in flight to it becomes a suspect. From then on a suspect
//! runs alone on its replica, so that the next crash identifies the culprit and affects no other
//! request. A request that crashes a target while alone, after an earlier crash, is contained: it
//! is refused until the mark expires, for minutes the first time and then for a day. A suspect is
//! cleared by an answer of the shard that crashed.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{Fingerprint, ShardName},
};

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Without restrictions.
    Free,
    /// Only with no other request in flight to the same replica.
    Alone,
    /// Refused for this time.
    Refused(Duration),
}

/// A request in flight to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Fingerprint by which the request is recognised when it is retried.
    pub fingerprint: Fingerprint,
    /// Requested shard.
    pub shard: ShardName,
}

/// A request that is refused from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contained {
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// How long it is refused.
    pub span: Duration,
}

/// Decides which requests are kept from targets.
pub trait Containment {
    /// Returns how a request may run.
    fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict;

    /// Records a crash of a target with these requests in flight; returns the request that is
    /// contained now.
    ///
    /// `alone` is true if the target ran a suspect in isolation.
    fn on_crash(&mut self, present: &[Running], alone: bool, now: Instant) -> Option<Contained>;

    /// Records an answer of a shard to a request.
    fn on_answer(&mut self, fingerprint: Fingerprint, shard: &ShardName);
}

/// Runs every request without restrictions. The baseline.
#[derive(Debug, Default)]
pub struct NoContainment;

impl Containment for NoContainment {
    fn verdict(&self, _fingerprint: Fingerprint, _now: Instant) -> Verdict {
        Verdict::Free
    }

    fn on_crash(&mut self, _present: &[Running], _alone: bool, _now: Instant) -> Option<Contained> {
        None
    }

    fn on_answer(&mut self, _fingerprint: Fingerprint, _shard: &ShardName) {}
}

/// Number of crashes after which a request is contained.
const MIN_STRIKES: u32 = 2;
/// How long a request is refused when it is contained for the first time.
const CONTAINMENT_TIME: Duration = Duration::from_secs(600);
/// How long it is refused when it crashes a target again after that.
///
/// Its caller may send it all day, and each time that it is let in costs a target.
const LONG_CONTAINMENT_TIME: Duration = Duration::from_secs(24 * 3600);
/// How long a request stays suspect after the last crash.
const SUSPICION_TIME: Duration = Duration::from_secs(25 * 3600);
/// Maximum number of suspects; the oldest are dropped first.
const MAX_SUSPECTS: usize = 4096;

/// Runs suspects alone and contains them at their second crash.
#[derive(Debug, Default)]
pub struct StrikeContainment {
    suspects: HashMap<Fingerprint, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    strikes: u32,
    shards: Vec<ShardName>,
    last: Instant,
    until: Option<Instant>,
}

impl Containment for StrikeContainment {
    fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Verdict::Free;
        };
        match suspect.until {
            Some(until) if until > now => Verdict::Refused(until - now),
            _ if now.saturating_duration_since(suspect.last) > SUSPICION_TIME => Verdict::Free,
            _ => Verdict::Alone,
        }
    }

    fn on_crash(&mut self, present: &[Running], alone: bool, now: Instant) -> Option<Contained> {
        self.make_room(now);
        for running in present {
            let suspect = self.suspects.entry(running.fingerprint).or_insert_with(|| Suspect {
                strikes: 0,
                shards: Vec::new(),
                last: now,
                until: None,
            });
            suspect.strikes += 1;
            suspect.last = now;
            if !suspect.shards.contains(&running.shard) {
                suspect.shards.push(running.shard.clone());
            }
        }
        // A crash with several requests in flight proves nothing: a popular request could have been
        // present twice by coincidence, and its callers would be refused. Neither does a crash with
        // a request that was alone only by chance: the loss of a rack takes many targets at once,
        // and each search is in flight to all of them.
        let [running] = present else {
            return None;
        };
        if !alone {
            return None;
        }
        let suspect = self.suspects.get_mut(&running.fingerprint)?;
        if suspect.strikes < MIN_STRIKES {
            return None;
        }
        let span = match suspect.until {
            None => CONTAINMENT_TIME,
            Some(_) => LONG_CONTAINMENT_TIME,
        };
        suspect.until = Some(now + span);
        Some(Contained { fingerprint: running.fingerprint, span })
    }

    fn on_answer(&mut self, fingerprint: Fingerprint, shard: &ShardName) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        // The other shards of the same query keep answering, so only the shard that crashed can
        // clear the request.
        suspect.shards.retain(|struck| struck != shard);
        if suspect.shards.is_empty() && suspect.until.is_none() {
            self.suspects.remove(&fingerprint);
        }
    }
}

impl StrikeContainment {
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let age = |suspect: &Suspect| now.saturating_duration_since(suspect.last);
        let is_contained = |suspect: &Suspect| suspect.until.is_some_and(|until| until > now);
        self.suspects.retain(|_, suspect| is_contained(suspect) || age(suspect) < CONTAINMENT_TIME);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest =
            self.suspects.iter().max_by_key(|(_, suspect)| (!is_contained(suspect), age(suspect)));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
