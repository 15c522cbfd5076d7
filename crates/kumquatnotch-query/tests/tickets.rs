//! Tests of the ownership and validity of tickets, and of the stored outcomes.

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

/// A ticket that is reused with another request or by another tenant is refused as a
/// bad ticket, and reveals nothing of the original outcome.
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

/// Of two expired tickets, the used one still returns its outcome and the unused one
/// "expired". The entry of an expired ticket may have been removed, so running its
/// request could run it twice.
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

/// The issuer is no longer a member. A node that has just started may not know the
/// issuer yet and returns "issuer unreachable"; one that has run for longer returns
/// "outcome unknown".
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

/// The caller disconnects while its request is running. The run continues in a separate
/// task and the caller gets its outcome on retry; cancelling it would leave the outcome
/// unknown without need.
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

/// After a request has run, the document moves the shards, drains the targets and
/// withdraws the selector. The same request, sent again, must return the first outcome:
/// another shard would not know of the first hold.
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

/// After a hold has run, the caller retries through nodes that cannot serve or cannot
/// reach the issuer. They return the outcome or a retryable error, never "not run",
/// which would be true only of their own copy.
#[test]
fn node_that_cannot_reach_the_issuer_never_reports_not_run() {
    let cluster = cluster(3, 10);

    let results = run(&cluster, async {
        let ticket = cluster.ticket(0);
        outcome_value(cluster.hold(0, &ticket).await).unwrap();
        cluster.nodes[1].lifecycle.advance(Stage::Closing);
        let closing = outcome_value(cluster.hold(1, &ticket).await);
        cluster.set_link(0, LinkState::Closed);
        let unreachable = outcome_value(cluster.hold(2, &ticket).await);
        let document = cluster.documents.0.borrow_mut().take();
        let unconfigured = outcome_value(cluster.hold(2, &ticket).await);
        *cluster.documents.0.borrow_mut() = document;
        vec![closing, unreachable, unconfigured]
    });

    assert_eq!(results[0].as_ref().unwrap()["held"], 1);
    for result in &results[1..] {
        assert!(!result.as_ref().unwrap_err().is_not_run());
    }
    assert_eq!(runs(&cluster), 1);
}

/// A closing issuer refuses new tickets and new requests, but still returns the
/// outcomes of requests that have run.
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

/// When the table of outcomes is full, new tickets are refused with a retry time, and
/// existing outcomes are kept. If an outcome were evicted early, its ticket could run
/// again.
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
