//! Journals of several nodes against a model of the store, over drawn orders of changes, polls,
//! lost histories, restores, and polls between the nodes.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use kumquatnotch_core::{
    Clock,
    clock::PausedClock,
    random::Random,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan, VALUE_LIMIT},
};
use kumquatnotch_route::journal::{Journal, StoreUpdate};
use yare::parameterized;

const NODES: usize = 4;
const KEYS: usize = 12;
const STEPS: usize = 500;
/// Number of changes in a burst, above the number that a journal keeps.
const BURST: usize = 2_100;
/// Maximum size of a value that is always kept, in bytes.
const SMALL_BYTES: usize = 300;
/// Distance between the revisions of two eras.
const ERA: u64 = 1 << 48;
/// Maximum size of the older values that an update contains, in bytes.
const MAX_OLDER_BYTES: usize = 1 << 20;

type Values = BTreeMap<String, Rc<Vec<u8>>>;

/// A store that remembers its state at each revision of all eras.
struct Model {
    random: Random,
    states: BTreeMap<u64, Values>,
    events: Vec<StoreEvent>,
    era_start: u64,
    compacted: u64,
    revision: u64,
}

struct Node {
    journal: Journal,
    clock: Rc<PausedClock>,
    /// Revision up to which the node may have learned only differences between states.
    patchy: Cell<u64>,
}

/// What the drawn orders have covered.
#[derive(Debug, Default)]
struct Counts {
    changes: usize,
    full: usize,
    elided: usize,
    scans: usize,
    restores: usize,
    avoided: usize,
}

impl Model {
    fn new(seed: u64) -> Model {
        let random = Random::with_seed(seed);
        let states = BTreeMap::from([(1, Values::new())]);
        Model { random, states, events: Vec::new(), era_start: 0, compacted: 1, revision: 1 }
    }

    fn state(&self, revision: u64) -> &Values {
        &self.states[&revision]
    }

    /// Changes up to three keys at one revision.
    fn change(&mut self, can_be_large: bool) {
        let mut values = self.state(self.revision).clone();
        self.revision += 1;
        let revision = self.revision;
        let keys: BTreeSet<usize> =
            (0..=self.random.below(3)).map(|_| self.random.below(KEYS)).collect();
        for number in keys {
            let key = format!("k{number:02}");
            if values.contains_key(&key) && self.random.chance(0.2) {
                values.remove(&key);
                self.events.push(StoreEvent::Deleted { key, revision });
                continue;
            }
            let is_large = can_be_large && number < 3 && self.random.chance(0.5);
            let size = if is_large { VALUE_LIMIT } else { SMALL_BYTES };
            // Few different values, so that a value also comes back.
            let value = vec![self.random.below(4) as u8; self.random.below(size)];
            values.insert(key.clone(), Rc::new(value.clone()));
            self.events.push(StoreEvent::Written(StoreItem { key, value, revision }));
        }
        self.states.insert(revision, values);
    }

    /// Restores the store from a copy of an earlier state.
    fn restore(&mut self) {
        let known: Vec<u64> = self.states.keys().rev().take(60).copied().collect();
        let copy = *self.random.pick(&known).unwrap();
        let values = self.state(copy).clone();
        self.era_start += ERA;
        self.revision = self.era_start + 1 + self.random.below(50) as u64;
        self.states.insert(self.revision, values);
        self.compact();
    }

    fn compact(&mut self) {
        self.compacted = self.revision;
        self.events.clear();
    }

    fn scan(&self, revision: u64) -> StoreScan {
        let items = self.state(revision).iter().map(|(key, value)| StoreItem {
            key: key.clone(),
            value: value.to_vec(),
            revision,
        });
        StoreScan { items: items.collect(), revision }
    }

    /// Returns the changes after a revision, up to a drawn one; `None` if they are not kept.
    fn watch(&self, after: u64) -> Option<StoreChanges> {
        if after < self.compacted {
            return None;
        }
        let count = (self.revision - after) as usize;
        let last = match self.random.chance(0.7) {
            true => self.revision,
            false => after + self.random.below(count + 1) as u64,
        };
        let is_new = |event: &&StoreEvent| (after + 1..=last).contains(&event.revision());
        let events = self.events.iter().filter(is_new).cloned();
        Some(StoreChanges { events: events.collect(), revision: last })
    }

    /// Checks that an update of a node leads from the state at `after` to the one at its revision.
    fn check(&self, node: &Node, after: u64, update: &StoreUpdate, counts: &mut Counts) {
        let expected = self.state(update.revision());
        let mut values = self.state(after).clone();
        match update {
            StoreUpdate::Full(scan) => {
                counts.full += 1;
                values = scan.items.iter().map(to_pair).collect();
            }
            StoreUpdate::Changes(StoreChanges { events, revision }) => {
                counts.changes += 1;
                let mut seen = BTreeSet::new();
                let mut last = after;
                let current: usize = expected.values().map(|value| value.len()).sum();
                let mut bytes = 0;
                for event in events {
                    assert!(event.revision() > after && event.revision() <= *revision);
                    assert!(event.revision() >= last, "out of order: {}", event.revision());
                    assert!(seen.insert((event.key(), event.revision())), "repeated");
                    last = event.revision();
                    match event {
                        StoreEvent::Written(item) => {
                            bytes += item.value.len();
                            let (key, value) = to_pair(item);
                            values.insert(key, value);
                        }
                        StoreEvent::Deleted { key, .. } => {
                            values.remove(key);
                        }
                    }
                }
                assert!(bytes <= current + MAX_OLDER_BYTES, "{bytes} bytes in an update");
                if node.patchy.get() <= after {
                    counts.elided += self.check_completeness(after, *revision, events);
                }
            }
        }
        assert!(values == *expected, "another state at {} from {after}", update.revision());
    }

    /// Checks that all changes come, but some of large values, whose number is returned.
    fn check_completeness(&self, after: u64, revision: u64, events: &[StoreEvent]) -> usize {
        if after < self.compacted {
            return 0;
        }
        let is_due = |event: &&StoreEvent| (after + 1..=revision).contains(&event.revision());
        let is_small = |event: &&StoreEvent| value_size(event) <= SMALL_BYTES;
        let due: Vec<&StoreEvent> = self.events.iter().filter(is_due).collect();
        let small_due: Vec<&StoreEvent> = due.iter().copied().filter(is_small).collect();
        let small: Vec<&StoreEvent> = events.iter().filter(is_small).collect();
        assert!(small == small_due, "{} of {} small changes", small.len(), small_due.len());
        due.len() - events.len()
    }
}

fn to_pair(item: &StoreItem) -> (String, Rc<Vec<u8>>) {
    (item.key.clone(), Rc::new(item.value.clone()))
}

fn value_size(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.value.len(),
        StoreEvent::Deleted { .. } => 0,
    }
}

impl Node {
    fn apply(&self, update: &StoreUpdate) {
        match update {
            StoreUpdate::Full(scan) => {
                self.patchy.set(scan.revision);
                self.journal.reset(scan, self.clock.now());
            }
            StoreUpdate::Changes(changes) => self.journal.extend(changes, self.clock.now()),
        }
    }

    fn poll_store(&self, model: &Model, counts: &mut Counts) {
        match model.watch(self.journal.revision()) {
            Some(changes) => self.apply(&StoreUpdate::Changes(changes)),
            None => {
                counts.scans += 1;
                self.apply(&StoreUpdate::Full(model.scan(model.revision)));
            }
        }
    }

    /// Follows another node, as a node does that does not watch the store.
    async fn poll_node(&self, other: &Node, model: &Model, counts: &mut Counts) {
        let after = self.journal.revision();
        let update = other.journal.updates_after(after, Duration::ZERO).await;
        if self.journal.is_ahead_of(&update) {
            counts.avoided += 1;
            return;
        }
        model.check(other, after, &update, counts);
        self.apply(&update);
        if other.patchy.get() > after {
            self.patchy.set(other.patchy.get());
        }
    }
}

/// Guards against a follower that ends at another state than the store had, misses a small change,
/// or gets one twice or out of order.
#[parameterized(
    one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 }, six = { 6 },
    seven = { 7 }, eight = { 8 }, nine = { 9 }, ten = { 10 }, eleven = { 11 }, twelve = { 12 },
)]
fn followers_end_at_the_states_of_the_store(seed: u64) {
    standins::block_on(async {
        let clock = Rc::new(PausedClock::default());
        let mut model = Model::new(seed);
        let mut counts = Counts::default();
        let nodes = [(); NODES].map(|()| {
            let journal = Journal::new(clock.clone());
            journal.reset(&model.scan(1), clock.now());
            Node { journal, clock: clock.clone(), patchy: Cell::new(1) }
        });

        for _ in 0..STEPS {
            let (node, other) = (&nodes[model.random.below(NODES)], model.random.below(NODES));
            match model.random.below(100) {
                0 => (0..BURST).for_each(|_| model.change(false)),
                1 => model.compact(),
                2 => {
                    counts.restores += 1;
                    model.restore();
                }
                3 => {
                    // A scan of a member of the store that is behind.
                    let known: Vec<u64> = model.states.keys().rev().take(20).copied().collect();
                    let revision = *model.random.pick(&known).unwrap();
                    node.apply(&StoreUpdate::Full(model.scan(revision)));
                }
                4..40 => model.change(true),
                40..65 => node.poll_store(&model, &mut counts),
                _ => node.poll_node(&nodes[other], &model, &mut counts).await,
            }
        }

        println!("seed {seed}: {counts:?}");
        assert!(counts.changes > 0 && counts.scans > 0 && counts.restores > 0, "{counts:?}");
    });
}
