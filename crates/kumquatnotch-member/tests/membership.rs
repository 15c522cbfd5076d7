//! Tests of membership under failures.

mod common;

use std::{rc::Rc, time::Duration};

use common::{Cluster, Node, State, address, run};
use kumquatnotch_core::{
    ids::Incarnation,
    lifecycle::{Lifecycle, Stage},
    marks::{Mark, MarkKind, Marks},
    member::{Members, NodeState},
    services,
};
use kumquatnotch_member::MembershipOptions;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Starts `count` nodes and waits until they know each other.
async fn start_converged(cluster: &Cluster, count: usize) -> Vec<Rc<Node>> {
    let nodes = (0..count).map(|number| cluster.add(number)).collect();
    assert!(cluster.wait_until(30 * SECOND, || cluster.has_converged()).await.is_some());
    // The changes of the start reach their transmit limit in this time.
    cluster.sleep(10 * SECOND).await;
    nodes
}

/// Returns the smallest number of nodes that any of `nodes` knows as up.
fn min_up(nodes: &[Rc<Node>]) -> usize {
    nodes.iter().map(|node| node.up_count()).min().unwrap()
}

/// Returns the smallest number of nodes that any of `nodes` knows, including suspects.
fn min_known(nodes: &[Rc<Node>]) -> usize {
    nodes.iter().map(|node| node.members.known().len()).min().unwrap()
}

#[parameterized(
    few = { 9 },
    many = { 100 },
)]
fn simultaneous_start_converges(count: usize) {
    let elapsed = run(1, async move |cluster| {
        (0..count).for_each(|number| drop(cluster.add(number)));
        cluster.wait_until(30 * SECOND, || cluster.has_converged()).await
    });

    assert!(elapsed.unwrap() < 10 * SECOND, "took {elapsed:?}");
}

/// A VM stops answering without refusing connections, so requests to it time out. Direct
/// and indirect probes fail, the node is suspected, and as nobody refutes, every node
/// declares it gone when its own suspicion timer expires.
#[parameterized(
    few = { 9, 10 },
    many = { 100, 15 },
)]
fn killed_node_is_declared_gone_everywhere(count: usize, limit: u32) {
    let elapsed = run(2, async move |cluster| {
        let nodes = start_converged(&cluster, count).await;
        cluster.kill(&nodes[4]);
        cluster.wait_until(30 * SECOND, || cluster.is_gone_everywhere(&nodes[4].name)).await
    });

    assert!(elapsed.unwrap() < limit * SECOND, "took {elapsed:?}");
}

/// A host pauses a node for a minute, and the others declare it gone. When it resumes, all
/// its timers are overdue at once, so its pending probes look unanswered. It must suspect
/// nobody, and all nodes must know it again.
#[test]
fn unfrozen_node_suspects_nobody_and_rejoins() {
    let (gone, min_count, known) = run(3, async |cluster| {
        let nodes = start_converged(&cluster, 30).await;
        nodes[4].process.set(State::Frozen);
        cluster.sleep(60 * SECOND).await;
        let gone = nodes.iter().filter(|node| node.members.find(&nodes[4].name).is_none()).count();
        nodes[4].process.set(State::Running);
        let known = cluster.wait_until(30 * SECOND, || cluster.has_converged()).await;
        (gone, cluster.min_during(20 * SECOND, || min_up(&nodes)).await, known)
    });

    assert_eq!(gone, 29);
    assert!(known.unwrap() < 5 * SECOND, "took {known:?}");
    assert_eq!(min_count, 30);
}

/// A node is suspected just before another one is paused for a minute, so the paused node
/// misses the refutation. When it resumes, its timer for the suspect is overdue. If the
/// time lost counted, it would drop a healthy node until an exchange finds the difference.
#[parameterized(
    with_freeze_detection = { SECOND, 20 },
    without_freeze_detection = { 3_600 * SECOND, 19 },
)]
fn unfrozen_node_expires_no_suspicion(freeze_limit: Duration, expected: usize) {
    let min_count = run(12, async move |cluster| {
        let change = move |options: &mut MembershipOptions| {
            options.freeze_limit = freeze_limit;
        };
        let nodes: Vec<_> = (0..20)
            .map(|number| cluster.add_with(&format!("n{number}"), number, None, change))
            .collect();
        cluster.sleep(20 * SECOND).await;
        cluster.network.cut(|from, to| from == address(9) || to == address(9));
        let suspects = || {
            let record = nodes[4].members.find(&nodes[9].name);
            record.is_some_and(|record| record.state == NodeState::Suspect)
        };
        assert!(cluster.wait_until(30 * SECOND, suspects).await.is_some());
        nodes[4].process.set(State::Frozen);
        // Requests to a machine that is paused for long time out.
        cluster.network.cut(|_, to| to == address(4));
        cluster.sleep(60 * SECOND).await;
        nodes[4].process.set(State::Running);
        // Its connections are broken, so for a moment it can only act on its own timers.
        let alone = cluster.min_during(SECOND, || nodes[4].members.known().len()).await;
        cluster.network.cut(|_, _| false);
        alone.min(cluster.min_during(10 * SECOND, || nodes[4].members.known().len()).await)
    });

    assert_eq!(min_count, expected);
}

/// Two regions are partitioned for three minutes, and each declares the other gone. After
/// the partition heals, each side reports the other gone, and these reports reach nodes of
/// the side that they concern. No node may drop nodes of its own side because of them, and
/// the sides must rejoin without intervention.
#[test]
fn partitioned_regions_rejoin() {
    let (partitioned, min_count, healed) = run(4, async |cluster| {
        let nodes = start_converged(&cluster, 60).await;
        let in_south = |address| centre_of(address) == 2;
        cluster.network.cut(move |from, to| in_south(from) != in_south(to));
        cluster.sleep(180 * SECOND).await;
        let partitioned: Vec<usize> = nodes.iter().map(|node| node.up_count()).collect();
        cluster.network.cut(|_, _| false);
        let south: Vec<_> = cluster.in_centre("aqaba");
        let min_count = cluster.min_during(10 * SECOND, || min_up(&south)).await;
        let healed = cluster.wait_until(60 * SECOND, || cluster.has_converged()).await;
        (partitioned, min_count, healed)
    });

    let expected: Vec<usize> =
        (0..60).map(|number| if number % 3 == 2 { 20 } else { 40 }).collect();
    assert_eq!(partitioned, expected);
    assert_eq!(min_count, 20);
    // Ten seconds have already passed before this wait.
    assert!(healed.unwrap() < 50 * SECOND, "took {healed:?}");
}

/// A firewall drops the packets from one data centre to another, but not in the opposite
/// direction. Probes between the two fail both ways, as either the request or the reply is
/// lost. Helpers in the third data centre still reach all nodes.
#[test]
fn one_way_partition_removes_nobody() {
    let min_count = run(5, async |cluster| {
        let nodes = start_converged(&cluster, 30).await;
        cluster.network.cut(|from, to| centre_of(from) == 0 && centre_of(to) == 2);
        cluster.min_during(120 * SECOND, || min_known(&nodes)).await
    });

    assert_eq!(min_count, 30);
}

/// All messages to one node are lost for two minutes, while its own messages arrive. All
/// other nodes look dead to it. As no helper answers it, it must not suspect them;
/// otherwise all of them would have to refute.
#[parameterized(
    with_required_helper = { true, true },
    without_required_helper = { false, false },
)]
fn node_without_inbound_traffic_suspects_nobody(require_helper: bool, expected: bool) {
    let min_count = run(6, async move |cluster| {
        let change = move |options: &mut MembershipOptions| {
            options.require_helper = require_helper;
        };
        let nodes: Vec<_> = (0..20)
            .map(|number| cluster.add_with(&format!("n{number}"), number, None, change))
            .collect();
        cluster.wait_until(30 * SECOND, || cluster.has_converged()).await;
        cluster.sleep(10 * SECOND).await;
        cluster.network.cut(|_, to| to == address(7));
        let others: Vec<_> = nodes.iter().filter(|node| &*node.name != "n7").cloned().collect();
        let up = || others.iter().map(|node| up_excluding(node, "n7")).min().unwrap();
        cluster.min_during(120 * SECOND, up).await
    });

    assert_eq!(min_count == 19, expected, "minimum {min_count}");
}

/// A data centre fails, and with it a third of all nodes. The others must detect this soon
/// although a third of their probes and helpers fail too, and must not declare each other
/// gone meanwhile.
#[test]
fn loss_of_a_data_centre_is_detected() {
    let (elapsed, min_count) = run(7, async |cluster| {
        let nodes = start_converged(&cluster, 90).await;
        for node in cluster.in_centre("aqaba") {
            cluster.kill(&node);
        }
        let rest: Vec<_> = nodes.iter().filter(|node| node.process.is_running()).cloned().collect();
        let elapsed = cluster.wait_until(60 * SECOND, || cluster.has_converged()).await;
        (elapsed, cluster.min_during(20 * SECOND, || min_up(&rest)).await)
    });

    assert!(elapsed.unwrap() < 30 * SECOND, "took {elapsed:?}");
    assert_eq!(min_count, 60);
}

/// A VM is replaced within seconds by one with the same address, and in some cases the same
/// name. If its clock is behind, its incarnation looks like the earlier one. All nodes must
/// know the new incarnation, and none the old one.
#[parameterized(
    other_name = { "other", 1_000 },
    same_name = { "n4", 1_000 },
    other_name_with_earlier_clock = { "other", 0 },
    same_name_with_earlier_clock = { "n4", 0 },
)]
fn reused_address_belongs_to_new_incarnation(name: &'static str, stamp: u64) {
    let (known, elapsed) = run(8, async move |cluster| {
        let nodes = start_converged(&cluster, 20).await;
        cluster.kill(&nodes[4]);
        cluster.sleep(SECOND).await;
        let change = |options: &mut MembershipOptions| {
            options.incarnation = Some(Incarnation(stamp << 22 | 1));
        };
        let new = cluster.add_with(name, 4, None, change);
        let elapsed = cluster.wait_until(30 * SECOND, || {
            let incarnation = new.members.local().incarnation;
            let known = |node: &Rc<Node>| {
                let record = node.members.find(&new.name);
                record.is_some_and(|record| record.incarnation == incarnation)
            };
            cluster.has_converged() && cluster.nodes.borrow().iter().all(known)
        });
        let elapsed = elapsed.await;
        let known: Vec<usize> =
            cluster.nodes.borrow().iter().map(|node| node.members.known().len()).collect();
        (known, elapsed)
    });

    assert!(elapsed.unwrap() < 10 * SECOND, "took {elapsed:?}");
    assert_eq!(known, vec![20; 20]);
}

/// One node is partitioned, and a minute later another one leaves. Both are gone for the
/// others, but the partitioned one may still serve an earlier document to callers that
/// reach it. It must be listed as lost when an operator queries what is in force, but only
/// for a limited time; the node that announced its departure must not be listed.
#[test]
fn partitioned_node_is_listed_as_lost_for_ten_minutes() {
    let (early, late, rejoined) = run(15, async |cluster| {
        let nodes = start_converged(&cluster, 20).await;
        cluster.network.cut(|from, to| from == address(4) || to == address(4));
        cluster.sleep(60 * SECOND).await;
        let leaver = nodes[7].clone();
        leaver.members.leave();
        cluster.sleep(12 * SECOND).await;
        leaver.members.announce_shutdown().await;
        cluster.kill(&leaver);
        cluster.sleep(60 * SECOND).await;
        let lost = || {
            let others = nodes.iter().filter(|node| !["n4", "n7"].contains(&&*node.name));
            let lost = others.map(|node| node.members.lost());
            lost.map(|lost| lost.into_iter().map(|record| record.name.to_string()).collect())
                .collect::<Vec<Vec<String>>>()
        };
        let early = lost();
        cluster.sleep(500 * SECOND).await;
        let late = lost();
        cluster.network.cut(|_, _| false);
        let rejoined = cluster.wait_until(60 * SECOND, || cluster.has_converged()).await;
        (early, late, rejoined)
    });

    assert_eq!(early, vec![vec!["n4"]; 18]);
    assert_eq!(late, vec![Vec::<String>::new(); 18]);
    assert!(rejoined.is_some());
}

#[test]
fn leaving_node_is_known_and_removed_everywhere() {
    let (announced, removed) = run(9, async |cluster| {
        let nodes = start_converged(&cluster, 50).await;
        let leaver = nodes[7].clone();
        leaver.members.leave();
        let is_leaving = |node: &Rc<Node>| {
            node.members.find(&leaver.name).map(|record| record.state) == Some(NodeState::Leaving)
        };
        let announced = cluster.wait_until(20 * SECOND, || nodes.iter().all(is_leaving)).await;
        leaver.members.announce_shutdown().await;
        cluster.kill(&leaver);
        (
            announced,
            cluster.wait_until(20 * SECOND, || cluster.is_gone_everywhere(&leaver.name)).await,
        )
    });

    assert!(announced.unwrap() < 3 * SECOND, "took {announced:?}");
    assert!(removed.unwrap() < 3 * SECOND, "took {removed:?}");
}

/// A node is up before it has a document, and refuses callers until then. The others must
/// know that it does not serve yet, and learn soon when it does. Nodes that miss the update
/// find the difference in an exchange.
#[parameterized(
    by_gossip = { 3.0, 3 },
    by_exchange = { 0.0, 30 },
)]
fn serving_state_reaches_all_nodes(retransmit_factor: f64, limit: u32) {
    let (before, elapsed) = run(13, async move |cluster| {
        let change =
            |options: &mut MembershipOptions| options.retransmit_factor = retransmit_factor;
        let nodes: Vec<_> = (0..50)
            .map(|number| cluster.add_with(&format!("n{number}"), number, None, change))
            .collect();
        assert!(cluster.wait_until(60 * SECOND, || cluster.has_converged()).await.is_some());
        let serves = |node: &Rc<Node>| node.members.find(&nodes[7].name).unwrap().serving;
        let before = nodes.iter().filter(|node| serves(node)).count();
        let lifecycle: Lifecycle = nodes[7].registry.find(services::LIFECYCLE).unwrap();
        lifecycle.advance(Stage::Serving);
        (before, cluster.wait_until(60 * SECOND, || nodes.iter().all(serves)).await)
    });

    assert_eq!(before, 0);
    assert!(elapsed.unwrap() < limit * SECOND, "took {elapsed:?}");
}

/// One message in ten is lost, and each round trip takes two. Probes fail often, but
/// indirect probes and refutations compensate, so no node may be declared gone.
#[test]
fn message_loss_removes_nobody() {
    let min_count = run(10, async |cluster| {
        let nodes = start_converged(&cluster, 30).await;
        cluster.network.loss.set(0.1);
        cluster.network.duplicates.set(0.05);
        cluster.min_during(180 * SECOND, || min_known(&nodes)).await
    });

    assert_eq!(min_count, 30);
}

/// A mark is set once, and nodes gossip it repeatedly, some duplicates arriving seconds
/// late. If a duplicate counted as a renewal, the mark would never expire.
#[test]
fn mark_expires_everywhere() {
    let (spread, early, late) = run(11, async |cluster| {
        let nodes = start_converged(&cluster, 40).await;
        cluster.network.duplicates.set(0.3);
        cluster.network.extra_delay.set(Duration::from_millis(200));
        let kind = MarkKind::Draining("target-1".into());
        nodes[0].members.set(Mark { kind: kind.clone(), left_ms: 30_000 });
        let held = || nodes.iter().filter(|node| node.members.left_ms(&kind).is_some()).count();
        let spread = cluster.wait_until(20 * SECOND, || held() == 40).await;
        cluster.sleep(24 * SECOND).await;
        let early = held();
        cluster.sleep(12 * SECOND).await;
        (spread, early, held())
    });

    assert!(spread.unwrap() < 5 * SECOND, "took {spread:?}");
    assert_eq!((early, late), (40, 0));
}

fn centre_of(address: std::net::SocketAddr) -> usize {
    (0..200).find(|number| common::address(*number) == address).unwrap() % 3
}

/// Returns the number of nodes besides `name` that a node knows as up.
fn up_excluding(node: &Node, name: &str) -> usize {
    let known = node.members.known();
    known.iter().filter(|record| record.state == NodeState::Up && &*record.name != name).count()
}

/// Of three nodes, one leaves and its shutdown announcement is lost, and another is killed.
/// The last node then has no helper left. If it needed one, it would consider the killed
/// node up forever and report it so to operators. As the VMs refuse connections, it can
/// detect without a helper that the processes have ended.
#[test]
fn last_node_detects_that_all_others_ended() {
    let (suspect, gone, left) = run(21, async |cluster| {
        let nodes = start_converged(&cluster, 3).await;
        nodes[2].members.leave();
        cluster.sleep(SECOND).await;
        for node in &nodes[1..] {
            cluster.kill(node);
            cluster.network.refuse(node.address);
        }
        let state =
            |index: usize| nodes[0].members.find(&nodes[index].name).map(|record| record.state);
        let suspect =
            cluster.wait_until(10 * SECOND, || state(1) == Some(NodeState::Suspect)).await;
        let gone = cluster.wait_until(10 * SECOND, || state(1).is_none()).await;
        (suspect, gone, state(2))
    });

    assert!(suspect.is_some(), "the killed node was never suspected");
    assert!(gone.is_some(), "the killed node was never declared gone");
    assert_eq!(left, None);
}
