//! Weighted routes: the share of each service, also while one of them has no room.

mod common;

use common::*;
use kumquatnotch_policy::weights::WeightedService;
use kumquatnotch_route::route::{Destination, Route};
use standins::scripted::answer;
use yare::parameterized;

/// Number of requests of each test.
const REQUESTS: usize = 80;

/// A route that sends three of four requests to `s0` and one to `s1`.
fn weighted() -> Route {
    let part = |name: &str, weight| WeightedService { name: service(name), weight };
    route(Destination::Weighted(vec![part("s0", 3.0), part("s1", 1.0)]))
}

/// Guards against requests that are moved to the other service when one has no room, or when it
/// fails: each service keeps its share, and what does not fit there is refused.
#[parameterized(
    all_well = { false, false },
    first_is_full = { true, false },
    second_is_full = { false, true },
)]
fn services_keep_their_shares(first_full: bool, second_full: bool) {
    run(async {
        let tier = Tier::serving(weighted());
        let replicas = [("s0", first_full), ("s1", second_full)].map(|(name, full)| {
            let replica = scripted_replica(move |request| match full {
                true => vec![answer(503, &[("x-not-run", "1")], b"")],
                false => vec![proven_reply(request, "p", b"body")],
            });
            tier.add(name, replica.address);
            replica
        });

        let mut refused = 0;
        for number in 0..REQUESTS {
            let answer = tier.get("/a/x", &format!("r{number}")).await;
            refused += usize::from(answer.status == 503);
            assert!(answer.status == 200 || answer.headers.contains_key("retry-after"));
        }

        let shares = [REQUESTS * 3 / 4, REQUESTS / 4];
        let full = [first_full, second_full];
        let expected: usize =
            shares.iter().zip(full).filter(|(_, full)| *full).map(|(share, _)| share).sum();
        assert_eq!(refused, expected);
        for ((replica, share), full) in replicas.iter().zip(shares).zip(full) {
            // A full replica may be asked again within the budget of repeats.
            let reached = replica.requests().len();
            assert!(if full { reached >= share } else { reached == share }, "{reached}");
        }
    });
}
