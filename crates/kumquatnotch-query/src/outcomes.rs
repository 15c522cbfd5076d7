//! Outcomes of exclusive requests, stored by the issuer of their tickets.
//!
//! An entry is created before the request is sent and kept at least as long as its
//! ticket is valid for a run, so that no ticket runs twice. A refusal that says "not
//! run" is stored like any other outcome: the caller may continue with a new ticket,
//! and a late copy of the request must then find the refusal.

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use kumquatnotch_core::{Error, collections::HashMap, ticket::Outcome};

/// Maximum number of copies of a request that wait for the same run.
const MAX_WAITERS: usize = 64;

/// Result of looking up the serial number of a ticket.
pub(crate) enum Lookup {
    /// There is no entry.
    Absent,
    /// The entry belongs to another request.
    OtherRequest,
    /// The request has ended.
    Ended(Outcome),
    /// The request is running; the receiver gets its outcome.
    Running(oneshot::Receiver<Outcome>),
}

/// Outcomes by the serial numbers of tickets.
pub(crate) struct Outcomes {
    state: RefCell<State>,
    ttl: Duration,
    max_entries: usize,
}

#[derive(Default)]
struct State {
    entries: HashMap<u64, Entry>,
    /// Serial numbers in order of expiry.
    order: VecDeque<(Instant, u64)>,
    running: usize,
}

struct Entry {
    /// Hash that identifies the request.
    request: u64,
    stage: EntryStage,
}

enum EntryStage {
    Running(Vec<oneshot::Sender<Outcome>>),
    Ended(Outcome),
}

impl Outcomes {
    /// Creates a store that keeps each outcome for `ttl`, and at most `max_entries` of
    /// them.
    pub fn new(ttl: Duration, max_entries: usize) -> Outcomes {
        Outcomes { state: RefCell::default(), ttl, max_entries }
    }

    /// Looks up `serial` for the request with the hash `request`.
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
                // Beyond the limit the receiver is closed at once, which the caller
                // reports as still running.
                if waiters.len() < MAX_WAITERS {
                    waiters.push(sender);
                }
                Lookup::Running(receiver)
            }
        }
    }

    /// Creates the entry of a request that is about to run; false if the store is full.
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

    /// Stores the outcome of a running request; has no effect if it has already ended.
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
            // A waiter that has disconnected may retry; the outcome is stored.
            let _ = waiter.send(outcome.clone());
        }
    }

    /// Returns the numbers of running requests and of stored outcomes.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.running, state.entries.len())
    }
}

impl State {
    /// Removes expired entries, except those that are still running.
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

/// Time after which the expiry of a running entry is checked again.
const RUNNING_RECHECK: Duration = Duration::from_secs(10);

/// Ends a run as "outcome unknown" if it is dropped before its end, so that no caller
/// waits for a run that was lost to a fault.
pub(crate) struct RunGuard<'a> {
    pub outcomes: &'a Outcomes,
    pub serial: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.outcomes.end(self.serial, Outcome::Failed(Error::OutcomeUnknown));
    }
}
