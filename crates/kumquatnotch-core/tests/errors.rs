//! Compares the table of error codes in docs/ERRORS.md with the implementation.

use std::collections::BTreeSet;

use kumquatnotch_core::Error;
use yare::parameterized;

const TABLE: &str = include_str!("../../../docs/ERRORS.md");
const SOURCE: &str = include_str!("../src/errors.rs");

/// Returns the cells of each row of the table.
fn rows() -> Vec<Vec<&'static str>> {
    let rows = TABLE.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = |row: &'static str| row.split('|').map(str::trim).collect();
    rows.skip(1).map(cells).collect()
}

/// Returns the codes in the match arms of `Error::code`.
fn codes_in_source() -> BTreeSet<u16> {
    let arms = SOURCE.lines().filter_map(|line| line.trim().strip_suffix(','));
    let numbers = arms.filter_map(|arm| arm.rsplit_once("=> ")?.1.parse().ok());
    numbers.filter(|number| *number >= 1_000).collect()
}

#[test]
fn every_code_is_listed_once() {
    let listed: Vec<u16> = rows().iter().map(|row| row[1].parse().unwrap()).collect();

    let unique: BTreeSet<u16> = listed.iter().copied().collect();

    assert_eq!(unique.len(), listed.len());
    assert_eq!(unique, codes_in_source());
}

#[parameterized(
    overloaded = { Error::Overloaded { retry_ms: 5 } },
    contained = { Error::Contained { retry_ms: 5 } },
    bodies_full = { Error::BodiesFull { retry_ms: 5 } },
    shed = { Error::Shed { retry_ms: 5 } },
    expired_in_queue = { Error::ExpiredInQueue },
    connect_failed = { Error::ConnectFailed },
    connect_refused = { Error::ConnectRefused },
    connection_lost = { Error::ConnectionLost },
    outcome_unknown = { Error::OutcomeUnknown },
    still_running = { Error::StillRunning },
    timed_out = { Error::TimedOut },
    bad_request = { Error::bad_request("x") },
    ticket_expired = { Error::TicketExpired },
    not_ready = { Error::NotReady },
    conflict = { Error::Conflict { version: 3, detail: String::new() } },
    unavailable = { Error::PlatformUnavailable },
    internal = { Error::internal("x") },
    gone = { Error::VersionGone { version: 4 } },
)]
fn table_row_matches_code(error: Error) {
    let rows = rows();
    let code = error.code().to_string();

    let row = rows.iter().find(|row| row[1] == code).unwrap();

    assert_eq!(row[3], error.status().to_string());
    assert_eq!(row[4] == "yes", error.is_not_run());
}

/// Guards against log lines and replies as long as what another program sent.
#[parameterized(
    bad_request = { Error::bad_request },
    protocol = { Error::protocol },
    internal = { Error::internal },
)]
fn description_is_bounded(error: fn(String) -> Error) {
    let short = error("x".repeat(500)).to_string();
    let long = error("\u{e4}".repeat(1_000_000)).to_string();

    assert!(short.ends_with('x'), "{short}");
    assert!(long.ends_with("\u{e4}\u{2026}") && long.len() < 600, "{}", long.len());
}
