//! Entries of replicas that others have written, and writes of replicas that are done late.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::rc::Rc;

use common::*;
use fake::FakeStore;
use kumquatnotch_core::Store;
use kumquatnotch_route::{
    mirror::{Mirror, MirrorOptions},
    replica,
};
use schema::TestSchema;
use yare::parameterized;

/// Time until a node knows of a change.
const APPLY_MS: u64 = 500;

/// A node with production options that knows a store with this entry of replica `s0.a`.
async fn node(entry: &str) -> (Tier, Rc<FakeStore>) {
    let (tier, store) = (Tier::new(), Rc::new(FakeStore::default()));
    store.put("c", b"3");
    store.put("r/s0.a", entry.as_bytes());
    let dyn_store: Rc<dyn Store> = store.clone();
    let options = MirrorOptions::default();
    Mirror::new(options, tier.router.clone(), dyn_store, Rc::new(TestSchema)).start();
    // Until vanished entries are no longer retained after the start.
    pause(2_800).await;
    (tier, store)
}

/// Whether requests to service `s0` are sent to a replica.
fn is_used(tier: &Tier) -> bool {
    let router = &tier.router;
    let replicas = router.directory.of(&service("s0"));
    replica::pick(&replicas, &[], router.profile(&single()), router.clock.now()).is_some()
}

/// Guards against requests to a replica that drains: an entry of another writer, which knows no start,
/// puts it back to use, whether the replica's own entry is still there or not.
#[parameterized(
    while_it_drains = { "127.0.0.1:1!@300#7", false },
    after_it_has_left = { "127.0.0.1:1!@300#7", true },
    while_it_is_ready = { "127.0.0.1:1@300#7", false },
)]
fn entry_without_the_announced_start_names_no_replica(own: &str, has_left: bool) {
    run(async {
        let (tier, store) = node(own).await;

        if has_left {
            store.delete("r/s0.a");
            pause(APPLY_MS).await;
        }
        store.put("r/s0.a", b"127.0.0.1:1#1");
        pause(APPLY_MS).await;
        let by_other = is_used(&tier);
        store.put("r/s0.a", b"127.0.0.1:1@300#8");
        pause(APPLY_MS).await;

        assert!(!by_other, "it is used by the entry of another writer");
        assert!(is_used(&tier), "it is not used though it has written again");
    });
}

#[test]
fn replicas_that_announce_no_start_are_used() {
    run(async {
        let (tier, store) = node("127.0.0.1:1#7").await;

        store.put("r/s0.a", b"127.0.0.1:1#8");
        pause(APPLY_MS).await;

        assert!(is_used(&tier));
    });
}

/// Guards against requests to a replica that drains, as a write from before its report is done after
/// that report.
#[test]
fn late_write_from_before_a_drain_does_not_end_it() {
    run(async {
        let (tier, store) = node("127.0.0.1:1@300#7").await;
        store.put("r/s0.a", b"127.0.0.1:1!@300#9");
        pause(APPLY_MS).await;

        store.put("r/s0.a", b"127.0.0.1:1@300#8");
        pause(APPLY_MS).await;
        let after_late_write = is_used(&tier);
        store.put("r/s0.a", b"127.0.0.1:1@300#10");
        pause(APPLY_MS).await;

        assert!(!after_late_write);
        assert!(is_used(&tier), "the replica has ended its drain");
    });
}

/// Guards against a replica that is used for good after its entry was lost in an outage and another
/// writer has put one there that can't be read.
#[test]
fn unreadable_entry_ends_the_use_of_a_replica_whose_own_entry_had_vanished() {
    run(async {
        let (tier, store) = node("127.0.0.1:1@300#7").await;
        tier.router.extend_grace(std::time::Duration::from_secs(2));

        store.delete("r/s0.a");
        pause(APPLY_MS).await;
        let while_vanished = is_used(&tier);
        store.put("r/s0.a", b"no address");
        pause(APPLY_MS).await;

        assert!(while_vanished, "it is retained around an outage");
        assert!(!is_used(&tier));
    });
}
