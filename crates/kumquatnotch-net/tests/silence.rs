//! Tests of the detection of silent connections, as opposed to targets that are only slow.

mod common;

use std::{cell::Cell, rc::Rc, time::Instant};

use common::{
    accept, after, booking, hit_body, links, name, pause, raw_reply, read, run, search, spec, write,
};
use futures_util::future::join_all;
use kumquatnotch_core::{Error, Targets, document::TargetSpec};
use kumquatnotch_net::TargetLinks;
use standins::{faults::FaultChange, plan::Plan, targets::Fleet};

fn fleet(service_ms: f64) -> Fleet {
    let mut plan = Plan::uniform(0, 1, 1);
    plan.target[0].service_ms = service_ms;
    plan.target[0].spread = 0.1;
    Fleet::start(&plan).expect("free ports are found")
}

fn silence(fleet: &Fleet) {
    fleet.apply(&FaultChange { silence: true, ..Default::default() });
}

/// Sends searches until the links have estimated the latency of the target.
async fn warm_up(links: &Rc<TargetLinks>, spec: &TargetSpec) {
    for id in 0..20 {
        let reply = links.call(&name(), spec, &search(id), after(2_000)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}

/// A search is sent on a connection that has gone silent. The target reports itself idle on
/// another connection, and the cancelled request is never answered on the silent one. The
/// caller gets `ConnectionSilent` well before its deadline, and the next call succeeds.
#[test]
fn a_search_on_a_silent_connection_fails_early() {
    run(async {
        let fleet = fleet(5.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        warm_up(&links, &spec).await;
        silence(&fleet);
        let start = Instant::now();

        let lost = links.call(&name(), &spec, &search(100), after(5_000)).await;
        let elapsed = start.elapsed();
        let next = links.call(&name(), &spec, &search(101), after(500)).await;

        assert_eq!(lost, Err(Error::ConnectionSilent));
        assert!(elapsed.as_millis() < 1_000, "{elapsed:?}");
        println!("found after {elapsed:?}");
        assert!(next.is_ok(), "{next:?}");
    });
}

/// A connection goes silent while other searches keep the target busy, so that it never reports
/// itself idle. The connection is detected because later requests are answered first, which
/// does not happen with a straggler.
#[test]
fn a_silent_connection_is_found_under_load() {
    run(async {
        let fleet = fleet(20.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        warm_up(&links, &spec).await;
        silence(&fleet);
        fleet.apply(&FaultChange { load: Some(3), ..Default::default() });
        let start = Instant::now();

        let (one, other) = (links.clone(), spec.clone());
        let lost = monoio::spawn(async move {
            let lost = one.call(&name(), &other, &search(100), after(5_000)).await;
            (lost, Instant::now())
        });
        pause(1).await;
        for id in 200..260 {
            let reply = links.call(&name(), &spec, &search(id), after(5_000)).await;
            assert!(reply.is_ok(), "{reply:?}");
        }
        let (lost, end) = lost.await;

        assert_eq!(lost, Err(Error::ConnectionSilent));
        let elapsed = end.duration_since(start);
        println!("found after {elapsed:?}");
        assert!(elapsed.as_millis() < 1_000, "{elapsed:?}");
    });
}

/// A target suddenly becomes 100 times slower, but answers status requests with its load. Its
/// replies are late, but no connection is treated as silent and no search is lost.
#[test]
fn a_straggler_is_not_treated_as_silent() {
    run(async {
        let fleet = fleet(7.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        warm_up(&links, &spec).await;
        fleet.apply(&FaultChange { factor: Some(100.0), ..Default::default() });

        let calls = (100..104).map(|id| {
            let (links, spec) = (links.clone(), spec.clone());
            async move { links.call(&name(), &spec, &search(id), after(8_000)).await }
        });
        let replies = join_all(calls).await;

        for reply in replies {
            assert!(reply.is_ok(), "{reply:?}");
        }
    });
}

/// A straggler wrongly reports itself idle. The connection is challenged and answers, so it is
/// kept. One search is lost.
#[test]
fn a_straggler_that_reports_idle_keeps_its_connection() {
    run(async {
        let fleet = fleet(7.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        warm_up(&links, &spec).await;
        fleet.apply(&FaultChange { factor: Some(100.0), load: Some(0), ..Default::default() });
        let open = links.open_count(&name());

        let first = links.call(&name(), &spec, &search(100), after(3_000)).await;
        let second = links.call(&name(), &spec, &search(101), after(3_000)).await;

        assert_eq!(first, Err(Error::TimedOut));
        assert!(second.is_ok(), "{second:?}");
        assert!(links.open_count(&name()) <= open.max(2));
    });
}

/// A connection goes silent while idle, and the next request is a booking, which can't be
/// retried. The connection does not answer the check before use, so the booking runs once, over
/// a new connection.
#[test]
fn a_booking_is_not_sent_on_a_silent_connection() {
    run(async {
        let fleet = fleet(5.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        warm_up(&links, &spec).await;
        silence(&fleet);
        pause(50).await;

        let reply = links.call(&name(), &spec, &booking(100), after(1_000)).await;

        assert!(reply.is_ok(), "{reply:?}");
        let runs = fleet.log().runs;
        assert_eq!(runs.iter().filter(|run| run.exclusive).count(), 1);
    });
}

/// The connection for probes has gone silent. A probe still succeeds within its timeout, over a
/// new connection.
#[test]
fn probes_are_retried_on_a_new_connection() {
    run(async {
        let fleet = fleet(5.0);
        let (links, spec) = (links(), spec(fleet.address("t0").unwrap()));
        links.probe(&name(), &spec, after(400)).await.unwrap();
        silence(&fleet);

        let status = links.probe(&name(), &spec, after(400)).await;

        assert!(status.is_ok(), "{status:?}");
    });
}

/// A target answers on no connection. The call times out, and the connection is not reported as
/// silent.
#[test]
fn an_unresponsive_target_is_not_a_silent_connection() {
    run(async {
        let address =
            accept(|_, mut stream| async move { while !read(&mut stream).await.is_empty() {} });

        let result = links().call(&name(), &spec(address), &search(1), after(1_500)).await;

        assert_eq!(result, Err(Error::TimedOut));
    });
}

/// A caller gives up while the connection for its booking is still being checked. The booking
/// must not be sent after that, since no caller waits for its outcome.
#[test]
fn a_booking_abandoned_during_its_check_is_not_sent() {
    run(async {
        let bookings = Rc::new(Cell::new(0));
        let counter = bookings.clone();
        let address = accept(move |_, mut stream| {
            let counter = counter.clone();
            async move {
                loop {
                    let request = read(&mut stream).await;
                    if request.is_empty() {
                        return;
                    }
                    counter.set(counter.get() + usize::from(request.starts_with("POST")));
                    if request.starts_with("GET") {
                        pause(100).await;
                    }
                    write(&mut stream, raw_reply(&hit_body("a"))).await;
                }
            }
        });
        let (links, spec) = (links(), spec(address));
        links.call(&name(), &spec, &booking(1), after(1_000)).await.unwrap();
        pause(50).await;

        let late = links.call(&name(), &spec, &booking(2), after(50)).await;
        pause(200).await;

        assert_eq!(late, Err(Error::TimedOut));
        assert_eq!(bookings.get(), 1);
    });
}
