//! Tickets: whom they serve, how long, and what is kept under them.

mod common;

use common::{net::Way, *};
use kumquatnotch_core::{
    Error,
    clock::sleep,
    front::{ExclusiveBody, Front},
    lifecycle::Stage,
    member::NodeState,
};
use kumquatnotch_query::{QueryOptions, TicketOptions};
use yare::parameterized;

fn runs(world: &World) -> usize {
    world.shards.runs.borrow().len()
}

/// What the caller sees: "bad ticket", and nothing of the other's outcome.
/// Order: a ticket is used again with another request, or by another tenant.
#[test]
fn a_ticket_is_good_for_one_request_of_one_tenant() {
    let world = world(2, 10);

    let (other, rival) = run(&world, async {
        let ticket = world.ticket(0);
        told(world.hold(0, &ticket).await).unwrap();
        let body = hold_body(&ticket, "room 8");
        let other = told(world.nodes[0].front.exclusive(KEY, body).await);
        let body = hold_body(&ticket, "room 7");
        (other, told(world.nodes[1].front.exclusive(RIVAL_KEY, body).await))
    });

    assert_eq!(other.unwrap_err(), Error::BadTicket);
    assert_eq!(rival.unwrap_err(), Error::BadTicket);
    assert_eq!(runs(&world), 1);
}

#[parameterized(
    no_ticket = { "", 1008 },
    not_a_ticket = { "n0:1:2", 1008 },
    forged = { "n0:3e8:1:0:1234", 1008 },
)]
fn a_ticket_that_was_not_issued_runs_nothing(ticket: &str, expected: u16) {
    let world = world(1, 4);

    let result = run(&world, world.hold(0, ticket));

    assert_eq!(code(told(result)), expected);
    assert_eq!(runs(&world), 0);
}

/// What the caller sees: "expired" if nothing was sent in time; the outcome if it
/// was. Order: two tickets, one used; both grow old; both are sent again.
/// Why: an expired ticket may have been forgotten, so running it may double.
#[test]
fn an_expired_ticket_never_runs() {
    let options = TicketOptions { valid: ms(60_000), ..TicketOptions::default() };
    let world = world_with(2, 4, QueryOptions { tickets: options, ..QueryOptions::default() });

    let (used, unused, forgotten) = run(&world, async {
        let (used, unused) = (world.ticket(0), world.ticket(0));
        told(world.hold(0, &used).await).unwrap();
        sleep(&world.clock, ms(61_000)).await;
        let results = (told(world.hold(1, &used).await), told(world.hold(1, &unused).await));
        sleep(&world.clock, ms(61_000)).await;
        (results.0, results.1, told(world.hold(0, &used).await))
    });

    assert_eq!(used.unwrap()["held"], 1);
    assert_eq!(unused.unwrap_err(), Error::TicketExpired);
    assert_eq!(forgotten.unwrap_err(), Error::TicketExpired);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "ask again" from a node that has just started, "outcome
/// unknown" from one that has run for long. Order: the issuer is gone from the
/// members. Why: a young node may not have heard of it yet.
#[test]
fn an_issuer_that_is_gone_leaves_the_outcome_unknown() {
    let world = world(3, 10);

    let (young, settled) = run(&world, async {
        let ticket = world.ticket(0);
        world.set_state(0, NodeState::Gone);
        let young = told(world.hold(1, &ticket).await);
        sleep(&world.clock, ms(20_000)).await;
        (young, told(world.hold(1, &ticket).await))
    });

    assert_eq!(young.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(settled.unwrap_err(), Error::OutcomeUnknown);
}

/// What the caller sees: the outcome, on asking again.
/// Order: the caller goes away while its request runs; the run goes on in a task
/// of its own. Why: cancelling it would leave the outcome unknown for no reason.
#[test]
fn a_caller_that_goes_away_can_ask_again() {
    let world = world(2, 10);
    *world.shards.run_delay.borrow_mut() = ms(200);

    let result = run(&world, async {
        let ticket = world.ticket(0);
        let now = kumquatnotch_core::Clock::now(&world.clock);
        let gone = world.hold(0, &ticket);
        let left = kumquatnotch_core::clock::timeout_at(&world.clock, now + ms(50), gone).await;
        assert!(left.is_err());
        sleep(&world.clock, ms(300)).await;
        told(world.hold(1, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: the one hold, before and after.
/// Order: a ticket is issued; the request runs; the document moves the shards
/// elsewhere and drains targets; the request is sent again.
/// Why: another shard would not know of the first hold.
#[test]
fn a_changed_document_does_not_run_a_request_again() {
    let world = world(3, 10);

    let (first, second) = run(&world, async {
        let ticket = world.ticket(0);
        let first = told(world.hold(0, &ticket).await).unwrap();
        world.change_document(|document| {
            document.targets.values_mut().for_each(|target| target.drain = true);
            document.targets.values_mut().for_each(|target| target.shard = shard(99));
            document.rules.selectors.get_mut(HOLDS).unwrap().tenants = vec![tenant_name("barid")];
        });
        (first, told(world.hold(1, &ticket).await).unwrap())
    });

    assert_eq!(first, second);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: "ask again" or the outcome, and never a false "not run".
/// Order: a hold ran; the caller asks again through a node that can't serve.
/// Why: that node's own "not run" would speak of its copy only.
#[test]
fn a_node_that_cannot_ask_the_issuer_never_says_not_run() {
    let world = world(3, 10);

    let results = run(&world, async {
        let ticket = world.ticket(0);
        told(world.hold(0, &ticket).await).unwrap();
        world.nodes[1].lifecycle.advance(Stage::Closing);
        let closing = told(world.hold(1, &ticket).await);
        world.set_way(0, Way::Closed);
        let cut = told(world.hold(2, &ticket).await);
        let document = world.documents.0.borrow_mut().take();
        let blank = told(world.hold(2, &ticket).await);
        *world.documents.0.borrow_mut() = document;
        vec![closing, cut, blank]
    });

    assert_eq!(results[0].as_ref().unwrap()["held"], 1);
    for result in &results[1..] {
        assert!(!result.as_ref().unwrap_err().is_not_run());
    }
    assert_eq!(runs(&world), 1);
}

/// What the callers see: refusals of new tickets and requests; outcomes as ever.
/// Order: the issuer is closing; a hold that ran is asked for, a new one is sent.
#[test]
fn a_closing_issuer_tells_outcomes_and_runs_nothing() {
    let world = world(2, 10);

    let (told_again, new, ticket) = run(&world, async {
        let (ran, unused) = (world.ticket(0), world.ticket(0));
        told(world.hold(0, &ran).await).unwrap();
        world.nodes[0].lifecycle.advance(Stage::Closing);
        let told_again = told(world.hold(0, &ran).await);
        let new = told(world.hold(0, &unused).await);
        (told_again, new, world.nodes[0].front.ticket(KEY))
    });

    assert_eq!(told_again.unwrap()["held"], 1);
    assert_eq!(new.unwrap_err(), Error::Leaving);
    assert_eq!(code(ticket), 2003);
    assert_eq!(runs(&world), 1);
}

/// What the caller sees: no new ticket, and the time to come back; the outcomes of
/// the others are kept. Order: the table of outcomes is full.
/// Why: forgetting one early to make room would let its ticket run again.
#[test]
fn a_full_table_of_outcomes_refuses_and_forgets_nothing() {
    let options = TicketOptions { entries: 2, ..TicketOptions::default() };
    let world = world_with(1, 4, QueryOptions { tickets: options, ..QueryOptions::default() });

    let (third, first_again, refused) = run(&world, async {
        let tickets = [world.ticket(0), world.ticket(0), world.ticket(0)];
        told(world.hold(0, &tickets[0]).await).unwrap();
        told(world.hold(0, &tickets[1]).await).unwrap();
        let third = told(world.hold(0, &tickets[2]).await);
        let again = told(world.hold(0, &tickets[0]).await);
        (third, again, world.nodes[0].front.ticket(KEY))
    });

    assert!(!third.unwrap_err().is_not_run());
    assert_eq!(first_again.unwrap()["held"], 1);
    assert_eq!(code(refused), 2001);
    assert_eq!(runs(&world), 2);
}

#[test]
fn a_selector_that_is_not_exclusive_takes_no_tickets() {
    let world = world(1, 4);

    let result = run(&world, async {
        let body = ExclusiveBody { selector: SELECTOR.into(), ..hold_body(&world.ticket(0), "a") };
        told(world.nodes[0].front.exclusive(KEY, body).await)
    });

    assert_eq!(code(result), 1001);
    assert_eq!(runs(&world), 0);
}
