//! Other processes that send more, or larger parts, than a message may have.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use common::{pause, run, serve};
use futures_util::FutureExt;
use http::StatusCode;
use kumquatnotch_core::{Clock, Error, clock, clock::RuntimeClock};
use kumquatnotch_net::{
    OpaqueLink,
    message::{Reply, Request},
    opaque_link::OpaqueReply,
    server::{ServerOptions, Work},
};
use yare::parameterized;

/// Maximum size of a reply body.
const BODY_LIMIT: usize = 4 << 20;

/// Size of a header name that the decoder of heads can't represent.
const LONG_NAME: usize = 100 << 10;

/// Starts a server in a thread of its own that passes its first connection to `serve`.
fn server(serve: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || serve(listener.accept().unwrap().0));
    address
}

async fn connect(address: SocketAddr) -> OpaqueLink {
    let deadline = RuntimeClock.now() + Duration::from_secs(1);
    OpaqueLink::connect(address, BODY_LIMIT, &RuntimeClock, deadline).await.unwrap()
}

async fn exchange(link: OpaqueLink) -> Result<OpaqueReply, Error> {
    let deadline = RuntimeClock.now() + Duration::from_millis(300);
    clock::timeout_at(&RuntimeClock, deadline, link.exchange(&Request::get("/"), None)).await?
}

async fn reply(link: OpaqueLink) -> Result<Reply, Error> {
    exchange(link).await.map(|answer| answer.reply)
}

/// Guards against a replica that stops all timers of a node, and with them all its deadlines, by
/// interim replies that arrive faster than they are read.
#[test]
fn flood_of_interim_replies_ends() {
    run(async {
        let address = server(|mut stream| {
            let flood = "HTTP/1.1 103 X\r\n\r\n".repeat(10_000);
            while stream.write_all(flood.as_bytes()).is_ok() {}
        });
        let link = connect(address).await;

        let start = Instant::now();
        let reply = reply(link).await;

        assert!(reply.is_err(), "{reply:?}");
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    });
}

/// Guards against a reply whose head ends the process: with a large buffer left by the reply before
/// it, a header name arrives whole that is longer than the decoder of heads can take.
#[test]
fn head_in_a_large_buffer_is_limited() {
    run(async {
        let address = server(|mut stream| {
            let body = vec![b'x'; 3 << 20];
            let first = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
            let second = format!("HTTP/1.1 200 X\r\n{}: x\r\n\r\n", "n".repeat(LONG_NAME));
            let mut buffer = [0; 1_000];
            let _ = stream.read(&mut buffer);
            stream.write_all(first.as_bytes()).unwrap();
            stream.write_all(&body).unwrap();
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(second.as_bytes());
            thread::sleep(Duration::from_secs(1));
        });
        let link = connect(address).await;

        let first = exchange(link).await.unwrap();
        let mut second = first.kept.unwrap().link.exchange(&Request::get("/"), None);
        assert!((&mut second).now_or_never().is_none());
        thread::sleep(Duration::from_millis(200));
        let second = second.await.map(|answer| answer.reply);

        assert_eq!(first.reply.body.len(), 3 << 20);
        assert!(matches!(second, Err(Error::Protocol { .. })), "{second:?}");
    });
}

/// Guards against a request whose head ends the process, for the same reason.
#[test]
fn head_of_a_request_in_a_large_buffer_is_limited() {
    run(async {
        let echo = |_| Work::ready(Reply::text(StatusCode::OK, "done"));
        let (server, _) = serve(ServerOptions::default(), echo);
        let address = server.address();
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
            let body = vec![b'x'; 800 << 10];
            let first = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
            let second = format!("GET / HTTP/1.1\r\n{}: x\r\n\r\n", "n".repeat(LONG_NAME));
            let mut buffer = [0; 1_000];
            stream.write_all(first.as_bytes()).unwrap();
            stream.write_all(&body).unwrap();
            let _ = stream.read(&mut buffer);
            stream.write_all(second.as_bytes()).unwrap();
            let count = stream.read(&mut buffer).unwrap_or_default();
            let _ = sender.send(String::from_utf8_lossy(&buffer[..count]).into_owned());
        });

        let refusal = loop {
            match receiver.try_recv() {
                Ok(refusal) => break refusal,
                Err(_) => pause(5).await,
            }
        };

        assert!(refusal.starts_with("HTTP/1.1 413 "), "{refusal}");
    });
}

/// Guards against a node that awaits the rest of what can't become a reply.
#[parameterized(
    no_http = { "220 mail.example ESMTP\r\n" },
    other_version = { "HTTP/2.0 200 X\r\n" },
    blank_lines = { "\r\n\r\nx" },
    chunk_line = { "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\nZEROES" },
    later_chunk_line = {
        "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\nZEROES"
    },
    trailers = { "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: b\r\n" },
)]
fn what_is_no_reply_is_rejected_at_once(bytes: &str) {
    run(async {
        let bytes = bytes.replace("ZEROES", &"0".repeat(1_000));
        let address = server(move |mut stream| {
            stream.write_all(bytes.as_bytes()).unwrap();
            thread::sleep(Duration::from_secs(1));
        });
        let link = connect(address).await;

        let reply = reply(link).await;

        assert!(matches!(reply, Err(Error::Protocol { .. })), "{reply:?}");
    });
}

/// Guards against a limit on the lines before chunks that counts the chunks as well.
#[test]
fn long_chunks_after_short_lines_are_read() {
    run(async {
        let address = server(|mut stream| {
            stream.write_all(b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
            for _ in 0..3 {
                stream.write_all(b"00000400\r\n").unwrap();
                thread::sleep(Duration::from_millis(5));
                stream.write_all(&[b'x'; 600]).unwrap();
                thread::sleep(Duration::from_millis(5));
                stream.write_all(&[b'x'; 424]).unwrap();
                stream.write_all(b"\r").unwrap();
                thread::sleep(Duration::from_millis(5));
                stream.write_all(b"\n").unwrap();
            }
            stream.write_all(b"0\r\n\r\n").unwrap();
            thread::sleep(Duration::from_secs(1));
        });
        let link = connect(address).await;

        let reply = reply(link).await.unwrap();

        assert_eq!(reply.body.len(), 3 * 1_024);
    });
}
