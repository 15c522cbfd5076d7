//! Replicas that send a reply twice, the second time where the next reply is due.

mod common;

use std::{cell::Cell, rc::Rc};

use common::*;
use futures_util::future::join_all;
use standins::scripted::{Scripted, Step, answer};

/// Returns the steps that send a reply now, and once more when the next one is due.
fn twice(reply: Step) -> Vec<Step> {
    let Step::Send(bytes) = &reply else { panic!("{reply:?}") };
    let copy = Step::Late(bytes.clone());
    vec![reply, copy]
}

/// Guards against a client that gets the second copy of a replica's liveness answer as its own answer:
/// it has no identity, and the replica was running the request.
#[test]
fn copy_of_a_probe_reply_is_no_answer_to_a_request() {
    run(async {
        let tier = Tier::serving(single());
        let is_faulty = Rc::new(Cell::new(true));
        let faulty = is_faulty.clone();
        let replica = Scripted::start(move |request| match request.path.as_str() {
            "/probe" => twice(answer(200, &[], b"")),
            _ if faulty.get() => vec![Step::Send(b"no answer\r\n\r\n".to_vec())],
            _ => vec![proven_reply(request, "p", b"whole")],
        })
        .unwrap();
        tier.add("s0", replica.address);

        let mut answers = Vec::new();
        for round in 0..4 {
            is_faulty.set(true);
            tier.get("/a/x", &format!("faulty-{round}")).await;
            is_faulty.set(false);
            // Until the probe has been answered.
            pause(300).await;
            // Several at once, so that each connection to the replica is used.
            let identities = ["a", "b", "c"].map(|name| format!("{name}-{round}"));
            let requests = identities.iter().map(|identity| tier.get("/a/x", identity));
            answers.extend(join_all(requests).await);
        }

        let probes = replica.requests().iter().filter(|request| request.path == "/probe").count();
        assert!(probes >= 4, "{probes} probes");
        for answer in answers {
            assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
            assert!(answer.headers.contains_key("x-proof"));
        }
    });
}

/// Guards against a client that gets a success by which it can't tell that the replica has run its
/// request, and against a second run of one that may not be repeated.
#[test]
fn success_without_a_proof_is_no_answer() {
    run(async {
        let unproven = || {
            scripted_replica(|request| {
                let identity = header(request, "x-request-id");
                vec![answer(200, &[("x-request-id", identity)], b"body")]
            })
        };
        let [idempotent, exclusive] = [single(), exclusive()].map(Tier::serving);
        let replicas = [unproven(), unproven()];
        idempotent.add("s0", replicas[0].address);
        let whole = replica("p", b"whole");
        idempotent.add_in("s0", whole.address, "away");
        exclusive.add("s0", replicas[1].address);
        let other = replica("p", b"whole");
        exclusive.add_in("s0", other.address, "away");

        let repeated = idempotent.get("/a/x", "r1").await;
        let lost = exclusive.post("/a/x", "r2", b"body").await;

        assert_eq!((repeated.status, &repeated.body[..]), (200, &b"whole"[..]));
        assert_eq!((lost.status, other.requests().len()), (502, 0));
    });
}

/// Guards against a request that may not be repeated and is refused as not run while it runs: the
/// refusal is the second copy of an earlier one, which names no request.
#[test]
fn copy_of_a_rejection_without_identity_is_no_answer_to_the_next_request() {
    run(async {
        let tier = Tier::serving(exclusive());
        let is_full = Rc::new(Cell::new(true));
        let full = is_full.clone();
        let replica = Scripted::start(move |request| match full.get() {
            true => twice(answer(503, &[("x-not-run", "1")], b"")),
            false => vec![proven_reply(request, "p", b"whole")],
        })
        .unwrap();
        tier.add("s0", replica.address);

        let mut statuses = Vec::new();
        for round in 0..3 {
            is_full.set(true);
            statuses.push(tier.post("/a/x", &format!("full-{round}"), b"body").await.status);
            is_full.set(false);
            statuses.push(tier.post("/a/x", &format!("r{round}"), b"body").await.status);
        }

        assert_eq!(statuses, [503, 200, 503, 200, 503, 200]);
    });
}
