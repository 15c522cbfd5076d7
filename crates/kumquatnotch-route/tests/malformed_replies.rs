//! Replicas whose replies are malformed or cut short.

mod common;
#[path = "common/malformed.rs"]
mod played;

use std::{cell::Cell, rc::Rc};

use common::*;
use futures_util::future::join_all;
use kumquatnotch_route::route::Route;
use played::{BODY, CONNECTIONS, PROOF, SOUND, is_leaked, play};
use standins::{
    http::{Answer, Request},
    malformed::{
        self, CHUNKS, FIELDS, LENGTHS, LINE_ENDS, Malformed, Pace, STATUSES, send_and_close,
    },
    scripted::{Scripted, Step},
};
use yare::parameterized;

/// Returns the headers of the reply that a malformed one is made of.
fn headers(request: &Request) -> [(&'static str, &str); 2] {
    [("x-request-id", header(request, "x-request-id")), ("x-proof", PROOF)]
}

/// Starts a replica that replies with `steps`; if `is_pooled`, its first reply is sound.
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

/// Guards against a caller that gets a malformed reply as the answer, or one made of its bytes.
#[parameterized(
    statuses = { STATUSES, single() },
    fields = { FIELDS, single() },
    line_ends = { LINE_ENDS, single() },
    lengths = { LENGTHS, single() },
    chunks = { CHUNKS, single() },
    statuses_exclusive = { STATUSES, exclusive() },
    fields_exclusive = { FIELDS, exclusive() },
    line_ends_exclusive = { LINE_ENDS, exclusive() },
    lengths_exclusive = { LENGTHS, exclusive() },
    chunks_exclusive = { CHUNKS, exclusive() },
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

        assert_eq!(play(replies.iter(), &CONNECTIONS, check).await, [""; 0]);
    });
}

/// Guards against a caller that gets a malformed reply although another replica answers.
#[parameterized(
    statuses = { STATUSES },
    fields = { FIELDS },
    line_ends = { LINE_ENDS },
    lengths = { LENGTHS },
    chunks = { CHUNKS },
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

        assert_eq!(play(replies.iter(), &CONNECTIONS, check).await, [""; 0]);
    });
}

/// Guards against an answer of parts that contains a malformed one.
#[parameterized(
    statuses = { STATUSES },
    fields = { FIELDS },
    line_ends = { LINE_ENDS },
    lengths = { LENGTHS },
    chunks = { CHUNKS },
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

        assert_eq!(play(replies.iter(), &CONNECTIONS, check).await, [""; 0]);
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
