//! A graceful shutdown cuts no request in flight.
//!
//! Callers that find a kept connection closed before they send are not cut: a
//! request on a kept connection counts only if it was sent before the node was
//! asked to leave. One on a fresh connection always counts.

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
    let in_flight = !attempt.kept || attempt.sent_us < shutdown.asked_us;
    attempt.life == shutdown.life
        && attempt.outcome == Outcome::Broken
        && attempt.ended_us >= shutdown.asked_us
        && in_flight
}
