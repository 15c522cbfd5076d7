//! The start of a daemon's process, and how it ends.

use std::process::ExitCode;

use kumquatnotch_core::{Error, Result};
use monoio::{LegacyDriver, RuntimeBuilder};

/// The exit code of a start that failed.
pub const FAILED: u8 = 1;

/// The exit code if requests were still in flight when the time to leave was over.
pub const DRAIN_TIMED_OUT: u8 = 3;

/// Runs `main` to its end on a runtime with timers.
///
/// The epoll driver is taken by name: the default one may choose io_uring, which
/// the machines do not allow.
pub fn block_on(main: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| Error::internal(format!("the runtime can't start: {error}")))?;
    runtime.block_on(main)
}

/// The exit code of `result`; an error is told on standard error.
pub fn exit_code(result: Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|error| {
        eprintln!("error {}: {error}", error.code());
        ExitCode::from(FAILED)
    })
}
