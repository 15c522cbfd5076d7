//! Tests of the weighted distribution of requests among services.

use kumquatnotch_core::ids::{RouteName, ServiceName};
use kumquatnotch_policy::weights::{WeightedService, Weights};

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
    // Any ten consecutive picks follow the weights within one.
    assert!(
        picks.windows(10).all(|ten| (4..=6).contains(&ten.iter().filter(|p| **p == "a").count()))
    );
}
