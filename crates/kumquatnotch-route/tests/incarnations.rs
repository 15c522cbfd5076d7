//! Replicas that restart under their name, late writes of earlier incarnations, and entries of
//! other writers.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::Store;
use kumquatnotch_route::{
    mirror::{Mirror, MirrorOptions},
    names::ReplicaId,
    replica::{self, Replica, ReplicaSpec},
};
use schema::TestSchema;

/// Time after its report from which no request may be sent to a replica that drains: the shortest
/// that operators ask for.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time between two writes of a replica.
const HEARTBEAT_MS: u64 = 1_200;

/// A node with production options.
struct Node {
    tier: Tier,
    store: Rc<FakeStore>,
}

/// A node that knows a store with a configuration and `replicas`, each a name and an entry.
async fn node(replicas: &[(&str, &str)]) -> Node {
    let (tier, store) = (Tier::new(), Rc::new(FakeStore::default()));
    store.put("c", b"3");
    for (name, entry) in replicas {
        store.put(&format!("r/{name}"), entry.as_bytes());
    }
    let dyn_store: Rc<dyn Store> = store.clone();
    let options = MirrorOptions::default();
    Mirror::new(options, tier.router.clone(), dyn_store, Rc::new(TestSchema)).start();
    // Until vanished entries are no longer retained after the start.
    pause(2_800).await;
    Node { tier, store }
}

impl Node {
    fn replica(&self, id: &str) -> Rc<Replica> {
        self.tier.router.directory.find(&ReplicaId::from(id)).unwrap()
    }

    /// Returns the replica of service `s0` that the next request would be sent to.
    fn next_replica(&self) -> Option<String> {
        let router = &self.tier.router;
        let replicas = router.directory.of(&service("s0"));
        let pick = replica::pick(&replicas, &[], router.profile(&single()), router.clock.now())?;
        Some(pick.replica.id.as_str().to_owned())
    }
}

/// Guards against a restarted replica that is ignored for good because its clock was set back in
/// between: requests would be sent by what was known of its earlier incarnation.
#[test]
fn replica_that_restarts_with_its_clock_set_back_is_a_new_incarnation() {
    run(async {
        let node = node(&[("s0.a", "127.0.0.1:1@300#7")]).await;
        let first = node.replica("s0.a");

        node.store.put("r/s0.a", b"127.0.0.1:1@150#1");
        pause(DRAIN_LIMIT.as_millis() as u64).await;

        assert!(first.is_gone());
        assert_eq!(node.replica("s0.a").spec().born, Some(150));
    });
}

/// Guards against requests to a replica that drains, whose report is taken for a late write of an
/// earlier incarnation because its clock was set back before it restarted.
#[test]
fn drain_of_a_replica_whose_clock_was_set_back_is_obeyed() {
    run(async {
        let node = node(&[("s0.a", "127.0.0.1:1@300#7")]).await;

        // The next watch begins only after a pause.
        node.store.put("c", b"4");
        pause(30).await;
        node.store.put("r/s0.a", b"127.0.0.1:1!@150#1");
        pause(DRAIN_LIMIT.as_millis() as u64).await;

        assert_eq!(node.next_replica(), None);
    });
}

/// Guards against requests to a replica that drains when it restarted, with its clock set back,
/// while another one of its service is there.
#[test]
fn replica_that_drains_with_its_clock_set_back_is_used_last_at_once() {
    run(async {
        let replicas = [("s0.a", "127.0.0.1:1@300#7"), ("s0.b", "127.0.0.1:2@300#7")];
        let node = node(&replicas).await;

        node.store.put("r/s0.a", b"127.0.0.1:1!@150#1");
        pause(500).await;
        let soon = node.next_replica();
        pause(2_500).await;

        assert_eq!(soon.as_deref(), Some("s0.b"));
        assert!(node.replica("s0.a").spec().draining);
    });
}

/// Guards against a running replica that loses its connections and statistics, or is left out,
/// because a write of its earlier incarnation comes late. The replica overwrites it soon.
#[test]
fn late_write_of_an_earlier_incarnation_is_overwritten_without_effect() {
    run(async {
        let node = node(&[("s0.a", "127.0.0.1:1@100#7")]).await;
        node.store.put("r/s0.a", b"127.0.0.1:1@200#1");
        pause(500).await;
        let running = node.replica("s0.a");

        node.store.put("r/s0.a", b"127.0.0.1:1!@100#8");
        pause(HEARTBEAT_MS).await;
        let meanwhile = node.next_replica();
        node.store.put("r/s0.a", b"127.0.0.1:1@200#2");
        pause(2 * HEARTBEAT_MS).await;

        assert_eq!(meanwhile.as_deref(), Some("s0.a"));
        assert!(!running.is_gone());
        assert_eq!(running.spec().sequence, 2);
        let router = &node.tier.router;
        let rating = running.rate(router.profile(&single()), router.clock.now());
        assert!(rating.is_healthy(), "used like any other again");
    });
}

/// Guards against the return of a replica whose entry has gone while an entry with an earlier start
/// was held.
#[test]
fn held_entry_that_leaves_the_store_is_not_applied() {
    run(async {
        let node = node(&[("s0.a", "127.0.0.1:1@300#7")]).await;

        node.store.put("r/s0.a", b"127.0.0.1:1@150#1");
        pause(500).await;
        node.store.delete("r/s0.a");
        pause(3_000).await;

        assert_eq!(node.next_replica(), None);
    });
}

/// Guards against a replica that stays unused after another writer has put an entry under its name
/// that has a later start and a service that nobody knows.
#[test]
fn entry_of_another_service_with_a_later_start_does_not_lock_out_the_replica() {
    run(async {
        let tier = Tier::new();
        let (directory, now) = (&tier.router.directory, Instant::now());
        let id = ReplicaId::from("a");
        let entry = |name, born| {
            let spec = spec(name, refusing_address(), "home", false);
            ReplicaSpec { born: Some(born), ..spec }
        };
        directory.put(&id, entry("s0", 200), now);

        directory.put(&id, entry("unknown", 900), now);
        let meanwhile = directory.of(&service("s0")).len();
        directory.put(&id, entry("s0", 200), now);

        assert_eq!(meanwhile, 0);
        assert_eq!(directory.of(&service("s0")).len(), 1);
    });
}
