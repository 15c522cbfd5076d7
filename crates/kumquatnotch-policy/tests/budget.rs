//! Tests of the retry budget of all nodes without a shared counter.

use std::time::{Duration, Instant};

use kumquatnotch_core::ids::ServiceName;
use kumquatnotch_policy::{
    budget::{Budget, BudgetOptions},
    shares,
};

fn budget(now: Instant, nodes: usize) -> Budget {
    let options = BudgetOptions { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };
    let budget = Budget::new(options, now);
    budget.set_share(1.0 / nodes as f64, now);
    budget
}

fn spent(budget: &Budget, service: &ServiceName, now: Instant) -> usize {
    (0..1_000).take_while(|_| budget.spend(service, now)).count()
}

#[test]
fn repeats_stay_below_the_share_of_requests_and_of_the_fixed_number() {
    let now = Instant::now();
    let budget = budget(now, 4);
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    (0..100).for_each(|_| budget.note_first(&one, now));

    let (one, other) = (spent(&budget, &one, now), spent(&budget, &other, now));

    assert!((20..=30).contains(&one), "{one} of at most 20 + 40 / 4");
    assert!((7..=10).contains(&other), "{other} of at most 40 / 4");
}

#[test]
fn spent_is_a_fraction_of_the_allowance() {
    let now = Instant::now();
    let budget = budget(now, 1);
    let service = ServiceName::from("one");

    let before = budget.spent(&service, now);
    let count = (0..17).filter(|_| budget.spend(&service, now)).count();
    let half = budget.spent(&service, now);
    spent(&budget, &service, now);
    let all = budget.spent(&service, now);
    let later = budget.spent(&service, now + Duration::from_secs(11));

    assert_eq!((before, count, half, all, later), (0.0, 17, 0.5, 1.0, 0.0));
}

/// The window slides: no period of its length may contain more repeats than the allowance, even if
/// they are spent at the end of one window and the start of the next.
#[test]
fn no_window_holds_more_than_the_allowance() {
    let mut now = Instant::now();
    let budget = budget(now, 1);
    let service = ServiceName::from("one");
    let mut times = Vec::new();

    for _ in 0..300 {
        while budget.spend(&service, now) {
            times.push(now);
        }
        now += Duration::from_millis(100);
    }

    let window = Duration::from_secs(10);
    for start in &times {
        let held = times.iter().filter(|time| **time >= *start && **time - *start < window);
        assert!(held.count() <= 40);
    }
    assert!(times.len() > 80);
}

/// Fixed number of repeats, and their ratio to the requests, over all nodes.
const SLACK: f64 = 56.0;
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// Requests for one service per second, all of which fail and are repeated as far as allowed.
const REQUESTS_PER_S: u64 = 24;

/// Time until a change of the nodes is known to the others.
const NEWS_DELAY: Duration = Duration::from_secs(1);

/// A node with its budget, and when its process started.
struct Node {
    budget: Budget,
    started: Instant,
}

/// Plays a service whose replicas fail from second 7 on; `change` starts and ends nodes. Returns by
/// how many repeats the worst window exceeds what all nodes together may send.
fn worst_excess(count: usize, change: impl Fn(u64, &mut Vec<Node>, Instant)) -> f64 {
    let options = BudgetOptions { ratio: RATIO, slack: SLACK, window: WINDOW };
    let start = Instant::now();
    let node = |started| Node { budget: Budget::new(options, started), started };
    let mut nodes: Vec<Node> = (0..count).map(|_| node(start - 10 * WINDOW)).collect();
    let service = ServiceName::from("one");
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let mut counts = vec![(start, count)];
    for step in 0..40 * REQUESTS_PER_S {
        let now = start + Duration::from_millis(step * 1_000 / REQUESTS_PER_S);
        change(step * 1_000 / REQUESTS_PER_S, &mut nodes, now);
        if counts.last().is_none_or(|(_, known)| *known != nodes.len()) {
            counts.push((now, nodes.len()));
        }
        let known = counts.iter().rev().find(|(at, _)| *at + NEWS_DELAY <= now);
        let known = known.map_or(count, |(_, count)| *count).max(1);
        requests.push(now);
        if nodes.is_empty() {
            continue;
        }
        let index = step as usize % nodes.len();
        let Node { budget, started } = &nodes[index];
        let share = shares::capped_share(1.0 / known as f64, Some(now - *started));
        budget.set_share(share, now);
        budget.note_first(&service, now);
        if now >= start + Duration::from_secs(7) && budget.spend(&service, now) {
            repeats.push(now);
        }
    }
    let held = |times: &[Instant], end: Instant| {
        times.iter().filter(|at| **at <= end && **at + WINDOW > end).count() as f64
    };
    let excess = repeats.iter().map(|end| {
        let before = [Duration::ZERO, WINDOW / 2, WINDOW].map(|back| held(&requests, *end - back));
        held(&repeats, *end) - (RATIO * before.into_iter().fold(0.0, f64::max) + SLACK)
    });
    excess.fold(f64::MIN, f64::max)
}

/// Guards against repeats beyond what all nodes together may send in a window, because nodes that
/// start again have their parts of the fixed number once more.
#[test]
fn restart_of_all_nodes_gives_no_new_budget() {
    let excess = worst_excess(9, |millis, nodes, now| {
        if millis == 9_500 {
            nodes.clear();
        }
        if millis == 10_000 {
            let options = BudgetOptions { ratio: RATIO, slack: SLACK, window: WINDOW };
            let start = |_| Node { budget: Budget::after_restart(options, now), started: now };
            nodes.extend((0..9).map(start));
        }
    });

    assert!(excess <= 0.0, "{excess} repeats too many");
}

/// Guards against the same when many nodes are lost, as the others then have larger parts.
#[test]
fn loss_of_most_nodes_gives_no_new_budget() {
    let excess = worst_excess(9, |millis, nodes, _| {
        if millis == 9_500 {
            nodes.truncate(2);
        }
    });

    assert!(excess <= 0.0, "{excess} repeats too many");
}

/// Guards against nodes that leave more than a quarter of what they may send unused, although none
/// has started or ended.
#[test]
fn nodes_of_a_calm_fleet_have_their_whole_parts() {
    let excess = worst_excess(9, |_, _, _| {});

    let allowed = RATIO * REQUESTS_PER_S as f64 * WINDOW.as_secs_f64() + SLACK;
    assert!(excess > -0.25 * allowed, "{excess} of {allowed}");
    assert!(excess <= 0.0, "{excess} repeats too many");
}
