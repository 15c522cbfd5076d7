//! Tests of the configuration service under failures.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{Cluster, Node, State, address, run};
use kumquatnotch_core::{
    ids::Digest,
    lifecycle::{Lifecycle, Stage},
    member::Members,
    peer::{CONFIG_SERVICE, PeerHandler, PeerMessage, PeerReply},
    services, stored,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Time within which a change must be in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);

/// Starts `count` nodes with version 1 and waits until all have it.
async fn start_converged(cluster: &Cluster, count: usize) -> Vec<Rc<Node>> {
    cluster.platform.publish(1, 200);
    let nodes = (0..count).map(|number| cluster.add_configured(number)).collect();
    let ready =
        cluster.wait_until(30 * SECOND, || cluster.has_converged() && cluster.all_have(1)).await;
    assert!(ready.is_some());
    cluster.sleep(10 * SECOND).await;
    nodes
}

#[test]
fn a_change_reaches_a_hundred_nodes() {
    let (elapsed, part_calls) = run(1, async |cluster| {
        let nodes = start_converged(&cluster, 100).await;
        let before = cluster.platform.calls.get();
        cluster.platform.publish(2, 200);
        let elapsed = cluster.wait_until(30 * SECOND, || cluster.all_have(2)).await;
        assert_eq!(nodes[50].served(), Some(2));
        (elapsed, cluster.platform.calls.get() - before)
    });

    assert!(elapsed.unwrap() < 4 * SECOND, "took {elapsed:?}");
    // Five reads each of head, manifest and one part, and the periodic reads in the meantime.
    assert!(part_calls < 40, "{part_calls} calls");
}

/// Messages are lost, delayed and duplicated, and nodes are paused for up to 20 s while ten
/// versions follow each other. An old message that arrives last, or a resumed node with an
/// outdated view, must not restore an earlier version.
#[parameterized(
    one = { 2 },
    two = { 3 },
    three = { 4 },
)]
fn version_never_decreases(seed: u64) {
    let (decreases, last) = run(seed, async |cluster| {
        let nodes = start_converged(&cluster, 20).await;
        cluster.network.loss.set(0.1);
        cluster.network.duplicates.set(0.2);
        cluster.network.extra_delay.set(Duration::from_millis(400));
        let seen = RefCell::new(vec![0; nodes.len()]);
        let decreases = RefCell::new(0);
        let watch = || {
            for (node, seen) in nodes.iter().zip(seen.borrow_mut().iter_mut()) {
                let version = node.version();
                *decreases.borrow_mut() += usize::from(version < *seen);
                *seen = version;
            }
            false
        };
        for version in 2..=11 {
            cluster.platform.publish(version, 200);
            let frozen = cluster.random.pick(&nodes).unwrap();
            frozen.process.set(State::Frozen);
            let span = SECOND.mul_f64(20.0 * cluster.random.fraction());
            cluster.wait_until(span, watch).await;
            frozen.process.set(State::Running);
        }
        let last = cluster.wait_until(30 * SECOND, || watch() || cluster.all_have(11)).await;
        (decreases.into_inner(), last)
    });

    assert_eq!(decreases, 0);
    assert!(last.is_some());
}

/// The platform is down for two minutes. The version in force stays, and a node that starts
/// meanwhile fetches it from peers and serves. The reported age of the confirmation
/// circulates in gossip and must include the transit times, so that it is never too low.
/// When the platform returns, it must not receive a burst of queued calls.
#[test]
fn platform_outage_is_survived() {
    let (age, born, calls, peak, after) = run(5, async |cluster| {
        let nodes = start_converged(&cluster, 50).await;
        cluster.platform.down.set(true);
        let before = cluster.platform.calls.get();
        cluster.sleep(90 * SECOND).await;
        let joiner = cluster.add_configured(50);
        let born = cluster.wait_until(30 * SECOND, || joiner.served() == Some(1)).await;
        cluster.sleep(30 * SECOND).await;
        let age = nodes[30].members.confirmed().age_ms.unwrap();
        let calls = cluster.platform.calls.get() - before;
        assert_eq!(nodes[30].served(), Some(1));
        cluster.platform.peak.set(0);
        cluster.platform.publish(2, 200);
        cluster.platform.down.set(false);
        let after = cluster.wait_until(30 * SECOND, || cluster.all_have(2)).await;
        (age, born, calls, cluster.platform.peak.get(), after)
    });

    assert!(age >= 120_000, "age {age} ms");
    assert!(born.unwrap() < 5 * SECOND, "took {born:?}");
    assert!(calls < 400, "{calls} calls in 120 s");
    assert!(peak < 60, "{peak} calls in one second");
    assert!(after.unwrap() < 15 * SECOND, "took {after:?}");
}

#[parameterized(
    today = { 9 },
    many = { 200 },
)]
fn about_five_nodes_read_the_head(count: usize) {
    let (rate, age) = run(6, async move |cluster| {
        let nodes = start_converged(&cluster, count).await;
        let before = cluster.platform.calls.get();
        cluster.sleep(30 * SECOND).await;
        let calls = cluster.platform.calls.get() - before;
        let ages = nodes.iter().map(|node| node.members.confirmed().age_ms.unwrap());
        (calls as f64 / 30.0, ages.max().unwrap())
    });

    assert!((4.0..8.0).contains(&rate), "{rate} calls/s");
    assert!(age < 10_000, "a confirmation is {age} ms old");
}

/// A host pauses a node for 30 s while a change is accepted. When it resumes, it would
/// serve the old version until a message announces the new one. It must query its peers
/// first, and then serve the new version.
#[test]
fn unfrozen_node_rechecks_before_serving() {
    let (at_once, first, elapsed) = run(7, async |cluster| {
        let nodes = start_converged(&cluster, 20).await;
        nodes[4].process.set(State::Frozen);
        cluster.sleep(20 * SECOND).await;
        cluster.platform.publish(2, 200);
        cluster.sleep(10 * SECOND).await;
        nodes[4].process.set(State::Running);
        // A caller's request may be handled before any task of the node runs.
        let at_once = nodes[4].served();
        let elapsed = cluster.wait_until(10 * SECOND, || nodes[4].served().is_some()).await;
        (at_once, nodes[4].served(), elapsed)
    });

    assert_eq!(at_once, None);
    assert_eq!(first, Some(2));
    assert!(elapsed.unwrap() < SECOND, "took {elapsed:?}");
}

/// A node resumes from a freeze and reaches neither peers nor the platform, so it can't
/// learn of a newer version. As in an outage it must serve its document after a short
/// timeout, and report the age of its confirmation.
#[test]
fn isolated_unfrozen_node_serves_after_timeout() {
    let (elapsed, served, age) = run(8, async |cluster| {
        let nodes = start_converged(&cluster, 9).await;
        nodes[4].process.set(State::Frozen);
        cluster.sleep(20 * SECOND).await;
        cluster.platform.down.set(true);
        cluster.network.cut(|from, to| from == address(4) || to == address(4));
        nodes[4].process.set(State::Running);
        let elapsed = cluster.wait_until(10 * SECOND, || nodes[4].served().is_some()).await;
        (elapsed, nodes[4].served(), nodes[4].members.confirmed().age_ms.unwrap())
    });

    assert!(elapsed.unwrap() < 3 * SECOND, "took {elapsed:?}");
    assert_eq!(served, Some(1));
    assert!(age >= 20_000, "age {age} ms");
}

/// Many peers announce a change to a node that reaches only one of them; its requests to
/// the others are lost. With sequential requests, each of them would take the full timeout
/// of five seconds.
#[test]
fn change_arrives_in_time_with_most_peers_unreachable() {
    let elapsed = run(15, async |cluster| {
        let nodes = start_converged(&cluster, 12).await;
        cluster.network.cut(|from, to| from == address(4) && to != address(11));
        cluster.platform.publish(2, 200);
        cluster.wait_until(60 * SECOND, || nodes[4].version() == 2).await
    });

    assert!(elapsed.is_some_and(|elapsed| elapsed <= IN_FORCE_LIMIT), "took {elapsed:?}");
}

/// A node starts while neither peers nor the platform answer. It has no document that
/// anybody confirmed, so it must never serve.
#[test]
fn new_node_without_confirmed_document_does_not_serve() {
    let (stage, served) = run(9, async |cluster| {
        cluster.platform.publish(1, 200);
        cluster.platform.down.set(true);
        let node = cluster.add_configured(7);
        cluster.sleep(60 * SECOND).await;
        let lifecycle: Lifecycle = node.registry.find(services::LIFECYCLE).unwrap();
        (lifecycle.stage(), node.served())
    });

    assert_eq!(stage, Stage::Starting);
    assert_eq!(served, None);
}

/// The platform is reverted to an earlier version, for example from an old backup. This
/// must not undo an accepted change.
#[test]
fn reverted_platform_changes_nothing() {
    let versions = run(10, async |cluster| {
        let nodes = start_converged(&cluster, 9).await;
        cluster.platform.publish(2, 200);
        cluster.wait_until(10 * SECOND, || cluster.all_have(2)).await;
        cluster.platform.publish(1, 200);
        cluster.sleep(30 * SECOND).await;
        nodes.iter().map(|node| node.version()).collect::<Vec<_>>()
    });

    assert_eq!(versions, vec![2; 9]);
}

/// Guards against a confirmed version that only the running nodes have, after the store was
/// restored from a copy without it. A node that starts later, and new versions, build on the store.
#[parameterized(
    earlier_head = { true },
    no_head = { false },
)]
fn version_lost_in_a_restore_is_written_again(has_head: bool) {
    let (head, joined, versions) = run(11, async move |cluster| {
        let empty = cluster.platform.copy();
        let nodes = start_converged(&cluster, 9).await;
        let copy = if has_head { cluster.platform.copy() } else { empty };
        cluster.platform.publish(2, 200);
        cluster.wait_until(10 * SECOND, || cluster.all_have(2)).await;
        cluster.sleep(10 * SECOND).await;
        cluster.platform.restore(copy);
        cluster.sleep(IN_FORCE_LIMIT).await;
        let head = cluster.platform.head().map(|head| head.version.0);
        nodes.iter().for_each(|node| node.process.set(State::Dead));
        let joiner = cluster.add_configured(20);
        let joined = cluster.wait_until(60 * SECOND, || joiner.served() == Some(2)).await;
        (head, joined, nodes.iter().map(|node| node.version()).collect::<Vec<_>>())
    });

    assert_eq!(head, Some(2));
    assert!(joined.is_some(), "a later node gets the version, and all its parts");
    assert_eq!(versions, vec![2; 9]);
}

/// Guards against a confirmed change that never comes into force. It was published on a restored
/// store, with the version of a change that the copy lacks and that the nodes have in force.
#[test]
fn change_published_on_a_restored_store_comes_into_force() {
    let (published, head, converged) = run(12, async |cluster| {
        let nodes = start_converged(&cluster, 9).await;
        let copy = cluster.platform.copy();
        cluster.platform.publish(2, 200);
        cluster.wait_until(10 * SECOND, || cluster.all_have(2)).await;
        cluster.sleep(10 * SECOND).await;
        cluster.platform.restore(copy);
        cluster.platform.publish(2, 199);
        let published = cluster.platform.head().unwrap().manifest;
        let converged = cluster.wait_until(IN_FORCE_LIMIT, || cluster.all_have(3)).await;
        assert_eq!(nodes[4].served(), Some(3));
        (published, cluster.platform.head().unwrap(), converged)
    });

    assert!(converged.is_some());
    assert_eq!((head.version.0, head.manifest), (3, published));
}

/// Each version leaves parts behind that no later version contains. If a node retained them
/// all, its memory would grow with 1,100 changes a day, so it retains those of two versions.
#[test]
fn parts_of_old_versions_are_dropped() {
    let kept = run(11, async |cluster| {
        let nodes = start_converged(&cluster, 9).await;
        let old = cluster.platform.digests();
        for version in 2..=4 {
            cluster.platform.publish(version, 200);
            assert!(cluster.wait_until(10 * SECOND, || cluster.all_have(version)).await.is_some());
        }
        let newest = cluster.platform.head_digests();
        (held(&nodes[3], &old).await, held(&nodes[3], &newest).await, newest.len())
    });

    let (old, newest, all) = kept;
    assert_eq!(newest, all);
    // The manifest and the parts of two changed targets are no longer used.
    assert!(old <= all - 2, "{old} of the first version are held");
}

/// Returns how many of `digests` a node holds.
async fn held(node: &Node, digests: &[Digest]) -> usize {
    let handler: Rc<dyn PeerHandler> = node.registry.find(CONFIG_SERVICE).unwrap();
    match handler.handle(PeerMessage::Fetch(digests.to_vec())).await.unwrap() {
        PeerReply::Values(values) => {
            values.iter().for_each(|value| stored::check_value(value).unwrap());
            values.len()
        }
        other => panic!("{other:?}"),
    }
}

/// An operator queries the configuration of a node before and after its first confirmation.
/// Before it, the node reported the maximum integer for "never", which a script read as an
/// age of 584 million years.
#[test]
fn age_is_none_before_first_confirmation() {
    let (before, after) = run(14, async |cluster| {
        cluster.platform.down.set(true);
        cluster.platform.publish(1, 10);
        let node = cluster.add_configured(0);
        cluster.sleep(5 * SECOND).await;
        let before = node.members.confirmed();
        cluster.platform.down.set(false);
        assert!(cluster.wait_until(30 * SECOND, || node.served() == Some(1)).await.is_some());
        (before, node.members.confirmed())
    });

    assert_eq!((before.version.0, before.age_ms), (0, None));
    assert_eq!(after.version.0, 1);
    assert!(after.age_ms.is_some_and(|age| age < 10_000), "{after:?}");
}
