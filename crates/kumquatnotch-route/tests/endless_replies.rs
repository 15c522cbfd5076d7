//! Replicas that send bytes without end which are no answer.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::*;
use kumquatnotch_policy::observed::Fitness;
use kumquatnotch_route::{names::ReplicaId, replica::Replica, route::Route};
use standins::scripted::{Scripted, Step, answer};
use yare::parameterized;

/// Bytes that are read of a reply at most, and what the kernel buffers on both sides.
const MAX_SENT: u64 = (4 << 20) + (64 << 10) + (16 << 20);

/// Pause between pieces of a reply that trickles.
const TRICKLE: Duration = Duration::from_millis(4);

const CHUNKED: &str = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";

/// How bytes arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    Flood,
    Trickle,
}

use Pace::{Flood, Trickle};

/// Returns steps that send `start` and then `piece` without end.
fn endless(start: &str, piece: &str, pace: Pace) -> Vec<Step> {
    let repeat = match pace {
        Flood => Step::Repeat(piece.repeat(4_096 / piece.len()).into_bytes(), Duration::ZERO),
        Trickle => Step::Repeat(piece.as_bytes().to_vec(), TRICKLE),
    };
    vec![Step::Send(start.as_bytes().to_vec()), repeat]
}

/// A tier with a replica that sends bytes without end, and another one farther away.
struct Case {
    tier: Tier,
    id: ReplicaId,
    endless: Scripted,
    other: Scripted,
}

impl Case {
    fn new(route: Route, start: &'static str, piece: &'static str, pace: Pace) -> Case {
        let tier = Tier::serving(route);
        let sender = scripted_replica(move |_| endless(start, piece, pace));
        let other = replica("q", b"whole");
        let id = tier.add("s0", sender.address);
        tier.add_in("s0", other.address, "away");
        Case { tier, id, endless: sender, other }
    }

    fn replica(&self) -> Rc<Replica> {
        self.tier.router.directory.find(&self.id).unwrap()
    }

    /// Asserts that the replica is given up on: nothing is read from it, no permit is held and it
    /// is suspected.
    async fn assert_given_up(&self) {
        pause(60).await;
        let sent = self.endless.repeated_bytes();
        pause(60).await;
        assert_eq!(self.endless.repeated_bytes(), sent, "it is still being read");
        assert!(sent <= MAX_SENT, "{sent} bytes");
        assert_eq!(self.replica().semaphore.in_use(), 0);
        assert_eq!(self.replica().observed.fitness(), Fitness::Suspect);
    }
}

/// Guards against a replica that holds a request, memory or a connection with bytes without end.
#[parameterized(
    no_http = { "", "x", Flood },
    no_http_trickled = { "", "x", Trickle },
    status_line = { "HTTP/1.1 200 ", "x", Flood },
    status_line_trickled = { "HTTP/1.1 200 ", "x", Trickle },
    header_value = { "HTTP/1.1 200 X\r\na: ", "x", Flood },
    header_value_trickled = { "HTTP/1.1 200 X\r\na: ", "x", Trickle },
    header_lines = { "HTTP/1.1 200 X\r\n", "a: b\r\n", Flood },
    header_lines_trickled = { "HTTP/1.1 200 X\r\n", "a: b\r\n", Trickle },
    interim = { "", "HTTP/1.1 103 X\r\n\r\n", Flood },
    interim_trickled = { "", "HTTP/1.1 103 X\r\n\r\n", Trickle },
    interim_with_length = { "", "HTTP/1.1 102 X\r\ncontent-length: 0\r\n\r\n", Flood },
    chunk_line = { CHUNKED, "0", Flood },
    chunk_line_trickled = { CHUNKED, "0", Trickle },
    chunks = { CHUNKED, "4\r\nbody\r\n", Flood },
    chunks_trickled = { CHUNKED, "4\r\nbody\r\n", Trickle },
    chunk_beyond_all_sizes = { "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffd\r\n", "x", Flood },
    trailers = { "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", Flood },
    trailers_trickled = { "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", Trickle },
    no_length = { "HTTP/1.1 200 X\r\n\r\n", "x", Flood },
    no_length_trickled = { "HTTP/1.1 200 X\r\n\r\n", "x", Trickle },
    length_beyond_all_sizes = { "HTTP/1.1 200 X\r\ncontent-length: 18446744073709551615\r\n\r\n", "x", Flood },
    length_beyond_the_limit = { "HTTP/1.1 200 X\r\ncontent-length: 99999999\r\n\r\n", "x", Flood },
)]
fn bytes_without_end_are_given_up_on(start: &'static str, piece: &'static str, pace: Pace) {
    run(async {
        let case = Case::new(single(), start, piece, pace);

        let begin = Instant::now();
        let answer = case.tier.get("/a/x", "r1").await;
        let elapsed = begin.elapsed();

        assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        // A copy may be answered before the reply that trickles counts as late.
        for number in 2..5 {
            if pace == Trickle && case.replica().observed.fitness() == Fitness::Fit {
                let answer = case.tier.get("/a/x", &format!("r{number}")).await;
                assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
            }
        }
        case.assert_given_up().await;
    });
}

/// Guards against a second run of a request that must not run twice, and against one that is held
/// past its deadline.
#[parameterized(
    no_http = { "", "x", Flood },
    header_value_trickled = { "HTTP/1.1 200 X\r\na: ", "x", Trickle },
    interim_trickled = { "", "HTTP/1.1 103 X\r\n\r\n", Trickle },
    chunks = { CHUNKED, "4\r\nbody\r\n", Flood },
    chunks_trickled = { CHUNKED, "4\r\nbody\r\n", Trickle },
    no_length = { "HTTP/1.1 200 X\r\n\r\n", "x", Flood },
    no_length_trickled = { "HTTP/1.1 200 X\r\n\r\n", "x", Trickle },
)]
fn exclusive_request_ends_by_its_deadline(start: &'static str, piece: &'static str, pace: Pace) {
    run(async {
        let timeout = Duration::from_millis(500);
        let case = Case::new(Route { timeout, ..exclusive() }, start, piece, pace);

        let begin = Instant::now();
        let answer = case.tier.post("/a/x", "r1", b"body").await;
        let elapsed = begin.elapsed();

        assert!([502, 504].contains(&answer.status), "{}", answer.status);
        assert!(!answer.headers.contains_key("retry-after"));
        assert!(elapsed < timeout + Duration::from_millis(100), "{elapsed:?}");
        assert_eq!(case.other.requests().len(), 0);
        case.assert_given_up().await;
    });
}

/// Guards against bytes beyond the announced length that are read as the next reply, or without end.
#[parameterized(flood = { Flood }, trickle = { Trickle })]
fn bytes_beyond_the_length_are_no_reply(pace: Pace) {
    run(async {
        let tier = Tier::serving(single());
        let replica = scripted_replica(move |request| {
            let whole = proven_reply(request, "p", b"body");
            [vec![whole], endless("", "HTTP/1.1 200 X\r\ncontent-length: 1\r\n\r\nx", pace)]
                .concat()
        });
        let id = tier.add("s0", replica.address);

        let mut answers = Vec::new();
        for number in 0..4 {
            answers.push(tier.get("/a/x", &format!("r{number}")).await);
            pause(20).await;
        }

        for answer in &answers {
            assert_eq!((answer.status, &answer.body[..]), (200, &b"body"[..]));
        }
        assert!(replica.repeated_bytes() <= 4 * MAX_SENT, "{} bytes", replica.repeated_bytes());
        assert_eq!(tier.router.directory.find(&id).unwrap().semaphore.in_use(), 0);
    });
}

/// Guards against a suspect that counts as recovered, or is read without end, because its probes
/// are answered with bytes that are no answer.
#[parameterized(
    no_http = { "", "x", Flood },
    header_lines_trickled = { "HTTP/1.1 200 X\r\n", "a: b\r\n", Trickle },
    interim = { "", "HTTP/1.1 103 X\r\n\r\n", Flood },
    chunks = { CHUNKED, "4\r\nbody\r\n", Flood },
    no_length = { "HTTP/1.1 200 X\r\n\r\n", "x", Flood },
    no_length_trickled = { "HTTP/1.1 200 X\r\n\r\n", "x", Trickle },
)]
fn probe_without_an_answer_has_failed(start: &'static str, piece: &'static str, pace: Pace) {
    run(async {
        let tier = Tier::serving(single());
        let recovered = Rc::new(Cell::new(false));
        let answers = recovered.clone();
        let sender = Scripted::start(move |_| match answers.get() {
            true => vec![answer(200, &[], b"")],
            false => endless(start, piece, pace),
        })
        .unwrap();
        let other = replica("q", b"whole");
        let id = tier.add("s0", sender.address);
        tier.add_in("s0", other.address, "away");
        tier.get("/a/x", "r1").await;
        let suspect = tier.router.directory.find(&id).unwrap();

        pause(1_500).await;
        let probes = sender.requests().iter().filter(|request| request.path == "/probe").count();
        let fitness = suspect.observed.fitness();
        recovered.set(true);
        pause(1_500).await;

        assert!(probes >= 2, "{probes} probes");
        assert_eq!(fitness, Fitness::Suspect);
        let bound = (probes as u64 + 2) * MAX_SENT;
        assert!(sender.repeated_bytes() <= bound, "{} bytes", sender.repeated_bytes());
        assert_eq!(suspect.observed.fitness(), Fitness::Fit);
    });
}
