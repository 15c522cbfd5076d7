//! Checks that a non-idempotent request runs at most once and that its reported outcome is true.

use serde_json::Value;

use crate::{
    checker::{Findings, Promise},
    record::{Attempt, History, Outcome, Request},
};

/// Looks for non-idempotent requests that ran more than once, ran as a search, were reported as
/// done without a run, or were reported with different outcomes.
pub fn check(history: &History, findings: &mut Findings) {
    let runs = history.runs_by_nonce();
    let attempts_by_nonce = history.attempts_by_nonce();
    for (nonce, attempts) in
        attempts_by_nonce.into_iter().filter(|(_, attempts)| is_exclusive(attempts))
    {
        let runs = runs.get(&nonce).map(Vec::as_slice).unwrap_or_default();
        if runs.len() > 1 {
            let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
            let detail = format!("{nonce:x} ran {} times, on {targets:?}", runs.len());
            findings.add(Promise::Exclusives, detail);
        }
        if runs.iter().any(|run| !run.exclusive) {
            findings.add(Promise::Exclusives, format!("{nonce:x} ran as a search"));
        }
        let results = results(&attempts);
        if !results.is_empty() && runs.is_empty() {
            findings
                .add(Promise::Exclusives, format!("{nonce:x} was reported as done but never ran"));
        }
        if results.windows(2).any(|pair| pair[0] != pair[1]) {
            findings.add(
                Promise::Exclusives,
                format!("{nonce:x} was reported with two different outcomes"),
            );
        }
    }
}

fn is_exclusive(attempts: &[&Attempt]) -> bool {
    attempts.iter().any(|attempt| matches!(attempt.request, Request::Exclusive { .. }))
}

fn results<'a>(attempts: &[&'a Attempt]) -> Vec<&'a Value> {
    let done = attempts.iter().filter_map(|attempt| match &attempt.outcome {
        Outcome::Done(result) => Some(result),
        _ => None,
    });
    done.collect()
}
