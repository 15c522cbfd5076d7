//! Selection of the nodes that read the platform's head, and their read rate.
//!
//! The readers are the first few known nodes by rendezvous hashing. There is no lease:
//! while views differ there may be more or fewer readers, which changes the number of calls
//! but is always correct. A node that has received no confirmation for some seconds reads
//! with a probability of one over the number of nodes, so that all nodes together read
//! about once per second.
//!
//! At 1,900 nodes this makes 5 calls/s in the steady state. In an outage each node waits up
//! to [`crate::ConfigOptions::backoff_limit`] between attempts: 5/8 calls/s from the
//! readers and at most one from all other nodes. The return of the platform causes no burst
//! of calls, as no calls are queued; the first node to succeed informs the others.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Error, Result, clock, codec,
    ids::rendezvous,
    member::{Members, NodeState},
    peer::HeadInfo,
    random::Random,
    stored::HEAD_KEY,
};
use tracing::warn;

use crate::{config_service::ConfigService, head_repair::ReadHead};

/// The key by which the readers are ranked.
const READERS_KEY: &[u8] = b"config-readers";

/// Backoff after failed calls to the platform.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    fn update(
        &mut self,
        success: bool,
        period: Duration,
        limit: Duration,
        now: Instant,
        r: &Random,
    ) {
        if success {
            *self = Backoff::default();
            return;
        }
        let span = period * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.until = Some(now + r.jitter(span.min(limit)));
    }
}

impl ConfigService {
    pub(crate) async fn run_reads(self: Rc<Self>) {
        loop {
            clock::sleep(&*self.clock, self.random.jitter(self.options.read_period)).await;
            if self.may_read() {
                // The backoff has recorded the failure.
                let _ = self.read_head().await;
            }
        }
    }

    /// Reads the head, which then is confirmed or becomes the wanted version.
    pub(crate) async fn read_head(&self) -> Result<Option<HeadInfo>> {
        // The platform answered after this instant, regardless of when the reply arrives.
        let sent_at = self.clock.now();
        let result = self.store.read(HEAD_KEY).await;
        metrics::counter!("kumquatnotch_head_readings_total").increment(1);
        let now = self.clock.now();
        let (period, limit) = (self.options.read_period, self.options.backoff_limit);
        self.backoff.borrow_mut().update(result.is_ok(), period, limit, now, &self.random);
        let read = match result? {
            Some(item) => {
                Some(ReadHead { head: codec::decode(&item.value)?, revision: item.revision })
            }
            None => None,
        };
        self.note_head(read.as_ref()).await;
        let Some(ReadHead { head, .. }) = read else {
            return Ok(None);
        };
        let age_ms = now.saturating_duration_since(sent_at).as_millis() as u64;
        let head_info = HeadInfo { version: head.version, manifest: head.manifest, age_ms };
        self.apply_read(head_info, sent_at)?;
        Ok(Some(head_info))
    }

    /// Returns whether this node is one of the readers.
    ///
    /// Ranking 1,900 names each second would take most of the CPU time of the control plane, so
    /// the result is cached until the membership changes.
    pub(crate) fn is_reader(&self) -> bool {
        let generation = self.members.generation();
        let (ranked, reader) = self.reader_cache.get();
        if ranked == generation {
            return reader;
        }
        let reader = self.ranks_as_reader();
        self.reader_cache.set((generation, reader));
        reader
    }

    fn ranks_as_reader(&self) -> bool {
        let known = self.members.known();
        let names: Vec<&str> = known
            .iter()
            .filter(|record| record.state == NodeState::Up)
            .map(|record| record.name.as_str())
            .collect();
        let local = self.members.local().name;
        let mut first = rendezvous(READERS_KEY, &names).into_iter().take(self.options.readers);
        first.any(|name| name == local.as_str())
    }

    /// Returns the number of known nodes, including this one.
    pub(crate) fn node_count(&self) -> usize {
        self.members.table.borrow().live_count() + 1
    }

    pub(crate) fn may_read(&self) -> bool {
        if !self.backoff.borrow().is_over(self.clock.now()) {
            return false;
        }
        if self.is_reader() {
            return true;
        }
        let age = self.members.confirmed().age_ms.map(Duration::from_millis);
        let is_unconfirmed = age.is_none_or(|age| age >= self.options.fallback_after);
        is_unconfirmed && self.random.chance(1.0 / self.node_count() as f64)
    }

    fn apply_read(&self, head_info: HeadInfo, sent_at: Instant) -> Result<()> {
        let version = self.version();
        if head_info.version < version {
            // The platform was reverted, for example to an old backup. The version in force is
            // kept, as going back would undo an accepted change.
            warn!(
                "config: the platform has version {}, below the current version {version}",
                head_info.version
            );
            metrics::counter!("kumquatnotch_head_reverted_total").increment(1);
            return Err(Error::StaleVersion { version: head_info.version.0 });
        }
        if head_info.version == version {
            let in_force = self.members.head_state.in_force();
            // After a restore, another change may have been published with the same version.
            if in_force.is_some_and(|state| state.manifest == head_info.manifest) {
                self.members.head_state.confirm(version, sent_at);
            }
            return Ok(());
        }
        self.wanted.borrow_mut().add_read(head_info, sent_at);
        if self.bootstrapped.get() {
            self.start_fetch();
        }
        Ok(())
    }
}
