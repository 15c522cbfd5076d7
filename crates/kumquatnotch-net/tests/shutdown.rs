//! Tests of what clients get from a server that shuts down.

mod common;

use std::{
    cell::Cell,
    io::{self, Write},
    rc::Rc,
    sync::{Arc, Mutex},
    time::Instant,
};

use common::{after, pause, read, reply_after, run, serve, write};
use http::StatusCode;
use kumquatnotch_core::lifecycle::{Lifecycle, Stage};
use kumquatnotch_net::{
    message::Reply,
    server::{ServerOptions, Work},
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream};
use yare::parameterized;

const GET: &str = "GET /x HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against a close that never ends for a client that goes on sending on its connection: the
/// time in which late requests are answered ran anew after each reply.
#[test]
fn close_ends_although_a_client_goes_on_sending() {
    run(async {
        let (server, _) = serve(ServerOptions::default(), |_| reply_after(50, "whole"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        let client = monoio::spawn(async move {
            loop {
                write(&mut stream, GET).await;
                let reply = read(&mut stream).await;
                if !reply.ends_with("whole") {
                    return reply;
                }
                pause(100).await;
            }
        });
        pause(200).await;
        let start = Instant::now();

        let closed = server.close(after(6_000)).await;

        assert!(closed);
        assert!(start.elapsed().as_millis() < 2_500, "{:?}", start.elapsed());
        assert_eq!(client.await, "");
    });
}

/// Guards against an answer that is written and lost: the server closed its socket, and data that
/// the client sent afterwards reset the connection with the rest of the answer still to be read.
#[test]
fn answer_reaches_a_slow_client_that_sends_on_after_the_close() {
    run(async {
        let body = "a".repeat(3 << 20);
        let length = body.len();
        let (server, _) = serve(ServerOptions::default(), move |_| reply_after(1, &body));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, GET).await;
        pause(100).await;
        let closer = server.clone();
        let close = monoio::spawn(async move { closer.close(after(5_000)).await });
        pause(1_200).await;

        write(&mut stream, GET).await;
        pause(100).await;
        let mut received = 0;
        loop {
            match read(&mut stream).await.len() {
                0 => break,
                count => received += count,
            }
        }

        assert!(received > length, "{received} of {length} bytes");
        assert!(close.await);
    });
}

/// Guards against a request that is read whole as its connection closes, and gets no answer: those
/// that arrive while the time for late requests ends are either answered or not begun.
#[test]
fn request_that_arrives_as_its_connection_closes_is_answered_or_not_begun() {
    run(async {
        let (server, handler) = serve(ServerOptions::default(), |_| reply_after(20, "whole"));
        let answered = Rc::new(Cell::new(0));
        let mut clients = Vec::new();
        for index in 0..200 {
            let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
            let answered = answered.clone();
            clients.push(monoio::spawn(async move {
                // The connections are closed 1 s after the start of the closing.
                pause(950 + index / 2).await;
                let request = GET.as_bytes().to_vec();
                if stream.write_all(request).await.0.is_ok()
                    && read(&mut stream).await.ends_with("whole")
                {
                    answered.set(answered.get() + 1);
                }
            }));
        }

        let closed = server.close(after(5_000)).await;
        for client in clients {
            client.await;
        }

        assert!(closed);
        assert_eq!(handler.paths.borrow().len(), answered.get());
        assert!((1..200).contains(&answered.get()), "{} were answered", answered.get());
    });
}

/// Guards against a request that is cut at the exit while its body is still on its way, without an
/// answer that says that it has not run.
#[test]
fn request_that_is_not_read_at_the_end_is_refused() {
    run(async {
        let (server, handler) = serve(ServerOptions::default(), |_| reply_after(1, "whole"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf").await;
        pause(50).await;
        let lifecycle = Lifecycle::default();
        lifecycle.leave(after(300));

        let ended = server.shut_down(&lifecycle, after(600)).await;
        let reply = read(&mut stream).await;

        assert!(!ended);
        assert!(reply.starts_with("HTTP/1.1 503 "), "{reply}");
        assert!(reply.contains("\"not_run\":true"), "{reply}");
        assert!(handler.paths.borrow().is_empty());
    });
}

/// Guards against a request that is cut at the exit although its handler could tell its outcome,
/// also if the process wakes up after the deadline.
#[parameterized(in_time = { 300, 600 }, woken_late = { 0, 0 })]
fn running_request_is_answered_at_the_end(ends_ms: u64, deadline_ms: u64) {
    run(async {
        let lifecycle = Lifecycle::default();
        let watched = lifecycle.clone();
        let answer = move |_| {
            let watched = watched.clone();
            Work::new(async move {
                watched.reached(Stage::Ending).await;
                Reply::text(StatusCode::BAD_GATEWAY, "ended")
            })
        };
        let (server, _) = serve(ServerOptions::default(), answer);
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, GET).await;
        pause(50).await;
        lifecycle.leave(after(ends_ms));

        let ended = server.shut_down(&lifecycle, after(deadline_ms)).await;
        let reply = read(&mut stream).await;

        assert!(!ended);
        assert!(reply.starts_with("HTTP/1.1 502 ") && reply.ends_with("ended"), "{reply}");
    });
}

/// Log output of this thread.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).into_owned()
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that are cut at the exit without a line in the log of the node.
#[test]
fn request_cut_at_the_exit_is_logged_with_stage_and_age() {
    run(async {
        let log = LogBuffer::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt().with_writer(move || writer.clone()).finish();
        let _guard = tracing::subscriber::set_default(subscriber);
        let (server, _) = serve(ServerOptions::default(), |_| reply_after(5_000, "too late"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, "GET /x HTTP/1.1\r\nhost: x\r\nx-request-id: r7\r\n\r\n").await;
        pause(50).await;
        let lifecycle = Lifecycle::default();
        lifecycle.leave(after(100));

        let ended = server.shut_down(&lifecycle, after(200)).await;

        assert!(!ended);
        let text = log.text();
        let line = text.lines().find(|line| line.contains("net: request cut at the exit"));
        let line = line.expect("the request is logged");
        assert!(line.contains("r7") && line.contains("running"), "{line}");
        assert!(line.contains("age_ms") && line.contains("read_after_drain_ms"), "{line}");
    });
}
