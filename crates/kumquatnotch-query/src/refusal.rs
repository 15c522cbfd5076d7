//! Error of a search without any results.

use std::time::Duration;

use kumquatnotch_core::{Error, ids::ShardName};

/// Retry time if holders refused without giving one.
const RETRY: Duration = Duration::from_millis(100);

/// Returns the error of a search that no shard answered.
///
/// If every shard refused for lack of capacity, the error contains a retry time. A
/// failed search is never reported as an empty success.
pub(crate) fn nothing_covered(faults: &[(ShardName, Error)]) -> Error {
    if faults.is_empty() || !faults.iter().all(|(_, error)| is_starved(error)) {
        return Error::NothingCovered;
    }
    let retry = faults.iter().filter_map(|(_, error)| error.retry_after()).max();
    Error::overloaded(retry.unwrap_or(RETRY))
}

/// Returns whether a shard did not run the request for lack of capacity.
fn is_starved(error: &Error) -> bool {
    matches!(error, Error::Overloaded { .. } | Error::Shed { .. } | Error::ExpiredInQueue)
}
