//! Plays malformed replies one by one, whole and byte by byte, on new and on pooled connections.

use std::cell::RefCell;

use futures_util::future::join_all;
use standins::{
    http::Answer,
    malformed::{Malformed, Pace},
};

/// Body of a malformed reply, which no caller may get.
pub const BODY: &[u8] = b"\x0fREPLICA-IN-TROU";

/// Body of a sound reply.
pub const SOUND: &[u8] = b"\x0eA-SOUND-REPLICA";

/// Proof of a malformed reply.
pub const PROOF: &str = "malformed";

/// Whether the connection of a malformed reply is new, or pooled after a sound reply.
pub const CONNECTIONS: [bool; 2] = [false, true];

/// Plays replies with both paces and connections that are pooled or not, and returns the names of
/// those for which `check` fails.
pub async fn play<F: Future<Output = bool>>(
    replies: impl Iterator<Item = &'static Malformed> + Clone,
    pooled: &[bool],
    check: impl Fn(&'static Malformed, Pace, bool) -> F,
) -> Vec<String> {
    let names = RefCell::new(Vec::new());
    let (wrong, check) = (&names, &check);
    for pace in [Pace::Whole, Pace::Bytewise] {
        for is_pooled in pooled {
            let played = replies.clone().map(|reply| async move {
                if !check(reply, pace, *is_pooled).await {
                    wrong.borrow_mut().push(format!("{} {pace:?} {is_pooled}", reply.name));
                }
            });
            join_all(played).await;
        }
    }
    names.into_inner()
}

/// Whether anything of a malformed reply reached the caller.
pub fn is_leaked(answer: &Answer) -> bool {
    let contains = |bytes: &[u8], part: &[u8]| bytes.windows(part.len()).any(|each| each == part);
    let mut values = answer.headers.values();
    contains(&answer.body, BODY) || values.any(|value| contains(value.as_bytes(), PROOF.as_bytes()))
}
