//! Size of what a journal sends to followers while large configurations come.

use std::{rc::Rc, time::Duration};

use kumquatnotch_core::{
    Clock,
    clock::PausedClock,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan, VALUE_LIMIT},
};
use kumquatnotch_route::journal::{Journal, StoreUpdate};

/// Maximum size of a reply that a follower reads, less its encoding.
const READABLE_BYTES: usize = 7 << 19;

fn journal(items: Vec<StoreItem>) -> (Rc<PausedClock>, Journal) {
    let clock = Rc::new(PausedClock::default());
    let journal = Journal::new(clock.clone());
    journal.reset(&StoreScan { items, revision: 1 }, clock.now());
    (clock, journal)
}

fn item(key: &str, revision: u64, size: usize) -> StoreItem {
    StoreItem { key: key.to_owned(), value: vec![revision as u8; size], revision }
}

fn write(journal: &Journal, clock: &PausedClock, item: StoreItem) {
    let revision = item.revision;
    let events = vec![StoreEvent::Written(item)];
    journal.extend(&StoreChanges { events, revision }, clock.now());
}

async fn changes(journal: &Journal, after: u64) -> StoreChanges {
    match journal.updates_after(after, Duration::ZERO).await {
        StoreUpdate::Changes(changes) => changes,
        StoreUpdate::Full(_) => panic!("unexpected full state"),
    }
}

fn value_bytes(events: &[StoreEvent]) -> usize {
    let sizes = events.iter().map(|event| match event {
        StoreEvent::Written(item) => item.value.len(),
        StoreEvent::Deleted { .. } => 0,
    });
    sizes.sum()
}

/// Guards against a node that keeps every version of a large configuration, and against a reply
/// that is too long for a follower to read.
#[test]
fn versions_of_a_large_configuration_are_not_kept() {
    standins::block_on(async {
        let (clock, journal) = journal(vec![item("c", 1, VALUE_LIMIT)]);

        for revision in 2..=101 {
            write(&journal, &clock, item("c", revision, VALUE_LIMIT));
        }
        let StoreChanges { events, revision } = changes(&journal, 1).await;

        let bytes = value_bytes(&events);
        assert!(bytes <= READABLE_BYTES, "{bytes} bytes are kept");
        assert_eq!((events.last().map(StoreEvent::revision), revision), (Some(101), 101));
    });
}

/// Guards against a follower that sees a replica vanish but not that it drained before, because
/// large configurations came in between.
#[test]
fn changes_of_small_entries_are_kept_between_large_configurations() {
    standins::block_on(async {
        let (clock, journal) = journal(vec![item("c", 1, VALUE_LIMIT)]);

        for revision in (2..=400).step_by(2) {
            write(&journal, &clock, item("r/a", revision, 250));
            write(&journal, &clock, item("c", revision + 1, VALUE_LIMIT));
        }
        let StoreChanges { events, .. } = changes(&journal, 1).await;

        let small = events.iter().filter(|event| event.key() == "r/a");
        let revisions: Vec<u64> = small.map(StoreEvent::revision).collect();
        assert_eq!(revisions, (2..=400).step_by(2).collect::<Vec<u64>>());
    });
}

/// Guards against history that is dropped for values that the state holds in any case.
#[test]
fn current_values_do_not_displace_changes() {
    standins::block_on(async {
        let (clock, journal) = journal(Vec::new());

        write(&journal, &clock, item("r/a", 2, 250));
        for revision in 3..=6 {
            write(&journal, &clock, item(&format!("c{revision}"), revision, VALUE_LIMIT));
        }
        let StoreChanges { events, .. } = changes(&journal, 1).await;

        let revisions: Vec<u64> = events.iter().map(StoreEvent::revision).collect();
        assert_eq!(revisions, [2, 3, 4, 5, 6]);
    });
}

/// Guards against a change that is lost to followers after a full scan that confirms its value.
#[test]
fn a_scan_with_the_same_values_keeps_the_changes() {
    standins::block_on(async {
        let (clock, journal) = journal(Vec::new());
        let items: Vec<StoreItem> =
            (2..=6).map(|revision| item(&format!("c{revision}"), revision, VALUE_LIMIT)).collect();
        items.iter().for_each(|item| write(&journal, &clock, item.clone()));

        journal.reset(&StoreScan { items, revision: 9 }, clock.now());
        let StoreChanges { events, revision } = changes(&journal, 3).await;

        let revisions: Vec<u64> = events.iter().map(StoreEvent::revision).collect();
        assert_eq!((revisions, revision), (vec![4, 5, 6], 9));
    });
}

/// Guards against a follower that skips changes that are no longer kept.
#[test]
fn a_follower_behind_all_kept_changes_gets_the_full_state() {
    standins::block_on(async {
        let (clock, journal) = journal(vec![item("c", 1, VALUE_LIMIT)]);

        for revision in 2..=2_002 {
            write(&journal, &clock, item("r/a", revision, 0));
        }
        let update = journal.updates_after(1, Duration::ZERO).await;

        let StoreUpdate::Full(StoreScan { items, revision }) = update else {
            panic!("expected the full state");
        };
        assert_eq!((items.len(), revision), (2, 2_002));
        assert_eq!(changes(&journal, 2).await.events.len(), 2_000);
    });
}
