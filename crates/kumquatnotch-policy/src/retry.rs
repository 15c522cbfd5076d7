//! Whether a call that failed is tried again.
//!
//! There is one budget for the whole path of a query, and it lives at the
//! holder: a root never tries a shard again itself, so layers don't multiply
//! attempts. [`BudgetRetry`] tries again only what is safe, and pays for it out
//! of tokens that grow with the first attempts: when everything fails, the extra
//! load is a fixed part of the load instead of a multiple of it.

use std::time::{Duration, Instant};

use kumquatnotch_core::{Error, target::LEAST_CALL_TIME};

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// How it failed.
    pub error: &'a Error,
    /// The attempts made, this one included.
    pub tries: u32,
    /// Whether the request changes state and must run at most once.
    pub exclusive: bool,
    /// Whether another replica could take it.
    pub other: bool,
    /// The latest time at which an answer is wanted.
    pub deadline: Instant,
}

/// The decision whether a failed call is tried again.
pub trait Retry {
    /// A first attempt was made.
    fn on_call(&mut self);

    /// The time to wait before the next attempt; `None` if there is none.
    fn next(&mut self, attempt: &Attempt<'_>, now: Instant) -> Option<Duration>;
}

/// The attempts that a naive client makes.
const NAIVE_TRIES: u32 = 4;

/// Up to four attempts at once whatever happens: the baseline.
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
    /// The repeated attempts allowed for each first one.
    pub budget: f64,
    /// The most attempts saved up.
    pub max_tokens: f64,
    /// The most attempts of one call.
    pub tries: u32,
}

impl Default for RetryOptions {
    fn default() -> RetryOptions {
        RetryOptions { budget: 0.1, max_tokens: 50.0, tries: 4 }
    }
}

/// Attempts that are safe, out of a budget.
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
    /// A full budget.
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
        // What one replica failed at it fails at again.
        let failed = matches!(attempt.error, Error::TargetFailed { .. } | Error::Protocol { .. });
        if failed && !attempt.other {
            return None;
        }
        let left = attempt.deadline.saturating_duration_since(now);
        let wait = wait_before(attempt);
        if left < wait + LEAST_CALL_TIME {
            return None;
        }
        // These tell that the replica can't be used, which is remembered, so
        // they don't repeat themselves and cost it nothing.
        let free = matches!(attempt.error, Error::Draining | Error::VersionGone { .. });
        (free || self.spend()).then_some(wait)
    }
}

/// Whether running the request again can do no harm.
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

/// A shed call goes elsewhere at once, or waits as long as it was told.
fn wait_before(attempt: &Attempt<'_>) -> Duration {
    match attempt.error {
        Error::Shed { .. } if !attempt.other => attempt.error.retry_after().unwrap_or_default(),
        _ => Duration::ZERO,
    }
}
