//! Numbers from other processes that are far outside their usual range.

mod common;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::*;
use kumquatnotch_core::{codec, ids::Fingerprint};
use kumquatnotch_policy::crashes::{Crash, CrashRecord};
use kumquatnotch_route::{
    crash_alarm,
    fleet::NodeRecord,
    follow::{self, FOLLOW_PATH},
    relay::PROBE_PATH,
    relay_message::RelayReply,
    replica::Replica,
};
use standins::scripted::{Scripted, answer};
use yare::parameterized;

/// Guards against a reply whose header ends the process by an overflow.
#[parameterized(
    idle_of_all_time = { "keep-alive", "timeout=18446744073709551615" },
    idle_beyond_64_bits = { "keep-alive", "timeout=18446744073709551616, max=99999999999999999999" },
    negative_idle = { "keep-alive", "timeout=-1" },
    no_idle = { "keep-alive", "timeout=0" },
    load_that_overflows = { "x-load", "4294967295,4294967295,1,4294967295" },
    load_of_zero_slowdown = { "x-load", "0,0,0,0" },
)]
fn replies_with_extreme_headers_are_delivered(name: &str, value: &str) {
    run(async {
        let tier = Tier::serving(single());
        let header_line = (name.to_owned(), value.to_owned());
        let replica = scripted_replica(move |request| {
            let identity = header(request, "x-request-id");
            let (name, value) = (&*header_line.0, &*header_line.1);
            let headers = [("x-request-id", identity), ("x-proof", "p"), (name, value)];
            vec![answer(200, &headers, b"body")]
        });
        tier.add("s0", replica.address);

        let mut statuses = Vec::new();
        for number in 0..4 {
            statuses.push(tier.get("/a/x", &format!("r{number}")).await.status);
        }

        assert_eq!(statuses, [200; 4]);
        assert_eq!(replica.requests().len(), 4);
    });
}

/// Guards against one absurd load after which a replica gets no requests for weeks.
#[test]
fn reported_load_is_bounded() {
    run(async {
        let tier = Tier::serving(single());
        let replica = scripted_replica(|request| {
            let identity = header(request, "x-request-id");
            vec![answer(200, &[("x-request-id", identity), ("x-load", "4294967295,0,1")], b"x")]
        });
        let id = tier.add("s0", replica.address);

        tier.get("/a/x", "r1").await;

        let replica = tier.router.directory.find(&id).unwrap();
        let later = Instant::now() + Duration::from_secs(600);
        assert!(!replica.observed.is_full(later), "{}", replica.observed.load(later));
    });
}

/// A replica that answers with a part of a search.
fn part() -> Scripted {
    replica("p", &[1; 16])
}

/// Guards against a node that ends, or floods the replicas, by the numbers in the reply of a relay.
#[parameterized(
    too_many_parts = { 9, vec![] },
    more_than_asked_for = { 3, vec![2] },
    repeated = { 0, vec![0; 5_000] },
    out_of_range = { 2, vec![usize::MAX] },
)]
fn replies_of_relays_are_checked(proofs: usize, missing: Vec<usize>) {
    run(async {
        let home = Tier::at(100.0, "home");
        home.put(1, vec![shards(3, 0.6)]);
        let relay = Scripted::start(move |request| match request.path.as_str() {
            PROBE_PATH => vec![answer(200, &[], b"")],
            _ => {
                let proofs = vec![Bytes::from_static(b"p"); proofs];
                let reply = RelayReply { proofs, missing: missing.clone(), ..Default::default() };
                vec![answer(200, &[], &codec::encode(&reply).unwrap())]
            }
        })
        .unwrap();
        home.add_node("a1", "away", relay.address);
        let replicas = [part(), part(), part()];
        for (index, replica) in replicas.iter().enumerate() {
            home.add_in(&format!("s{index}"), replica.address, "away");
        }

        let answer = home.get("/a/", "r1").await;

        assert_eq!((answer.status, &answer.headers["x-missing"]), (200, &"0".parse().unwrap()));
        assert_eq!(answer.headers["x-proofs"], "p, p, p");
        assert_eq!(replicas.each_ref().map(|replica| replica.requests().len()), [1; 3]);
    });
}

/// Guards against a node that keeps entries which have vanished for good, as another one told it
/// to keep them that long.
#[test]
fn grace_of_another_node_is_bounded() {
    run(async {
        let tier = Tier::serving(single());
        let no_changes: Vec<(String, u64, Option<Bytes>)> = Vec::new();
        let reply = codec::encode(&(false, no_changes, 7_u64, u64::MAX, u64::MAX)).unwrap();
        let source = Scripted::start(move |request| match request.path.as_str() {
            FOLLOW_PATH => vec![answer(200, &[], &reply)],
            _ => vec![answer(200, &[], b"")],
        })
        .unwrap();
        tier.add_node("n1", "home", source.address);
        let peer: Rc<Replica> = tier.router.fleet.peer(&"n1".into()).unwrap();

        let update = follow::fetch(&tier.router, &peer, 1, Duration::ZERO).await.unwrap();

        assert!(update.grace <= Duration::from_secs(60), "{:?}", update.grace);
        assert!(update.age > follow::MAX_AGE);
    });
}

/// Guards against nodes or store entries that fill the memory by the records of crashes.
#[test]
fn records_of_crashes_are_bounded_where_they_are_decoded() {
    run(async {
        let tier = Tier::serving(single());
        let crashes = (0..50_000).map(|number| Crash { incarnation: number, service: number });
        let record = CrashRecord {
            crashes: crashes.collect(),
            trials: u32::MAX,
            target: "é".repeat(300_000),
            created_s: u64::MAX,
        };
        let fingerprint = Fingerprint(5);
        let message = codec::encode(&(fingerprint, &record)).unwrap();

        crash_alarm::receive(&tier.router, &message).unwrap();

        let known = tier.router.crashes.record(fingerprint).unwrap();
        assert!(known.target.len() <= 200 && known.target.starts_with('é'));
        let decoded: CrashRecord = codec::decode(&codec::encode(&record).unwrap()).unwrap();
        assert!(decoded.target.len() <= 200 && decoded.crashes.len() <= 3);
        assert!(decoded.trials < u32::MAX);
    });
}

/// Guards against a node whose share of the retry budget is no number, or takes that of all others.
#[parameterized(
    no_number = { f64::NAN },
    infinite = { f64::INFINITY },
    negative = { -1e300 },
    zero = { 0.0 },
)]
fn capacities_of_nodes_are_bounded_where_they_are_decoded(capacity: f64) {
    let entry = node_entry(refusing_address(), capacity);

    let record: NodeRecord = codec::decode(&entry).unwrap();

    assert!(record.capacity >= 0.01 && record.capacity <= 1_024.0, "{}", record.capacity);
}
