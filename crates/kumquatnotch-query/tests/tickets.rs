//! Tickets: whom they serve, how long, and what is kept under them.

mod common;

use common::{net::LinkState, *};
use kumquatnotch_core::{
    Error,
    clock::sleep,
    front::{ExclusiveBody, Front},
    lifecycle::Stage,
    member::NodeState,
};
use kumquatnotch_query::{QueryOptions, TicketOptions};
use yare::parameterized;

fn runs(cluster: &Cluster) -> usize {
    cluster.shards.runs.borrow().len()
}

/// What the caller sees: "bad ticket", and nothing of the other's outcome.
/// Order: a ticket is used again with another request, or by another tenant.
#[test]
fn ticket_is_valid_for_one_request_of_one_tenant() {
    let cluster = cluster(2, 10);

    let (other, rival) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        outcome_value(cluster.hold(0, &ticket).await).unwrap();
        let body = hold_body(&ticket, "room 8");
        let other = outcome_value(cluster.nodes[0].front.exclusive(KEY, body).await);
        let body = hold_body(&ticket, "room 7");
        (other, outcome_value(cluster.nodes[1].front.exclusive(RIVAL_KEY, body).await))
    });

    assert_eq!(other.unwrap_err(), Error::BadTicket);
    assert_eq!(rival.unwrap_err(), Error::BadTicket);
    assert_eq!(runs(&cluster), 1);
}

#[parameterized(
    no_ticket = { "", 1008 },
    not_a_ticket = { "n0:1:2", 1008 },
    forged = { "n0:3e8:1:0:1234", 1008 },
)]
fn ticket_that_was_not_issued_runs_nothing(ticket: &str, expected: u16) {
    let cluster = cluster(1, 4);

    let result = run(&cluster, cluster.hold(0, ticket));

    assert_eq!(code(outcome_value(result)), expected);
    assert_eq!(runs(&cluster), 0);
}

/// What the caller sees: "expired" if nothing was sent in time; the outcome if it
/// was. Order: two tickets, one used; both grow old; both are sent again.
/// Why: an expired ticket may have been forgotten, so running it may double.
#[test]
fn expired_ticket_never_runs() {
    let options = TicketOptions { valid: ms(60_000), ..TicketOptions::default() };
    let cluster = cluster_with(2, 4, QueryOptions { tickets: options, ..QueryOptions::default() });

    let (used, unused, forgotten) = run(&cluster, async {
        let (used, unused) = (cluster.ticket(0), cluster.ticket(0));
        outcome_value(cluster.hold(0, &used).await).unwrap();
        sleep(&cluster.clock, ms(61_000)).await;
        let results = (
            outcome_value(cluster.hold(1, &used).await),
            outcome_value(cluster.hold(1, &unused).await),
        );
        sleep(&cluster.clock, ms(61_000)).await;
        (results.0, results.1, outcome_value(cluster.hold(0, &used).await))
    });

    assert_eq!(used.unwrap()["held"], 1);
    assert_eq!(unused.unwrap_err(), Error::TicketExpired);
    assert_eq!(forgotten.unwrap_err(), Error::TicketExpired);
    assert_eq!(runs(&cluster), 1);
}

/// What the caller sees: "ask again" from a node that has just started, "outcome
/// unknown" from one that has run for long. Order: the issuer is gone from the
/// members. Why: a young node may not have heard of it yet.
#[test]
fn missing_issuer_leaves_the_outcome_unknown() {
    let cluster = cluster(3, 10);

    let (young, settled) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        cluster.set_state(0, NodeState::Gone);
        let young = outcome_value(cluster.hold(1, &ticket).await);
        sleep(&cluster.clock, ms(20_000)).await;
        (young, outcome_value(cluster.hold(1, &ticket).await))
    });

    assert_eq!(young.unwrap_err(), Error::IssuerUnreachable);
    assert_eq!(settled.unwrap_err(), Error::OutcomeUnknown);
}

/// What the caller sees: the outcome, on asking again.
/// Order: the caller goes away while its request runs; the run goes on in a task
/// of its own. Why: cancelling it would leave the outcome unknown for no reason.
#[test]
fn disconnected_caller_can_retry() {
    let cluster = cluster(2, 10);
    *cluster.shards.run_delay.borrow_mut() = ms(200);

    let result = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let now = kumquatnotch_core::Clock::now(&cluster.clock);
        let gone = cluster.hold(0, &ticket);
        let left = kumquatnotch_core::clock::timeout_at(&cluster.clock, now + ms(50), gone).await;
        assert!(left.is_err());
        sleep(&cluster.clock, ms(300)).await;
        outcome_value(cluster.hold(1, &ticket).await)
    });

    assert_eq!(result.unwrap()["held"], 1);
    assert_eq!(runs(&cluster), 1);
}

/// What the caller sees: the one hold, before and after.
/// Order: a ticket is issued; the request runs; the document moves the shards
/// elsewhere and drains targets; the request is sent again.
/// Why: another shard would not know of the first hold.
#[test]
fn changed_document_does_not_rerun_a_request() {
    let cluster = cluster(3, 10);

    let (first, second) = run(&cluster, async {
        let ticket = cluster.ticket(0);
        let first = outcome_value(cluster.hold(0, &ticket).await).unwrap();
        cluster.change_document(|document| {
            document.targets.values_mut().for_each(|target| target.drain = true);
            document.targets.values_mut().for_each(|target| target.shard = shard(99));
            document.rules.selectors.get_mut(HOLDS).unwrap().tenants = vec![tenant_name("barid")];
        });
        (first, outcome_value(cluster.hold(1, &ticket).await).unwrap())
    });

    assert_eq!(first, second);
    assert_eq!(runs(&cluster), 1);
}

/// What the caller sees: "ask again" or the outcome, and never a false "not run".
/// Order: a hold ran; the caller asks again through a node that can't serve.
/// Why: that node's own "not run" would speak of its copy only.
#[test]
fn node_that_cannot_reach_the_issuer_never_reports_not_run() {
    let cluster = cluster(3, 10);

    let results = run(&cluster, async {
        let ticket = cluster.ticket(0);
        outcome_value(cluster.hold(0, &ticket).await).unwrap();
        cluster.nodes[1].lifecycle.advance(Stage::Closing);
        let closing = outcome_value(cluster.hold(1, &ticket).await);
        cluster.set_link(0, LinkState::Closed);
        let cut = outcome_value(cluster.hold(2, &ticket).await);
        let document = cluster.documents.0.borrow_mut().take();
        let blank = outcome_value(cluster.hold(2, &ticket).await);
        *cluster.documents.0.borrow_mut() = document;
        vec![closing, cut, blank]
    });

    assert_eq!(results[0].as_ref().unwrap()["held"], 1);
    for result in &results[1..] {
        assert!(!result.as_ref().unwrap_err().is_not_run());
    }
    assert_eq!(runs(&cluster), 1);
}

/// What the callers see: refusals of new tickets and requests; outcomes as ever.
/// Order: the issuer is closing; a hold that ran is asked for, a new one is sent.
#[test]
fn closing_issuer_returns_outcomes_and_runs_nothing() {
    let cluster = cluster(2, 10);

    let (outcome_again, new, ticket) = run(&cluster, async {
        let (ran, unused) = (cluster.ticket(0), cluster.ticket(0));
        outcome_value(cluster.hold(0, &ran).await).unwrap();
        cluster.nodes[0].lifecycle.advance(Stage::Closing);
        let outcome_again = outcome_value(cluster.hold(0, &ran).await);
        let new = outcome_value(cluster.hold(0, &unused).await);
        (outcome_again, new, cluster.nodes[0].front.ticket(KEY))
    });

    assert_eq!(outcome_again.unwrap()["held"], 1);
    assert_eq!(new.unwrap_err(), Error::Leaving);
    assert_eq!(code(ticket), 2003);
    assert_eq!(runs(&cluster), 1);
}

/// What the caller sees: no new ticket, and the time to come back; the outcomes of
/// the others are kept. Order: the table of outcomes is full.
/// Why: forgetting one early to make room would let its ticket run again.
#[test]
fn full_outcome_table_refuses_requests_and_evicts_nothing() {
    let options = TicketOptions { max_outcomes: 2, ..TicketOptions::default() };
    let cluster = cluster_with(1, 4, QueryOptions { tickets: options, ..QueryOptions::default() });

    let (third, first_again, refused) = run(&cluster, async {
        let tickets = [cluster.ticket(0), cluster.ticket(0), cluster.ticket(0)];
        outcome_value(cluster.hold(0, &tickets[0]).await).unwrap();
        outcome_value(cluster.hold(0, &tickets[1]).await).unwrap();
        let third = outcome_value(cluster.hold(0, &tickets[2]).await);
        let again = outcome_value(cluster.hold(0, &tickets[0]).await);
        (third, again, cluster.nodes[0].front.ticket(KEY))
    });

    assert!(!third.unwrap_err().is_not_run());
    assert_eq!(first_again.unwrap()["held"], 1);
    assert_eq!(code(refused), 2001);
    assert_eq!(runs(&cluster), 2);
}

#[test]
fn non_exclusive_selector_rejects_tickets() {
    let cluster = cluster(1, 4);

    let result = run(&cluster, async {
        let body =
            ExclusiveBody { selector: SELECTOR.into(), ..hold_body(&cluster.ticket(0), "a") };
        outcome_value(cluster.nodes[0].front.exclusive(KEY, body).await)
    });

    assert_eq!(code(result), 1001);
    assert_eq!(runs(&cluster), 0);
}
