//! Connections that forward requests: when they can be reused, and how replies are read.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{accept, after, pause, raw_reply, read, run, write};
use http::{HeaderName, HeaderValue};
use kumquatnotch_core::{Error, Result, clock::RuntimeClock};
use kumquatnotch_net::{
    OpaqueLink,
    message::Request,
    opaque_link::{Echo, OpaqueReply},
};
use standins::scripted::{Scripted, Step, answer};

const MAX_REPLY_BYTES: usize = 1 << 20;

/// Size of a body that the small receive window of a stand-in does not take.
const LONG_BODY_BYTES: usize = 256 << 10;

async fn connect(address: SocketAddr) -> OpaqueLink {
    let link = OpaqueLink::connect(address, MAX_REPLY_BYTES, &RuntimeClock, after(1_000));
    link.await.expect("the stand-in accepts connections")
}

fn long_request() -> Request {
    Request::post("/long", "text/plain", vec![b'x'; LONG_BODY_BYTES])
}

fn wait(millis: u64) -> Step {
    Step::Wait(Duration::from_millis(millis))
}

/// A server that plays `steps` once it has the head of a request, and reads the body then.
fn early(steps: Vec<Step>) -> Scripted {
    Scripted::start_early(move |_| steps.clone(), |_| vec![]).expect("a free port is found")
}

/// Sends a request to a server that replies with these bytes, and returns the reply.
async fn exchange_raw(reply: &'static str) -> Result<OpaqueReply> {
    let address = accept(move |_, mut stream| async move {
        read(&mut stream).await;
        write(&mut stream, reply).await;
        pause(1_000).await;
    });
    connect(address).await.exchange(&Request::get("/"), None).await
}

/// Guards against a sender that waits for its deadline although the other side has replied, and
/// against another request on a connection on which the rest of a body is due.
#[test]
fn an_early_reply_ends_the_sending_and_the_connection() {
    run(async {
        let server = early(vec![answer(503, &[], b"full"), wait(300)]);
        let start = Instant::now();

        let answer = connect(server.address).await.exchange(&long_request(), None).await;
        let took = start.elapsed();
        pause(400).await;

        let OpaqueReply { reply, kept } = answer.expect("it is answered");
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (503, &b"full"[..]));
        assert!(kept.is_none());
        assert!(took < Duration::from_millis(200), "{took:?}");
        assert!(server.requests().is_empty());
        assert_eq!(server.disconnects(), 1);
    });
}

/// Guards against a reply that is lost because the connection breaks while its request is sent:
/// some servers reject a long request and close the connection at once.
#[test]
fn an_early_reply_before_a_reset_is_delivered() {
    run(async {
        let server = early(vec![answer(413, &[], b"long"), Step::Close]);

        let answer = connect(server.address).await.exchange(&long_request(), None).await;

        let OpaqueReply { reply, kept } = answer.expect("it is answered");
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (413, &b"long"[..]));
        assert!(kept.is_none());
    });
}

/// Guards against a reply without a length that was cut by a reset and looks complete, as the
/// sender has been told of the reset.
#[test]
fn an_early_reply_without_a_length_is_incomplete_after_a_reset() {
    run(async {
        let head = b"HTTP/1.1 200 OK\r\n\r\npart".to_vec();
        let server = early(vec![Step::Send(head), wait(50), Step::Close]);

        let answer = connect(server.address).await.exchange(&long_request(), None).await;

        assert_eq!(answer.map(|answer| answer.reply.body).err(), Some(Error::ConnectionLost));
    });
}

/// Guards against a lost part of a reply: an exchange that nobody polls for a while, after an
/// interim reply and a part of the next head, goes on where it was.
#[test]
fn an_exchange_continues_after_a_timeout() {
    run(async {
        let address = accept(|_, mut stream| async move {
            read(&mut stream).await;
            write(&mut stream, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\ncontent-").await;
            pause(60).await;
            write(&mut stream, "length: 4\r\n\r\nbody").await;
            pause(1_000).await;
        });
        let mut exchange = connect(address).await.exchange(&Request::get("/"), None);

        let first = monoio::time::timeout(Duration::from_millis(30), &mut exchange).await;
        let is_sent = exchange.is_sent();
        pause(60).await;
        let answer = exchange.await;

        assert!(first.is_err() && is_sent);
        let OpaqueReply { reply, kept } = answer.expect("it is answered");
        assert_eq!(&reply.body[..], b"body");
        assert!(kept.is_some());
    });
}

/// Guards against bytes beyond the length of a reply that are read as the reply to the next
/// request.
#[test]
fn a_connection_with_bytes_beyond_the_reply_is_not_kept() {
    run(async {
        let whole = exchange_raw("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
        let longer = exchange_raw("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokay").await;
        let bodiless = exchange_raw("HTTP/1.1 204 None\r\n\r\nokay").await.unwrap();

        let longer = longer.unwrap();
        assert_eq!((&longer.reply.body[..], longer.kept.is_none()), (&b"ok"[..], true));
        assert!(whole.kept.is_some());
        assert!(bodiless.kept.is_none());
    });
}

/// Guards against a reply to an earlier request that is delivered to the next one.
#[test]
fn a_late_reply_to_another_request_is_skipped() {
    run(async {
        let reply =
            |identity| raw_reply("body").replacen("\r\n", &format!("\r\nid: {identity}\r\n"), 1);
        let address = accept(move |_, mut stream| async move {
            read(&mut stream).await;
            write(&mut stream, [reply("r0"), reply("r1")].concat()).await;
            pause(1_000).await;
        });
        let echo =
            Echo { name: HeaderName::from_static("id"), identity: HeaderValue::from_static("r1") };

        let answer = connect(address).await.exchange(&Request::get("/"), Some(echo)).await;

        let answer = answer.expect("it is answered");
        assert_eq!(answer.reply.headers["id"], "r1");
        assert!(answer.kept.is_some());
    });
}
