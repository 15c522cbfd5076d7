//! Tests of the links to targets: handling of replies, and limits on connections.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{
    accept, after, booking, hit_body, links, links_with, mutated, name, pause, raw_reply, read,
    run, search, serve, spec, write,
};
use futures_util::future::join_all;
use http::StatusCode;
use kumquatnotch_core::{Error, Targets, target::Phase};
use kumquatnotch_net::{
    message::{JSON, Reply},
    server::{ServerOptions, Work},
    target_links::TargetLinkOptions,
};
use standins::{
    plan::Plan,
    records::RunEnd,
    scripted::{Scripted, Step, answer},
    targets::Fleet,
};
use yare::parameterized;

fn fleet(change: impl Fn(&mut Plan)) -> Fleet {
    let mut plan = Plan::uniform(0, 1, 1);
    change(&mut plan);
    Fleet::start(&plan).expect("free ports are found")
}

#[parameterized(
    shed = { 429, "{\"retry_ms\":9}", Error::Shed { retry_ms: 9 } },
    draining = { 503, "{}", Error::Draining },
    gone = { 410, "{\"version\":1}", Error::VersionGone { version: 1 } },
    cancelled = { 499, "{\"ran\":false}", Error::Cancelled },
    cancelled_in_run = { 499, "{\"ran\":true}", Error::TimedOut },
    cancelled_unclear = { 499, "{}", Error::TimedOut },
    expired = { 504, "{\"ran\":false}", Error::ExpiredInQueue },
    expired_in_run = { 504, "{\"ran\":true}", Error::TimedOut },
    failed = { 500, "{\"detail\":\"x\"}", Error::TargetFailed { detail: "x".to_owned() } },
    other = { 418, "", Error::protocol("unexpected status 418") },
    other_snapshot = {
        200, "{\"version\":2}", Error::protocol("requested version 1, reply is from version 2")
    },
)]
fn statuses_map_to_errors(status: u16, body: &'static str, error: Error) {
    run(async {
        let status = StatusCode::from_u16(status).unwrap();
        let answer = move |_| Work::ready(Reply::new(status, JSON, body));
        let (server, _) = serve(ServerOptions::default(), answer);

        let spec = spec(server.address());
        let result = links().call(&name(), &spec, &search(1), after(500)).await;

        assert_eq!(result, Err(error));
    });
}

#[test]
fn a_target_answers_calls_and_probes() {
    run(async {
        let fleet = fleet(|_| {});
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));

        let reply = links.call(&name(), &spec, &search(1), after(1_000)).await.unwrap();
        let status = links.probe(&name(), &spec, after(1_000)).await.unwrap();

        assert_eq!(reply.hits.len(), 2);
        assert_eq!(status.phase, Phase::Ready);
    });
}

/// No process listens at the address. The error states that nothing was sent, and is returned
/// immediately, so that the caller can try another replica.
#[test]
fn a_refused_connection_fails_at_once() {
    run(async {
        let start = Instant::now();
        let spec = spec("127.0.0.1:9".parse().unwrap());

        let result = links().call(&name(), &spec, &booking(1), after(5_000)).await;

        assert_eq!(result, Err(Error::ConnectRefused));
        assert!(start.elapsed().as_millis() < 500);
    });
}

/// The target closes the connection after reading a booking. It may have run the booking, so
/// the error must not say that it has not run.
#[test]
fn a_connection_lost_after_sending_may_have_run() {
    run(async {
        let address = accept(|_, mut stream| async move {
            read(&mut stream).await;
        });

        let result = links().call(&name(), &spec(address), &booking(1), after(1_000)).await;

        assert_eq!(result, Err(Error::ConnectionLost));
        assert!(!result.unwrap_err().is_not_run());
    });
}

/// The target has closed an idle connection. This is detected before the next request is sent,
/// and the request is sent over a new connection.
#[test]
fn a_connection_closed_while_idle_fails_no_request() {
    run(async {
        let address = accept(|_, mut stream| async move {
            read(&mut stream).await;
            write(&mut stream, raw_reply(&hit_body("a"))).await;
        });
        let (links, spec) = (links(), spec(address));

        for id in 1..4 {
            let reply = links.call(&name(), &spec, &booking(id), after(1_000)).await;
            assert_eq!(reply.map(|reply| reply.hits.len()), Ok(1));
            pause(20).await;
        }
    });
}

/// A target sends a reply twice. The duplicate must not be mistaken for the reply to the next
/// request on that connection.
#[test]
fn a_duplicate_reply_reaches_no_other_request() {
    run(async {
        let address = accept(|number, mut stream| async move {
            read(&mut stream).await;
            let body = hit_body(&format!("connection {number}"));
            write(&mut stream, raw_reply(&body).repeat(2)).await;
            pause(1_000).await;
        });
        let (links, spec) = (links(), spec(address));

        for number in 0..3 {
            let reply = links.call(&name(), &spec, &search(number), after(1_000)).await.unwrap();
            assert_eq!(reply.hits[0].key, format!("connection {number}"));
        }
    });
}

/// A reply has the id of another request, so the connection is out of sync. The caller gets an
/// error instead of the answer to another request.
#[test]
fn a_reply_with_another_request_id_is_rejected() {
    run(async {
        let address = accept(|_, mut stream| async move {
            read(&mut stream).await;
            let reply = raw_reply(&hit_body("other"));
            write(&mut stream, reply.replace("\r\n\r\n", "\r\nx-request-id: 99999\r\n\r\n")).await;
            pause(1_000).await;
        });

        let result = links().call(&name(), &spec(address), &search(1), after(1_000)).await;

        assert!(matches!(result, Err(Error::Protocol { .. })), "{result:?}");
    });
}

/// The slower call is dropped because a hedge has won. The target is asked to cancel it, and its
/// reply is read, so that the connection stays in sync and is reused by the next call.
#[test]
fn a_dropped_call_is_cancelled_and_its_connection_kept() {
    run(async {
        let fleet = fleet(|plan| plan.target[0].service_ms = 2_000.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));

        let (name, slow) = (name(), search(1));
        let call = links.call(&name, &spec, &slow, after(3_000));
        let _ = monoio::time::timeout(std::time::Duration::from_millis(100), call).await;
        pause(100).await;

        assert_eq!(fleet.log().runs[0].end, RunEnd::Cancelled);
        assert_eq!(links.open_count(&name), 2);
        let change = standins::faults::FaultChange { factor: Some(0.001), ..Default::default() };
        fleet.apply(&change);
        let reply = links.call(&name, &spec, &search(2), after(1_000)).await.unwrap();
        assert_eq!(reply.hits[0].fields["nonce"], 2);
        assert_eq!(links.open_count(&name), 2);
    });
}

/// A call ends at its deadline, and its reply arrives while the connection is drained. The next
/// call must get its own reply.
#[test]
fn a_late_reply_reaches_no_other_request() {
    run(async {
        let address = accept(|_, mut stream| async move {
            loop {
                let request = read(&mut stream).await;
                let id = request.split("\"id\":").nth(1).and_then(|rest| rest.split(',').next());
                let Some(id) = id else { return };
                pause(120).await;
                write(&mut stream, raw_reply(&hit_body(id))).await;
            }
        });
        let (links, spec) = (links(), spec(address));

        for id in 0..4 {
            let first = links.call(&name(), &spec, &search(id * 2), after(60)).await;
            let second = links.call(&name(), &spec, &search(id * 2 + 1), after(1_000)).await;
            assert_eq!(first, Err(Error::TimedOut));
            assert_eq!(second.unwrap().hits[0].key, (id * 2 + 1).to_string());
        }
    });
}

/// A burst of calls is sent to a target that takes 6 ms for each new connection. The calls
/// share the connections that the limit allows.
#[parameterized(three = { 3 }, two = { 2 }, one = { 1 })]
fn a_burst_stays_within_the_connection_limit(connections: usize) {
    run(async {
        let fleet = fleet(|plan| plan.target[0].service_ms = 2.0);
        let options = TargetLinkOptions { max_connections: connections, ..Default::default() };
        let (links, spec) = (links_with(options), spec(fleet.address("t0").unwrap()));

        let peak = Rc::new(Cell::new(0));
        let calls = (0..40).map(|id| {
            let (links, spec, peak) = (links.clone(), spec.clone(), peak.clone());
            async move {
                let reply = links.call(&name(), &spec, &search(id), after(5_000)).await;
                peak.set(peak.get().max(links.open_count(&name())));
                reply.map(|reply| reply.hits[0].fields["nonce"].as_u64())
            }
        });
        let replies = join_all(calls).await;

        for (id, reply) in replies.into_iter().enumerate() {
            assert_eq!(reply, Ok(Some(id as u64)));
        }
        assert!(peak.get() <= connections, "{}", peak.get());
    });
}

/// A target closes every connection without serving a request. Repeated calls open few
/// connections, since the backoff between them grows.
#[test]
fn failures_to_connect_back_off() {
    run(async {
        let accepted = Rc::new(Cell::new(0));
        let counter = accepted.clone();
        let address = accept(move |_, stream| {
            counter.set(counter.get() + 1);
            async move { drop(stream) }
        });
        let (links, spec) = (links(), spec(address));

        let mut calls = 0;
        let start = Instant::now();
        while start.elapsed().as_millis() < 1_000 {
            let _ = links.call(&name(), &spec, &search(calls), after(200)).await;
            calls += 1;
            pause(2).await;
        }

        assert!(calls > 50, "{calls} calls");
        assert!(accepted.get() < 20, "{} connections in {calls} calls", accepted.get());
    });
}

/// A target sends malformed replies. Each call fails or is answered, and the node continues to
/// run.
#[test]
fn malformed_replies_do_not_stop_the_node() {
    run(async {
        let random = Rc::new(std::cell::RefCell::new(fastrand::Rng::with_seed(5)));
        let address = accept(move |_, mut stream| {
            let random = random.clone();
            async move {
                read(&mut stream).await;
                let chunks = "2\r\n{}\r\n0\r\n\r\n";
                let chunked =
                    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}");
                let seeds = [raw_reply(&hit_body("a")), chunked];
                let reply = mutated(&mut random.borrow_mut(), &seeds);
                let _ = monoio::io::AsyncWriteRentExt::write_all(&mut stream, reply).await;
            }
        });

        for id in 0..800 {
            let _ = links().call(&name(), &spec(address), &search(id), after(100)).await;
        }
    });
}

/// Guards against a long call that waits for its deadline although the target has shed it before it
/// was sent whole, and against another call on that connection, which the target would read as the
/// rest of the first one.
#[test]
fn a_call_that_is_shed_early_fails_at_once_and_ends_its_connection() {
    run(async {
        let target = Scripted::start_early(
            |request| match request.headers["content-length"].len() > 5 {
                true => {
                    let shed = answer(429, &[], b"{\"retry_ms\":9}");
                    vec![shed, Step::Wait(Duration::from_millis(300))]
                }
                false => vec![],
            },
            |_| vec![answer(200, &[], hit_body("k").as_bytes())],
        );
        let target = target.unwrap();
        let (links, spec) = (links(), spec(target.address));
        let mut long = search(1);
        long.body = "x".repeat(256 << 10);
        let start = Instant::now();

        let shed = links.call(&name(), &spec, &long, after(1_000)).await;
        let took = start.elapsed();
        let next = links.call(&name(), &spec, &search(2), after(1_000)).await;
        pause(400).await;

        assert_eq!(shed, Err(Error::Shed { retry_ms: 9 }));
        assert!(took < Duration::from_millis(200), "{took:?}");
        assert!(next.is_ok(), "{next:?}");
        assert_eq!((target.requests().len(), target.disconnects()), (1, 1));
    });
}
