//! Messages whose body has a transfer coding that isn't known.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{read, run, serve};
use http::StatusCode;
use kumquatnotch_core::{Clock, Error, clock::RuntimeClock};
use kumquatnotch_net::{
    OpaqueLink,
    message::{Reply, Request},
    server::{ServerOptions, Work},
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream};
use standins::scripted::{Scripted, Step};
use yare::parameterized;

/// Guards against a request that is smuggled in the body of another one, which ends where its
/// connection does or is compressed.
#[parameterized(
    identity = { "identity" },
    compressed = { "gzip" },
    compressed_chunks = { "gzip, chunked" },
    unknown = { "x" },
)]
fn body_of_an_unknown_coding_is_no_request(coding: &str) {
    run(async {
        let paths: Rc<RefCell<Vec<String>>> = Rc::default();
        let seen = paths.clone();
        let (server, _handler) = serve(ServerOptions::default(), move |request| {
            seen.borrow_mut().push(request.path);
            Work::ready(Reply::text(StatusCode::OK, "done"))
        });
        let message = format!(
            "POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: {coding}\r\n\r\n\
             GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
        );

        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        stream.write_all(message.into_bytes()).await.0.unwrap();
        let answer = read(&mut stream).await;

        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(*paths.borrow(), Vec::<String>::new());
    });
}

/// Guards against a reply that counts as whole without its body, whose bytes are taken for the next
/// reply.
#[test]
fn reply_of_an_unknown_coding_is_no_reply() {
    run(async {
        let reply = "HTTP/1.1 200 X\r\ntransfer-encoding: identity\r\n\r\nHTTP/1.1 200 X\r\n\r\n";
        let server = Scripted::start(move |_| vec![Step::Send(reply.into()), Step::Close]).unwrap();
        let deadline = RuntimeClock.now() + Duration::from_secs(1);
        let link =
            OpaqueLink::connect(server.address, 1_000, &RuntimeClock, deadline).await.unwrap();

        let exchanged = link.exchange(&Request::get("/"), None).await;

        assert!(matches!(exchanged.map(drop), Err(Error::Protocol { .. })));
    });
}
