//! Tells how old this node's knowledge of the store is.
//!
//! A node that hears nothing goes on serving by what was in force once, and nothing that it
//! answers shows it. So the age is a metric, and a node that gets out of touch says so once,
//! with the revision by which it serves meanwhile.

use std::{rc::Rc, time::Duration};

use kumquatnotch_core::clock;

use crate::router::Router;

/// From which age on what is known counts as old.
///
/// Longer than any calm pause: a watch of the store, and the wait of one that follows.
const STALE_AGE: Duration = Duration::from_secs(4);

/// How often the age is looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Tells of the age, from now on.
pub(crate) async fn report(router: Rc<Router>) {
    let mut is_stale = false;
    loop {
        clock::sleep(&*router.clock, CHECK_PERIOD).await;
        let journal = &router.journal;
        if !journal.is_filled() {
            continue;
        }
        let (age, revision) = (journal.age(), journal.revision());
        metrics::gauge!("kumquatnotch_store_age_seconds").set(age.as_secs_f64());
        if is_stale == (age > STALE_AGE) {
            continue;
        }
        is_stale = !is_stale;
        let age_ms = age.as_millis() as u64;
        if is_stale {
            tracing::warn!(age_ms, revision, "mirror: what is known is old");
        } else {
            tracing::info!(age_ms, revision, "mirror: what is known is new again");
        }
    }
}
