//! Requests that crash the targets which run them.
//!
//! When a target crashes, every request in flight to it is a suspect. A suspect
//! runs alone on its replica from then on, so that the next crash tells who it
//! was and takes no innocent one along. A request that crashes a target while
//! alone after an earlier crash is contained: it is refused until the mark
//! expires. A suspect that the shard in question has answered is cleared.

use std::time::{Duration, Instant};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{Fingerprint, ShardName},
};

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Free,
    /// Only with nothing else in flight to the same replica.
    Alone,
    /// Not at all for this time.
    Refused(Duration),
}

/// A request in flight to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// By which the request is recognised when it is sent again.
    pub print: Fingerprint,
    /// The shard it asks for there.
    pub shard: ShardName,
}

/// The decision which requests are kept from targets.
pub trait Containment {
    /// How a request may run.
    fn verdict(&self, print: Fingerprint, now: Instant) -> Verdict;

    /// A target crashed with these requests in flight; the one contained now.
    ///
    /// `alone` tells whether it ran a suspect that was kept alone for this reason.
    fn on_crash(&mut self, present: &[Running], alone: bool, now: Instant) -> Option<Fingerprint>;

    /// A request was answered by a shard.
    fn on_answer(&mut self, print: Fingerprint, shard: &ShardName);

    /// How long a contained request is refused.
    fn span(&self) -> Duration;
}

/// Every request runs, whatever it has done: the baseline.
#[derive(Debug, Default)]
pub struct NoContainment;

impl Containment for NoContainment {
    fn verdict(&self, _print: Fingerprint, _now: Instant) -> Verdict {
        Verdict::Free
    }

    fn on_crash(
        &mut self,
        _present: &[Running],
        _alone: bool,
        _now: Instant,
    ) -> Option<Fingerprint> {
        None
    }

    fn on_answer(&mut self, _print: Fingerprint, _shard: &ShardName) {}

    fn span(&self) -> Duration {
        Duration::ZERO
    }
}

/// The crashes after which a request is contained.
const MIN_STRIKES: u32 = 2;
/// How long a contained request is refused.
const CONTAINMENT_TIME: Duration = Duration::from_secs(600);
/// How long a suspicion lasts beyond the last crash.
const SUSPICION_TIME: Duration = Duration::from_secs(3600);
/// The most suspects kept; the oldest go first.
const MAX_SUSPECTS: usize = 4096;

/// Suspects run alone, and are contained at their second crash.
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
    fn verdict(&self, print: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&print) else {
            return Verdict::Free;
        };
        match suspect.until {
            Some(until) if until > now => Verdict::Refused(until - now),
            _ if now.saturating_duration_since(suspect.last) > SUSPICION_TIME => Verdict::Free,
            _ => Verdict::Alone,
        }
    }

    fn on_crash(&mut self, present: &[Running], alone: bool, now: Instant) -> Option<Fingerprint> {
        self.make_room(now);
        for running in present {
            let suspect = self.suspects.entry(running.print).or_insert_with(|| Suspect {
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
        // With others beside it nothing is proved: a popular request could have
        // been beside the culprit twice, and its callers would be refused. To be
        // there by chance with nobody else proves nothing either: a rack that is
        // lost takes many targets at once, and each search is on all of them.
        let [running] = present else {
            return None;
        };
        if !alone {
            return None;
        }
        let suspect = self.suspects.get_mut(&running.print)?;
        if suspect.strikes < MIN_STRIKES {
            return None;
        }
        suspect.until = Some(now + CONTAINMENT_TIME);
        Some(running.print)
    }

    fn on_answer(&mut self, print: Fingerprint, shard: &ShardName) {
        let Some(suspect) = self.suspects.get_mut(&print) else {
            return;
        };
        // The other shards of the same query answer well all the while, so only
        // the shard that crashed can clear the request.
        suspect.shards.retain(|struck| struck != shard);
        if suspect.shards.is_empty() && suspect.until.is_none() {
            self.suspects.remove(&print);
        }
    }

    fn span(&self) -> Duration {
        CONTAINMENT_TIME
    }
}

impl StrikeContainment {
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let age = |suspect: &Suspect| now.saturating_duration_since(suspect.last);
        self.suspects.retain(|_, suspect| age(suspect) < CONTAINMENT_TIME);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().max_by_key(|(_, suspect)| age(suspect));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.suspects.remove(&print);
        }
    }
}
