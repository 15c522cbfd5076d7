//! Replies that have no body, whatever their headers say.

mod common;

use std::time::{Duration, Instant};

use common::*;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use standins::{
    http::Request,
    malformed,
    scripted::{Scripted, Step},
};
use yare::parameterized;

/// Time within which a reply without a body is to be answered; the request's deadline is later.
const PROMPT: Duration = Duration::from_millis(1_000);

/// Starts a replica that replies by `text` to the first request and soundly to all others.
fn replica_of(text: &'static [u8]) -> Scripted {
    scripted_replica(move |request: &Request| {
        let identity = header(request, "x-request-id");
        let headers = [("x-request-id", identity), ("x-proof", "p")];
        match identity {
            "first" => vec![Step::Send(malformed::fill(text, &headers, b"RIGHT"))],
            _ => vec![proven_reply(request, "p", b"sound")],
        }
    })
}

/// Sends two requests on one connection, one after the other, and returns what is received.
async fn ask_twice(tier: &Tier, method: &str, path: &str) -> [String; 2] {
    let mut caller = TcpStream::connect_addr(tier.server.address()).await.unwrap();
    let mut received = Vec::new();
    for (method, path, identity) in [(method, path, "first"), ("GET", "/a/x", "second")] {
        let request =
            format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {identity}\r\n\r\n");
        caller.write_all(request.into_bytes()).await.0.unwrap();
        // Bytes after the end of the reply would arrive with it.
        let (count, bytes) = caller.read(vec![0; 4_000]).await;
        count.unwrap();
        pause(30).await;
        received.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    received.try_into().unwrap()
}

/// Guards against a caller that takes the body of a reply which can't have one for the start of the
/// next reply, and against one that waits for a body which does not come.
#[parameterized(
    no_content = { "GET", b"HTTP/1.1 204 X\r\n{head}\r\n\r\n", 204 },
    no_content_of_length_zero = { "GET", b"HTTP/1.1 204 X\r\n{head}\r\ncontent-length: 0\r\n\r\n", 204 },
    no_content_with_a_length = { "GET", b"HTTP/1.1 204 X\r\n{head}\r\ncontent-length: 5\r\n\r\n", 204 },
    no_content_with_a_body = {
        "GET", b"HTTP/1.1 204 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}", 204
    },
    no_content_with_chunks = {
        "GET", b"HTTP/1.1 204 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n", 204
    },
    not_modified = { "GET", b"HTTP/1.1 304 X\r\n{head}\r\n\r\n", 304 },
    not_modified_with_a_length = { "GET", b"HTTP/1.1 304 X\r\n{head}\r\ncontent-length: 5\r\n\r\n", 304 },
    not_modified_with_a_body = {
        "GET", b"HTTP/1.1 304 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}", 304
    },
    only_the_head = { "HEAD", b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: 5\r\n\r\n", 200 },
    only_the_head_of_chunks = {
        "HEAD", b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n", 200
    },
    only_the_head_without_length = { "HEAD", b"HTTP/1.1 200 X\r\n{head}\r\n\r\n", 200 },
)]
fn reply_without_a_body_is_answered_without_one(method: &str, text: &'static [u8], status: u16) {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica_of(text);
        tier.add("s0", replica.address);

        let start = Instant::now();
        let [first, second] = ask_twice(&tier, method, "/a/x").await;

        assert!(start.elapsed() < PROMPT, "{first}");
        assert!(first.starts_with(&format!("HTTP/1.1 {status} ")), "{first}");
        assert!(first.trim_end_matches('\0').ends_with("\r\n\r\n"), "{first}");
        assert!(
            second.starts_with("HTTP/1.1 200 ") && second.contains("\r\n\r\nsound"),
            "{second}"
        );
    });
}

/// Guards against a caller that takes the text of a refusal for the start of the next reply.
#[test]
fn refusal_of_a_request_for_the_head_has_no_body() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica_of(b"");
        tier.add("s0", replica.address);

        let [first, second] = ask_twice(&tier, "HEAD", "/unknown").await;

        assert!(first.starts_with("HTTP/1.1 404 "), "{first}");
        assert!(first.trim_end_matches('\0').ends_with("\r\n\r\n"), "{first}");
        assert!(
            second.starts_with("HTTP/1.1 200 ") && second.contains("\r\n\r\nsound"),
            "{second}"
        );
    });
}
