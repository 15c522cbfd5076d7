//! What this node knows of the store, for other nodes to follow.
//!
//! Each call to the store counts, a waiting watch too, and its rates grow more
//! slowly than the fleet. So a few nodes watch the store, and the others watch
//! one of these by the same revisions ([`follow`](crate::follow)).

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::select;
use kumquatnotch_core::{
    Clock, clock,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};

/// How many changes are kept for those that follow.
///
/// A follower is a few seconds behind at most; one that is further behind gets
/// everything anew.
const MAX_EVENTS: usize = 2_000;

/// How long telling everything occupies this node, for each item.
///
/// An item is some 250 bytes, so this is a quarter of a link of 200 Mbit/s: after a loss of
/// power dozens of nodes ask for everything, while callers wait for this one's answers.
const FULL_TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(40);

/// What this node knows of the store.
pub struct Journal {
    clock: Rc<dyn Clock>,
    items: RefCell<BTreeMap<String, StoreItem>>,
    events: RefCell<VecDeque<StoreEvent>>,
    /// The revision up to which everything is known; zero before the first scan.
    revision: Cell<u64>,
    /// The revision after which all changes are kept.
    compacted: Cell<u64>,
    /// When the store last said that this is all there is.
    confirmed: Cell<Instant>,
    /// Whether neither the store nor another node tells this one what there is.
    source_lost: Cell<bool>,
    /// When another node last asked for it.
    last_follower_request: Cell<Option<Instant>>,
    /// Until when it is telling everything.
    full_transfer_until: Cell<Instant>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

/// What a follower gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// The changes since its revision.
    Changes(StoreChanges),
    /// Everything, as the changes are not kept any more.
    Full(StoreScan),
}

impl StoreUpdate {
    /// Whether there is nothing new in it.
    pub fn is_empty(&self) -> bool {
        matches!(self, StoreUpdate::Changes(changes) if changes.events.is_empty())
    }
}

impl Journal {
    /// A journal of nothing.
    pub fn new(clock: Rc<dyn Clock>) -> Journal {
        let confirmed = Cell::new(clock.now());
        Journal {
            items: RefCell::default(),
            events: RefCell::default(),
            revision: Cell::new(0),
            compacted: Cell::new(0),
            confirmed,
            source_lost: Cell::new(false),
            last_follower_request: Cell::new(None),
            full_transfer_until: Cell::new(clock.now()),
            waiters: RefCell::default(),
            clock,
        }
    }

    /// Whether there is anything to follow.
    pub fn is_filled(&self) -> bool {
        self.revision.get() > 0
    }

    /// The revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// How many items, and how many changes, it keeps.
    pub fn sizes(&self) -> (usize, usize) {
        (self.items.borrow().len(), self.events.borrow().len())
    }

    /// When another node last asked for it.
    pub fn last_follower_request(&self) -> Option<Instant> {
        self.last_follower_request.get()
    }

    /// Notes that another node asks for it.
    pub fn note_follower_request(&self) {
        self.last_follower_request.set(Some(self.clock.now()));
    }

    /// Whether this node may tell everything now; if so, it is taken to do so.
    pub fn admit_full_transfer(&self) -> bool {
        let now = self.clock.now();
        if now < self.full_transfer_until.get() {
            return false;
        }
        self.full_transfer_until
            .set(now + FULL_TRANSFER_TIME_PER_ITEM * self.items.borrow().len() as u32);
        true
    }

    /// How long ago the store last said that this is all there is.
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.confirmed.get())
    }

    /// Notes that this node has no source any more, until there is news.
    ///
    /// Those that wait here are sent elsewhere at once: behind a node that the store turns
    /// away they would hear of a confirmed change only when its knowledge has got old.
    pub fn note_source_lost(&self) {
        self.source_lost.set(true);
        self.wake_waiters();
    }

    /// Whether this node has no source.
    pub fn is_source_lost(&self) -> bool {
        self.source_lost.get()
    }

    /// Whether this node knows more than all that another one offers in its place.
    pub fn is_ahead_of(&self, update: &StoreUpdate) -> bool {
        matches!(update, StoreUpdate::Full(scan) if scan.revision < self.revision.get())
    }

    /// Starts anew with everything that the store holds, as of `confirmed`.
    pub fn reset(&self, scan: &StoreScan, confirmed: Instant) {
        let items = scan.items.iter().map(|item| (item.key.clone(), item.clone()));
        *self.items.borrow_mut() = items.collect();
        self.events.borrow_mut().clear();
        self.compacted.set(scan.revision);
        // Also if it was greater: a follower that was told of that revision without the
        // changes up to it would never hear of them.
        self.revision.set(scan.revision);
        self.advance(scan.revision, confirmed);
        self.wake_waiters();
    }

    /// Adds changes, which may be none, as of `confirmed`.
    pub fn extend(&self, changes: &StoreChanges, confirmed: Instant) {
        {
            let mut items = self.items.borrow_mut();
            let mut events = self.events.borrow_mut();
            for event in &changes.events {
                match event {
                    StoreEvent::Written(item) => items.insert(item.key.clone(), item.clone()),
                    StoreEvent::Deleted { key, .. } => items.remove(key),
                };
                events.push_back(event.clone());
            }
            while events.len() > MAX_EVENTS {
                let first = events.pop_front();
                self.compacted.set(first.map_or(self.compacted.get(), |event| event.revision()));
            }
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
        // Those that have gone away don't hear it.
        for waiter in self.waiters.borrow_mut().drain(..) {
            let _ = waiter.send(());
        }
    }

    /// What there is after a revision, once there is something or `wait` is over.
    pub async fn updates_after(&self, revision: u64, wait: Duration) -> StoreUpdate {
        if self.revision.get() <= revision {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiters = self.waiters.borrow_mut();
                waiters.retain(|waiter| !waiter.is_canceled());
                waiters.push(sender);
            }
            select(receiver, clock::sleep(&*self.clock, wait)).await;
        }
        if revision < self.compacted.get() {
            let items = self.items.borrow().values().cloned().collect();
            return StoreUpdate::Full(StoreScan { items, revision: self.revision.get() });
        }
        let events = self.events.borrow();
        let newer = events.iter().filter(|event| event.revision() > revision).cloned();
        StoreUpdate::Changes(StoreChanges {
            events: newer.collect(),
            revision: self.revision.get(),
        })
    }
}
