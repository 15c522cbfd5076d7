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

use crate::plan::Expected;

/// The requests that succeeded lately.
pub(crate) struct Proven {
    state: RefCell<State>,
    turn: Duration,
    entries: usize,
}

#[derive(Default)]
struct State {
    current: HashSet<Fingerprint>,
    last: HashSet<Fingerprint>,
    since: Option<Instant>,
}

impl Proven {
    /// Remembers for at least half of `memory` and at most `entries`.
    pub fn new(memory: Duration, entries: usize) -> Proven {
        Proven { state: RefCell::default(), turn: memory / 2, entries: (entries / 2).max(1) }
    }

    /// Whether the request succeeded lately.
    pub fn knows(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let mut state = self.state.borrow_mut();
        self.turn(&mut state, now);
        state.current.contains(&fingerprint) || state.last.contains(&fingerprint)
    }

    /// The request succeeded.
    pub fn learn(&self, now: Instant, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        self.turn(&mut state, now);
        state.current.insert(fingerprint);
    }

    /// The request failed in a way that may be its own doing.
    pub fn unlearn(&self, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        state.current.remove(&fingerprint);
        state.last.remove(&fingerprint);
    }

    fn turn(&self, state: &mut State, now: Instant) {
        let since = *state.since.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        if age < self.turn && state.current.len() < self.entries {
            return;
        }
        state.last = std::mem::take(&mut state.current);
        if age >= self.turn * 2 {
            state.last.clear();
        }
        state.since = Some(now);
    }
}

/// The shards that wait for a canary.
pub(crate) struct HeldBack<'a> {
    pub shards: Vec<&'a Expected>,
    /// When the next step is due.
    pub until: Instant,
    /// Whether the next step is another canary.
    pub second: bool,
    /// The canaries that have not answered yet.
    open: usize,
    sent: usize,
}

/// The most canaries of a round.
const MOST_CANARIES: usize = 4;

impl<'a> HeldBack<'a> {
    /// The shards that wait for the first canary.
    pub fn new(shards: Vec<&'a Expected>, until: Instant) -> HeldBack<'a> {
        HeldBack { shards, until, second: true, open: 1, sent: 1 }
    }

    /// Another canary was sent, which is waited for until `until`.
    pub fn on_sent(&mut self, until: Instant) {
        self.until = until;
        self.second = false;
        self.open += 1;
        self.sent += 1;
    }

    /// A canary failed and told nothing; the next step is due if no other is out.
    pub fn on_failed(&mut self, now: Instant, end: Instant) {
        self.open -= 1;
        if self.open == 0 {
            self.second = self.sent < MOST_CANARIES && now < end;
            self.until = now;
        }
    }
}

/// The place in `shards` of the one that a request goes to first.
///
/// It follows from the request alone, so that the same request sent to any node
/// meets the same holder, which recognises it.
pub(crate) fn first_shard(fingerprint: Fingerprint, shards: &[&Expected]) -> usize {
    let names: Vec<&str> = shards.iter().map(|expected| expected.shard.as_str()).collect();
    let first = rendezvous(&fingerprint.0.to_be_bytes(), &names).first().copied();
    shards.iter().position(|expected| Some(expected.shard.as_str()) == first).unwrap_or(0)
}
