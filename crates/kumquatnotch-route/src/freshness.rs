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
const OLD: Duration = Duration::from_secs(4);

/// How often the age is looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// Tells of the age, from now on.
pub(crate) async fn tell(router: Rc<Router>) {
    let mut is_old = false;
    loop {
        clock::sleep(&*router.clock, PERIOD).await;
        let journal = &router.journal;
        if !journal.is_filled() {
            continue;
        }
        let (age, revision) = (journal.age(), journal.revision());
        metrics::gauge!("kumquatnotch_store_age_seconds").set(age.as_secs_f64());
        if is_old == (age > OLD) {
            continue;
        }
        is_old = !is_old;
        let age_ms = age.as_millis() as u64;
        if is_old {
            tracing::warn!(age_ms, revision, "mirror: what is known is old");
        } else {
            tracing::info!(age_ms, revision, "mirror: what is known is new again");
        }
    }
}
