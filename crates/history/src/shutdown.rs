//! A graceful shutdown cuts no request in flight.
//!
//! The callers of a run keep an address no longer than they were told, so none
//! sends to a node that has closed: whatever they sent before it was gone and
//! was not answered counts, on connections new and kept.

use crate::{
    checker::{Findings, Promise},
    record::{Attempt, History, Outcome, Shutdown},
};

/// Looks for requests that a shutdown cut.
pub fn check(history: &History, findings: &mut Findings) {
    for shutdown in &history.shutdowns {
        let node = &shutdown.life.node;
        match shutdown.exited_us {
            None => findings.add(Promise::Shutdown, format!("{node} had to be killed")),
            Some(_) if !shutdown.success => {
                findings.add(Promise::Shutdown, format!("{node} ended with a failure"));
            }
            Some(_) => {}
        }
        for attempt in history.attempts.iter().filter(|attempt| is_cut(attempt, shutdown)) {
            let since = attempt.sent_us as i64 - shutdown.asked_us as i64;
            let detail = format!("{node} cut {:x}, sent {since} us after", attempt.nonce);
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
