//! Requests whose callers choose identities that a target or a log line can't contain as they are.

mod common;

use common::*;
use kumquatnotch_route::names::ReplicaId;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use standins::scripted::{Scripted, Step, answer};
use yare::parameterized;

/// Time that each replica takes, longer than a relay may be silent before it is asked whether it is
/// running the request.
const RUN_TIME: Step = Step::Wait(std::time::Duration::from_millis(900));

/// Starts a replica that takes [`RUN_TIME`] and returns one record.
fn slow_replica(first: u8) -> Scripted {
    Scripted::start(move |request| {
        let Some(identity) = request.headers.get("x-request-id") else {
            return vec![answer(200, &[], b"")];
        };
        let head = b"HTTP/1.1 200 X\r\ncontent-length: 16\r\nx-proof: p";
        let reply =
            [&head[..], &[b'0' + first], b"\r\nx-request-id: ", identity.as_bytes(), b"\r\n\r\n"];
        let reply = [&reply.concat()[..], &record(first)].concat();
        vec![RUN_TIME, Step::Send(reply)]
    })
    .unwrap()
}

/// Sends a search and returns the head of its answer.
async fn search(tier: &Tier, identity: &[u8]) -> String {
    let head = format!("GET /a/ HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: ");
    let request = [head.as_bytes(), identity, b"\r\n\r\n"].concat();
    let mut caller = TcpStream::connect_addr(tier.server.address()).await.unwrap();
    caller.write_all(request).await.0.unwrap();
    let (count, answer) = caller.read(vec![0; 4_000]).await;
    assert!(count.unwrap() > 0, "the connection was closed");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a relay that is taken for lost while it runs a request, as it is asked for another
/// identity: the replicas run the request again.
#[parameterized(
    plain = { b"r-1" },
    blank = { b"a b" },
    plus = { b"a+b" },
    ampersand = { b"a&b" },
    equals = { b"a=b" },
    hash = { b"a#b" },
    percent = { b"a%b" },
    encoded = { b"a%7Eb" },
    question_mark = { b"a?b" },
    quotes = { b"\"a\"" },
    brackets = { b"{a}<b>[c]" },
    tab = { b"a\tb" },
    accents = { "\u{e4}".as_bytes() },
    no_text = { b"a\xffb" },
)]
fn relay_is_asked_for_the_identity_of_its_request(identity: &[u8]) {
    run(async {
        let (home, away) = (Tier::at(100.0, "home"), Tier::at(100.0, "away"));
        let route = || vec![shards(2, 1.0)];
        assert!(home.put(1, route()) && away.put(1, route()));
        home.add_node("a1", "away", away.peer.address());
        let replicas = [slow_replica(1), slow_replica(2)];
        for (index, replica) in replicas.iter().enumerate() {
            let id = ReplicaId::from(&*format!("r{index}"));
            for tier in [&home, &away] {
                tier.add_as(&id, &format!("s{index}"), replica.address, "away");
            }
        }

        let answer = search(&home, identity).await;

        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.contains("x-missing: 0\r\n"), "{answer}");
        assert_eq!(replicas.each_ref().map(|replica| replica.requests().len()), [1, 1]);
    });
}
