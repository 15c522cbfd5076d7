//! Checks that every model holds, and that the check detects each mutation.

use spec::{
    Report, check,
    config::{self, ConfigModel},
    leaving::{self, LeavingModel},
    ticket::{self, TicketModel},
};
use yare::parameterized;

fn assert_holds(report: &Report) {
    assert_eq!(report.violation, None, "{:#?}", report.trace);
    println!("{} states", report.states);
}

#[test]
fn configuration_holds() {
    assert_holds(&check(&ConfigModel { mutation: config::Mutation::None }));
}

#[test]
fn tickets_hold() {
    assert_holds(&check(&TicketModel { mutation: ticket::Mutation::None }));
}

#[test]
fn leaving_holds() {
    assert_holds(&check(&LeavingModel { mutation: leaving::Mutation::None }));
}

#[parameterized(
    accept_older = { config::Mutation::AcceptOlder, "a node went back to an older version" },
    serve_without_version = { config::Mutation::ServeWithoutVersion,
        "a node serves without a version" },
    serve_after_wake = { config::Mutation::ServeAfterWake,
        "a node serves with an older version than was confirmed everywhere" },
    unconditional_write = { config::Mutation::UnconditionalWrite, "a change was accepted twice" },
    lost_reply_is_refusal = { config::Mutation::LostReplyIsRefusal,
        "reported as refused, but accepted" },
    accept_empty_answer = { config::Mutation::AcceptEmptyAnswer,
        "a node serves with an older version than was confirmed everywhere" },
)]
fn a_mutation_of_configuration_is_caught(mutation: config::Mutation, expected: &str) {
    let report = check(&ConfigModel { mutation });

    assert_eq!(report.violation, Some(expected), "{:#?}", report.trace);
}

#[parameterized(
    any_incarnation = { ticket::Mutation::AnyIncarnation, "reported as not run, but it ran" },
    run_elsewhere = { ticket::Mutation::RunElsewhere, "reported as not run, but it ran" },
    resend_after_loss = { ticket::Mutation::ResendAfterLoss, "reported as not run, but it ran" },
    timeout_not_run = { ticket::Mutation::TimeoutNotRun, "reported as not run, but it ran" },
    forget_early = { ticket::Mutation::ForgetEarly, "reported as not run, but it ran" },
    holder_resends = { ticket::Mutation::HolderResends, "the request ran twice" },
    holder_sends_late = { ticket::Mutation::HolderSendsLate, "reported as not run, but it ran" },
)]
fn a_mutation_of_tickets_is_caught(mutation: ticket::Mutation, expected: &str) {
    let report = check(&TicketModel { mutation });

    assert_eq!(report.violation, Some(expected), "{:#?}", report.trace);
}

#[parameterized(
    ignore_propagation = { leaving::Mutation::IgnorePropagation,
        "a caller with valid advice was refused" },
    refuse_at_once = { leaving::Mutation::RefuseAtOnce,
        "a caller with valid advice was refused" },
    exit_before_done = { leaving::Mutation::ExitBeforeDone, "a request was cut" },
    advise_self = { leaving::Mutation::AdviseSelf, "a caller with valid advice was refused" },
)]
fn a_mutation_of_leaving_is_caught(mutation: leaving::Mutation, expected: &str) {
    let report = check(&LeavingModel { mutation });

    assert_eq!(report.violation, Some(expected), "{:#?}", report.trace);
}
