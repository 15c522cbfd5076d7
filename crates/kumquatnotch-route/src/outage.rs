//! What a node does while the store does not answer it.
//!
//! The store may be away for all, or turn this node away and serve others for as long as it
//! likes. Both look the same from here. So the store is asked again and again, and other
//! nodes are asked what they have heard.

use std::time::Duration;

use futures_util::future::{Either, select};
use kumquatnotch_core::{Result, clock};

use crate::{
    follow::{self, Followed},
    mirror::{Mirror, MirrorOptions, NO_WAIT},
    store_retry::{RetryDelays, call_until_answered},
};

/// The pause of a node that follows others before it asks the store again, before jitter.
///
/// There are hundreds of them, for which a few nodes watch the store.
const FOLLOWER_PAUSE: Duration = Duration::from_secs(3);

/// By how much the news of another node must be newer.
///
/// The way of its answer makes it seem newer. Nodes that are all turned away would pass the
/// same knowledge round and take it for news.
const NEWS_MARGIN: Duration = Duration::from_millis(200);

impl Mirror {
    /// Waits until the store answers, or until there is another node to follow.
    pub(crate) async fn outlast(&self) -> Result<()> {
        let clock = &*self.router.clock;
        clock::sleep(clock, self.router.random.jitter(self.options.backoff)).await;
        let asking = std::pin::pin!(self.ask_again(1));
        let hearing = std::pin::pin!(self.hear_from_others());
        match select(asking, hearing).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Ok(()),
        }
    }

    /// Asks the store what has changed until it answers, with calls that do not wait.
    pub(crate) async fn ask_again(&self, failures: u32) -> Result<()> {
        let MirrorOptions { backoff, most_backoff, .. } = self.options;
        let pauses = match follow::is_follower(&self.router) {
            true => RetryDelays { initial: FOLLOWER_PAUSE, max: FOLLOWER_PAUSE },
            false => RetryDelays { initial: backoff, max: most_backoff },
        };
        let (store, prefix) = (&self.store, self.entries.prefix());
        let Some(after) = self.after.get() else {
            let scan =
                call_until_answered(&self.router, pauses, failures, || store.scan(prefix)).await?;
            self.take_scan(&scan.value, scan.asked_at);
            return Ok(());
        };
        let watch = || store.watch(prefix, after, NO_WAIT);
        let changes = call_until_answered(&self.router, pauses, failures, watch).await?;
        self.note_answer();
        self.take_changes(&changes.value, changes.asked_at);
        Ok(())
    }

    /// Hears from other nodes what there is; completes once there is one to follow.
    async fn hear_from_others(&self) {
        let clock = &*self.router.clock;
        let mut rounds = 0;
        loop {
            match self.sources.catch_up(self.known()).await {
                Some(followed) if self.is_newer(&followed) => {
                    let follows = follow::is_follower(&self.router);
                    if !follows {
                        self.entries.hold_nodes();
                    }
                    self.take_followed(followed);
                    if follows {
                        return;
                    }
                }
                // One failure may be a connection that was cut.
                _ if rounds > 0 => self.router.journal.note_lost(),
                _ => {}
            }
            rounds += 1;
            let pause = self.options.backoff * 2u32.pow(rounds.min(6));
            let pause = self.router.random.jitter(pause.min(self.options.most_backoff));
            clock::sleep(clock, pause).await;
        }
    }

    /// Whether another node has heard from the store since this one did.
    fn is_newer(&self, followed: &Followed) -> bool {
        followed.age + NEWS_MARGIN < self.router.journal.age()
    }
}
