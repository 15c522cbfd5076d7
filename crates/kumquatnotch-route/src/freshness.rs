//! Reports the age of the state that this node has of the store.
//!
//! A node without contact to the store continues to serve by its last known state, and its
//! answers do not show that. So the age is exported as a metric, and a node whose state becomes
//! stale logs that once, with the revision by which it serves.

use std::{rc::Rc, time::Duration};

use kumquatnotch_core::clock;

use crate::router::Router;

/// Age from which the state counts as stale.
///
/// Longer than any pause in normal operation: a watch of the store, and the wait of a follower.
const STALE_AGE: Duration = Duration::from_secs(4);

/// How often the age is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Reports the age periodically.
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
            tracing::warn!(age_ms, revision, "mirror: the state of the store is stale");
        } else {
            tracing::info!(age_ms, revision, "mirror: the state of the store is current again");
        }
    }
}
