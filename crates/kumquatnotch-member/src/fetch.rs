//! Fetches the values of a version: from the peers that announced it, from others, or from
//! the platform.
//!
//! Only the digests that this node lacks are requested, and every value is verified against
//! its digest, so it can come from any peer.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{
    StreamExt,
    future::{join, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Error, Result, clock, codec,
    ids::{ConfigVersion, Digest},
    peer::{HeadInfo, PeerMessage, PeerReply, StoredValue},
    stored::{self, Manifest},
};
use tracing::warn;

use crate::{config_service::ConfigService, head_state::InForce, traffic};

/// Maximum number of sources remembered per version.
const SOURCE_LIMIT: usize = 8;

/// Number of random peers queried if no source has a value.
const RANDOM_PEERS: usize = 3;

/// Number of attempts before the version has to be announced again.
const MAX_ATTEMPTS: usize = 3;

/// Timeout of a fetch from a peer; its reply is larger than other control messages.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after which the next peer is queried as well if the earlier ones have not finished.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Approximate rate at which all nodes together read values from the platform, per second.
const PLATFORM_FETCH_RATE: f64 = 20.0;

/// The highest known version, and the peers that have it.
#[derive(Debug, Default)]
pub(crate) struct Wanted {
    pub(crate) head: Option<InForce>,
    sources: VecDeque<SocketAddr>,
    /// Whether this node read it from the platform, so that no peer may have it yet.
    from_platform: bool,
    fetching: bool,
}

impl Wanted {
    /// Adds a version announced by a peer.
    pub(crate) fn add(&mut self, head: HeadInfo, source: SocketAddr, confirmed: Instant) {
        self.advance(head, confirmed);
        let wanted = self.version();
        if head.version == wanted && !self.sources.contains(&source) {
            self.sources.push_front(source);
            self.sources.truncate(SOURCE_LIMIT);
        }
    }

    /// Adds a version read from the platform.
    pub(crate) fn add_read(&mut self, head: HeadInfo, sent_at: Instant) {
        self.advance(head, sent_at);
        self.from_platform |= head.version == self.version();
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.head.map(|head| head.version).unwrap_or_default()
    }

    fn advance(&mut self, head: HeadInfo, confirmed: Instant) {
        if head.version < self.version() {
            return;
        }
        if head.version > self.version() {
            self.sources.clear();
            self.from_platform = false;
            self.head = None;
        }
        let known = self.head.get_or_insert(InForce {
            version: head.version,
            manifest: head.manifest,
            confirmed,
        });
        known.confirmed = known.confirmed.max(confirmed);
    }
}

impl ConfigService {
    /// Starts to fetch the wanted version in its own task, unless a fetch is running.
    pub(crate) fn start_fetch(&self) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        let mut wanted = self.wanted.borrow_mut();
        if wanted.fetching || wanted.version() <= self.version() {
            return;
        }
        wanted.fetching = true;
        monoio::spawn(this.run_fetch());
    }

    async fn run_fetch(self: Rc<Self>) {
        for attempt in 0..MAX_ATTEMPTS {
            let head = self.wanted.borrow().head;
            let Some(head) = head.filter(|head| head.version > self.version()) else {
                break;
            };
            match self.fetch_version(head).await {
                Ok(()) => continue,
                Err(error) => warn!("config: version {} not fetched: {error}", head.version),
            }
            if attempt + 1 < MAX_ATTEMPTS {
                clock::sleep(&*self.clock, self.random.jitter(RETRY_DELAY)).await;
            }
        }
        self.wanted.borrow_mut().fetching = false;
    }

    /// Fetches every value of a version and puts it in force.
    async fn fetch_version(&self, head: InForce) -> Result<()> {
        // The reply of the source also carries the age of its confirmation.
        let (fetched, ()) = join(self.fetch_missing(&[head.manifest]), self.query_source()).await;
        fetched?;
        let manifest: Manifest = codec::decode(&self.value(head.manifest)?.value)?;
        let digests: Vec<Digest> = manifest.digests().collect();
        self.fetch_missing(&digests).await?;
        let document = {
            let values = self.values.borrow();
            let value = |digest: Digest| values.get(&digest).map(|value| value.value.as_slice());
            stored::join(head.version, &manifest, value)?
        };
        // A confirmation may have arrived during the fetch.
        let wanted = self.wanted.borrow().head.filter(|wanted| wanted.version == head.version);
        self.put_in_force(wanted.unwrap_or(head), &manifest, document);
        Ok(())
    }

    /// Queries the version of the most recent source.
    async fn query_source(&self) {
        let source = self.wanted.borrow().sources.front().copied();
        if let Some(source) = source {
            self.members.query_head(source, None).await;
        }
    }

    /// Fetches the values of `digests` that this node lacks.
    async fn fetch_missing(&self, digests: &[Digest]) -> Result<()> {
        if self.missing(digests).is_empty() {
            return Ok(());
        }
        let (sources, from_platform) = {
            let wanted = self.wanted.borrow();
            (wanted.sources.iter().copied().collect::<Vec<_>>(), wanted.from_platform)
        };
        // If this node is among the first to read a version, only the platform may have its
        // values.
        if from_platform && sources.is_empty() {
            self.fetch_from_platform(digests).await?;
        }
        let sources = sources.into_iter().chain(self.random_peers()).collect();
        self.fetch_from_peers(sources, digests).await;
        if self.missing(digests).is_empty() {
            return Ok(());
        }
        let share = PLATFORM_FETCH_RATE / self.node_count() as f64;
        if from_platform || self.random.chance(share) {
            self.fetch_from_platform(digests).await?;
        }
        match self.missing(digests).first() {
            Some(digest) => Err(Error::internal(format!("value {digest} is missing"))),
            None => Ok(()),
        }
    }

    /// Fetches from peers in order until no value is missing.
    ///
    /// A request to a peer that hangs or is partitioned fails only after the full timeout.
    /// Several of these in sequence would delay a change beyond the time within which it must be
    /// in force, so the next peer is queried as well after [`HEDGE_DELAY`].
    async fn fetch_from_peers(&self, sources: Vec<SocketAddr>, digests: &[Digest]) {
        let mut sources = sources.into_iter();
        let mut running = FuturesUnordered::new();
        while !self.missing(digests).is_empty() {
            let Some(source) = sources.next() else { break };
            running.push(self.fetch_from(source, digests));
            let next = clock::sleep(&*self.clock, HEDGE_DELAY);
            // The result of a finished fetch is already stored.
            select(running.next(), next).await;
        }
        while !self.missing(digests).is_empty() && running.next().await.is_some() {}
    }

    /// Fetches from one peer as long as it returns new values.
    async fn fetch_from(&self, source: SocketAddr, digests: &[Digest]) {
        loop {
            let missing = self.missing(digests);
            if missing.is_empty() {
                return;
            }
            let message = PeerMessage::Fetch(missing);
            traffic::count_message(&message);
            let deadline = self.clock.now() + FETCH_TIMEOUT;
            let sent = self.members.peers.send(source, &message, deadline);
            let reply = clock::timeout_at(&*self.clock, deadline, sent).await;
            let Ok(Ok(PeerReply::Values(values))) = reply else {
                return;
            };
            if !self.store_values(values) {
                return;
            }
        }
    }

    async fn fetch_from_platform(&self, digests: &[Digest]) -> Result<()> {
        for digest in self.missing(digests) {
            metrics::counter!("kumquatnotch_value_readings_total").increment(1);
            let entry = self.store.read(&stored::value_key(digest)).await?;
            if let Some(entry) = entry {
                self.store_values(vec![StoredValue { digest, value: entry.value }]);
            }
        }
        Ok(())
    }

    /// Stores the values that match their digests; returns true if one of them is new.
    fn store_values(&self, values: Vec<StoredValue>) -> bool {
        let mut has_new = false;
        for value in values {
            if let Err(error) = stored::check_value(&value) {
                warn!("config: rejected value {}: {error}", value.digest);
                continue;
            }
            let earlier = self.values.borrow_mut().insert(value.digest, Rc::new(value));
            has_new |= earlier.is_none();
        }
        has_new
    }

    fn missing(&self, digests: &[Digest]) -> Vec<Digest> {
        let values = self.values.borrow();
        let mut missing: Vec<Digest> =
            digests.iter().copied().filter(|digest| !values.contains_key(digest)).collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    pub(crate) fn value(&self, digest: Digest) -> Result<Rc<StoredValue>> {
        let value = self.values.borrow().get(&digest).cloned();
        value.ok_or_else(|| Error::internal(format!("value {digest} is missing")))
    }

    fn random_peers(&self) -> Vec<SocketAddr> {
        let peers = self.members.pick_peers(RANDOM_PEERS, |_| true);
        peers.into_iter().map(|peer| peer.peer).collect()
    }
}
