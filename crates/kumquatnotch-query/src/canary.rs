//! The requests that succeeded lately, by fingerprint.
//!
//! A request that crashes each target that runs it must not be sent to all
//! shards at once. One that succeeded lately is known not to; any other goes to
//! one shard first. Two sets take turns, so that forgetting costs nothing.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    collections::HashSet,
    ids::{Fingerprint, rendezvous},
};

use crate::plan::PlannedShard;

/// The requests that succeeded lately.
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
    /// Remembers for at least half of `memory` and at most `entries`.
    pub fn new(memory: Duration, entries: usize) -> ProvenRequests {
        ProvenRequests {
            state: RefCell::default(),
            rotation: memory / 2,
            entries: (entries / 2).max(1),
        }
    }

    /// Whether the request succeeded lately.
    pub fn contains(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let mut state = self.state.borrow_mut();
        self.rotate(&mut state, now);
        state.current.contains(&fingerprint) || state.previous.contains(&fingerprint)
    }

    /// The request succeeded.
    pub fn insert(&self, now: Instant, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        self.rotate(&mut state, now);
        state.current.insert(fingerprint);
    }

    /// The request failed in a way that may be its own doing.
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

/// The shards that wait for a canary.
pub(crate) struct HeldBack<'a> {
    pub shards: Vec<&'a PlannedShard>,
    /// When the next step is due.
    pub due: Instant,
    /// Whether the next step is another canary.
    pub send_another: bool,
    /// The canaries that have not answered yet.
    pending: usize,
    sent: usize,
}

/// The most canaries of a round.
const MAX_CANARIES: usize = 4;

impl<'a> HeldBack<'a> {
    /// The shards that wait for the first canary.
    pub fn new(shards: Vec<&'a PlannedShard>, due: Instant) -> HeldBack<'a> {
        HeldBack { shards, due, send_another: true, pending: 1, sent: 1 }
    }

    /// Another canary was sent, which is waited for until `until`.
    pub fn on_sent(&mut self, due: Instant) {
        self.due = due;
        self.send_another = false;
        self.pending += 1;
        self.sent += 1;
    }

    /// A canary failed and told nothing; the next step is due if no other is out.
    pub fn on_failed(&mut self, now: Instant, end: Instant) {
        self.pending -= 1;
        if self.pending == 0 {
            self.send_another = self.sent < MAX_CANARIES && now < end;
            self.due = now;
        }
    }
}

/// The place in `shards` of the one that a request goes to first.
///
/// It follows from the request alone, so that the same request sent to any node
/// meets the same holder, which recognises it.
pub(crate) fn first_shard(fingerprint: Fingerprint, shards: &[&PlannedShard]) -> usize {
    let names: Vec<&str> = shards.iter().map(|planned| planned.shard.as_str()).collect();
    let first = rendezvous(&fingerprint.0.to_be_bytes(), &names).first().copied();
    shards.iter().position(|planned| Some(planned.shard.as_str()) == first).unwrap_or(0)
}
