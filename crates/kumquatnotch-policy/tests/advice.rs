//! Tests of entry advice.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatnotch_core::{
    ids::{DataCentre, Region},
    member::NodeState,
    random::Random,
};
use kumquatnotch_policy::advice::{
    CallerLocation, EntryNode, EntryPolicy, NearestEntry, SpreadEntry,
};
use yare::parameterized;

/// Three nodes in each of three data centres, two of which are in the south.
fn nodes() -> Vec<EntryNode> {
    let node = |number: u16| EntryNode {
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        centre: DataCentre::from(format!("dc{}", number / 3)),
        region: Region::from(if number < 3 { "north" } else { "south" }),
        state: NodeState::Up,
        serving: true,
        wait: None,
    };
    (0..9).map(node).collect()
}

fn policy() -> SpreadEntry {
    SpreadEntry::new(Random::with_seed(7), Duration::from_millis(50))
}

/// Ports in the order advised to a caller in dc1 of the south.
fn order(policy: &dyn EntryPolicy, nodes: &[EntryNode]) -> Vec<u16> {
    let (centre, region) = (DataCentre::from("dc1"), Region::from("south"));
    let near = CallerLocation { centre: Some(&centre), region: Some(&region) };
    policy.order(nodes, near).iter().map(SocketAddr::port).collect()
}

/// How often each node is first for 900 callers, by port.
fn firsts(policy: &dyn EntryPolicy, nodes: &[EntryNode]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..900 {
        *counts.entry(order(policy, nodes)[0]).or_insert(0) += 1;
    }
    counts
}

#[test]
fn near_nodes_come_before_far_ones() {
    let centres: Vec<u16> = order(&policy(), &nodes()).iter().map(|port| port / 3).collect();

    assert_eq!(centres, [1, 1, 1, 2, 2, 2, 0, 0, 0]);
}

/// Callers keep the advice and use its first address. The same first address for all 900 callers
/// would overload one node of three; each node of the data centre must be first about equally
/// often.
#[test]
fn callers_of_one_data_centre_are_spread() {
    let spread = firsts(&policy(), &nodes());
    let herded = firsts(&NearestEntry, &nodes());

    assert_eq!(spread.len(), 3);
    assert!(spread.values().all(|count| (240..=360).contains(count)), "{spread:?}");
    assert_eq!(herded, BTreeMap::from([(3, 900)]));
}

/// A loaded node must be first less often, and a busy one must come after the nodes of the next
/// data centre: half a millisecond of delay costs less than a queue.
#[test]
fn loaded_nodes_come_first_less_often() {
    let mut nodes = nodes();
    nodes[3].wait = Some(Duration::from_millis(40));
    nodes[4].wait = Some(Duration::from_millis(400));

    let counts = firsts(&policy(), &nodes);

    assert_eq!(counts.get(&4), None);
    assert!(counts[&3] < counts[&5], "{counts:?}");
}

#[parameterized(
    leaving = { NodeState::Leaving },
    suspect = { NodeState::Suspect },
    gone = { NodeState::Gone },
)]
fn only_up_nodes_are_advised(state: NodeState) {
    let mut nodes = nodes();
    nodes[4].state = state;

    let order = order(&policy(), &nodes);

    assert_eq!(order.len(), 8);
    assert!(!order.contains(&4));
}

/// A node that is cut off suspects all others. It must still advise suspect nodes, but never a
/// leaving one.
#[test]
fn suspect_nodes_are_better_than_none() {
    let mut nodes = nodes();
    nodes.iter_mut().for_each(|node| node.state = NodeState::Suspect);
    nodes[4].state = NodeState::Leaving;

    assert_eq!(order(&policy(), &nodes).len(), 8);
}

/// A node that has joined is up before it has fetched its document. If being up were enough to be
/// advised, callers would be refused by it.
#[test]
fn nodes_that_do_not_serve_yet_are_not_advised() {
    let mut nodes = nodes();
    nodes[4].serving = false;

    let order = order(&policy(), &nodes);

    assert_eq!(order.len(), 8);
    assert!(!order.contains(&4));
}

/// Suspect nodes that serve are preferred to nodes that are up but do not serve. If no node serves,
/// the latter are advised, as they may serve by the time that the caller arrives.
#[parameterized(
    one_suspect_serves = { Some(4), &[4] },
    none_serves = { None, &[3, 4, 5, 6, 7, 8, 0, 1, 2] },
)]
fn nodes_that_do_not_serve_are_better_than_none(suspect: Option<usize>, expected: &[u16]) {
    let mut nodes = nodes();
    nodes.iter_mut().for_each(|node| node.serving = false);
    if let Some(number) = suspect {
        (nodes[number].serving, nodes[number].state) = (true, NodeState::Suspect);
    }

    let order = order(&NearestEntry, &nodes);

    assert_eq!(order, expected);
}
