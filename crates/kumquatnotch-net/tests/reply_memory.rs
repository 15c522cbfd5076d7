//! Memory of a process while many replies come that never end.
//!
//! Alone in its file, because memory is measured for the whole process.

mod common;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use common::run;
use futures_util::future::join_all;
use kumquatnotch_core::{Clock, clock, clock::RuntimeClock};
use kumquatnotch_net::{OpaqueLink, message::Request};

/// As many connections as the replicas of a service accept from all nodes.
const CONNECTIONS: usize = 110;

/// Maximum size of a reply body.
const BODY_LIMIT: usize = 4 << 20;

/// What a faulty sender sends before it falls silent: just less than the limit.
const SENT_BYTES: usize = BODY_LIMIT - (64 << 10);

/// Maximum growth in MiB: half of the memory of the smallest nodes.
const MAX_GROWTH: u64 = 80;

/// Returns a line of the status of this process, in MiB.
fn memory(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
}

/// Starts a server that answers each connection with `head` and an endless body, or a whole one.
fn server(head: String, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, head) = (stream.unwrap(), head.clone());
            thread::spawn(move || {
                let mut request = [0; 1_000];
                let _ = stream.read(&mut request);
                let _ = stream.write_all(head.as_bytes());
                let piece = [b'x'; 16 << 10];
                for _ in 0..SENT_BYTES / piece.len() {
                    if stream.write_all(&piece).is_err() {
                        return;
                    }
                }
                if is_endless {
                    thread::sleep(Duration::from_secs(5));
                }
                // Until the other side closes.
                let _ = stream.read(&mut request);
            });
        }
    });
    address
}

async fn connect(address: SocketAddr) -> OpaqueLink {
    let deadline = RuntimeClock.now() + Duration::from_secs(2);
    OpaqueLink::connect(address, BODY_LIMIT, &RuntimeClock, deadline).await.unwrap()
}

/// Guards against a node that is killed for its memory, with the requests of all callers, because a
/// faulty replica answers without end on all of its connections, each within the limit of a reply.
#[test]
fn replies_without_end_are_bounded_together() {
    run(async {
        let chunked =
            format!("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n", 2 * SENT_BYTES);
        let whole = format!("HTTP/1.1 200 X\r\ncontent-length: {SENT_BYTES}\r\n\r\n");
        let before = memory("VmRSS");

        for (head, is_endless) in [
            ("HTTP/1.1 200 X\r\n\r\n".to_owned(), true),
            (format!("HTTP/1.1 200 X\r\ncontent-length: {BODY_LIMIT}\r\n\r\n"), true),
            (chunked, true),
            (whole, false),
        ] {
            let address = server(head.clone(), is_endless);
            let exchanges = (0..CONNECTIONS).map(|_| async {
                let link = connect(address).await;
                let exchange = link.exchange(&Request::get("/"), None);
                let deadline = RuntimeClock.now() + Duration::from_secs(2);
                // Only the connection is kept of a whole reply.
                let reply = clock::timeout_at(&RuntimeClock, deadline, exchange).await;
                reply.ok()?.ok()?.kept
            });
            let kept: Vec<_> = join_all(exchanges).await.into_iter().flatten().collect();
            let growth = memory("VmHWM") - before;
            println!("{head:?}: growth {growth} MiB, {} kept", kept.len());

            assert!(growth <= MAX_GROWTH, "grew by {growth} MiB");
            assert!(is_endless || !kept.is_empty());
        }
    });
}
