//! Non-idempotent requests from the caller's side, over several nodes.

mod common;

use common::{net::Way, *};
use futures_util::future::join_all;
use kumquatnotch_core::{Error, clock::sleep, peer::PeerMessage};
use kumquatnotch_query::QueryOptions;
use yare::parameterized;

fn runs(world: &World) -> usize {
    world.shards.runs.borrow().len()
}

/// The number of a node that holds the shard of the holds in these tests.
fn holder_of_hold(world: &World) -> usize {
    let sent = world.net.sent.borrow();
    let relay = sent.iter().find(|(_, message)| matches!(message, PeerMessage::Relay(_)));
    let address = relay.expect("the hold went to another node").0;
    world.nodes.iter().position(|node| node.record.peer == address).unwrap()
}

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

    assert_eq!(runs(&world), 1);
    assert!(results.iter().all(|result| *result == results[0]));
}

/// What the callers see: the same hold, three times.
/// Order: one request is sent to three nodes at once; two pass it on to the
/// issuer, where the later ones find the first one's entry and wait for it.
/// Why: a doubled hold would block a guesthouse's last room.
#[test]
fn copies_sent_to_several_nodes_at_once_run_once() {
    let world = world(3, 10);

    let results = run(&world, async {
        let ticket = world.ticket(1);
        let sent = [0, 1, 2, 1, 0].map(|node| world.hold(node, &ticket));
        join_all(sent).await
    });

    assert_eq!(runs(&world), 1);
    for result in results {
        assert_eq!(told(result).unwrap()["held"], 1);
    }
}

/// What the caller sees: "outcome unknown", from every node, for good.
/// Order: a ticket is issued; its node dies and starts again at the same address
/// with another incarnation; the request comes.
/// Why: the new life can't know whether the old one ran it, so it must not.
#[parameterized(at_the_issuer = { 0 }, at_another_node = { 1 })]
fn a_restarted_issuer_runs_nothing_of_its_earlier_life(node: usize) {
    let mut world = world(3, 10);
    let ticket = world.ticket(0);
    world.start(0, record(0, 2), QueryOptions::default());

    let result = run(&world, world.hold(node, &ticket));

    assert_eq!(told(result).unwrap_err(), Error::OutcomeUnknown);
    assert_eq!(runs(&world), 0);
}

/// What the caller sees: "ask again" while the issuer is stopped; then the one
/// outcome. Order: the request is passed on to a frozen issuer and lies in its
/// socket; the caller asks again through another node; the issuer wakes and runs
/// the first copy; the later ones find its entry.
#[test]
fn a_frozen_issuer_that_wakes_runs_the_request_once() {
    let world = world(3, 10);

    let (first, second, third) = run(&world, async {
        let ticket = world.ticket(0);
        world.set_way(0, Way::Frozen);
        let first = told(world.hold(1, &ticket).await);
        let second = told(world.hold(2, &ticket).await);
        world.net.wake(world.nodes[0].record.peer).await;
        (first, second, told(world.hold(1, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(second.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(third.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "ask again", and then the outcome of the one run.
/// Order: the request is passed on; the issuer runs it; its reply to the passing
/// node is lost. Why: "not run" would be false, and a new ticket a second hold.
#[test]
fn a_reply_lost_between_nodes_is_told_on_asking_again() {
    let world = world(3, 10);

    let (first, second) = run(&world, async {
        let ticket = world.ticket(0);
        world.set_way(0, Way::ReplyLost);
        let first = told(world.hold(1, &ticket).await);
        world.set_way(0, Way::Fine);
        (first, told(world.hold(1, &ticket).await))
    });

    let first = first.unwrap_err();
    assert_eq!(first, Error::IssuerUnreachable);
    assert!(!first.is_not_run());
    assert_eq!(second.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "outcome unknown" each time it asks.
/// Order: the issuer sends the request to the holder; the connection breaks, after
/// or before the target ran it; nothing is sent again.
/// Why: the issuer can't tell the two cases apart, and a second try may double.
#[parameterized(
    reply_lost = { Way::ReplyLost, 1 },
    request_lost = { Way::RequestLost, 0 },
    holder_frozen = { Way::Frozen, 0 },
)]
fn a_connection_to_the_holder_that_breaks_leaves_the_outcome_unknown(way: Way, ran: usize) {
    let world = world(4, 10);

    let results = run(&world, async {
        // A first hold tells which node holds the shard.
        let issuer = issuer_apart_from_holder(&world).await;
        let holder = holder_of_hold(&world);
        world.shards.runs.borrow_mut().clear();
        let ticket = world.ticket(issuer);
        world.set_way(holder, way);
        let mut results = vec![told(world.hold(issuer, &ticket).await)];
        sleep(&world.clock, ms(5_000)).await;
        world.set_way(holder, Way::Fine);
        results.push(told(world.hold(issuer, &ticket).await));
        results
    });

    let last = results[1].as_ref().unwrap_err();
    assert_eq!(*last, Error::OutcomeUnknown);
    assert!(results.iter().all(|result| !result.as_ref().unwrap_err().is_not_run()));
    assert_eq!(runs(&world), ran);
}

/// A node that does not itself hold the shard of the holds, found by trying.
async fn issuer_apart_from_holder(world: &World) -> usize {
    for number in 0..world.nodes.len() {
        world.net.sent.borrow_mut().clear();
        let ticket = world.ticket(number);
        told(world.hold(number, &ticket).await).unwrap();
        let sent = world.net.sent.borrow();
        if sent.iter().any(|(_, message)| matches!(message, PeerMessage::Relay(_))) {
            return number;
        }
    }
    unreachable!("one node can't hold it for all");
}

/// What the caller sees: its hold.
/// Order: nobody listens at the holder, so certainly nothing was delivered; the
/// next holder in rank gets the request. Why: here, and only here, a second try
/// can't double.
#[test]
fn a_request_that_was_certainly_not_delivered_goes_to_the_next_holder() {
    let world = world(4, 10);

    let result = run(&world, async {
        let issuer = issuer_apart_from_holder(&world).await;
        let holder = holder_of_hold(&world);
        world.shards.runs.borrow_mut().clear();
        world.set_way(holder, Way::Closed);
        let ticket = world.ticket(issuer);
        told(world.hold(issuer, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "expired, not run", and the same whenever it asks again.
/// Order: the request waits in the holder's queue until its deadline and is dropped
/// there; a late copy comes when the queue is empty again.
/// Why: the caller may have gone on with a new ticket, so "not run" is a promise.
#[test]
fn a_request_dropped_in_the_queue_never_runs_later() {
    let world = world(3, 10);
    world.shards.refusals.borrow_mut().push(Error::ExpiredInQueue);

    let (first, later) = run(&world, async {
        let ticket = world.ticket(0);
        let first = told(world.hold(1, &ticket).await);
        (first, told(world.hold(0, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::ExpiredInQueue);
    assert_eq!(later.unwrap_err(), Error::ExpiredInQueue);
    assert_eq!(runs(&world), 0);
}

/// What the caller sees: "still running", then the outcome.
/// Order: the request has left for the target, which takes longer than the
/// deadline. Why: "not run" would be false from the moment it left.
#[test]
fn a_request_that_left_before_its_deadline_is_never_called_not_run() {
    let world = world(3, 10);
    *world.shards.run_delay.borrow_mut() = ms(1_500);

    let (first, later) = run(&world, async {
        let ticket = world.ticket(0);
        let first = told(world.hold(0, &ticket).await);
        sleep(&world.clock, ms(800)).await;
        (first, told(world.hold(2, &ticket).await))
    });

    let first = first.unwrap_err();
    assert_eq!(first, Error::StillRunning);
    assert!(!first.is_not_run());
    assert_eq!(later.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: its hold, later than the target's first "no".
/// Order: the target sheds the request twice with a time to come back; it did not
/// run, for certain; the issuer sends it on again within the deadline.
#[test]
fn a_certain_refusal_is_sent_on_again_within_the_deadline() {
    let world = world(3, 10);
    let refusals = [Error::Shed { retry_ms: 50 }, Error::Draining];
    world.shards.refusals.borrow_mut().extend(refusals);

    let result = run(&world, async {
        let ticket = world.ticket(0);
        told(world.hold(0, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "not run", the same each time.
/// Order: the target sheds for longer than the deadline; later it has room again,
/// and a copy of the request comes. Why: "not run" must stay true.
#[test]
fn a_refusal_told_as_not_run_is_final() {
    let world = world(3, 10);
    world.shards.refusals.borrow_mut().push(Error::Shed { retry_ms: 5_000 });

    let (first, later) = run(&world, async {
        let ticket = world.ticket(0);
        let first = told(world.hold(0, &ticket).await);
        sleep(&world.clock, ms(6_000)).await;
        (first, told(world.hold(2, &ticket).await))
    });

    assert_eq!(first.unwrap_err(), Error::Shed { retry_ms: 5_000 });
    assert_eq!(later.unwrap_err(), Error::Shed { retry_ms: 5_000 });
    assert_eq!(runs(&world), 0);
}
