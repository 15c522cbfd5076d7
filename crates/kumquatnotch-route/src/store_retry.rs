//! Calls to the store that are made again before the earlier ones have failed.
//!
//! The store may swallow a call and be well a moment later. Whoever waits for such a call to
//! its end hears nothing for seconds, while the store answers everybody else; so another
//! call is made beside it.

use std::time::{Duration, Instant};

use futures_util::{FutureExt, StreamExt, select_biased, stream::FuturesUnordered};
use kumquatnotch_core::{Error, LocalFuture, Result, clock};

use crate::router::Router;

/// The pauses between calls, before jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryDelays {
    /// The first one; they double.
    pub(crate) initial: Duration,
    /// The longest one.
    pub(crate) max: Duration,
}

/// What the store answered.
pub(crate) struct Answer<T> {
    pub(crate) value: T,
    /// When it was asked for that.
    pub(crate) asked_at: Instant,
}

/// Makes a call until one is answered, however long that takes; earlier ones go on.
///
/// Of the errors, only that the history is gone is an answer. `failures` is how many calls
/// have failed before, as the first failure and the return of the store are told.
pub(crate) async fn call_until_answered<'a, T>(
    router: &Router,
    delays: RetryDelays,
    mut failures: u32,
    call: impl Fn() -> LocalFuture<'a, Result<T>>,
) -> Result<Answer<T>> {
    let clock = &*router.clock;
    let mut delay = delays.initial;
    let mut running = FuturesUnordered::new();
    let mut again = std::future::ready(()).boxed_local().fuse();
    loop {
        let (asked_at, result) = select_biased! {
            ended = running.select_next_some() => ended,
            () = again => {
                let asked_at = clock.now();
                running.push(call().map(move |result| (asked_at, result)));
                again = clock::sleep(clock, router.random.jitter(delay)).fuse();
                delay = (delay * 2).min(delays.max);
                continue;
            }
        };
        match result {
            Ok(value) => {
                if failures > 0 {
                    tracing::info!(failures, "mirror: the store answers again");
                }
                return Ok(Answer { value, asked_at });
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
