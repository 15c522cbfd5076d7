//! Replies that arrive before the end of a request: early final ones, and those to `Expect`.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::*;
use kumquatnotch_route::route::{Limits, Route, RouteConfig, RouteTable};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use standins::{
    http::{Answer, Request},
    scripted::{Scripted, Step, answer},
};

const BODY_BYTES: usize = 256 << 10;

/// Usual time of a request at a replica.
const USUAL: Duration = Duration::from_millis(100);

/// Pause of a replica between its early reply and reading on.
const PAUSE: Step = Step::Wait(Duration::from_millis(800));

/// Returns a body that consists of the identity of its request.
fn body_of(identity: &str) -> Bytes {
    format!("{identity}/").into_bytes().iter().copied().cycle().take(BODY_BYTES).collect()
}

fn tier_for_long_bodies(route: Route) -> Tier {
    let tier = Tier::new();
    let limits = Limits { body: 2 * BODY_BYTES };
    tier.router.set_synced();
    let config = RouteConfig { limits, ..config(1, vec![route]) };
    tier.router.install_table(RouteTable::new(config));
    tier
}

async fn post(tier: &Tier, identity: &str) -> Answer {
    let headers = [("host", HOST), ("x-request-id", identity)];
    tier.client().send("POST", "/a/x", &headers, body_of(identity)).await.unwrap()
}

/// Returns a reply that rejects a request, sent `wait` after its head has arrived. The replica
/// reads on only after `pause`.
fn rejection(request: &Request, wait: u64, pause: u64) -> Vec<Step> {
    let headers = [("x-request-id", header(request, "x-request-id")), ("x-not-run", "1")];
    let [wait, pause] = [wait, pause].map(|millis| Step::Wait(Duration::from_millis(millis)));
    vec![wait, answer(503, &headers, b""), pause]
}

/// Returns the first bytes in the body of a request that were not sent there.
fn foreign_bytes(request: &Request) -> Option<String> {
    let sent = match request.path.as_str() {
        "/probe" => Bytes::new(),
        _ => body_of(header(request, "x-request-id")),
    };
    if request.body == sent {
        return None;
    }
    let at = request.body.iter().zip(&sent).position(|(read, sent)| read != sent);
    let at = at.unwrap_or(sent.len());
    let shown = &request.body[at..request.body.len().min(at + 60)];
    Some(format!("at {at}: {}", String::from_utf8_lossy(shown)))
}

/// Guards against a hedged request whose connection is reused although its body was not sent whole:
/// the replica reads the next request where the rest of that body is due.
#[test]
fn a_losing_attempt_that_is_still_sending_is_not_followed_by_another_request() {
    run(async {
        let route = Route { objective: Duration::from_millis(320), ..single() };
        let tier = tier_for_long_bodies(route.clone());
        (0..2_000)
            .for_each(|_| tier.router.service_times.note(&route.name, route.objective, USUAL));
        // The replica that is called first rejects the request after the other one has replied,
        // but before its reply is late.
        let request_count = Rc::new(Cell::new(0));
        let start = || {
            let request_count = request_count.clone();
            let replica = Scripted::start_early(
                move |request| {
                    request_count.set(request_count.get() + 1);
                    if request_count.get() == 1 { rejection(request, 210, 150) } else { vec![] }
                },
                |request| vec![proven_reply(request, "p", b"body")],
            );
            let replica = replica.unwrap();
            let id = tier.add("s0", replica.address);
            let known = tier.router.directory.find(&id).unwrap();
            (0..60).for_each(|_| known.observed.note_service_time(USUAL));
            replica
        };
        let replicas = [start(), start()];

        let hedged = post(&tier, "r0").await;
        let sent = request_count.get();
        pause(80).await;
        let identities: Vec<String> = (1..6).map(|number| format!("r{number}")).collect();
        let later = identities.iter().map(|identity| post(&tier, identity));
        let later = futures_util::future::join_all(later).await;
        pause(300).await;

        assert_eq!((hedged.status, sent), (200, 2));
        assert!(later.iter().all(|answer| answer.status == 200));
        let read: Vec<Request> = replicas.iter().flat_map(Scripted::requests).collect();
        let foreign = read.iter().find_map(foreign_bytes);
        assert_eq!(foreign, None);
    });
}

/// Guards against an early reply that is only read once the body is sent: the replica does not read
/// on before its reply has been read, and the request ends as lost.
#[test]
fn an_early_reply_is_delivered_while_the_body_is_being_sent() {
    run(async {
        for route in [single(), exclusive()] {
            let tier = tier_for_long_bodies(route);
            let replica = Scripted::start_early(
                |request| match request.path.as_str() {
                    "/probe" => vec![],
                    _ => vec![proven_reply(request, "p", b"early"), PAUSE],
                },
                |_| vec![answer(200, &[], b"")],
            );
            let replica = replica.unwrap();
            tier.add("s0", replica.address);
            let start = Instant::now();

            let early = post(&tier, "r0").await;
            let took = start.elapsed();
            pause(1_000).await;

            assert_eq!((early.status, &early.body[..]), (200, &b"early"[..]));
            assert!(took < Duration::from_millis(400), "{took:?}");
            assert!(replica.requests().is_empty());
            assert_eq!(replica.disconnects(), 1);
        }
    });
}

/// Guards against a replica that may take a final reply for the end of a request, because it was
/// asked whether to go on, while the body is sent all the same.
#[test]
fn a_request_that_waits_to_continue_is_passed_on_without_waiting() {
    run(async {
        let tier = Tier::serving(single());
        let replica = replica("p", b"body");
        tier.add("s0", replica.address);
        let head = format!(
            "POST /a/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r0\r\ncontent-length: 4\r\n\
             expect: 100-continue\r\nconnection: close\r\n\r\n"
        );

        let mut caller = TcpStream::connect_addr(tier.server.address()).await.unwrap();
        caller.write_all(head.into_bytes()).await.0.unwrap();
        let (count, interim) = caller.read(vec![0; 100]).await;
        caller.write_all(b"text".to_vec()).await.0.unwrap();
        let (_, reply) = caller.read(vec![0; 100]).await;

        assert!(count.unwrap() > 0 && interim.starts_with(b"HTTP/1.1 100"));
        assert!(reply.starts_with(b"HTTP/1.1 200"));
        let [request] = &replica.requests()[..] else { panic!("it is sent once") };
        assert_eq!(&request.body[..], b"text");
        assert!(!request.headers.contains_key("expect"));
    });
}
