//! Canary requests, and the fingerprints of requests that succeeded recently.
//!
//! A request that crashes every target that runs it must not be sent to all shards at
//! once. A request that succeeded recently is known to be safe; any other goes to one
//! shard first. Two sets are rotated, so that expiring entries takes constant time.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::HashSet,
    ids::{Fingerprint, rendezvous},
};

use crate::plan::PlannedShard;

/// Requests that succeeded recently.
pub(crate) struct ProvenRequests {
    state: RefCell<State>,
    rotation: Duration,
    entries: usize,
}

#[derive(Default)]
struct State {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    since: Option<Instant>,
}

impl ProvenRequests {
    /// Creates a set that keeps an entry for at least half of `ttl` and holds at
    /// most `entries`.
    pub fn new(ttl: Duration, entries: usize) -> ProvenRequests {
        ProvenRequests {
            state: RefCell::default(),
            rotation: ttl / 2,
            entries: (entries / 2).max(1),
        }
    }

    /// Returns whether the request succeeded recently.
    pub fn contains(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let mut state = self.state.borrow_mut();
        self.rotate(&mut state, now);
        state.current.contains(&fingerprint) || state.previous.contains(&fingerprint)
    }

    /// Records that the request succeeded.
    pub fn insert(&self, now: Instant, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        self.rotate(&mut state, now);
        state.current.insert(fingerprint);
    }

    /// Records that the request failed and may itself be the cause.
    pub fn remove(&self, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        state.current.remove(&fingerprint);
        state.previous.remove(&fingerprint);
    }

    fn rotate(&self, state: &mut State, now: Instant) {
        let since = *state.since.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        if age < self.rotation && state.current.len() < self.entries {
            return;
        }
        state.previous = std::mem::take(&mut state.current);
        if age >= self.rotation * 2 {
            state.previous.clear();
        }
        state.since = Some(now);
    }
}

/// Shards held back until a canary has answered.
pub(crate) struct HeldBack<'a> {
    pub shards: Vec<&'a PlannedShard>,
    /// When the next step is due.
    pub due: Instant,
    /// Whether the next step is to send another canary.
    pub send_another: bool,
    /// Number of canaries that have not answered yet.
    pending: usize,
    sent: usize,
}

/// Maximum number of canaries per round.
const MAX_CANARIES: usize = 4;

impl<'a> HeldBack<'a> {
    /// Holds back `shards` until the first canary has answered.
    pub fn new(shards: Vec<&'a PlannedShard>, due: Instant) -> HeldBack<'a> {
        HeldBack { shards, due, send_another: true, pending: 1, sent: 1 }
    }

    /// Records that another canary was sent, which is awaited until `due`.
    pub fn on_sent(&mut self, due: Instant) {
        self.due = due;
        self.send_another = false;
        self.pending += 1;
        self.sent += 1;
    }

    /// Records an inconclusive canary; the next step is due if no other canary is
    /// pending.
    pub fn on_failed(&mut self, now: Instant, end: Instant) {
        self.pending -= 1;
        if self.pending == 0 {
            self.send_another = self.sent < MAX_CANARIES && now < end;
            self.due = now;
        }
    }
}

/// Returns the index in `shards` of the canary shard.
///
/// It depends only on the request. The same request sent to any node therefore reaches
/// the same holder, which recognises it.
pub(crate) fn canary_shard(fingerprint: Fingerprint, shards: &[&PlannedShard]) -> usize {
    let names: Vec<&str> = shards.iter().map(|planned| planned.shard.as_str()).collect();
    let first = rendezvous(&fingerprint.0.to_be_bytes(), &names).first().copied();
    shards.iter().position(|planned| Some(planned.shard.as_str()) == first).unwrap_or(0)
}
