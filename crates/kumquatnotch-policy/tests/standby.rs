//! Tests of standby nodes and of the start order.
//!
//! In each data centre, three nodes of half a core carry the requests beside forty of an eighth, in
//! a fleet of hundreds of nodes.

use std::time::Duration;

use kumquatnotch_policy::{
    placement::is_standby,
    startup::{self, start_delay},
};
use yare::parameterized;

#[parameterized(
    small_beside_two_large = { 0.12, &[0.5, 0.5, 0.12], true },
    small_beside_one_large = { 0.12, &[0.5, 0.12, 0.12], false },
    one_of_equals = { 0.25, &[0.25, 0.25, 0.25], false },
    half_as_large = { 0.25, &[0.5, 0.5, 0.5], false },
    large = { 0.5, &[0.12, 0.12, 0.5], false },
    alone = { 0.12, &[], false },
)]
fn a_node_is_on_standby_only_beside_enough_larger_ones(
    capacity: f64,
    others: &[f64],
    expected: bool,
) {
    assert_eq!(is_standby(capacity, others.iter().copied()), expected);
}

/// Only the serving nodes announce themselves, however many there are: a data centre with 43 nodes
/// and one with 1,003 both cost the store three leases.
#[test]
fn small_nodes_add_no_store_entries() {
    let announced = |small: usize| {
        let capacities: Vec<f64> =
            [0.5; 3].into_iter().chain(std::iter::repeat_n(0.12, small)).collect();
        let mut known: Vec<f64> = Vec::new();
        // The larger ones announce themselves first, due to `start_delay`.
        for capacity in capacities {
            if !is_standby(capacity, known.iter().copied()) {
                known.push(capacity);
            }
        }
        known.len()
    };

    assert_eq!((announced(40), announced(1_000)), (3, 3));
}

#[test]
fn larger_nodes_start_first_and_delays_are_bounded() {
    assert_eq!(start_delay(0.5), Duration::from_millis(300));
    assert!(start_delay(0.12) > start_delay(0.5) + Duration::from_millis(800));
    assert_eq!(start_delay(0.0), Duration::from_millis(1_500));
    assert!(startup::retry_after(Duration::ZERO, Duration::from_secs(2)) < Duration::from_secs(1));
}
