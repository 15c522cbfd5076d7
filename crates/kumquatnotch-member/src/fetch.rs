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

use crate::{config_service::ConfigService, head_board::InForce, traffic};

/// How many tellers of a version are remembered.
const TELLER_LIMIT: usize = 8;

/// How many other peers are asked if no teller has a value.
const OTHER_PEERS: usize = 3;

/// How many attempts are made before the next message has to tell of it again.
const ATTEMPTS: usize = 3;

/// The time a peer has to send values; they are longer than control messages.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// After how long the next peer is asked, while those before it still send.
const NEXT_PEER: Duration = Duration::from_millis(500);

/// The time between two attempts.
const RETRY_GAP: Duration = Duration::from_millis(500);

/// All nodes together turn to the platform for values about this often a second.
const PLATFORM_RATE: f64 = 20.0;

/// The highest version that is known, and who has it.
#[derive(Debug, Default)]
pub(crate) struct Wanted {
    pub(crate) head: Option<InForce>,
    tellers: VecDeque<SocketAddr>,
    /// Whether this node read it from the platform, where no peer may have it yet.
    read: bool,
    busy: bool,
}

impl Wanted {
    /// Adds what a peer told.
    pub(crate) fn add(&mut self, head: HeadInfo, teller: SocketAddr, confirmed: Instant) {
        self.raise(head, confirmed);
        let wanted = self.version();
        if head.version == wanted && !self.tellers.contains(&teller) {
            self.tellers.push_front(teller);
            self.tellers.truncate(TELLER_LIMIT);
        }
    }

    /// Adds what the platform told.
    pub(crate) fn add_reading(&mut self, head: HeadInfo, asked: Instant) {
        self.raise(head, asked);
        self.read |= head.version == self.version();
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.head.map(|head| head.version).unwrap_or_default()
    }

    fn raise(&mut self, head: HeadInfo, confirmed: Instant) {
        if head.version < self.version() {
            return;
        }
        if head.version > self.version() {
            self.tellers.clear();
            self.read = false;
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
    pub(crate) fn start_fetching(&self) {
        let Some(me) = self.me.upgrade() else {
            return;
        };
        let mut wanted = self.wanted.borrow_mut();
        if wanted.busy || wanted.version() <= self.version() {
            return;
        }
        wanted.busy = true;
        monoio::spawn(me.run_fetching());
    }

    async fn run_fetching(self: Rc<Self>) {
        for attempt in 0..ATTEMPTS {
            let head = self.wanted.borrow().head;
            let Some(head) = head.filter(|head| head.version > self.version()) else {
                break;
            };
            match self.obtain(head).await {
                Ok(()) => continue,
                Err(error) => warn!("config: version {} not fetched: {error}", head.version),
            }
            if attempt + 1 < ATTEMPTS {
                clock::sleep(&*self.clock, self.random.jitter(RETRY_GAP)).await;
            }
        }
        self.wanted.borrow_mut().busy = false;
    }

    /// Gets every value of a version and puts it in force.
    async fn obtain(&self, head: InForce) -> Result<()> {
        // The reply of a teller also tells how old its confirmation is.
        let (complete, ()) = join(self.complete(&[head.manifest]), self.ask_teller()).await;
        complete?;
        let manifest: Manifest = codec::decode(&self.value(head.manifest)?.value)?;
        let digests: Vec<Digest> = manifest.digests().collect();
        self.complete(&digests).await?;
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
    async fn ask_teller(&self) {
        let teller = self.wanted.borrow().tellers.front().copied();
        if let Some(teller) = teller {
            self.members.ask_head(teller, None).await;
        }
    }

    /// Gets those of `digests` that are not here.
    async fn complete(&self, digests: &[Digest]) -> Result<()> {
        if self.lacking(digests).is_empty() {
            return Ok(());
        }
        let (sources, read) = {
            let wanted = self.wanted.borrow();
            (wanted.tellers.iter().copied().collect::<Vec<_>>(), wanted.read)
        };
        // Nobody but the platform may have what this node is among the first to read.
        if read && sources.is_empty() {
            self.complete_from_platform(digests).await?;
        }
        let sources = sources.into_iter().chain(self.other_peers()).collect();
        self.complete_from_peers(sources, digests).await;
        if self.lacking(digests).is_empty() {
            return Ok(());
        }
        let share = PLATFORM_RATE / self.node_count() as f64;
        if read || self.random.chance(share) {
            self.complete_from_platform(digests).await?;
        }
        match self.lacking(digests).first() {
            Some(digest) => Err(Error::internal(format!("part {digest} is missing"))),
            None => Ok(()),
        }
    }

    /// Asks peers until nothing is lacking, in their order.
    ///
    /// What is sent to a peer that hangs or is cut off is noticed only after a full timeout.
    /// Several of these in turn would keep a change from being in force in time, so the next
    /// one is asked beside it before that.
    async fn complete_from_peers(&self, sources: Vec<SocketAddr>, digests: &[Digest]) {
        let mut sources = sources.into_iter();
        let mut running = FuturesUnordered::new();
        while !self.lacking(digests).is_empty() {
            let Some(source) = sources.next() else { break };
            running.push(self.complete_from(source, digests));
            let next = clock::sleep(&*self.clock, NEXT_PEER);
            // One that is done has nothing more to tell.
            select(running.next(), next).await;
        }
        while !self.lacking(digests).is_empty() && running.next().await.is_some() {}
    }

    /// Asks one peer as long as it sends something.
    async fn complete_from(&self, source: SocketAddr, digests: &[Digest]) {
        loop {
            let lacking = self.lacking(digests);
            if lacking.is_empty() {
                return;
            }
            let message = PeerMessage::Fetch(lacking);
            traffic::count_message(&message);
            let deadline = self.clock.now() + FETCH_TIMEOUT;
            let sent = self.members.peers.send(source, &message, deadline);
            let reply = clock::timeout_at(&*self.clock, deadline, sent).await;
            let Ok(Ok(PeerReply::Values(values))) = reply else {
                return;
            };
            if !self.keep(values) {
                return;
            }
        }
    }

    async fn complete_from_platform(&self, digests: &[Digest]) -> Result<()> {
        for digest in self.lacking(digests) {
            metrics::counter!("kumquatnotch_value_readings_total").increment(1);
            let entry = self.store.read(&stored::value_key(digest)).await?;
            if let Some(entry) = entry {
                self.keep(vec![StoredValue { digest, value: entry.value }]);
            }
        }
        Ok(())
    }

    /// Keeps values that have their digests; whether one was of use.
    fn keep(&self, values: Vec<StoredValue>) -> bool {
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

    fn lacking(&self, digests: &[Digest]) -> Vec<Digest> {
        let values = self.values.borrow();
        let mut lacking: Vec<Digest> =
            digests.iter().copied().filter(|digest| !values.contains_key(digest)).collect();
        lacking.sort_unstable();
        lacking.dedup();
        lacking
    }

    fn value(&self, digest: Digest) -> Result<Rc<StoredValue>> {
        let value = self.values.borrow().get(&digest).cloned();
        value.ok_or_else(|| Error::internal(format!("part {digest} is missing")))
    }

    fn other_peers(&self) -> Vec<SocketAddr> {
        let peers = self.members.pick_peers(OTHER_PEERS, |_| true);
        peers.into_iter().map(|peer| peer.peer).collect()
    }
}
