//! The outcomes of exclusive requests, kept by the issuer of their tickets.
//!
//! An entry is made before the request leaves and stays at least as long as its
//! ticket could run anything, so that no ticket runs twice. A refusal that says
//! "not run" is kept like any other outcome: its caller may go on with a new
//! ticket, and a late copy of the request must then find it refused.

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch_core::{Error, collections::HashMap, ticket::Outcome};

/// How many copies of a request wait for the one run at most.
const MAX_WAITERS: usize = 64;

/// What a ticket's number stands for.
pub(crate) enum Lookup {
    /// Nothing yet.
    Absent,
    /// Another request than the one that asks.
    OtherRequest,
    /// It has ended.
    Ended(Outcome),
    /// It runs; this receives its outcome.
    Running(oneshot::Receiver<Outcome>),
}

/// The outcomes by the numbers of tickets.
pub(crate) struct Outcomes {
    state: RefCell<State>,
    ttl: Duration,
    max_entries: usize,
}

#[derive(Default)]
struct State {
    entries: HashMap<u64, Entry>,
    /// The numbers in the order in which they are forgotten.
    order: VecDeque<(Instant, u64)>,
    running: usize,
}

struct Entry {
    /// By which the request is recognised.
    request: u64,
    stage: EntryStage,
}

enum EntryStage {
    Running(Vec<oneshot::Sender<Outcome>>),
    Ended(Outcome),
}

impl Outcomes {
    /// Keeps each outcome for `keep`, and `max_entries` of them.
    pub fn new(ttl: Duration, max_entries: usize) -> Outcomes {
        Outcomes { state: RefCell::default(), ttl, max_entries }
    }

    /// What `serial` stands for, asked by `request`.
    pub fn find(&self, now: Instant, serial: u64, request: u64) -> Lookup {
        let mut state = self.state.borrow_mut();
        state.remove_expired(now);
        let Some(entry) = state.entries.get_mut(&serial) else {
            return Lookup::Absent;
        };
        if entry.request != request {
            return Lookup::OtherRequest;
        }
        match &mut entry.stage {
            EntryStage::Ended(outcome) => Lookup::Ended(outcome.clone()),
            EntryStage::Running(waiters) => {
                waiters.retain(|waiter| !waiter.is_canceled());
                let (sender, receiver) = oneshot::channel();
                // One more than the bound gets a closed channel: still running.
                if waiters.len() < MAX_WAITERS {
                    waiters.push(sender);
                }
                Lookup::Running(receiver)
            }
        }
    }

    /// Makes the entry of a request that is about to run; false if there is no room.
    pub fn begin(&self, now: Instant, serial: u64, request: u64) -> bool {
        let mut state = self.state.borrow_mut();
        state.remove_expired(now);
        if state.entries.len() >= self.max_entries {
            return false;
        }
        state.order.push_back((now + self.ttl, serial));
        state.entries.insert(serial, Entry { request, stage: EntryStage::Running(Vec::new()) });
        state.running += 1;
        true
    }

    /// Ends a request that runs; a second end changes nothing.
    pub fn end(&self, serial: u64, outcome: Outcome) {
        let waiters = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.entries.get_mut(&serial) else {
                return;
            };
            if matches!(entry.stage, EntryStage::Ended(_)) {
                return;
            }
            let ended = EntryStage::Ended(outcome.clone());
            let EntryStage::Running(waiters) = std::mem::replace(&mut entry.stage, ended) else {
                return;
            };
            state.running -= 1;
            waiters
        };
        for waiter in waiters {
            // A waiter that has gone away asks again or not; the outcome is kept.
            let _ = waiter.send(outcome.clone());
        }
    }

    /// How many requests run, and how many outcomes are kept.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.running, state.entries.len())
    }
}

impl State {
    /// Drops entries whose time is over; one that still runs is kept.
    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, serial)) = self.order.front().copied() {
            if at > now {
                return;
            }
            self.order.pop_front();
            let entry = self.entries.get(&serial);
            if entry.is_some_and(|entry| matches!(entry.stage, EntryStage::Running(_))) {
                self.order.push_back((now + RUNNING_RECHECK, serial));
                continue;
            }
            self.entries.remove(&serial);
        }
    }
}

/// When an entry that still runs is looked at again.
const RUNNING_RECHECK: Duration = Duration::from_secs(10);

/// Ends a run as "outcome unknown" if it is dropped before its end, so that
/// nobody waits for a run that has been lost to a fault.
pub(crate) struct RunGuard<'a> {
    pub outcomes: &'a Outcomes,
    pub serial: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.outcomes.end(self.serial, Outcome::Failed(Error::OutcomeUnknown));
    }
}
