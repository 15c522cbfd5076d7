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
use http::StatusCode;
use kumquatnotch_core::{Clock, Error, clock, clock::RuntimeClock};
use kumquatnotch_net::{
    OpaqueLink,
    message::{Reply, Request},
    opaque_link::OpaqueReply,
    server::{ServerOptions, Work},
};

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

async fn exchange(link: &mut OpaqueLink) -> Result<OpaqueReply, Error> {
    link.send(&Request::get("/")).await?;
    let deadline = RuntimeClock.now() + Duration::from_millis(300);
    clock::timeout_at(&RuntimeClock, deadline, link.receive(&|_| true)).await?
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
        let mut link = connect(address).await;

        let start = Instant::now();
        let reply = exchange(&mut link).await;

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
        let mut link = connect(address).await;

        let first = exchange(&mut link).await.unwrap();
        link.send(&Request::get("/")).await.unwrap();
        thread::sleep(Duration::from_millis(200));
        let second = link.receive(&|_| true).await;

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

        assert!(refusal.starts_with("HTTP/1.1 4"), "{refusal}");
    });
}
