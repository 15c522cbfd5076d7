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
const MOST_EVENTS: usize = 2_000;

/// How long telling everything occupies this node, for each item.
///
/// An item is some 250 bytes, so this is a quarter of a link of 200 Mbit/s: after a loss of
/// power dozens of nodes ask for everything, while callers wait for this one's answers.
const ITEM_TIME: Duration = Duration::from_micros(40);

/// What this node knows of the store.
pub struct Journal {
    clock: Rc<dyn Clock>,
    items: RefCell<BTreeMap<String, StoreItem>>,
    events: RefCell<VecDeque<StoreEvent>>,
    /// The revision up to which everything is known; zero before the first scan.
    revision: Cell<u64>,
    /// The revision after which all changes are kept.
    oldest: Cell<u64>,
    /// When the store last said that this is all there is.
    confirmed: Cell<Instant>,
    /// Whether neither the store nor another node tells this one what there is.
    lost: Cell<bool>,
    /// When another node last asked for it.
    asked: Cell<Option<Instant>>,
    /// Until when it is telling everything.
    telling: Cell<Instant>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

/// What a follower gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Passage {
    /// The changes since its revision.
    Changes(StoreChanges),
    /// Everything, as the changes are not kept any more.
    Whole(StoreScan),
}

impl Passage {
    /// Whether there is nothing new in it.
    pub fn is_empty(&self) -> bool {
        matches!(self, Passage::Changes(changes) if changes.events.is_empty())
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
            oldest: Cell::new(0),
            confirmed,
            lost: Cell::new(false),
            asked: Cell::new(None),
            telling: Cell::new(clock.now()),
            waiting: RefCell::default(),
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
    pub fn asked(&self) -> Option<Instant> {
        self.asked.get()
    }

    /// Notes that another node asks for it.
    pub fn note_asked(&self) {
        self.asked.set(Some(self.clock.now()));
    }

    /// Whether this node may tell everything now; if so, it is taken to do so.
    pub fn may_tell_whole(&self) -> bool {
        let now = self.clock.now();
        if now < self.telling.get() {
            return false;
        }
        self.telling.set(now + ITEM_TIME * self.items.borrow().len() as u32);
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
    pub fn note_lost(&self) {
        self.lost.set(true);
        self.wake();
    }

    /// Whether this node has no source.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Whether this node knows more than all that another one offers in its place.
    pub fn is_ahead_of(&self, passage: &Passage) -> bool {
        matches!(passage, Passage::Whole(scan) if scan.revision < self.revision.get())
    }

    /// Starts anew with everything that the store holds, as of `confirmed`.
    pub fn reset(&self, scan: &StoreScan, confirmed: Instant) {
        let items = scan.items.iter().map(|item| (item.key.clone(), item.clone()));
        *self.items.borrow_mut() = items.collect();
        self.events.borrow_mut().clear();
        self.oldest.set(scan.revision);
        // Also if it was greater: a follower that was told of that revision without the
        // changes up to it would never hear of them.
        self.revision.set(scan.revision);
        self.note(scan.revision, confirmed);
        self.wake();
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
            while events.len() > MOST_EVENTS {
                let first = events.pop_front();
                self.oldest.set(first.map_or(self.oldest.get(), |event| event.revision()));
            }
        }
        self.note(changes.revision, confirmed);
    }

    fn note(&self, revision: u64, confirmed: Instant) {
        let grew = revision > self.revision.get();
        self.revision.set(revision.max(self.revision.get()));
        if confirmed > self.confirmed.get() {
            self.confirmed.set(confirmed);
            self.lost.set(false);
        }
        if grew {
            self.wake();
        }
    }

    fn wake(&self) {
        // Those that have gone away don't hear it.
        for waiter in self.waiting.borrow_mut().drain(..) {
            let _ = waiter.send(());
        }
    }

    /// What there is after a revision, once there is something or `wait` is over.
    pub async fn after(&self, revision: u64, wait: Duration) -> Passage {
        if self.revision.get() <= revision {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiting = self.waiting.borrow_mut();
                waiting.retain(|waiter| !waiter.is_canceled());
                waiting.push(sender);
            }
            select(receiver, clock::sleep(&*self.clock, wait)).await;
        }
        if revision < self.oldest.get() {
            let items = self.items.borrow().values().cloned().collect();
            return Passage::Whole(StoreScan { items, revision: self.revision.get() });
        }
        let events = self.events.borrow();
        let newer = events.iter().filter(|event| event.revision() > revision).cloned();
        Passage::Changes(StoreChanges { events: newer.collect(), revision: self.revision.get() })
    }
}
