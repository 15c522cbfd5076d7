//! Memory of a process while configurations come in quick succession.
//!
//! Alone in its file, because memory is measured for the whole process.

use std::{fs, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Clock,
    clock::PausedClock,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan, VALUE_LIMIT},
};
use kumquatnotch_route::journal::{Journal, StoreUpdate};

/// Number of changes; at 20 a second, ten minutes.
const CHANGES: u64 = 12_000;
/// Interval between changes.
const INTERVAL: Duration = Duration::from_millis(50);
/// Number of changes after which the follower asks again.
const FOLLOW_STEP: u64 = 7;
/// Maximum growth, in MiB.
const MAX_GROWTH: u64 = 40;

/// Returns the peak memory of this process, in MiB.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
}

fn config(revision: u64) -> StoreItem {
    let value = vec![revision as u8; VALUE_LIMIT];
    StoreItem { key: "c".to_owned(), value, revision }
}

fn apply(journal: &Journal, update: StoreUpdate, clock: &PausedClock) {
    match update {
        StoreUpdate::Changes(changes) => journal.extend(&changes, clock.now()),
        StoreUpdate::Full(scan) => journal.reset(&scan, clock.now()),
    }
}

/// Guards against nodes that all exceed their memory after some hundred changes, and are killed.
#[test]
fn memory_is_independent_of_the_number_of_configurations() {
    standins::block_on(async {
        let clock = Rc::new(PausedClock::default());
        let [alone, followed, follower] = [(); 3].map(|()| Journal::new(clock.clone()));
        let scan = StoreScan { items: vec![config(1)], revision: 1 };
        [&alone, &followed, &follower].iter().for_each(|node| node.reset(&scan, clock.now()));
        let before = peak_memory();

        for revision in 2..=CHANGES {
            clock.advance(INTERVAL);
            let events = vec![StoreEvent::Written(config(revision))];
            let changes = StoreChanges { events, revision };
            alone.extend(&changes, clock.now());
            followed.extend(&changes, clock.now());
            if revision % FOLLOW_STEP == 0 {
                followed.note_follower_request();
                let update = followed.updates_after(follower.revision(), Duration::ZERO).await;
                apply(&follower, update, &clock);
            }
        }

        let growth = peak_memory() - before;
        println!("peak memory: {before} MiB before, {growth} MiB more after {CHANGES} changes");
        assert!(growth <= MAX_GROWTH, "grew by {growth} MiB");
        assert!(follower.revision() > CHANGES - FOLLOW_STEP);
    });
}
