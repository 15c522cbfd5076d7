//! Checks that a caller receives the complete answer to its own request.
//!
//! Each query carries a nonce, which targets copy into their hits. Private fields
//! must be present for their owner and absent for every other tenant.

use kumquatnotch_core::{answer::Answer, query::Hit};
use standins::data;

use crate::{
    checker::{Findings, Promise},
    record::{Attempt, History, Outcome, Request},
    snapshot::shard_and_number,
};

/// Looks for answers that are unreadable, belong to another request, or expose private fields
/// of another tenant.
pub fn check(history: &History, findings: &mut Findings) {
    for attempt in &history.attempts {
        if let Some(fault) = answer_fault(attempt) {
            findings.add(Promise::Answers, format!("{:x}: {fault}", attempt.nonce));
        }
    }
}

fn answer_fault(attempt: &Attempt) -> Option<String> {
    match (&attempt.request, &attempt.outcome) {
        (_, Outcome::Unreadable(detail)) => Some(format!("unreadable reply: {detail}")),
        (Request::Search { .. }, Outcome::Answer(answer)) => {
            answer.hits.iter().find_map(|hit| hit_fault(attempt, answer, hit))
        }
        (Request::Exclusive { key, .. }, Outcome::Done(result)) => {
            let own = result["nonce"].as_u64() == Some(attempt.nonce) && result["key"] == *key;
            (!own).then(|| format!("result of another request: {result}"))
        }
        (Request::Search { .. }, Outcome::Done(_))
        | (Request::Exclusive { .. }, Outcome::Answer(_)) => {
            Some("answer to another kind of request".to_owned())
        }
        _ => None,
    }
}

fn hit_fault(attempt: &Attempt, answer: &Answer, hit: &Hit) -> Option<String> {
    if hit.fields["nonce"].as_u64() != Some(attempt.nonce) {
        return Some(format!("hit {} belongs to request {}", hit.key, hit.fields["nonce"]));
    }
    let is_owner = hit.owner.as_ref() == Some(&attempt.tenant);
    match (&hit.private, is_owner) {
        (Some(_), false) => {
            Some(format!("hit {} exposes private fields of another tenant", hit.key))
        }
        (None, true) => Some(format!("hit {} lacks the caller's own private fields", hit.key)),
        (None, false) => None,
        (Some(private), true) => {
            let (shard, number) = shard_and_number(hit)?;
            let own = data::hit(&shard, answer.coverage.version, number, &hit.fields["nonce"]);
            (own.private.as_ref() != Some(private))
                .then(|| format!("hit {} has the private fields of another hit", hit.key))
        }
    }
}
