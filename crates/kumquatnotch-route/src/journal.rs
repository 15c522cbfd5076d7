//! The state of the store that this node knows, kept for its followers.
//!
//! The store limits the rate of calls, waiting watches included, and its limits grow more
//! slowly than the fleet. So a few nodes watch the store, and the others watch one of these by
//! the same revisions ([`follow`](crate::follow)).

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::select;
use kumquatnotch_core::{
    Clock,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};

use crate::history::{Entries, Entry, History, Value};

/// Time reserved for sending the full state, for each item.
///
/// An item has some 250 bytes, so this is a quarter of a link of 200 Mbit/s. After a power failure
/// dozens of nodes request the full state, while callers wait for the answers of this one.
const FULL_TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(40);

/// The state of the store that this node knows.
pub struct Journal {
    clock: Rc<dyn Clock>,
    entries: RefCell<Entries>,
    history: RefCell<History>,
    /// Revision up to which all changes are known; zero before the first scan.
    revision: Cell<u64>,
    /// When the store last confirmed that this state is complete.
    confirmed: Cell<Instant>,
    /// Whether this node gets updates neither from the store nor from another node.
    source_lost: Cell<bool>,
    /// When another node last followed this one.
    last_follower_request: Cell<Option<Instant>>,
    /// When the transfer of the full state that is in progress is expected to end.
    full_transfer_until: Cell<Instant>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

/// An update for a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// The changes since its revision.
    Changes(StoreChanges),
    /// The full state, because some of the changes are no longer kept.
    Full(StoreScan),
}

impl StoreUpdate {
    /// The revision up to which the update is complete.
    pub fn revision(&self) -> u64 {
        match self {
            StoreUpdate::Changes(changes) => changes.revision,
            StoreUpdate::Full(scan) => scan.revision,
        }
    }

    /// Whether the update brings nothing new.
    pub fn is_empty(&self) -> bool {
        matches!(self, StoreUpdate::Changes(changes) if changes.events.is_empty())
    }
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(clock: Rc<dyn Clock>) -> Journal {
        let confirmed = Cell::new(clock.now());
        Journal {
            entries: RefCell::default(),
            history: RefCell::default(),
            revision: Cell::new(0),
            confirmed,
            source_lost: Cell::new(false),
            last_follower_request: Cell::new(None),
            full_transfer_until: Cell::new(clock.now()),
            waiters: RefCell::default(),
            clock,
        }
    }

    /// Whether the journal has any state to follow.
    pub fn is_filled(&self) -> bool {
        self.revision.get() > 0
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns the number of items and the number of changes that are kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.entries.borrow().len(), self.history.borrow().len())
    }

    /// Returns when another node last followed this one.
    pub fn last_follower_request(&self) -> Option<Instant> {
        self.last_follower_request.get()
    }

    /// Notes a request of a follower.
    pub fn note_follower_request(&self) {
        self.last_follower_request.set(Some(self.clock.now()));
    }

    /// Whether the full state may be sent now. If so, reserves the time for it.
    pub fn admit_full_transfer(&self) -> bool {
        let now = self.clock.now();
        if now < self.full_transfer_until.get() {
            return false;
        }
        self.full_transfer_until
            .set(now + FULL_TRANSFER_TIME_PER_ITEM * self.entries.borrow().len() as u32);
        true
    }

    /// Returns the time since the store last confirmed this state.
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.confirmed.get())
    }

    /// Notes that this node has no source of updates, until it gets the next one.
    ///
    /// Waiting followers get a reply at once, so that they ask another node. If they kept waiting
    /// for a node that the store rejects, they would learn of a confirmed change only after the
    /// state of that node has become stale.
    pub fn note_source_lost(&self) {
        self.source_lost.set(true);
        self.wake_waiters();
    }

    /// Whether this node has no source of updates.
    pub fn is_source_lost(&self) -> bool {
        self.source_lost.get()
    }

    /// Whether this node knows a later revision than the node that offers an update.
    ///
    /// The other node then can't confirm that the state of this one is complete.
    pub fn is_ahead_of(&self, update: &StoreUpdate) -> bool {
        update.revision() < self.revision.get()
    }

    /// Returns the known item under a key.
    pub fn item(&self, key: &str) -> Option<StoreItem> {
        self.entries.borrow().get(key).map(|entry| entry.to_item(key))
    }

    /// Returns the first known item whose key is wanted.
    pub fn find(&self, is_wanted: impl Fn(&str) -> bool) -> Option<StoreItem> {
        let entries = self.entries.borrow();
        entries.iter().find(|(key, _)| is_wanted(key)).map(|(key, entry)| entry.to_item(key))
    }

    /// Replaces all state by a scan of the store, confirmed at `confirmed`.
    ///
    /// Followers that know the replaced state get the differences. With the full state for each of
    /// them, a restore of the store would take seconds of the link of a node with many followers.
    pub fn reset(&self, scan: &StoreScan, confirmed: Instant) {
        let known = std::mem::take(&mut *self.entries.borrow_mut());
        let entry = |item: &StoreItem| {
            // Unchanged values stay shared with the changes that wrote them.
            let earlier = known.get(&item.key).map(|entry| &entry.value);
            let value = match earlier.filter(|value| ***value == *item.value) {
                Some(value) => value.clone(),
                None => Value::from(&*item.value),
            };
            (item.key.clone(), Entry { value, revision: item.revision })
        };
        let entries: Entries = scan.items.iter().map(entry).collect();
        let revision = self.revision.get();
        {
            let mut history = self.history.borrow_mut();
            if (1..scan.revision).contains(&revision) {
                history.add_gap(revision, scan.revision);
                add_differences(&mut history, &known, &entries, scan.revision);
            } else {
                history.restart(scan.revision);
            }
            history.trim(&entries);
        }
        self.entries.replace(entries);
        // The revision is set even if it was higher: a follower that got the higher revision
        // without the changes up to it would never receive them.
        self.revision.set(scan.revision);
        self.advance(scan.revision, confirmed);
        self.wake_waiters();
    }

    /// Adds changes, possibly none, confirmed at `confirmed`.
    pub fn extend(&self, changes: &StoreChanges, confirmed: Instant) {
        {
            let mut entries = self.entries.borrow_mut();
            let mut history = self.history.borrow_mut();
            for event in &changes.events {
                match event {
                    StoreEvent::Written(StoreItem { key, value, revision }) => {
                        let (value, revision) = (Value::from(&**value), *revision);
                        history.push(key, revision, Some(value.clone()));
                        entries.insert(key.clone(), Entry { value, revision });
                    }
                    StoreEvent::Deleted { key, revision } => {
                        history.push(key, *revision, None);
                        entries.remove(key);
                    }
                }
            }
            history.trim(&entries);
        }
        self.advance(changes.revision, confirmed);
    }

    fn advance(&self, revision: u64, confirmed: Instant) {
        let grew = revision > self.revision.get();
        self.revision.set(revision.max(self.revision.get()));
        if confirmed > self.confirmed.get() {
            self.confirmed.set(confirmed);
            self.source_lost.set(false);
        }
        if grew {
            self.wake_waiters();
        }
    }

    fn wake_waiters(&self) {
        // Sending fails if the waiter has gone away.
        for waiter in self.waiters.borrow_mut().drain(..) {
            let _ = waiter.send(());
        }
    }

    /// Returns the updates after a revision, once there are some or `wait` is over.
    pub async fn updates_after(&self, revision: u64, wait: Duration) -> StoreUpdate {
        let until = self.clock.now() + wait;
        // A change may bring this node only up to the revision of a follower that was ahead.
        while self.revision.get() <= revision {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiters = self.waiters.borrow_mut();
                waiters.retain(|waiter| !waiter.is_canceled());
                waiters.push(sender);
            }
            select(receiver, self.clock.sleep_until(until)).await;
            if self.clock.now() >= until || self.source_lost.get() {
                break;
            }
        }
        let history = self.history.borrow();
        if !history.covers(revision) {
            let entries = self.entries.borrow();
            let items = entries.iter().map(|(key, entry)| entry.to_item(key)).collect();
            return StoreUpdate::Full(StoreScan { items, revision: self.revision.get() });
        }
        StoreUpdate::Changes(StoreChanges {
            events: history.after(revision),
            revision: self.revision.get(),
        })
    }
}

impl Entry {
    fn to_item(&self, key: &str) -> StoreItem {
        let (value, revision) = (self.value.to_vec(), self.revision);
        StoreItem { key: key.to_owned(), value, revision }
    }
}

/// Adds the changes that lead from an earlier state to a later one, at `revision`.
fn add_differences(history: &mut History, earlier: &Entries, later: &Entries, revision: u64) {
    for (key, Entry { value, .. }) in later {
        if earlier.get(key).is_none_or(|entry| !Rc::ptr_eq(&entry.value, value)) {
            history.push(key, revision, Some(value.clone()));
        }
    }
    for key in earlier.keys().filter(|key| !later.contains_key(*key)) {
        history.push(key, revision, None);
    }
}
