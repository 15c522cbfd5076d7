//! Tests of non-idempotent requests as callers see them, over several nodes.

mod common;

use common::{net::LinkState, *};
use futures_util::future::join_all;
use kumquatnotch_core::{Error, clock::sleep, peer::PeerMessage};
use kumquatnotch_query::QueryOptions;
use yare::parameterized;

fn runs(cluster: &Cluster) -> usize {
    cluster.shards.runs.borrow().len()
}

/// Returns the node that holds the shard of the hold requests in these tests.
fn holder_of_hold(cluster: &Cluster) -> usize {
    let sent = cluster.net.sent.borrow();
    let relay = sent.iter().find(|(_, message)| matches!(message, PeerMessage::Relay(_)));
    let address = relay.expect("hold should be sent to another node").0;
    cluster.nodes.iter().position(|node| node.record.peer == address).unwrap()
}

#[test]
fn exclusive_request_runs_once_and_every_node_returns_its_outcome() {
    let cluster = cluster(3, 10);

    let results = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let mut results = Vec::new();
        for node in [0, 1, 2, 0] {
            results.push(outcome_value(cluster.hold(node, &ticket).await).unwrap());
        }
        results
    });

    assert_eq!(runs(&cluster), 1);
    assert!(results.iter().all(|result| *result == results[0]));
}

/// Copies of one request sent to three nodes at once run once: two nodes forward it to
/// the issuer, where later copies find the entry of the first and wait for it. Every
/// caller gets the same hold. Running two copies would hold two rooms.
#[test]
fn copies_sent_to_several_nodes_at_once_run_once() {
    let cluster = cluster(3, 10);

    let results = run(&cluster, async {
        let ticket = cluster.ticket(1);
        let sent = [0, 1, 2, 1, 0].map(|node| cluster.hold(node, &ticket));
        join_all(sent).await
    });

    assert_eq!(runs(&cluster), 1);
    for result in results {
        assert_eq!(outcome_value(result).unwrap()["held"], 1);
    }
}

/// After a restart at the same address with another incarnation, a node does not run a
/// request whose ticket was issued by its previous incarnation, since it cannot know
/// whether that one ran it. Every node permanently returns "outcome unknown".
#[parameterized(at_the_issuer = { 0 }, at_another_node = { 1 })]
fn restarted_issuer_runs_no_request_of_its_previous_incarnation(node: usize) {
    let mut cluster = cluster(3, 10);
    let ticket = cluster.ticket(0);
    cluster.start(0, record(0, 2), QueryOptions::default());

    let result = run(&cluster, cluster.hold(node, &ticket));

    assert_eq!(outcome_value(result).unwrap_err(), Error::OutcomeUnknown);
    assert_eq!(runs(&cluster), 0);
}

/// A request forwarded to a frozen issuer stays in its socket while the caller retries
/// through another node. Both calls return "issuer unreachable". After the issuer
/// resumes, it runs the first copy, and later ones find its entry and return the same
/// outcome.
#[test]
fn frozen_issuer_runs_the_request_once_after_resuming() {
    let cluster = cluster(3, 10);

    let (first, second, third) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        cluster.set_link(0, LinkState::Frozen);
        let first = outcome_value(cluster.hold(1, &ticket).await);
        let second = outcome_value(cluster.hold(2, &ticket).await);
        cluster.net.wake(cluster.nodes[0].record.peer).await;
        (first, second, outcome_value(cluster.hold(1, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(second.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(third.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// The issuer runs a forwarded request, and its reply to the forwarding node is lost.
/// The caller must get "issuer unreachable" and, on retry, the outcome of the one run.
/// "Not run" would be false and lead to a second hold under a new ticket.
#[test]
fn lost_peer_reply_is_returned_on_retry() {
    let cluster = cluster(3, 10);

    let (first, second) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        cluster.set_link(0, LinkState::ReplyLost);
        let first = outcome_value(cluster.hold(1, &ticket).await);
        cluster.set_link(0, LinkState::Healthy);
        (first, outcome_value(cluster.hold(1, &ticket).await))
    });

    let first = first.unwrap_err();
    assert_eq!(first, Error::IssuerUnreachable);
    assert!(!first.is_not_run());
    assert_eq!(second.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// The connection to the holder breaks before or after the target has run the request.
/// The issuer cannot distinguish the two cases, and a second attempt might run the
/// request twice. It sends nothing again and returns "outcome unknown" on each retry.
#[parameterized(
    reply_lost = { LinkState::ReplyLost, 1 },
    request_lost = { LinkState::RequestLost, 0 },
    holder_frozen = { LinkState::Frozen, 0 },
)]
fn broken_holder_connection_leaves_the_outcome_unknown(link: LinkState, ran: usize) {
    let cluster = cluster(4, 10);

    let results = run(&cluster, async {
        // The first hold identifies the node that holds the shard.
        let issuer = issuer_apart_from_holder(&cluster).await;
        let holder = holder_of_hold(&cluster);
        cluster.shards.runs.borrow_mut().clear();
        let ticket = cluster.ticket(issuer);
        cluster.set_link(holder, link);
        let mut results = vec![outcome_value(cluster.hold(issuer, &ticket).await)];
        sleep(&cluster.clock, ms(5_000)).await;
        cluster.set_link(holder, LinkState::Healthy);
        results.push(outcome_value(cluster.hold(issuer, &ticket).await));
        results
    });

    let last = results[1].as_ref().unwrap_err();
    assert_eq!(*last, Error::OutcomeUnknown);
    assert!(results.iter().all(|result| !result.as_ref().unwrap_err().is_not_run()));
    assert_eq!(runs(&cluster), ran);
}

/// Returns a node that does not hold the shard of the holds itself, found by trial.
async fn issuer_apart_from_holder(cluster: &Cluster) -> usize {
    for number in 0..cluster.nodes.len() {
        cluster.net.sent.borrow_mut().clear();
        let ticket = cluster.ticket(number);
        outcome_value(cluster.hold(number, &ticket).await).unwrap();
        let sent = cluster.net.sent.borrow();
        if sent.iter().any(|(_, message)| matches!(message, PeerMessage::Relay(_))) {
            return number;
        }
    }
    unreachable!("every node holds the shard itself");
}

/// If nothing listens at the holder, the request was certainly not delivered, so it is
/// safe to send it to the next holder in rank. The caller gets its hold.
#[test]
fn undelivered_request_is_sent_to_the_next_holder() {
    let cluster = cluster(4, 10);

    let result = run(&cluster, async {
        let issuer = issuer_apart_from_holder(&cluster).await;
        let holder = holder_of_hold(&cluster);
        cluster.shards.runs.borrow_mut().clear();
        cluster.set_link(holder, LinkState::Closed);
        let ticket = cluster.ticket(issuer);
        outcome_value(cluster.hold(issuer, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// A request that waits in the holder's queue until its deadline is dropped there, and
/// a late copy arrives when the queue is empty again. Every retry must return "expired,
/// not run", since the caller may have continued with a new ticket.
#[test]
fn request_expired_in_the_queue_never_runs_later() {
    let cluster = cluster(3, 10);
    cluster.shards.refusals.borrow_mut().push(Error::ExpiredInQueue);

    let (first, later) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let first = outcome_value(cluster.hold(1, &ticket).await);
        (first, outcome_value(cluster.hold(0, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::ExpiredInQueue);
    assert_eq!(later.unwrap_err(), Error::ExpiredInQueue);
    assert_eq!(runs(&cluster), 0);
}

/// The target takes longer than the deadline of a request that was already sent. The
/// caller gets "still running" and later the outcome. "Not run" would be false once the
/// request has been sent.
#[test]
fn request_running_at_its_deadline_is_not_reported_as_not_run() {
    let cluster = cluster(3, 10);
    *cluster.shards.run_delay.borrow_mut() = ms(1_500);

    let (first, later) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let first = outcome_value(cluster.hold(0, &ticket).await);
        sleep(&cluster.clock, ms(800)).await;
        (first, outcome_value(cluster.hold(2, &ticket).await))
    });

    let first = first.unwrap_err();
    assert_eq!(first, Error::StillRunning);
    assert!(!first.is_not_run());
    assert_eq!(later.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// The target sheds the request twice with a retry time, so that it certainly did not
/// run. The issuer sends it again within the deadline, and the caller gets its hold.
#[test]
fn refusal_without_execution_is_retried_within_the_deadline() {
    let cluster = cluster(3, 10);
    let refusals = [Error::Shed { retry_ms: 50 }, Error::Draining];
    cluster.shards.refusals.borrow_mut().extend(refusals);

    let result = run(&cluster, async {
        let ticket = cluster.ticket(0);
        outcome_value(cluster.hold(0, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// The target sheds a request for longer than its deadline, and a copy arrives when the
/// target has capacity again. Every retry must return the same "not run" error.
#[test]
fn refusal_reported_as_not_run_is_final() {
    let cluster = cluster(3, 10);
    cluster.shards.refusals.borrow_mut().push(Error::Shed { retry_ms: 5_000 });

    let (first, later) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let first = outcome_value(cluster.hold(0, &ticket).await);
        sleep(&cluster.clock, ms(6_000)).await;
        (first, outcome_value(cluster.hold(2, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::Shed { retry_ms: 5_000 });
    assert_eq!(later.unwrap_err(), Error::Shed { retry_ms: 5_000 });
    assert_eq!(runs(&cluster), 0);
}
