//! The error of a search that got nothing.

use std::time::Duration;

use kumquatnotch_core::{Error, ids::ShardName};

/// The time to come back if holders refused and did not say when.
const RETRY: Duration = Duration::from_millis(100);

/// The error of a search that no shard answered.
///
/// If each shard was refused for want of capacity, the caller is told when to
/// come back; a lost search is never an empty success.
pub(crate) fn nothing_covered(faults: &[(ShardName, Error)]) -> Error {
    if faults.is_empty() || !faults.iter().all(|(_, error)| is_starved(error)) {
        return Error::NothingCovered;
    }
    let retry = faults.iter().filter_map(|(_, error)| error.retry_after()).max();
    Error::overloaded(retry.unwrap_or(RETRY))
}

/// Whether a shard did not run the request for want of capacity.
fn is_starved(error: &Error) -> bool {
    matches!(error, Error::Overloaded { .. } | Error::Shed { .. } | Error::ExpiredInQueue)
}
