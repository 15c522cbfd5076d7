//! Other processes that send more, or larger parts, than a message may have.

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use common::run;
use kumquatnotch_core::{Clock, Error, clock, clock::RuntimeClock};
use kumquatnotch_net::{OpaqueLink, message::Request, opaque_link::OpaqueReply};

/// Maximum size of a reply body.
const BODY_LIMIT: usize = 4 << 20;

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
