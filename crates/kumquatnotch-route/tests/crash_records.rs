//! Records of requests that crash replicas, shared through the store.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Duration};

use common::*;
use fake::FakeStore;
use http::HeaderValue;
use kumquatnotch_core::{
    Clock, Store, clock::RuntimeClock, codec, ids::Fingerprint, lifecycle::Stage,
};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, CrashRecord, MAX_TRIALS, Verdict};
use kumquatnotch_route::{
    crash_check,
    crash_records::{Claim, CrashRecords},
    mirror::Mirror,
};
use schema::{TestSchema, options};
use standins::scripted::Step;

const PRINT: Fingerprint = Fingerprint(7);
const KEY: &str = "x/0000000000000007";

struct Node {
    tier: Tier,
    records: Rc<CrashRecords>,
}

impl Node {
    /// Starts a node that follows `store`.
    fn start(store: &Rc<FakeStore>) -> Node {
        let tier = Tier::new();
        let dyn_store: Rc<dyn Store> = store.clone();
        let router = tier.router.clone();
        Mirror::new(options(), router.clone(), dyn_store.clone(), Rc::new(TestSchema)).start();
        let records = CrashRecords::new(router, dyn_store, "x/");
        records.start();
        Node { tier, records }
    }

    /// Notes that these replicas crashed with the request, and publishes it.
    fn crash(&self, replicas: &[u64]) {
        for replica in replicas {
            let crash = Crash { incarnation: *replica, service: *replica };
            let (record, now) = (CrashRecord::new("/a/crash", 1 << 40), RuntimeClock.now());
            self.tier.router.crashes.note_crash(PRINT, crash, record, now);
        }
        self.tier.router.publish_crashes(PRINT);
    }

    fn verdict(&self) -> Verdict {
        self.tier.router.crashes.verdict(PRINT, RuntimeClock.now())
    }
}

fn store() -> Rc<FakeStore> {
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    store
}

fn stored(store: &FakeStore) -> Option<CrashRecord> {
    store.items.borrow().get(KEY).map(|item| codec::decode(&item.value).unwrap())
}

/// Guards against crashes that no node counts, as each saw fewer than are needed.
#[test]
fn crashes_of_all_nodes_are_added_up() {
    run(async {
        let store = store();
        let nodes = [(); 3].map(|()| Node::start(&store));
        pause(50).await;

        nodes[0].crash(&[1]);
        nodes[1].crash(&[2, 1]);
        pause(200).await;
        let two = nodes[2].verdict();
        nodes[2].crash(&[3]);
        pause(200).await;

        assert_eq!(two, Verdict::Free);
        assert!(nodes.iter().all(|node| node.verdict() == Verdict::Trial));
        assert_eq!(stored(&store).unwrap().crashes.len(), 3);
    });
}

/// Guards against a node on standby that has no lease and tells nobody of the crashes it saw, and
/// against a record that is lost with the node.
#[test]
fn record_has_no_lease_and_is_known_to_nodes_that_start_later() {
    run(async {
        let store = store();
        let node = Node::start(&store);
        pause(50).await;
        node.crash(&[1, 2, 3]);
        pause(100).await;
        drop(node);

        let later = Node::start(&store);
        pause(100).await;

        assert_eq!(later.verdict(), Verdict::Trial);
        assert_eq!(store.granted_leases.get(), 0);
    });
}

/// Guards against nodes that each let in the request when a refusal ends: callers ask all of them
/// at once, before any has heard of a trial.
#[test]
fn one_of_many_nodes_starts_the_trial() {
    run(async {
        let store = store();
        let nodes = [(); 12].map(|()| Node::start(&store));
        pause(50).await;
        nodes[0].crash(&[1, 2, 3]);
        pause(200).await;

        store.hides_changes.set(true);
        let claims = nodes.iter().map(|node| node.records.claim(PRINT));
        let claims = futures_util::future::join_all(claims).await;

        let granted = claims.iter().filter(|claim| **claim == Claim::Granted).count();
        assert_eq!((granted, stored(&store).unwrap().trials), (1, 1));
        assert!(nodes.iter().all(|node| node.verdict() != Verdict::Trial));
    });
}

/// Guards against a harmless request that is refused for as long as the store is away: a node
/// then decides alone, and starts no more trials than it would with the store.
#[test]
fn node_decides_alone_while_the_store_is_away() {
    run(async {
        let store = store();
        let node = Node::start(&store);
        pause(50).await;
        store.unresponsive.set(true);

        node.crash(&[1, 2, 3]);
        let first = node.records.claim(PRINT).await;
        let second = node.records.claim(PRINT).await;

        assert_eq!(first, Claim::Granted);
        assert!(matches!(second, Claim::Granted if MAX_TRIALS > 1) || second != Claim::Granted);
        assert!(matches!(node.verdict(), Verdict::Refused { .. }));
    });
}

/// Guards against crashes that are told to nobody because the store was away when they came.
#[test]
fn record_is_written_when_the_store_is_back() {
    run(async {
        let store = store();
        let nodes = [(); 2].map(|()| Node::start(&store));
        pause(50).await;

        store.unavailable.set(true);
        nodes[0].crash(&[1, 2, 3]);
        pause(800).await;
        store.unavailable.set(false);
        pause(1_500).await;

        assert_eq!(nodes[1].verdict(), Verdict::Trial);
    });
}

/// Guards against a record that is gone because the store came back from an older copy, and
/// against trials that start over.
#[test]
fn record_survives_a_restore_of_the_store() {
    run(async {
        let store = store();
        let node = Node::start(&store);
        pause(50).await;
        let copy = store.items.borrow().clone();
        node.crash(&[1, 2, 3]);
        pause(100).await;
        let before = node.records.claim(PRINT).await;
        pause(100).await;

        store.restore(&copy);
        pause(1_500).await;

        assert_eq!(before, Claim::Granted);
        assert_eq!(stored(&store).map(|record| record.trials), Some(1));
        assert!(matches!(node.verdict(), Verdict::Refused { .. }));
    });
}

/// Guards against a request that stays refused at other nodes after a reply has acquitted it at
/// one, or an operator has lifted its refusal.
#[test]
fn deleted_record_frees_the_request_on_all_nodes() {
    run(async {
        let store = store();
        let nodes = [(); 3].map(|()| Node::start(&store));
        pause(50).await;
        nodes[0].crash(&[1, 2, 3]);
        pause(200).await;

        nodes[1].records.delete(PRINT);
        pause(300).await;

        assert!(nodes.iter().all(|node| node.verdict() == Verdict::Free));
        assert_eq!(stored(&store), None);
    });
}

/// Guards against a popular request that is refused everywhere because a node that has just started
/// saw it at crashes: another node has answered it a moment before.
#[test]
fn node_that_answered_a_request_speaks_for_it() {
    run(async {
        let store = store();
        let nodes = [(); 2].map(|()| Node::start(&store));
        pause(50).await;

        nodes[1].tier.router.crashes.note_answer(PRINT, RuntimeClock.now());
        nodes[0].crash(&[1, 2, 3]);
        pause(300).await;

        assert_eq!((nodes[0].verdict(), stored(&store)), (Verdict::Free, None));
    });
}

/// Guards against a trial that reached no replica and counts as failed, so that a harmless request
/// waits for a minute.
#[test]
fn released_trial_may_be_started_by_another_node() {
    run(async {
        let store = store();
        let nodes = [(); 2].map(|()| Node::start(&store));
        pause(50).await;
        nodes[0].crash(&[1, 2, 3]);
        pause(200).await;

        nodes[0].records.claim(PRINT).await;
        pause(200).await;
        nodes[0].records.release(PRINT).await;
        pause(200).await;

        assert_eq!(nodes[1].verdict(), Verdict::Trial);
        assert_eq!(nodes[1].records.claim(PRINT).await, Claim::Granted);
    });
}

/// Guards against a record whose age no node notices, after which the request is never free.
#[test]
fn expired_record_is_ignored() {
    run(async {
        let store = store();
        let crashes = (1..4).map(|number| Crash { incarnation: number, service: number }).collect();
        let record = CrashRecord { crashes, ..CrashRecord::new("/a/crash", 1_000) };
        store.put(KEY, &codec::encode(&record).unwrap());

        let node = Node::start(&store);
        pause(Duration::from_millis(100).as_millis() as u64).await;

        assert_eq!(node.verdict(), Verdict::Free);
    });
}

/// Guards against a trial that is cut at the exit of its node, as its reply waits until the trial has
/// been taken back in a store that is slow.
#[test]
fn trial_that_ends_with_its_node_is_answered_while_the_store_is_slow() {
    run(async {
        let store = store();
        let tier = Tier::serving(single());
        let shared: Rc<dyn Store> = store.clone();
        CrashRecords::new(tier.router.clone(), shared, "x/").start();
        let silent = scripted_replica(|_| vec![Step::Silence]);
        tier.add("s0", silent.address);
        let mut request = Request::get("/a/x");
        request.headers.insert("host", HeaderValue::from_static(HOST));
        let print = crash_check::fingerprint(&request);
        for replica in 0..3 {
            let crash = Crash { incarnation: replica, service: replica };
            let (record, now) = (CrashRecord::new("/a/x", 1 << 40), RuntimeClock.now());
            tier.router.crashes.note_crash(print, crash, record, now);
        }
        let lifecycle = tier.router.lifecycle.clone();
        monoio::spawn(async move {
            pause(200).await;
            store.unresponsive.set(true);
            lifecycle.advance(Stage::Ending);
        });
        let start = RuntimeClock.now();

        let answer = tier.get("/a/x", "r1").await;

        assert_eq!(answer.status, 502);
        let took = RuntimeClock.now() - start;
        assert!(took < Duration::from_millis(500), "{took:?}");
        assert_eq!(silent.requests().iter().filter(|request| request.path == "/a/x").count(), 1);
    });
}
