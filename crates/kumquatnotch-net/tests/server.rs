//! Tests of the server with malformed requests, idle connections, disconnections and shutdown.

mod common;

use std::{cell::Cell, rc::Rc, time::Instant};

use common::{exchange, mutated, pause, read, reply_after, run, serve, write};
use http::StatusCode;
use kumquatnotch_net::{
    message::{Reply, Request},
    server::{ServerOptions, Work},
};
use monoio::net::TcpStream;
use yare::parameterized;

fn small() -> ServerOptions {
    ServerOptions { max_body: 1_000, ..ServerOptions::default() }
}

fn echo(request: Request) -> Work<'static> {
    Work::ready(Reply::new(StatusCode::OK, "text/plain", request.body))
}

fn post(body: &str) -> String {
    format!("POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

const GET: &str = "GET /x HTTP/1.1\r\nhost: x\r\n\r\n";

/// A malformed or too large request gets a refusal with the right error code. The connection is
/// closed, since the further bytes on it can't be trusted.
#[parameterized(
    no_http = { "SEARCH rooms\r\n\r\n", "400", "1001" },
    bad_length = { "POST /x HTTP/1.1\r\ncontent-length: 1x\r\n\r\n", "400", "1001" },
    two_lengths = {
        "POST /x HTTP/1.1\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nabcd", "400", "1001"
    },
    length_and_chunks = {
        "POST /x HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "400", "1001"
    },
    bad_chunk = {
        "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400", "1001"
    },
    coding_twice = {
        "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nabcd\r\n0\r\n\r\n",
        "400", "1001"
    },
    chunk_without_size = {
        "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n\r\n\r\n", "400", "1001"
    },
    no_chunk = { "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n", "400", "1001" },
    feeds_end_the_head = {
        "POST /x HTTP/1.1\r\ncontent-length: 4\n\nabcd\r\n\r\nefgh", "400", "1001"
    },
    feed_and_line_end_the_head = {
        "GET /x HTTP/1.1\r\nhost: x\n\r\nGET /y HTTP/1.1\r\nhost: x\r\n\r\n", "400", "1001"
    },
    feed_ends_a_field = { "GET /x HTTP/1.1\r\nhost: x\nname: y\r\n\r\n", "400", "1001" },
    feed_ends_the_request_line = { "GET /x HTTP/1.1\nhost: x\r\n\r\n", "400", "1001" },
    long_body = { "POST /x HTTP/1.1\r\ncontent-length: 1001\r\n\r\n", "413", "1002" },
    long_chunk = {
        "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\nLONG\r\n0\r\n\r\n",
        "413", "1002"
    },
)]
fn bad_requests_are_refused(request: &str, status: &str, code: &str) {
    run(async {
        let (server, handler) = serve(small(), echo);
        let request = request.replace("LONG", &"a".repeat(1_001));

        let reply = exchange(server.address(), request).await;

        assert!(reply.starts_with(&format!("HTTP/1.1 {status} ")), "{reply}");
        assert!(reply.contains(&format!("\"code\":{code}")), "{reply}");
        assert!(reply.contains("\"not_run\":true"), "{reply}");
        assert!(handler.paths.borrow().is_empty());
    });
}

/// A caller sends an endless head. The node must not buffer all of it.
#[test]
fn an_endless_head_is_refused() {
    run(async {
        let (server, _) = serve(small(), echo);
        let head = format!("GET /x HTTP/1.1\r\nlong: {}", "a".repeat(200_000));

        let reply = exchange(server.address(), head).await;

        assert!(reply.starts_with("HTTP/1.1 413 "), "{reply}");
    });
}

#[test]
fn connections_are_kept_and_bodies_echoed() {
    run(async {
        let (server, _) = serve(small(), echo);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();

        for body in ["first", "second"] {
            write(&mut stream, post(body)).await;
            let reply = read(&mut stream).await;
            assert!(reply.ends_with(body), "{reply}");
        }
        write(&mut stream, "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n").await;
        write(&mut stream, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n").await;

        assert!(read(&mut stream).await.ends_with("abcde"));
        assert_eq!(server.connections(), 1);
    });
}

/// A client asks to close its connection and does so as soon as it has the reply, so the server
/// records the round trip. None is recorded for a client that keeps its connection.
#[test]
fn the_round_trip_is_recorded_when_a_client_closes() {
    run(async {
        let (server, handler) = serve(small(), echo);
        let leave = "GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let mut closing = TcpStream::connect_addr(server.address()).await.unwrap();
        let mut open = TcpStream::connect_addr(server.address()).await.unwrap();

        write(&mut closing, leave).await;
        write(&mut open, GET).await;
        let replies = [read(&mut closing).await, read(&mut open).await];
        pause(40).await;
        drop(closing);
        drop(open);
        pause(20).await;

        assert!(replies.iter().all(|reply| reply.starts_with("HTTP/1.1 200 ")), "{replies:?}");
        let round_trips = handler.round_trips.borrow();
        assert_eq!(round_trips.len(), 1, "{round_trips:?}");
        assert!(
            round_trips[0].as_millis() >= 35 && round_trips[0].as_millis() < 500,
            "{round_trips:?}"
        );
    });
}

/// A client asks to close its connection but never does. The server closes it after 1 s.
#[test]
fn a_client_that_does_not_close_is_disconnected() {
    run(async {
        let (server, handler) = serve(small(), echo);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();

        write(&mut stream, "GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
        read(&mut stream).await;
        pause(1_200).await;

        assert_eq!(server.connections(), 0);
        assert!(handler.round_trips.borrow().is_empty());
    });
}

struct OnDrop(Rc<Cell<bool>>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

fn watched(ended: &Rc<Cell<bool>>, dropped: &Rc<Cell<bool>>, detached: bool) -> Work<'static> {
    let (ended, dropped) = (ended.clone(), OnDrop(dropped.clone()));
    let reply = async move {
        let _dropped = dropped;
        pause(200).await;
        ended.set(true);
        Reply::text(StatusCode::OK, "done")
    };
    if detached { Work::detached(reply) } else { Work::new(reply) }
}

/// A caller disconnects while its request runs. A search is dropped immediately, to take load
/// off the targets. A booking continues, since the caller will query the outcome with its
/// ticket.
#[parameterized(search = { false }, booking = { true })]
fn a_disconnect_ends_searches_only(detached: bool) {
    run(async {
        let (ended, dropped) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let flags = (ended.clone(), dropped.clone());
        let work = move |_| watched(&flags.0, &flags.1, detached);
        let (server, _) = serve(small(), work);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, GET).await;
        pause(50).await;

        drop(stream);
        pause(50).await;

        assert_eq!(dropped.get(), !detached);
        pause(200).await;
        assert_eq!(ended.get(), detached);
        assert_eq!(server.requests(), 0);
    });
}

/// A node shuts down while a request runs and another connection is idle. The request gets its
/// complete reply with `connection: close`, the idle connection is closed, and later
/// connections are refused.
#[test]
fn a_graceful_close_waits_for_requests_in_flight() {
    run(async {
        let (server, _) = serve(small(), |_| reply_after(600, "whole"));
        let mut idle = TcpStream::connect_addr(server.address()).await.unwrap();
        let mut busy = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut busy, GET).await;
        pause(50).await;
        let start = Instant::now();

        let closed = server.close(common::after(5_000)).await;

        assert!(closed);
        assert!(start.elapsed().as_millis() >= 500);
        let reply = read(&mut busy).await;
        assert!(reply.ends_with("whole"), "{reply}");
        assert!(reply.contains("connection: close"), "{reply}");
        assert_eq!(read(&mut idle).await, "");
        assert!(TcpStream::connect_addr(server.address()).await.is_err());
    });
}

/// A caller sends its next request just after the shutdown has begun. The request is answered
/// instead of reset.
#[test]
fn a_request_sent_during_the_close_is_answered() {
    run(async {
        let (server, _) = serve(small(), |_| reply_after(1, "late but whole"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        pause(20).await;
        let closer = server.clone();
        let close = monoio::spawn(async move { closer.close(common::after(5_000)).await });
        pause(50).await;

        write(&mut stream, GET).await;
        let reply = read(&mut stream).await;

        assert!(reply.ends_with("late but whole"), "{reply}");
        assert!(close.await);
    });
}

/// A draining node asks clients with each reply to close the connection. A client that sends
/// another request on it is served. If the connection were closed at once, the request would
/// look lost in transit to the client.
#[test]
fn a_draining_server_answers_on_kept_connections() {
    run(async {
        let (server, _) = serve(small(), echo);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        server.drain();

        for body in ["first", "second"] {
            write(&mut stream, post(body)).await;
            let reply = read(&mut stream).await;
            assert!(reply.contains("connection: close") && reply.ends_with(body), "{reply}");
            pause(20).await;
        }
    });
}

#[test]
fn a_close_stops_waiting_at_its_deadline() {
    run(async {
        let (server, _) = serve(small(), |_| reply_after(5_000, "too late"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, GET).await;
        pause(50).await;

        assert!(!server.close(common::after(100)).await);
    });
}

/// A client sends the body only after a `100 Continue`, as curl does with large ones.
#[test]
fn expect_continue_is_answered() {
    run(async {
        let (server, _) = serve(small(), echo);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();

        let head = "POST /x HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
        write(&mut stream, head).await;
        let interim = read(&mut stream).await;
        write(&mut stream, "body").await;

        assert!(interim.starts_with("HTTP/1.1 100 "), "{interim}");
        assert!(read(&mut stream).await.ends_with("body"));
    });
}

/// Callers hold all the connections that a node accepts, without using them. A new caller is
/// still served, since the connection that has been idle longest is closed.
#[test]
fn idle_connections_are_closed_for_new_callers() {
    run(async {
        let options = ServerOptions { max_connections: 3, ..ServerOptions::default() };
        let (server, _) = serve(options, echo);
        let mut idle = Vec::new();
        for _ in 0..3 {
            idle.push(TcpStream::connect_addr(server.address()).await.unwrap());
            pause(10).await;
        }

        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, post("served")).await;

        assert!(read(&mut stream).await.ends_with("served"));
        assert_eq!(read(&mut idle[0]).await, "");
    });
}

/// Callers send requests with bytes changed, removed or duplicated. None of them may crash the
/// node: the caller would then send the same request to the next node.
#[test]
fn malformed_requests_do_not_stop_the_server() {
    run(async {
        let (server, _) = serve(small(), echo);
        let mut random = fastrand::Rng::with_seed(11);
        let seeds = [
            post("{\"selector\":\"desk\"}"),
            "POST /x?a=b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                .into(),
            "GET http://x/y HTTP/1.0\r\nconnection: keep-alive\r\nx-request-id: 7\r\n\r\n".into(),
        ];

        for _ in 0..1_500 {
            let bytes = mutated(&mut random, &seeds);
            let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
            let _ = monoio::io::AsyncWriteRentExt::write_all(&mut stream, bytes).await;
            pause(0).await;
        }

        let reply = exchange(server.address(), "GET /x HTTP/1.0\r\n\r\n").await;
        assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
    });
}
