//! Error of a search without any results.

use std::time::Duration;

use kumquatnotch_core::{Error, ids::ShardName};

/// Retry time if no holder specified one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Returns the error of a search that no shard answered.
///
/// If every shard refused for lack of capacity, the error contains a retry time. A
/// failed search is never reported as an empty success.
pub(crate) fn nothing_covered(failed_shards: &[(ShardName, Error)]) -> Error {
    if failed_shards.is_empty() || !failed_shards.iter().all(|(_, error)| is_starved(error)) {
        return Error::NothingCovered;
    }
    let retry = failed_shards.iter().filter_map(|(_, error)| error.retry_after()).max();
    Error::overloaded(retry.unwrap_or(DEFAULT_RETRY_AFTER))
}

/// Returns whether a shard did not run the request for lack of capacity.
fn is_starved(error: &Error) -> bool {
    matches!(error, Error::Overloaded { .. } | Error::Shed { .. } | Error::ExpiredInQueue)
}
