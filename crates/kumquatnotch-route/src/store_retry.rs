//! Store calls that are repeated without waiting for earlier ones to fail.
//!
//! The store may lose a call and recover a moment later. Waiting for the timeout of the
//! lost call would take seconds while the store answers other clients, so further calls
//! are made concurrently.

use std::time::{Duration, Instant};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::{Error, LocalFuture, Result, clock};

use crate::router::Router;

/// The delays between calls, before jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryDelays {
    /// The first delay; it doubles with each call.
    pub(crate) initial: Duration,
    /// The longest delay.
    pub(crate) max: Duration,
}

/// An answer of the store.
pub(crate) struct Answer<T> {
    pub(crate) value: T,
    /// When the answered call was made.
    pub(crate) called_at: Instant,
}

/// Repeats a call until it is answered, with no limit on time; earlier calls keep running.
///
/// The only error that counts as an answer is [`Error::VersionUnknown`], which means that
/// the store no longer has the requested history. `failures` is the number of calls that
/// have failed before; the first failure and the recovery of the store are logged.
pub(crate) async fn call_until_answered<'a, T>(
    router: &Router,
    delays: RetryDelays,
    mut failures: u32,
    call: impl Fn() -> LocalFuture<'a, Result<T>>,
) -> Result<Answer<T>> {
    let clock = &*router.clock;
    let mut delay = delays.initial;
    let mut running = FuturesUnordered::new();
    let mut next_call = std::future::ready(()).boxed_local().fuse();
    loop {
        let (called_at, result) = select_biased! {
            answered = running.select_next_some() => answered,
            () = next_call => {
                let called_at = clock.now();
                running.push(call().map(move |result| (called_at, result)));
                next_call = clock::sleep(clock, router.random.jitter(delay)).fuse();
                delay = (delay * 2).min(delays.max);
                continue;
            }
        };
        match result {
            Ok(value) => {
                if failures > 0 {
                    tracing::info!(failures, "mirror: the store answers again");
                }
                return Ok(Answer { value, called_at });
            }
            Err(Error::VersionUnknown { version }) => {
                return Err(Error::VersionUnknown { version });
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    tracing::warn!(code = error.code(), "mirror: the store is away: {error}");
                }
            }
        }
    }
}
