//! Recovery of a node whose calls the store does not answer.
//!
//! The store may be unavailable to all nodes, or reject this one indefinitely and serve
//! others. The node can't tell these cases apart, so it retries the store and polls other
//! nodes at the same time.

use std::time::Duration;

use futures_util::future::{Either, select};
use kumquatnotch_core::{Result, clock};

use crate::{
    follow::{self, PeerUpdate},
    mirror::{Mirror, MirrorOptions, NO_WAIT},
    store_retry::{RetryDelays, call_until_answered},
};

/// Backoff of a follower before it calls the store again, before jitter.
///
/// There are hundreds of followers, and a few other nodes watch the store for them.
const FOLLOWER_BACKOFF: Duration = Duration::from_secs(3);

/// By how much the state of another node must be newer to be taken over.
///
/// The latency of its reply makes the state look newer than it is. Without a margin, nodes that
/// are all rejected by the store would pass the same state around and take it for new.
const AGE_MARGIN: Duration = Duration::from_millis(200);

impl Mirror {
    /// Waits until the store answers, or until there is another node to follow.
    pub(crate) async fn recover(&self) -> Result<()> {
        let clock = &*self.router.clock;
        clock::sleep(clock, self.router.random.jitter(self.options.backoff)).await;
        let retrying = std::pin::pin!(self.retry_until_answered(1));
        let polling = std::pin::pin!(self.poll_peers());
        match select(retrying, polling).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Ok(()),
        }
    }

    /// Reads the changes with calls that do not wait, and retries until one is answered.
    pub(crate) async fn retry_until_answered(&self, failures: u32) -> Result<()> {
        let MirrorOptions { backoff, max_backoff, .. } = self.options;
        let delays = match follow::is_follower(&self.router) {
            true => RetryDelays { initial: FOLLOWER_BACKOFF, max: FOLLOWER_BACKOFF },
            false => RetryDelays { initial: backoff, max: max_backoff },
        };
        let (store, prefix) = (&self.store, self.entries.prefix());
        let Some(after) = self.revision.get() else {
            let scan =
                call_until_answered(&self.router, delays, failures, || store.scan(prefix)).await?;
            self.apply_scan(&scan.value, scan.called_at);
            return Ok(());
        };
        let watch = || store.watch(prefix, after, NO_WAIT);
        let changes = call_until_answered(&self.router, delays, failures, watch).await?;
        self.note_store_answer();
        self.apply_changes(&changes.value, changes.called_at);
        Ok(())
    }

    /// Polls other nodes for newer state. Completes once this node can follow one of them.
    async fn poll_peers(&self) {
        let clock = &*self.router.clock;
        let mut rounds = 0;
        loop {
            match self.sources.catch_up(self.known_revision()).await {
                Some(peer_update) if self.is_newer(&peer_update) => {
                    let is_follower = follow::is_follower(&self.router);
                    if !is_follower {
                        self.entries.suspend_node_removal();
                    }
                    self.apply_peer_update(peer_update);
                    if is_follower {
                        return;
                    }
                }
                // A single failure may be a connection that was cut.
                _ if rounds > 0 => self.router.journal.note_source_lost(),
                _ => {}
            }
            rounds += 1;
            let delay = self.options.backoff * 2u32.pow(rounds.min(6));
            let delay = self.router.random.jitter(delay.min(self.options.max_backoff));
            clock::sleep(clock, delay).await;
        }
    }

    /// Whether another node has heard from the store more recently than this one.
    fn is_newer(&self, peer_update: &PeerUpdate) -> bool {
        peer_update.age + AGE_MARGIN < self.router.journal.age()
    }
}
