//! Tests of the retry budget of all nodes without a shared counter.

use std::time::{Duration, Instant};

use kumquatnotch_core::ids::ServiceName;
use kumquatnotch_policy::budget::{Budget, BudgetOptions};

fn budget(now: Instant, nodes: usize) -> Budget {
    let options = BudgetOptions { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };
    let budget = Budget::new(options, now);
    budget.set_share(1.0 / nodes as f64);
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
