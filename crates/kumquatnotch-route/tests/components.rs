//! Components without I/O: route lookup, coverage, merging and the semaphore.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use kumquatnotch_route::{
    merge,
    names::{RouteName, ServiceName},
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, ShardSet},
    semaphore::PrioritySemaphore,
};
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: RouteName::from(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts: 2,
        priority: 1,
        destination: Destination::Service(ServiceName::from("s")),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let limits = Limits { body: 1 };
    RouteTable::new(RouteConfig { version: 3, routes, services: vec![], limits })
}

#[parameterized(
    longest = { "a.example", "/x/y/z", Some("long") },
    shorter = { "a.example", "/x/z", Some("short") },
    partial_segment = { "a.example", "/x/yy", Some("short") },
    other_host = { "b.example", "/x/y/z", Some("other") },
    with_port = { "a.example:80", "/x/z", Some("short") },
    in_capitals = { "A.Example", "/x/z", Some("short") },
    without_slash = { "a.example", "/x", None },
    unknown_path = { "a.example", "/z/", None },
    unknown_host = { "c.example", "/x/z", None },
)]
fn the_longest_prefix_of_the_host_decides(host: &str, path: &str, expected: Option<&str>) {
    let table = table();

    let found = table.find(host, path).map(|route| route.name.as_str());

    assert_eq!(found, expected);
}

#[parameterized(
    all = { 20, 1.0, 20 },
    rounds_up = { 20, 0.89, 18 },
    exact = { 20, 0.75, 15 },
    at_least_one = { 20, 0.0, 1 },
    no_rounding_error = { 100, 0.29, 29 },
)]
fn min_coverage_gives_the_number_of_parts(shards: usize, min_coverage: f64, parts: usize) {
    let shards = (0..shards).map(|index| ServiceName::from(&*format!("s{index}"))).collect();

    assert_eq!(ShardSet { shards, top: 1, min_coverage }.min_parts(), parts);
}

fn records(first_bytes: &[u8], trailing: usize) -> Bytes {
    let mut bytes = Vec::new();
    for first in first_bytes {
        bytes.push(*first);
        bytes.extend([7; merge::RECORD_BYTES - 1]);
    }
    bytes.extend(vec![255; trailing]);
    bytes.into()
}

#[parameterized(
    descending = { &[records(&[1, 3], 0), records(&[2], 0)], 10, &[3, 2, 1] },
    truncated = { &[records(&[1, 3], 0), records(&[2], 0)], 2, &[3, 2] },
    duplicates_are_kept = { &[records(&[3, 3], 0), records(&[3], 0)], 3, &[3, 3, 3] },
    trailing_bytes_are_ignored = { &[records(&[1], 15), records(&[2], 1)], 10, &[2, 1] },
    empty = { &[], 10, &[] },
)]
fn the_greatest_records_are_merged(parts: &[Bytes], top: usize, expected: &[u8]) {
    assert_eq!(merge::greatest(parts, top), records(expected, 0));
}

#[test]
fn urgent_waiters_go_first_and_cancelled_ones_are_skipped() {
    let semaphore = Rc::new(PrioritySemaphore::default());
    semaphore.set_limit(1);
    let held = semaphore.acquire(1).now_or_never().unwrap();
    let mut normal = Box::pin(semaphore.acquire(2));
    let mut cancelled = Box::pin(semaphore.acquire(0));
    let mut urgent = Box::pin(semaphore.acquire(1));
    for waiter in [&mut normal, &mut cancelled, &mut urgent] {
        assert!(waiter.as_mut().now_or_never().is_none());
    }

    drop(cancelled);
    drop(held);

    assert!(normal.as_mut().now_or_never().is_none());
    let held = urgent.now_or_never().unwrap();
    drop(held);
    assert!(normal.now_or_never().is_some());
    assert_eq!(semaphore.in_use(), 0);
}
