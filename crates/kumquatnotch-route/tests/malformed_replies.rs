//! Replicas, and nodes in their place, whose replies are malformed or cut short.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use common::*;
use futures_util::future::join_all;
use kumquatnotch_core::{codec, store::StoreScan};
use kumquatnotch_net::message::Request as NodeRequest;
use kumquatnotch_policy::observed::Fitness;
use kumquatnotch_route::{
    follow::{self, FOLLOW_PATH},
    names::ReplicaId,
    relay::{PROBE_PATH, RELAY_PATH, RUNNING_PATH},
    relay_message::RelayReply,
    route::Route,
};
use standins::{
    http::{Answer, Request},
    malformed::{self, Malformed, Pace, send_and_close},
    scripted::{Scripted, Step, answer},
};
use yare::parameterized;

/// Body of a malformed reply, which no caller may get.
const BODY: &[u8] = b"\x0fREPLICA-IN-TROU";

/// Body of a sound reply.
const SOUND: &[u8] = b"\x0eA-SOUND-REPLICA";

/// How long a suspected replica is watched; it is probed many times.
const PROBE_WATCH_MS: u64 = 400;

const PACES: [Pace; 2] = [Pace::Whole, Pace::Bytewise];

/// Returns the headers of the reply that a malformed one is made of.
fn headers(request: &Request) -> [(&'static str, &str); 2] {
    [("x-request-id", header(request, "x-request-id")), ("x-proof", "malformed")]
}

/// Starts a replica that sends `steps` to each request but the first one on a connection, or to
/// that, too.
fn faulty_replica(is_pooled: bool, steps: impl Fn(&Request) -> Vec<Step> + 'static) -> Scripted {
    let is_sound = Cell::new(is_pooled);
    scripted_replica(move |request| match is_sound.take() {
        true => vec![proven_reply(request, "sound", SOUND)],
        false => steps(request),
    })
}

/// Sends a request to a tier whose replica of the first shard is faulty.
async fn ask(tier: &Tier, is_pooled: bool) -> Answer {
    if is_pooled {
        let first = tier.get("/a/x", "first").await;
        assert_eq!((first.status, &first.body[..]), (200, SOUND));
    }
    tier.get("/a/x", "second").await
}

/// Whether anything of a malformed reply reached the caller.
fn is_leaked(answer: &Answer) -> bool {
    let has_body = answer.body.windows(BODY.len()).any(|window| window == BODY);
    let has_header = |name: &str| {
        let mut values = answer.headers.get_all(name).iter();
        values.any(|value| value.as_bytes().windows(9).any(|window| window == b"malformed"))
    };
    has_body || has_header("x-proof") || has_header("x-proofs")
}

/// Plays all replies of a kind, and returns the names of those that `check` finds wrong.
async fn play<'a, F: Future<Output = bool>>(
    replies: &'a [Malformed],
    check: impl Fn(&'a Malformed, Pace, bool) -> F,
) -> Vec<String> {
    let wrong = RefCell::new(Vec::new());
    for pace in PACES {
        for is_pooled in [false, true] {
            let played = replies.iter().map(|reply| async {
                if !check(reply, pace, is_pooled).await {
                    wrong.borrow_mut().push(format!("{} {pace:?} {is_pooled}", reply.name));
                }
            });
            join_all(played).await;
        }
    }
    wrong.into_inner()
}

const KINDS: [&[Malformed]; 5] = [
    malformed::STATUSES,
    malformed::FIELDS,
    malformed::LINE_ENDS,
    malformed::LENGTHS,
    malformed::CHUNKS,
];

/// Guards against a caller that gets a malformed reply as the answer, or one made of its bytes.
#[parameterized(
    statuses = { KINDS[0], single() },
    fields = { KINDS[1], single() },
    line_ends = { KINDS[2], single() },
    lengths = { KINDS[3], single() },
    chunks = { KINDS[4], single() },
    statuses_exclusive = { KINDS[0], exclusive() },
    fields_exclusive = { KINDS[1], exclusive() },
    line_ends_exclusive = { KINDS[2], exclusive() },
    lengths_exclusive = { KINDS[3], exclusive() },
    chunks_exclusive = { KINDS[4], exclusive() },
)]
fn malformed_reply_is_no_answer(replies: &'static [Malformed], route: Route) {
    run(async {
        let check = |reply: &'static Malformed, pace, is_pooled| {
            let route = route.clone();
            async move {
                let tier = Tier::serving(route);
                let replica = faulty_replica(is_pooled, move |request| {
                    reply.steps(&headers(request), BODY, pace)
                });
                tier.add("s0", replica.address);

                let answer = ask(&tier, is_pooled).await;

                answer.status == 502 && !is_leaked(&answer)
            }
        };

        assert_eq!(play(replies, check).await, [""; 0]);
    });
}

/// Guards against a caller that gets a malformed reply although another replica answers.
#[parameterized(
    statuses = { KINDS[0] },
    fields = { KINDS[1] },
    line_ends = { KINDS[2] },
    lengths = { KINDS[3] },
    chunks = { KINDS[4] },
)]
fn another_replica_answers_in_place_of_a_malformed_reply(replies: &'static [Malformed]) {
    run(async {
        let check = |reply: &'static Malformed, pace, is_pooled| async move {
            let tier = Tier::serving(single());
            let faulty = faulty_replica(is_pooled, move |request| {
                reply.steps(&headers(request), BODY, pace)
            });
            let sound = replica("sound", SOUND);
            tier.add("s0", faulty.address);
            tier.add_in("s0", sound.address, "away");

            let answer = ask(&tier, is_pooled).await;

            (answer.status, &answer.body[..]) == (200, SOUND)
                && answer.headers["x-proof"] == "sound"
        };

        assert_eq!(play(replies, check).await, [""; 0]);
    });
}

/// Guards against an answer of parts that contains a malformed one.
#[parameterized(
    statuses = { KINDS[0] },
    fields = { KINDS[1] },
    line_ends = { KINDS[2] },
    lengths = { KINDS[3] },
    chunks = { KINDS[4] },
)]
fn malformed_reply_is_no_part(replies: &'static [Malformed]) {
    run(async {
        let check = |reply: &'static Malformed, pace, is_pooled| async move {
            let tier = Tier::serving(shards(2, 0.5));
            let faulty = faulty_replica(is_pooled, move |request| {
                reply.steps(&headers(request), BODY, pace)
            });
            let sound = replica("sound", SOUND);
            tier.add("s0", faulty.address);
            tier.add("s1", sound.address);

            if is_pooled {
                tier.get("/a/x", "first").await;
            }
            let answer = tier.get("/a/x", "second").await;

            let proofs = &answer.headers["x-proofs"];
            (answer.status, &answer.body[..]) == (200, SOUND)
                && (&answer.headers["x-missing"], proofs)
                    == (&"1".parse().unwrap(), &"sound".parse().unwrap())
        };

        assert_eq!(play(replies, check).await, [""; 0]);
    });
}

/// Guards against a replica that gets requests again because its replies to probes are taken for
/// sound ones.
#[test]
fn malformed_reply_to_a_probe_shows_no_health() {
    run(async {
        for pace in PACES {
            let played = malformed::all().map(|reply| async move {
                let tier = Tier::serving(single());
                let faulty = Scripted::start(move |request| match &*request.path {
                    "/probe" => reply.steps(&headers(request), BODY, pace),
                    _ => vec![Step::Send(b"no answer\r\n\r\n".to_vec())],
                });
                let faulty = faulty.unwrap();
                let id = tier.add("s0", faulty.address);
                tier.get("/a/x", "first").await;
                let replica = tier.router.directory.find(&id).unwrap();
                pause(PROBE_WATCH_MS).await;
                let is_probed = faulty.requests().iter().any(|request| request.path == "/probe");
                (reply.name, replica.observed.fitness() == Fitness::Suspect && is_probed)
            });
            let played = join_all(played).await;

            let wrong = played.iter().filter(|(_, is_suspect)| !is_suspect);
            assert_eq!(wrong.map(|(name, _)| *name).collect::<Vec<_>>(), [""; 0], "{pace:?}");
        }
    });
}

/// Guards against a node that takes over the state of the store from a malformed reply of another
/// one.
#[test]
fn malformed_reply_to_a_follower_is_no_state() {
    run(async {
        let source = Tier::serving(single());
        let scan = StoreScan { items: Vec::new(), revision: 7 };
        source.router.journal.reset(&scan, std::time::Instant::now());
        let target = format!("{FOLLOW_PATH}?after=0&wait_ms=0");
        let body = follow::serve(&source.router, &NodeRequest::get(&target)).await.unwrap();
        for pace in PACES {
            let played = malformed::all().map(|reply| {
                let body = body.clone();
                async move {
                    let tier = Tier::serving(single());
                    let node = Scripted::start(move |_| reply.steps(&[("a", "b")], &body, pace));
                    let node = node.unwrap();
                    let clock = &*tier.router.clock;
                    let peer = tier.router.fleet.peer_at(node.address, clock.now());
                    let fetched = follow::fetch(&tier.router, &peer, 0, Duration::ZERO).await;
                    (reply.name, fetched.is_err() && !node.requests().is_empty())
                }
            });
            let played = join_all(played).await;

            let wrong = played.iter().filter(|(_, is_refused)| !is_refused);
            assert_eq!(wrong.map(|(name, _)| *name).collect::<Vec<_>>(), [""; 0], "{pace:?}");
        }
    });
}

/// A node that replies to each path as told, and the shards that it is to gather.
async fn answer_by_relay(
    steps: impl Fn(&Request) -> Vec<Step> + 'static,
) -> (Answer, Vec<Scripted>) {
    let home = Tier::at(100.0, "home");
    home.put(1, vec![shards(2, 1.0)]);
    let relay = Scripted::start(steps).unwrap();
    home.add_node("a1", "away", relay.address);
    let replicas: Vec<Scripted> = (0..2).map(|_| replica("sound", SOUND)).collect();
    for (index, replica) in replicas.iter().enumerate() {
        let id = ReplicaId::from(&*format!("r{index}"));
        home.add_as(&id, &format!("s{index}"), replica.address, "away");
    }
    let answer = home.get("/a/", "r1").await;
    assert!(relay.requests().iter().any(|request| request.path == RELAY_PATH));
    (answer, replicas)
}

/// Guards against parts that are taken from a malformed reply of the node that gathers them.
#[test]
fn malformed_reply_of_a_relay_has_no_parts() {
    run(async {
        let reply = RelayReply {
            records: [record(1), record(2)].concat().into(),
            proofs: vec!["malformed".into(), "malformed-2".into()],
            missing: Vec::new(),
            ran: true,
            took_us: 1,
        };
        let body = codec::encode(&reply).unwrap();
        for pace in PACES {
            let played = malformed::all().map(|reply| {
                let body = body.clone();
                async move {
                    let relayed = answer_by_relay(move |request| match &*request.path {
                        RELAY_PATH => reply.steps(&[("a", "b")], &body, pace),
                        _ => vec![Step::Silence],
                    });
                    let (answer, replicas) = relayed.await;
                    let is_direct = replicas.iter().all(|replica| !replica.requests().is_empty());
                    (reply.name, answer.status == 200 && !is_leaked(&answer) && is_direct)
                }
            });
            let played = join_all(played).await;

            let wrong = played.iter().filter(|(_, is_direct)| !is_direct);
            assert_eq!(wrong.map(|(name, _)| *name).collect::<Vec<_>>(), [""; 0], "{pace:?}");
        }
    });
}

/// Guards against waiting for a relay that seems to be running a request by a malformed reply.
#[test]
fn malformed_reply_says_of_no_request_that_it_is_running() {
    run(async {
        for pace in PACES {
            let played = malformed::all().map(|reply| async move {
                let start = std::time::Instant::now();
                let relayed = answer_by_relay(move |request| match &*request.path {
                    RUNNING_PATH => reply.steps(&[("a", "b")], BODY, pace),
                    PROBE_PATH => vec![answer(200, &[], b"")],
                    _ => vec![Step::Silence],
                });
                let (answer, _) = relayed.await;
                // The relay would be waited for until the deadline, 3 s after the start.
                let is_given_up = start.elapsed() < Duration::from_millis(1_500);
                (reply.name, answer.status == 200 && is_given_up)
            });
            let played = join_all(played).await;

            let wrong = played.iter().filter(|(_, is_given_up)| !is_given_up);
            assert_eq!(wrong.map(|(name, _)| *name).collect::<Vec<_>>(), [""; 0], "{pace:?}");
        }
    });
}

/// Guards against a success with an empty or short body from a replica that stopped in the middle
/// of its reply.
#[parameterized(
    length = { b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}" },
    length_after_interim = {
        b"HTTP/1.1 103 X\r\nx: y\r\n\r\nHTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}"
    },
    chunk = {
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n"
    },
    two_chunks = {
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\
          {hex}\r\n{body}\r\n1\r\nx\r\n0\r\n\r\n"
    },
)]
fn reply_cut_short_is_no_answer(text: &'static [u8]) {
    run(async {
        let sound = move |request: &Request| malformed::fill(text, &headers(request), BODY);
        for (pace, is_pooled) in [(Pace::Whole, false), (Pace::Whole, true), (Pace::Bytewise, true)]
        {
            let length = Rc::new(Cell::new(0));
            let sent = length.clone();
            let tier = Tier::serving(single());
            let whole = faulty_replica(is_pooled, move |request| {
                sent.set(sound(request).len());
                send_and_close(sound(request), pace)
            });
            tier.add("s0", whole.address);
            let answer = ask(&tier, is_pooled).await;
            assert!(answer.status == 200 && answer.body.starts_with(BODY), "{answer:?}");

            let played = (0..length.get()).map(|count| async move {
                let tier = Tier::serving(single());
                let replica = faulty_replica(is_pooled, move |request| {
                    send_and_close(sound(request)[..count].to_vec(), pace)
                });
                tier.add("s0", replica.address);
                let answer = ask(&tier, is_pooled).await;
                (count, answer.status == 502 && !is_leaked(&answer))
            });
            let played = join_all(played).await;

            let wrong = played.iter().filter(|(_, is_refused)| !is_refused);
            assert_eq!(wrong.map(|(count, _)| *count).collect::<Vec<_>>(), [0; 0]);
        }
    });
}

/// Guards against an answer that callers reject whole, as the list of its proofs has an entry that is
/// none, and against a success that proves nothing.
#[parameterized(
    empty = { "x-proof:" },
    blank = { "x-proof:  " },
    list = { "x-proof: a, b" },
    separator = { "x-proof: a," },
    two = { "x-proof: a\r\nx-proof: b" },
)]
fn reply_without_a_single_proof_is_no_answer(line: &'static str) {
    run(async {
        let unproven = || {
            scripted_replica(move |request| {
                let identity = header(request, "x-request-id");
                let head = format!(
                    "HTTP/1.1 200 X\r\n{line}\r\nx-request-id: {identity}\r\ncontent-length: 16\r\n\r\n"
                );
                vec![Step::Send([head.as_bytes(), BODY].concat())]
            })
        };
        let (one, parts) = (Tier::serving(single()), Tier::serving(shards(2, 0.5)));
        let (alone, part, sound) = (unproven(), unproven(), replica("sound", SOUND));
        one.add("s0", alone.address);
        parts.add("s0", part.address);
        parts.add("s1", sound.address);

        let answer = one.get("/a/x", "r1").await;
        let search = parts.get("/a/x", "r2").await;

        assert_eq!(answer.status, 502);
        assert_eq!((search.status, &search.body[..]), (200, SOUND));
        assert_eq!(
            (&search.headers["x-proofs"], &search.headers["x-missing"]),
            (&"sound".parse().unwrap(), &"1".parse().unwrap(),)
        );
    });
}
