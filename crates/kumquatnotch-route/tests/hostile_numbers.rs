//! Numbers from other processes that are far outside their usual range.

mod common;

use common::*;
use standins::scripted::answer;
use yare::parameterized;

/// Guards against a reply whose header ends the process by an overflow.
#[parameterized(
    idle_of_all_time = { "keep-alive", "timeout=18446744073709551615" },
    idle_beyond_64_bits = { "keep-alive", "timeout=18446744073709551616, max=99999999999999999999" },
    negative_idle = { "keep-alive", "timeout=-1" },
    no_idle = { "keep-alive", "timeout=0" },
)]
fn replies_with_extreme_headers_are_delivered(name: &str, value: &str) {
    run(async {
        let tier = Tier::serving(single());
        let header_line = (name.to_owned(), value.to_owned());
        let replica = scripted_replica(move |request| {
            let identity = header(request, "x-request-id");
            let (name, value) = (&*header_line.0, &*header_line.1);
            vec![answer(200, &[("x-request-id", identity), (name, value)], b"body")]
        });
        tier.add("s0", replica.address);

        let mut statuses = Vec::new();
        for number in 0..4 {
            statuses.push(tier.get("/a/x", &format!("r{number}")).await.status);
        }

        assert_eq!(statuses, [200; 4]);
        assert_eq!(replica.requests().len(), 4);
    });
}
