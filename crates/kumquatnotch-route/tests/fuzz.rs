//! Fuzzing of the messages between nodes.
//!
//! The seed is fixed. By hand, with others and for longer:
//! `PROPTEST_RNG_SEED=7 PROPTEST_CASES=300000 cargo test -p kumquatnotch-route --test fuzz`.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::*;
use kumquatnotch_core::codec;
use kumquatnotch_policy::crashes::CrashRecord;
use kumquatnotch_route::{
    crash_alarm,
    fleet::NodeRecord,
    relay_message::{RelayReply, RelayRequest},
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Seed unless another one is set in the environment.
const SEED: u64 = 41;

/// Number of cases unless more are set in the environment.
const CASES: u32 = 5_000;

/// Longest time by which a message may move an instant.
const MAX_SPAN: Duration = Duration::from_micros(u64::MAX);

fn config_of_run() -> ProptestConfig {
    let given = ProptestConfig::default();
    let rng_seed = match given.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        fixed => fixed,
    };
    ProptestConfig { rng_seed, cases: given.cases.max(CASES), failure_persistence: None, ..given }
}

fn relay_request() -> RelayRequest {
    RelayRequest {
        route: "route".to_owned(),
        attempts: 2,
        priority: 1,
        objective_us: 200_000,
        due_us: 100_000,
        left_us: 900_000,
        top: 3,
        enough: 1,
        shards: vec![("s0".to_owned(), vec!["r0".to_owned()])],
        method: "GET".to_owned(),
        target: "/a/x?y=1".to_owned(),
        headers: vec![("x-request-id".to_owned(), Bytes::from_static(b"r1"))],
        body: Bytes::from_static(b"body"),
    }
}

fn relay_reply() -> RelayReply {
    let proofs = vec![Bytes::from_static(b"p"); 2];
    RelayReply { proofs, missing: vec![0, 2], ran: true, took_us: 5, ..Default::default() }
}

fn record() -> CrashRecord {
    CrashRecord::new("/a/crash", 1_000)
}

/// Decodes `bytes` as each message, and uses what was decoded as a node does.
fn check(bytes: &[u8], tier: &Tier) {
    if let Ok(message) = codec::decode::<RelayRequest>(bytes) {
        let route = message.route();
        assert!(route.timeout <= MAX_SPAN && Instant::now().checked_add(route.timeout).is_some());
        let _ = message.request();
    }
    if let Ok(reply) = RelayReply::decode(bytes, 4) {
        assert!(reply.proofs.len() + reply.missing.len() <= 4);
        assert!(reply.missing.iter().all(|index| *index < 4));
    }
    if let Ok(record) = codec::decode::<CrashRecord>(bytes) {
        assert!(record.crashes.len() <= 3 && record.target.len() <= 200);
    }
    if let Ok(record) = codec::decode::<NodeRecord>(bytes) {
        assert!(record.capacity >= 0.01 && record.capacity <= 1_024.0);
    }
    let _ = crash_alarm::receive(&tier.router, bytes);
}

/// Changes single bytes of an encoded message.
fn mutated(mut bytes: Vec<u8>, changes: &[(usize, u8)]) -> Vec<u8> {
    for (at, byte) in changes {
        let count = bytes.len();
        bytes[at % count] = *byte;
    }
    bytes
}

/// Marker bytes of long integers, arrays, strings and numbers that are no number.
fn odd_byte() -> impl Strategy<Value = u8> {
    prop_oneof![any::<u8>(), 0xc0..=0xdf_u8, Just(0xff), Just(0x7f)]
}

proptest! {
    #![proptest_config(config_of_run())]

    /// Guards against a message of another node, or of another program at its address, that ends
    /// this one.
    #[test]
    fn messages_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        changes in prop::collection::vec((any::<usize>(), odd_byte()), 1..5),
    ) {
        run(async {
            let tier = Tier::new();
            check(&bytes, &tier);
            check(&mutated(codec::encode(&relay_request()).unwrap(), &changes), &tier);
            check(&mutated(codec::encode(&relay_reply()).unwrap(), &changes), &tier);
            check(&mutated(codec::encode(&record()).unwrap(), &changes), &tier);
            let entry = node_entry("127.0.0.1:1".parse().unwrap(), 1.0);
            check(&mutated(entry, &changes), &tier);
        });
    }
}
