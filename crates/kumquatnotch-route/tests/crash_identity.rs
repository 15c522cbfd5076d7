//! What counts as one crash of a replica, and what identifies the request that caused it.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{net::SocketAddr, rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Clock, Store, clock::RuntimeClock, codec, collections::HashSet, ids::stable_hash,
};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, CrashRecord, MIN_CRASHES, Verdict};
use kumquatnotch_route::{
    crash_check,
    crash_records::{CrashRecords, record_key},
    mirror::Mirror,
    names::ReplicaId,
    replica::ReplicaSpec,
};
use schema::{TestSchema, options};
use standins::scripted::Step;

/// Time after which a crash is known to the node.
const DETECTION_MS: u64 = 800;

/// Registers an incarnation of replica `s0-a`.
fn register(tier: &Tier, address: SocketAddr, born: Option<u64>) {
    let spec = ReplicaSpec { born, ..spec("s0", address, "home", false) };
    tier.router.directory.put(&ReplicaId::from("s0-a"), spec, Instant::now());
}

/// The crash of the registered incarnation.
fn crash_of(tier: &Tier) -> Crash {
    let replica = tier.router.directory.find(&ReplicaId::from("s0-a")).unwrap();
    crash_check::crash(&service("s0"), &replica)
}

/// The request that `Tier::post` sends.
fn posted(path: &str) -> Request {
    let mut request = Request::post(path, "text/plain", b"body".to_vec());
    request.headers.insert(http::header::HOST, http::HeaderValue::from_static(HOST));
    request
}

/// Guards against a request that is never held back, as the replicas that it crashes start again
/// under their ids and are fewer than the crashes that count.
#[test]
fn crashes_of_a_replica_that_keeps_its_id_count_each() {
    run(async {
        let tier = Tier::serving(exclusive());

        let mut statuses = Vec::new();
        for born in 1..7 {
            let replica = scripted_replica(|_| vec![Step::Close]);
            register(&tier, replica.address, Some(born));
            let answer = tier.post("/a/crash", &format!("r{born}"), b"body").await;
            statuses.push(answer.status);
            drop(replica);
            pause(DETECTION_MS).await;
        }

        assert_eq!(statuses, [502, 502, 502, 502, 503, 503]);
    });
}

/// Guards against a crash that is not counted because the replica was back at its address before
/// the node looked.
#[test]
fn crash_counts_if_the_replica_is_back_at_once() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = scripted_replica(|_| vec![Step::Close]);
        register(&tier, replica.address, Some(1));
        let crashed = crash_of(&tier);

        tier.post("/a/crash", "r1", b"body").await;
        register(&tier, replica.address, Some(2));
        pause(DETECTION_MS).await;

        let record = tier.router.crashes.record(crash_check::fingerprint(&posted("/a/crash")));
        assert_eq!(record.map(|record| record.crashes), Some(vec![crashed]));
    });
}

/// Guards against nodes that count one crash twice, and against two crashes that count as one.
#[test]
fn crash_is_the_same_at_all_nodes_and_differs_by_incarnation() {
    run(async {
        let tiers = [(); 2].map(|()| Tier::serving(single()));
        let crashes = |born| {
            tiers.each_ref().map(|tier| {
                register(tier, refusing_address(), born);
                crash_of(tier)
            })
        };

        let seen = [None, Some(1), Some(2)].map(crashes);

        assert!(seen.iter().all(|[first, second]| first == second));
        assert_eq!(seen.iter().map(|[first, _]| *first).collect::<HashSet<_>>().len(), 3);
    });
}

/// Guards against records of the release before that no longer hold a request back. They name
/// replicas by id.
#[test]
fn records_of_the_release_before_count() {
    run(async {
        let store = Rc::new(FakeStore::default());
        store.put("c", b"3");
        let ids = ["a", "b", "c"].map(|id| stable_hash(&[id.as_bytes()]));
        let fingerprint = crash_check::fingerprint(&posted("/a/crash"));
        let record = (ids.map(|id| (id, 7_u64)), 0_u32, "/a/crash", 1_u64 << 40);
        store.put(&record_key("x/", fingerprint), &codec::encode(&record).unwrap());

        let tier = Tier::new();
        let shared: Rc<dyn Store> = store.clone();
        Mirror::new(options(), tier.router.clone(), shared.clone(), Rc::new(TestSchema)).start();
        CrashRecords::new(tier.router.clone(), shared, "x/").start();
        pause(100).await;

        let known = tier.router.crashes.record(fingerprint).unwrap();
        assert_eq!(known.crashes.iter().map(|crash| crash.incarnation).collect::<Vec<_>>(), ids);
        assert_eq!(tier.router.crashes.verdict(fingerprint, RuntimeClock.now()), Verdict::Trial);
    });
}

/// Guards against a node of the release before that can't read a record of this one, and lets the
/// request in.
#[test]
fn record_keeps_the_form_of_the_release_before() {
    let crashes = (1..=MIN_CRASHES as u64).map(|incarnation| Crash { incarnation, service: 7 });
    let record = CrashRecord { crashes: crashes.collect(), ..CrashRecord::new("/a/crash", 5) };

    let written = codec::encode(&record).unwrap();

    let form: (Vec<(u64, u64)>, u32, String, u64) = codec::decode(&written).unwrap();
    assert_eq!(form, (vec![(1, 7), (2, 7), (3, 7)], 0, "/a/crash".to_owned(), 5));
}

/// The request of a caller with these credentials.
fn request_of(caller: Option<&'static str>) -> Request {
    let mut request = posted("/a/today");
    if let Some(caller) = caller {
        let caller = http::HeaderValue::from_static(caller);
        request.headers.insert(http::header::AUTHORIZATION, caller);
    }
    request
}

/// Guards against requests of two callers that count as one, and against one that is not recognised
/// when its caller sends it again, by a node of the release before among others.
#[test]
fn caller_identifies_a_request() {
    let [none, first, second] = [None, Some("one"), Some("two")]
        .map(|caller| crash_check::fingerprint(&request_of(caller)));
    let mut again = request_of(Some("one"));
    again.headers.insert("x-request-id", http::HeaderValue::from_static("r2"));
    let before = ["POST", HOST, "/a/today", "", "body"].map(str::as_bytes);

    assert!(none != first && none != second && first != second);
    assert_eq!(crash_check::fingerprint(&again), first);
    assert_eq!(none.0, stable_hash(&before));
}

/// Guards against a request that crashes replicas and is never held back, as others are answered at
/// its path; and against others that are refused with it.
#[test]
fn answers_to_other_callers_do_not_speak_for_a_request() {
    run(async {
        let tier = Tier::serving(single());
        let send = async |caller: &str, identity: &str| {
            let headers = [("host", HOST), ("x-request-id", identity), ("authorization", caller)];
            let client = tier.client();
            client.send("POST", "/a/today", &headers, "body".into()).await.unwrap().status
        };

        let mut statuses = Vec::new();
        for born in 1..6 {
            let replica = scripted_replica(|request| match header(request, "authorization") {
                "crash" => vec![Step::Close],
                _ => vec![proven_reply(request, "p", b"body")],
            });
            register(&tier, replica.address, Some(born));
            let other = send("other", &format!("o{born}")).await;
            statuses.push((other, send("crash", &format!("c{born}")).await));
            drop(replica);
            pause(DETECTION_MS).await;
        }

        let (sent, refused) = ((200, 502), (200, 503));
        assert_eq!(statuses, [sent, sent, sent, sent, refused]);
    });
}
