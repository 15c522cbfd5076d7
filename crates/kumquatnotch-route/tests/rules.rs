//! The small decisions, each by itself.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use kumquatnotch_core::{Clock, clock::PausedClock};
use kumquatnotch_route::{
    budget::{Budget, BudgetOptions},
    gate::Gate,
    merge,
    names::{RouteName, ServiceName},
    route::{
        Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, ShardSet, WeightedService,
    },
    weights::Weights,
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
    not_a_whole_part = { "a.example", "/x/yy", Some("short") },
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
    whole = { 20, 1.0, 20 },
    rounds_up = { 20, 0.89, 18 },
    exact = { 20, 0.75, 15 },
    never_none = { 20, 0.0, 1 },
    no_rounding_error = { 100, 0.29, 29 },
)]
fn the_least_share_is_a_number_of_parts(shards: usize, least: f64, parts: usize) {
    let shards = (0..shards).map(|index| ServiceName::from(&*format!("s{index}"))).collect();

    assert_eq!(ShardSet { shards, top: 1, least }.least_parts(), parts);
}

fn records(firsts: &[u8], rest: usize) -> Bytes {
    let mut bytes = Vec::new();
    for first in firsts {
        bytes.push(*first);
        bytes.extend([7; merge::RECORD_BYTES - 1]);
    }
    bytes.extend(vec![255; rest]);
    bytes.into()
}

#[parameterized(
    falling = { &[records(&[1, 3], 0), records(&[2], 0)], 10, &[3, 2, 1] },
    cut = { &[records(&[1, 3], 0), records(&[2], 0)], 2, &[3, 2] },
    equal_ones_count = { &[records(&[3, 3], 0), records(&[3], 0)], 3, &[3, 3, 3] },
    remainders_are_no_records = { &[records(&[1], 15), records(&[2], 1)], 10, &[2, 1] },
    empty = { &[], 10, &[] },
)]
fn the_greatest_records_are_merged(parts: &[Bytes], top: usize, expected: &[u8]) {
    assert_eq!(merge::greatest(parts, top), records(expected, 0));
}

#[test]
fn requests_are_shared_out_by_weight() {
    let weights = Weights::default();
    let services: Vec<WeightedService> = [("a", 5.0), ("b", 3.0), ("c", 2.0), ("d", 0.0)]
        .iter()
        .map(|(name, weight)| WeightedService { name: ServiceName::from(*name), weight: *weight })
        .collect();

    let picks: Vec<&str> = (0..100)
        .map(|_| weights.pick(&RouteName::from("r"), &services).unwrap().as_str())
        .collect();

    let count = |name| picks.iter().filter(|pick| **pick == name).count();
    assert_eq!([count("a"), count("b"), count("c"), count("d")], [50, 30, 20, 0]);
    // Any ten in a row keep to the weights within one.
    assert!(
        picks.windows(10).all(|ten| (4..=6).contains(&ten.iter().filter(|p| **p == "a").count()))
    );
}

fn budget(clock: &PausedClock, nodes: usize) -> Budget {
    let options = BudgetOptions { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };
    let budget = Budget::new(options, Rc::new(clock.clone()));
    budget.set_part(1.0 / nodes as f64);
    budget
}

fn spent(budget: &Budget, service: &ServiceName) -> usize {
    (0..1_000).take_while(|_| budget.spend(service)).count()
}

#[test]
fn repeats_stay_below_the_share_of_requests_and_of_the_fixed_number() {
    let clock = PausedClock::default();
    let budget = budget(&clock, 4);
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    (0..100).for_each(|_| budget.note_first(&one));

    let (one, other) = (spent(&budget, &one), spent(&budget, &other));

    assert!((20..=30).contains(&one), "{one} of at most 20 + 40 / 4");
    assert!((7..=10).contains(&other), "{other} of at most 40 / 4");
}

/// The window slides: no span of its length may hold more than the allowance,
/// also if repeats are spent at the end of one and the start of the next.
#[test]
fn no_window_holds_more_than_the_allowance() {
    let clock = PausedClock::default();
    let budget = budget(&clock, 1);
    let service = ServiceName::from("one");
    let mut times = Vec::new();

    for _ in 0..300 {
        while budget.spend(&service) {
            times.push(clock.now());
        }
        clock.advance(Duration::from_millis(100));
    }

    let window = Duration::from_secs(10);
    for start in &times {
        let held = times.iter().filter(|time| **time >= *start && **time - *start < window);
        assert!(held.count() <= 40);
    }
    assert!(times.len() > 80);
}

#[test]
fn the_more_urgent_waiter_goes_first_and_one_that_left_holds_nobody_up() {
    let gate = Rc::new(Gate::default());
    gate.set_limit(1);
    let held = gate.acquire(1).now_or_never().unwrap();
    let mut patient = Box::pin(gate.acquire(2));
    let mut left = Box::pin(gate.acquire(0));
    let mut urgent = Box::pin(gate.acquire(1));
    for waiter in [&mut patient, &mut left, &mut urgent] {
        assert!(waiter.as_mut().now_or_never().is_none());
    }

    drop(left);
    drop(held);

    assert!(patient.as_mut().now_or_never().is_none());
    let held = urgent.now_or_never().unwrap();
    drop(held);
    assert!(patient.now_or_never().is_some());
    assert_eq!(gate.taken(), 0);
}
