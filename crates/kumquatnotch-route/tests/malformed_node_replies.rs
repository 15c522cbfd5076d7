//! Malformed replies by which a node would learn of replicas, of other nodes and of the store.

mod common;
#[path = "common/malformed.rs"]
mod played;

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::*;
use kumquatnotch_core::{codec, store::StoreScan};
use kumquatnotch_net::message::Request as NodeRequest;
use kumquatnotch_policy::observed::Fitness;
use kumquatnotch_route::{
    follow::{self, FOLLOW_PATH},
    names::ReplicaId,
    relay::{PROBE_PATH, RELAY_PATH, RUNNING_PATH},
    relay_message::RelayReply,
};
use played::{BODY, CONNECTIONS, PROOF, SOUND, is_leaked, play};
use standins::{
    http::{Answer, Request},
    malformed,
    scripted::{Scripted, Step, answer},
};

/// How long a suspected replica is watched; it is probed many times.
const PROBE_WATCH_MS: u64 = 400;

/// Headers of the reply that a malformed one of a node is made of.
const HEADERS: [(&str, &str); 1] = [("a", "b")];

/// Guards against a replica that gets requests again because its replies to probes are taken for
/// sound ones.
#[test]
fn malformed_reply_to_a_probe_shows_no_health() {
    run(async {
        let wrong = play(malformed::all(), &[false], |reply, pace, _| async move {
            let tier = Tier::serving(single());
            let faulty = Scripted::start(move |request| match &*request.path {
                "/probe" => reply.steps(&HEADERS, BODY, pace),
                _ => vec![Step::Send(b"no answer\r\n\r\n".to_vec())],
            });
            let faulty = faulty.unwrap();
            let id = tier.add("s0", faulty.address);
            tier.get("/a/x", "first").await;

            pause(PROBE_WATCH_MS).await;

            let replica = tier.router.directory.find(&id).unwrap();
            let is_probed = faulty.requests().iter().any(|request| request.path == "/probe");
            replica.observed.fitness() == Fitness::Suspect && is_probed
        });

        assert_eq!(wrong.await, [""; 0]);
    });
}

/// Guards against a node that takes over the state of the store from a malformed reply of another
/// one.
#[test]
fn malformed_reply_to_a_follower_is_no_state() {
    run(async {
        let source = Tier::serving(single());
        let scan = StoreScan { items: Vec::new(), revision: 7 };
        source.router.journal.reset(&scan, Instant::now());
        let target = format!("{FOLLOW_PATH}?after=0&wait_ms=0");
        let body = follow::serve(&source.router, &NodeRequest::get(&target)).await.unwrap();
        let body = Bytes::from(body);
        let wrong = play(malformed::all(), &CONNECTIONS, |reply, pace, is_pooled| {
            let body = body.clone();
            async move {
                let tier = Tier::serving(single());
                let is_sound = Cell::new(is_pooled);
                let node = Scripted::start(move |_| match is_sound.take() {
                    true => vec![answer(200, &HEADERS, &body)],
                    false => reply.steps(&HEADERS, &body, pace),
                });
                let node = node.unwrap();
                let peer = tier.router.fleet.peer_at(node.address, tier.router.clock.now());
                let fetch = || follow::fetch(&tier.router, &peer, 0, Duration::ZERO);
                let is_first_taken = !is_pooled || fetch().await.is_ok();
                let count = node.requests().len();

                let fetched = fetch().await;

                is_first_taken && fetched.is_err() && node.requests().len() == count + 1
            }
        });

        assert_eq!(wrong.await, [""; 0]);
    });
}

/// A node in data centre `home`, a relay for it elsewhere, and the shards that are there.
struct Relayed {
    home: Tier,
    relay: Scripted,
    replicas: Vec<Scripted>,
}

impl Relayed {
    fn new(steps: impl Fn(&Request) -> Vec<Step> + 'static) -> Relayed {
        let home = Tier::at(100.0, "home");
        home.put(1, vec![shards(2, 1.0)]);
        let relay = Scripted::start(steps).unwrap();
        home.add_node("a1", "away", relay.address);
        let replicas: Vec<Scripted> = (0..2).map(|_| replica("sound", SOUND)).collect();
        for (index, replica) in replicas.iter().enumerate() {
            let id = ReplicaId::from(&*format!("r{index}"));
            home.add_as(&id, &format!("s{index}"), replica.address, "away");
        }
        Relayed { home, relay, replicas }
    }

    /// Returns the answer to a search, which the relay was asked to gather.
    async fn search(&self, identity: &str) -> Answer {
        let count = |path| self.relay.requests().iter().filter(|one| one.path == path).count();
        let before = count(RELAY_PATH);
        let answer = self.home.get("/a/", identity).await;
        assert_eq!(count(RELAY_PATH), before + 1);
        answer
    }

    /// Whether each shard was asked directly.
    fn is_direct(&self) -> bool {
        self.replicas.iter().all(|replica| !replica.requests().is_empty())
    }
}

/// Returns a reply of a relay to which all parts have this proof.
fn gathered(proof: &'static str) -> Bytes {
    let reply = RelayReply {
        records: [record(1), record(2)].concat().into(),
        proofs: vec![proof.into(), proof.into()],
        missing: Vec::new(),
        ran: true,
        took_us: 1,
    };
    codec::encode(&reply).unwrap().into()
}

/// Guards against parts that are taken from a malformed reply of the node that gathers them.
#[test]
fn malformed_reply_of_a_relay_has_no_parts() {
    run(async {
        let wrong = play(malformed::all(), &CONNECTIONS, |reply, pace, is_pooled| async move {
            let is_sound = Cell::new(is_pooled);
            let relayed = Relayed::new(move |request| match &*request.path {
                RELAY_PATH if is_sound.take() => vec![answer(200, &HEADERS, &gathered("first"))],
                RELAY_PATH => reply.steps(&HEADERS, &gathered(PROOF), pace),
                _ => vec![Step::Silence],
            });
            if is_pooled {
                assert_eq!(relayed.search("first").await.headers["x-proofs"], "first, first");
            }

            let answer = relayed.search("second").await;

            answer.status == 200 && !is_leaked(&answer) && relayed.is_direct()
        });

        assert_eq!(wrong.await, [""; 0]);
    });
}

/// Guards against waiting for a relay that seems to be running a request by a malformed reply.
#[test]
fn malformed_reply_says_of_no_request_that_it_is_running() {
    run(async {
        let wrong = play(malformed::all(), &[false], |reply, pace, _| async move {
            let relayed = Relayed::new(move |request| match &*request.path {
                RUNNING_PATH => reply.steps(&HEADERS, BODY, pace),
                PROBE_PATH => vec![answer(200, &[], b"")],
                _ => vec![Step::Silence],
            });

            let start = Instant::now();
            let answer = relayed.search("first").await;

            // The relay would be waited for until the deadline, 3 s after the start.
            answer.status == 200 && start.elapsed() < Duration::from_millis(1_500)
        });

        assert_eq!(wrong.await, [""; 0]);
    });
}
