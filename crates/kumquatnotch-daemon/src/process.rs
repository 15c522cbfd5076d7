//! Start-up and exit codes of a daemon process.

use std::process::ExitCode;

use kumquatnotch_core::{Error, Result};
use monoio::{LegacyDriver, RuntimeBuilder};

/// Exit code of a daemon that failed with an error.
pub const FAILED: u8 = 1;

/// Exit code if requests were still in flight when the time for leaving had run out.
pub const DRAIN_TIMED_OUT: u8 = 3;

/// Runs `main` to completion on a runtime with timers.
///
/// The epoll driver is selected explicitly, because the default driver may choose
/// io_uring, which the machines do not allow.
pub fn block_on(main: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| Error::internal(format!("failed to start the runtime: {error}")))?;
    runtime.block_on(main)
}

/// Returns the exit code for `result`, printing any error to standard error.
pub fn exit_code(result: Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|error| {
        eprintln!("error {}: {error}", error.code());
        ExitCode::from(FAILED)
    })
}
