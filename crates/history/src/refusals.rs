//! Checks that a request that was refused as "not run" did not run.
//!
//! For a non-idempotent request, "not run" covers every attempt: no target may have
//! run the request before, and none may run it later unless its caller sends it
//! again. For a search, "not run" covers only the refused attempt.

use standins::records::RunRecord;

use crate::{
    checker::{Findings, Promise},
    record::{Attempt, History, Request},
};

/// Looks for requests that were refused as "not run" but ran.
pub fn check(history: &History, findings: &mut Findings) {
    let runs = history.runs_by_nonce();
    let attempts_by_nonce = history.attempts_by_nonce();
    for (attempt, failure) in history.failures().filter(|(_, failure)| failure.not_run) {
        let siblings = attempts_by_nonce.get(&attempt.nonce).map(Vec::as_slice).unwrap_or_default();
        let runs = runs.get(&attempt.nonce).map(Vec::as_slice).unwrap_or_default();
        if let Some(run) = runs.iter().find(|run| contradicts(run, attempt, siblings)) {
            let detail = format!(
                "{:x} was refused as not run (error {}) but ran on {}, {} us after the refusal",
                attempt.nonce,
                failure.code,
                run.target,
                run.start_us as i64 - attempt.ended_us as i64,
            );
            findings.add(Promise::Refusals, detail);
        }
    }
}

/// Whether `run` shows that the request of `refused` ran contrary to its refusal.
fn contradicts(run: &RunRecord, refused: &Attempt, siblings: &[&Attempt]) -> bool {
    let is_search = matches!(refused.request, Request::Search { .. });
    if is_search && run.start_us < refused.sent_us {
        return false;
    }
    let sent_again = siblings
        .iter()
        .any(|attempt| attempt.sent_us >= refused.ended_us && attempt.sent_us <= run.start_us);
    run.start_us <= refused.ended_us || !sent_again
}
