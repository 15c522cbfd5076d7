//! Tests of the groups of shards.

use std::collections::BTreeSet;

use kumquatnotch_core::{
    document::{Class, Document, SelectorSpec, TargetSpec},
    ids::{SelectorName, ShardName, TargetName},
    labels::Expression,
};
use kumquatnotch_query::{GroupId, GroupTable};

fn shard(number: usize) -> ShardName {
    ShardName::from(format!("s{number}"))
}

/// Returns a document of `shards` shards with three selectors, each reaching a third of
/// them.
fn document(shards: usize) -> Document {
    let mut document = Document::default();
    for number in 0..shards {
        let spec = TargetSpec {
            address: ([127, 0, 0, 1], 9).into(),
            centre: "c".into(),
            shard: shard(number),
            labels: [("role".to_owned(), format!("r{}", number % 3))].into(),
            drain: false,
        };
        document.targets.insert(TargetName::from(format!("t{number}")), spec);
    }
    for number in 0..3 {
        let spec = SelectorSpec {
            targets: Expression::parse(&format!("role = r{number}")).unwrap(),
            class: Class::Desk,
            exclusive: false,
            tenants: Vec::new(),
            deadline_ms: 300,
        };
        document.rules.selectors.insert(SelectorName::from(format!("q{number}")), spec);
    }
    document
}

fn groups(table: &GroupTable, shards: impl Iterator<Item = usize>) -> BTreeSet<GroupId> {
    shards.map(|number| table.group(&shard(number))).collect()
}

/// If shards were grouped by their hash alone, a query for 1,600 of 4,800 shards would
/// use all 256 groups, each for six of its shards. At the planned size that means six
/// times as many messages between nodes, and the slowest holder determines the latency.
#[test]
fn query_uses_only_the_groups_of_its_selector() {
    let table = GroupTable::new(&document(4_800), 20);

    let used = groups(&table, (0..4_800).step_by(3));
    let others = groups(&table, (0..4_800).filter(|number| number % 3 != 0));

    assert!(used.len() <= 128, "{}", used.len());
    assert!(used.is_disjoint(&others));
}

#[test]
fn adding_a_shard_does_not_regroup_the_others() {
    let before = GroupTable::new(&document(300), 8);
    let after = GroupTable::new(&document(301), 8);

    for number in 0..300 {
        assert_eq!(before.group(&shard(number)), after.group(&shard(number)));
    }
}

#[test]
fn undeclared_shard_has_its_own_group() {
    let table = GroupTable::new(&document(3), 8);

    assert_ne!(table.group(&shard(7)), table.group(&shard(8)));
}
