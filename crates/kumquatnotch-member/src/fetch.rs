//! Fetching the parts of a version: from who told of it, from others, from the platform.
//!
//! Only digests that this node lacks are asked for, and every value is checked
//! against its digest, so it does not matter who sends it.

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

/// How many sources of a version are remembered.
const SOURCE_LIMIT: usize = 8;

/// How many other peers are asked if no teller has a value.
const RANDOM_PEERS: usize = 3;

/// How many attempts are made before the next message has to tell of it again.
const MAX_ATTEMPTS: usize = 3;

/// The time a peer has to send values; they are longer than control messages.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// After how long the next peer is asked, while those before it still send.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

/// The time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// All nodes together turn to the platform for values about this often a second.
const PLATFORM_FETCH_RATE: f64 = 20.0;

/// The highest version that is known, and who has it.
#[derive(Debug, Default)]
pub(crate) struct Wanted {
    pub(crate) head: Option<InForce>,
    sources: VecDeque<SocketAddr>,
    /// Whether this node read it from the platform, where no peer may have it yet.
    from_platform: bool,
    fetching: bool,
}

impl Wanted {
    /// Adds what a peer told.
    pub(crate) fn add(&mut self, head: HeadInfo, source: SocketAddr, confirmed: Instant) {
        self.advance(head, confirmed);
        let wanted = self.version();
        if head.version == wanted && !self.sources.contains(&source) {
            self.sources.push_front(source);
            self.sources.truncate(SOURCE_LIMIT);
        }
    }

    /// Adds what the platform told.
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
    /// Fetches the wanted version in its own task, unless that is under way.
    pub(crate) fn start_fetch(&self) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        let mut wanted = self.wanted.borrow_mut();
        if wanted.fetching || wanted.version() <= self.version() {
            return;
        }
        wanted.fetching = true;
        monoio::spawn(me.run_fetch());
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

    /// Gets every value of a version and puts it in force.
    async fn fetch_version(&self, head: InForce) -> Result<()> {
        // The reply of a teller also tells how old its confirmation is.
        let (fetch_missing, ()) =
            join(self.fetch_missing(&[head.manifest]), self.ask_source()).await;
        fetch_missing?;
        let manifest: Manifest = codec::decode(&self.value(head.manifest)?.value)?;
        let digests: Vec<Digest> = manifest.digests().collect();
        self.fetch_missing(&digests).await?;
        let document = {
            let values = self.values.borrow();
            let value = |digest: Digest| values.get(&digest).map(|value| value.value.as_slice());
            stored::join(head.version, &manifest, value)?
        };
        // A confirmation may have come while the parts were fetched.
        let wanted = self.wanted.borrow().head.filter(|wanted| wanted.version == head.version);
        self.put_in_force(wanted.unwrap_or(head), &manifest, document);
        Ok(())
    }

    /// Asks the last teller for the version that it has.
    async fn ask_source(&self) {
        let source = self.wanted.borrow().sources.front().copied();
        if let Some(source) = source {
            self.members.query_head(source, None).await;
        }
    }

    /// Gets those of `digests` that are not here.
    async fn fetch_missing(&self, digests: &[Digest]) -> Result<()> {
        if self.missing(digests).is_empty() {
            return Ok(());
        }
        let (sources, from_platform) = {
            let wanted = self.wanted.borrow();
            (wanted.sources.iter().copied().collect::<Vec<_>>(), wanted.from_platform)
        };
        // Nobody but the platform may have what this node is among the first to read.
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
            Some(digest) => Err(Error::internal(format!("part {digest} is missing"))),
            None => Ok(()),
        }
    }

    /// Asks peers until nothing is lacking, in their order.
    ///
    /// What is sent to a peer that hangs or is cut off is noticed only after a full timeout.
    /// Several of these in turn would keep a change from being in force in time, so the next
    /// one is asked beside it before that.
    async fn fetch_from_peers(&self, sources: Vec<SocketAddr>, digests: &[Digest]) {
        let mut sources = sources.into_iter();
        let mut running = FuturesUnordered::new();
        while !self.missing(digests).is_empty() {
            let Some(source) = sources.next() else { break };
            running.push(self.fetch_from(source, digests));
            let next = clock::sleep(&*self.clock, HEDGE_DELAY);
            // One that is done has nothing more to tell.
            select(running.next(), next).await;
        }
        while !self.missing(digests).is_empty() && running.next().await.is_some() {}
    }

    /// Asks one peer as long as it sends something.
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

    /// Keeps values that have their digests; whether one was of use.
    fn store_values(&self, values: Vec<StoredValue>) -> bool {
        let mut useful = false;
        for value in values {
            if let Err(error) = stored::check_value(&value) {
                warn!("config: part {} refused: {error}", value.digest);
                continue;
            }
            let earlier = self.values.borrow_mut().insert(value.digest, Rc::new(value));
            useful |= earlier.is_none();
        }
        useful
    }

    fn missing(&self, digests: &[Digest]) -> Vec<Digest> {
        let values = self.values.borrow();
        let mut missing: Vec<Digest> =
            digests.iter().copied().filter(|digest| !values.contains_key(digest)).collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    fn value(&self, digest: Digest) -> Result<Rc<StoredValue>> {
        let value = self.values.borrow().get(&digest).cloned();
        value.ok_or_else(|| Error::internal(format!("part {digest} is missing")))
    }

    fn random_peers(&self) -> Vec<SocketAddr> {
        let peers = self.members.pick_peers(RANDOM_PEERS, |_| true);
        peers.into_iter().map(|peer| peer.peer).collect()
    }
}
