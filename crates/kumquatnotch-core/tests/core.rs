//! Tests of the common types.

use std::time::Duration;

use futures_util::FutureExt;
use kumquatnotch_core::{
    Clock, Error,
    clock::{PausedClock, sleep, timeout_at},
    codec,
    errors::Result,
    ids::{ConfigVersion, NodeName, rendezvous},
    labels::{Expression, Labels},
    member::{Confirmation, NodeState},
    peer::PeerReply,
    registry::Registry,
    report::NodeReport,
    ticket::Ticket,
};
use yare::parameterized;

fn labels() -> Labels {
    [("role", "desk"), ("site", "amman")].map(|(k, v)| (k.to_owned(), v.to_owned())).into()
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(work)
}

#[parameterized(
    empty = { "", true },
    equal = { "role = desk", true },
    list = { "site in (aqaba, amman), role=desk", true },
    other = { "site notin (aqaba)", true },
    absent = { "!retired", true },
    present = { "role", true },
    unequal = { "role != desk", false },
    missing = { "vendor", false },
    one_fails = { "role = desk, site = irbid", false },
)]
fn expression_matches(source: &str, expected: bool) {
    let expression = Expression::parse(source).unwrap();

    let matches = expression.matches(&labels());

    assert_eq!(matches, expected);
}

#[parameterized(
    open_list = { "site in (a, b" },
    no_value = { "role =" },
    no_term = { "role = desk," },
    invalid_character = { "role = de$k" },
    unknown_operator = { "site within (a)" },
)]
fn expression_is_rejected(source: &str) {
    let result = Expression::parse(source);

    assert_eq!(result.unwrap_err().code(), 1010);
}

#[test]
fn removing_a_candidate_moves_only_its_own_keys() {
    let all = ["a", "b", "c", "d"];
    let rest = ["a", "b", "d"];

    for key in 0..200u32 {
        let before = rendezvous(&key.to_be_bytes(), &all);
        let after = rendezvous(&key.to_be_bytes(), &rest);

        let remaining: Vec<&str> = before.into_iter().filter(|name| *name != "c").collect();
        assert_eq!(remaining, after);
    }
}

#[test]
fn ticket_round_trips_through_text() {
    let ticket = Ticket {
        issuer: NodeName::from("n1"),
        incarnation: kumquatnotch_core::ids::Incarnation(u64::MAX),
        serial: 7,
        issued_ms: 12_345,
        seal: 99,
    };

    let read: Ticket = ticket.to_string().parse().unwrap();

    assert_eq!(read, ticket);
}

#[parameterized(
    short = { "n1:1:2:3" },
    no_issuer = { ":1:2:3:4" },
    not_hex = { "n1:1:2:x:4" },
)]
fn malformed_ticket_is_rejected(text: &str) {
    let result: Result<Ticket> = text.parse();

    assert_eq!(result.unwrap_err(), Error::BadTicket);
}

#[test]
fn errors_round_trip_through_codec() {
    let reply = PeerReply::Failed(Error::overloaded(Duration::from_millis(250)));

    let read: PeerReply = codec::decode(&codec::encode(&reply).unwrap()).unwrap();

    assert_eq!(read, reply);
}

#[test]
fn paused_clock_wakes_sleepers_when_due() {
    let clock = PausedClock::default();
    let mut sleeper = sleep(&clock, Duration::from_secs(5));
    assert!((&mut sleeper).now_or_never().is_none());

    clock.advance(Duration::from_secs(4));
    assert!((&mut sleeper).now_or_never().is_none());
    clock.advance(Duration::from_secs(1));

    assert!((&mut sleeper).now_or_never().is_some());
}

#[test]
fn timeout_ends_pending_work() {
    let clock = PausedClock::default();
    let deadline = clock.now() + Duration::from_secs(1);

    let result = block_on(clock.drive(timeout_at(&clock, deadline, std::future::pending::<()>())));

    assert_eq!(result, Err(Error::TimedOut));
}

/// Guards against spawned tasks being starved under a paused clock. A driver that yields
/// by waking itself is polled again before all other tasks and advances the time without
/// them, so that a test sees its own sleeps complete while its services do nothing.
#[test]
fn drive_runs_spawned_tasks() {
    let clock = PausedClock::default();
    let ticks = std::rc::Rc::new(std::cell::Cell::new(0));
    let (counter, ticker) = (ticks.clone(), clock.clone());

    block_on(clock.clone().drive(async move {
        monoio::spawn(async move {
            loop {
                sleep(&ticker, Duration::from_secs(1)).await;
                counter.set(counter.get() + 1);
            }
        });
        sleep(&clock, Duration::from_millis(10_500)).await;
    }));

    assert_eq!(ticks.get(), 10);
}

#[test]
fn registry_finds_services_by_name_and_type() {
    let registry = Registry::default();
    registry.register("answer", 42u32);

    assert_eq!(registry.find::<u32>("answer"), Ok(42));
    assert_eq!(registry.find::<u64>("answer").unwrap_err().code(), 9001);
    assert_eq!(registry.find::<u32>("question").unwrap_err().code(), 9001);
}

/// Guards against a node without a confirmation being reported with an age. The value is
/// sent between nodes with fields by position and then shown as JSON and text: operators
/// must see `null` and "not confirmed yet" instead of a number.
#[parameterized(
    confirmed = { Some(40), "40", "n1 (Up): version 3, confirmed 40 ms ago" },
    never = { None, "null", "n1 (Up): version 3, not confirmed yet" },
)]
fn confirmation_age_is_reported(age_ms: Option<u64>, json: &str, text: &str) {
    let sent = Confirmation { version: ConfigVersion(3), age_ms };

    let bytes = codec::encode(&PeerReply::ConfigState(sent)).unwrap();
    let received: PeerReply = codec::decode(&bytes).unwrap();
    let report = NodeReport {
        name: "n1".into(),
        state: NodeState::Up,
        confirmation: Some(sent),
        error: None,
    };

    assert_eq!(received, PeerReply::ConfigState(sent));
    let expected = format!("{{\"version\":3,\"age_ms\":{json}}}");
    assert_eq!(serde_json::to_string(&sent).unwrap(), expected);
    assert_eq!(report.to_string(), text);
}
