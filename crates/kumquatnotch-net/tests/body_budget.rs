//! Admission of requests by the bytes of their bodies.

mod common;

use std::net::SocketAddr;

use common::{pause, read, reply_after, run, serve, write};
use kumquatnotch_net::{Server, server::ServerOptions};
use monoio::net::TcpStream;

const BODY_BYTES: usize = 8 << 20;
/// Number of bodies of the maximum size that are admitted at once.
const ADMITTED: usize = 8;

fn server() -> Server {
    let options = ServerOptions { max_body: BODY_BYTES, ..ServerOptions::default() };
    serve(options, |_| reply_after(0, "ok")).0
}

fn head(framing: &str) -> String {
    format!("POST /x HTTP/1.1\r\nhost: x\r\n{framing}\r\n")
}

fn announced() -> String {
    head(&format!("content-length: {BODY_BYTES}\r\n"))
}

async fn connect(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    write(&mut stream, text).await;
    stream
}

/// Connections that have announced bodies which take all room.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..ADMITTED {
        streams.push(connect(address, &announced()).await);
    }
    pause(50).await;
    streams
}

fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("\"not_run\":true"), "{answer}");
}

/// Guards against callers that send a whole body before they learn that it is refused.
#[test]
fn a_body_without_room_is_refused_before_it_is_sent() {
    run(async {
        let server = server();
        let _full = fill(server.address()).await;

        let mut waiting = connect(server.address(), &announced()).await;
        let mut asking = announced();
        asking.insert_str(asking.len() - 2, "expect: 100-continue\r\n");
        let mut asking = connect(server.address(), &asking).await;

        assert_refused(&read(&mut waiting).await);
        assert_refused(&read(&mut asking).await);
    });
}

/// Guards against refusals of requests that take no room.
#[test]
fn requests_without_a_body_are_served_while_there_is_no_room() {
    run(async {
        let server = server();
        let _full = fill(server.address()).await;

        let mut get = connect(server.address(), "GET /x HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let mut empty = connect(server.address(), &head("content-length: 0\r\n")).await;

        assert!(read(&mut get).await.starts_with("HTTP/1.1 200 "));
        assert!(read(&mut empty).await.starts_with("HTTP/1.1 200 "));
    });
}

/// Guards against room that is lost with each caller that leaves during an upload.
#[test]
fn room_of_a_broken_upload_is_free_again() {
    run(async {
        let server = server();
        for _ in 0..3 {
            drop(fill(server.address()).await);
            pause(50).await;
        }

        let mut stream = connect(server.address(), &announced()).await;
        write(&mut stream, "a".repeat(BODY_BYTES)).await;

        assert!(read(&mut stream).await.starts_with("HTTP/1.1 200 "));
    });
}

/// Guards against room that is lost with each answered request of a kept connection, and against a
/// next request that counts as part of a chunked body.
#[test]
fn room_of_an_answered_request_is_free_again() {
    run(async {
        let server = server();
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        let chunk = "a".repeat(BODY_BYTES / 2);
        let chunked = format!(
            "{}{:x}\r\n{chunk}\r\n0\r\n\r\n",
            head("transfer-encoding: chunked\r\n"),
            chunk.len()
        );

        for _ in 0..3 * ADMITTED {
            write(&mut stream, &chunked).await;
            assert!(read(&mut stream).await.starts_with("HTTP/1.1 200 "));
        }
        let _full = fill(server.address()).await;
        write(&mut stream, &chunked).await;

        assert_refused(&read(&mut stream).await);
    });
}
