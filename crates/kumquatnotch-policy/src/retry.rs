//! Retries of failed calls.
//!
//! There is a single retry budget for the whole path of a query, and it is kept by the holder. A
//! root never retries a shard itself, so layers do not multiply attempts. [`BudgetRetry`] retries
//! only what is safe, out of tokens that accrue with first attempts: when everything fails, the
//! extra load is a fixed fraction of the load instead of a multiple of it.

use std::time::{Duration, Instant};

use kumquatnotch_core::{Error, target::MIN_CALL_TIME};

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Error of the attempt.
    pub error: &'a Error,
    /// Number of attempts made, including this one.
    pub tries: u32,
    /// Whether the request changes state and must run at most once.
    pub exclusive: bool,
    /// Whether another replica is available.
    pub other: bool,
    /// Latest time at which an answer is useful.
    pub deadline: Instant,
}

/// Decides whether a failed call is retried.
pub trait Retry {
    /// Records a first attempt.
    fn on_call(&mut self);

    /// Returns the backoff before the next attempt; `None` if there is none.
    fn next(&mut self, attempt: &Attempt<'_>, now: Instant) -> Option<Duration>;
}

/// Number of attempts made by a naive client.
const NAIVE_TRIES: u32 = 4;

/// Up to four attempts without backoff, whatever the error. The baseline.
#[derive(Debug, Default)]
pub struct NaiveRetry;

impl Retry for NaiveRetry {
    fn on_call(&mut self) {}

    fn next(&mut self, attempt: &Attempt<'_>, _now: Instant) -> Option<Duration> {
        (attempt.tries < NAIVE_TRIES).then_some(Duration::ZERO)
    }
}

/// Options of a [`BudgetRetry`].
#[derive(Clone, Debug)]
pub struct RetryOptions {
    /// Retries allowed per first attempt.
    pub budget: f64,
    /// Maximum number of tokens saved up.
    pub max_tokens: f64,
    /// Maximum number of attempts per call.
    pub tries: u32,
}

impl Default for RetryOptions {
    fn default() -> RetryOptions {
        RetryOptions { budget: 0.1, max_tokens: 50.0, tries: 4 }
    }
}

/// Retries that are safe, within a budget.
#[derive(Debug)]
pub struct BudgetRetry {
    tokens: f64,
    options: RetryOptions,
}

impl Default for BudgetRetry {
    fn default() -> BudgetRetry {
        BudgetRetry::new(RetryOptions::default())
    }
}

impl BudgetRetry {
    /// Creates a full budget.
    pub fn new(options: RetryOptions) -> BudgetRetry {
        BudgetRetry { tokens: options.max_tokens, options }
    }

    fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Retry for BudgetRetry {
    fn on_call(&mut self) {
        self.tokens = (self.tokens + self.options.budget).min(self.options.max_tokens);
    }

    fn next(&mut self, attempt: &Attempt<'_>, now: Instant) -> Option<Duration> {
        if attempt.tries >= self.options.tries || !is_safe(attempt.error, attempt.exclusive) {
            return None;
        }
        // A failure on one replica would be repeated on the same one.
        let failed = matches!(attempt.error, Error::TargetFailed { .. } | Error::Protocol { .. });
        if failed && !attempt.other {
            return None;
        }
        let left = attempt.deadline.saturating_duration_since(now);
        let wait = wait_before(attempt);
        if left < wait + MIN_CALL_TIME {
            return None;
        }
        // These errors mean that the replica cannot be used. That is remembered, so they do not
        // recur and cost the replica nothing.
        let free = matches!(attempt.error, Error::Draining | Error::VersionGone { .. });
        (free || self.spend()).then_some(wait)
    }
}

/// Whether running the request again is safe.
fn is_safe(error: &Error, exclusive: bool) -> bool {
    if exclusive {
        return error.is_not_run();
    }
    match error {
        Error::Contained { .. } | Error::Cancelled | Error::ExpiredInQueue | Error::TimedOut => {
            false
        }
        Error::Overloaded { .. } | Error::Leaving | Error::NotReady | Error::NoTarget => false,
        Error::ConnectionLost
        | Error::ConnectionSilent
        | Error::Protocol { .. }
        | Error::TargetFailed { .. } => true,
        error => error.is_not_run(),
    }
}

/// A shed call is sent to another replica at once, or waits as long as the replica demands.
fn wait_before(attempt: &Attempt<'_>) -> Duration {
    match attempt.error {
        Error::Shed { .. } if !attempt.other => attempt.error.retry_after().unwrap_or_default(),
        _ => Duration::ZERO,
    }
}
