//! Logs as JSON lines on standard output.
//!
//! A dedicated thread writes the lines, so that logging never blocks. Lines that do
//! not fit in its queue are dropped and counted.

use std::time::Duration;

use kumquatnotch_core::{Error, Result};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of lines in the queue.
///
/// A line has about 300 bytes, so a full queue takes about a megabyte.
const QUEUE_LINES: usize = 4_096;

/// Interval between checks for dropped lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the JSON log writer; dropping the returned guard flushes the queue.
pub fn install_json(filter: &str) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::BadSettings { detail: format!("log.filter: {error}") })?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let drop_counter = writer.error_counter();
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .try_init()
        .map_err(Error::internal)?;
    monoio::spawn(report_dropped_lines(drop_counter));
    Ok(guard)
}

/// Periodically logs and counts the lines dropped since the last check.
async fn report_dropped_lines(drop_counter: ErrorCounter) {
    let mut reported = 0;
    loop {
        monoio::time::sleep(DROP_CHECK_INTERVAL).await;
        let dropped = drop_counter.dropped_lines();
        if dropped > reported {
            metrics::counter!("kumquatnotch_log_lines_dropped_total").absolute(dropped as u64);
            tracing::warn!(dropped, since = dropped - reported, "log: lines were dropped");
            reported = dropped;
        }
    }
}
