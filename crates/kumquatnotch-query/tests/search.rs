//! Searches from the caller's side, over several nodes.

mod common;

use common::*;
use kumquatnotch_core::ids::IndexVersion;

#[test]
fn a_search_covers_every_shard_from_one_version() {
    let world = world(3, 10);

    let answer = run(&world, world.search(0)).unwrap();

    assert_eq!(answer.coverage.asked, 10);
    assert_eq!(answer.coverage.covered, 10);
    assert_eq!(answer.coverage.version, IndexVersion(1));
    assert!(answer.coverage.missing.is_empty());
    assert_eq!(answer.hits.len(), 10);
}
