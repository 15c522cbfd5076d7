//! Checks that a graceful shutdown interrupts no request in flight.
//!
//! The callers of a run use an address no longer than its advice is valid, so none
//! sends to a node that has already closed. Every request that was sent before the
//! process exited and was not answered is therefore a violation, on new and on
//! kept-alive connections alike.

use crate::{
    checker::{Findings, Promise},
    record::{Attempt, History, Outcome, Shutdown},
};

/// Looks for requests that were interrupted by a shutdown, and for shutdowns that failed.
pub fn check(history: &History, findings: &mut Findings) {
    for shutdown in &history.shutdowns {
        let node = &shutdown.life.node;
        match shutdown.exited_us {
            None => findings
                .add(Promise::Shutdown, format!("{node} did not exit in time and was killed")),
            Some(_) if !shutdown.success => {
                findings.add(Promise::Shutdown, format!("{node} exited with an error status"));
            }
            Some(_) => {}
        }
        for attempt in history.attempts.iter().filter(|attempt| is_cut(attempt, shutdown)) {
            let since = attempt.sent_us as i64 - shutdown.asked_us as i64;
            let detail =
                format!("{node} interrupted {:x}, sent {since} us after the signal", attempt.nonce);
            findings.add(Promise::Shutdown, detail);
        }
    }
}

fn is_cut(attempt: &Attempt, shutdown: &Shutdown) -> bool {
    let unanswered = matches!(attempt.outcome, Outcome::Broken | Outcome::TimedOut);
    attempt.life == shutdown.life
        && unanswered
        && attempt.ended_us >= shutdown.asked_us
        && shutdown.exited_us.is_none_or(|exited| attempt.sent_us <= exited)
}
