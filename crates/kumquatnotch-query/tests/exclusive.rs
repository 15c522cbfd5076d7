//! Non-idempotent requests from the caller's side, over several nodes.

mod common;

use common::*;

#[test]
fn a_hold_runs_once_and_is_told_again_by_every_node() {
    let world = world(3, 10);

    let results = run(&world, async {
        let ticket = world.ticket(0);
        let mut results = Vec::new();
        for node in [0, 1, 2, 0] {
            results.push(told(world.hold(node, &ticket).await).unwrap());
        }
        results
    });

    assert_eq!(world.shards.runs.borrow().len(), 1);
    assert!(results.iter().all(|result| *result == results[0]));
}
