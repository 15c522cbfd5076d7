//! What this node has seen of its peers as holders.
//!
//! A frozen holder keeps its connections open and says nothing. Membership finds
//! that within seconds; until then each query would wait out a hedge delay. So a
//! peer that has requests open and has not said a word for a while is asked last,
//! and is tried again now and then. It is never taken as dead here.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::NodeName};

/// The weight of a new wait in the smoothed one.
const WAIT_WEIGHT: f64 = 0.2;

/// After this time without a request what was known of a peer counts no more.
const IDLE: Duration = Duration::from_secs(2);

/// What is known of each peer.
#[derive(Default)]
pub(crate) struct Health {
    peers: RefCell<HashMap<NodeName, Peer>>,
}

#[derive(Default)]
struct Peer {
    open: usize,
    sent: Option<Instant>,
    silent_since: Option<Instant>,
    probed_at: Option<Instant>,
    wait_us: f64,
}

impl Health {
    /// A request to `name` was sent.
    pub fn request_sent(&self, name: &NodeName, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name.clone()).or_default();
        // What was not answered long ago says nothing about the peer of today.
        let last = peer.sent.replace(now);
        if peer.open == 0 && last.is_none_or(|last| now - last > IDLE) {
            peer.silent_since = None;
        }
        peer.open += 1;
        peer.silent_since.get_or_insert(now);
    }

    /// `name` said something, be it an error.
    pub fn reply_received(&self, name: &NodeName) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(name) {
            peer.silent_since = None;
        }
    }

    /// A request to `name` is over.
    ///
    /// One that was given up keeps its evidence: hedges win long before a silence
    /// can be told from a slow answer, and each would wipe out what the last left.
    pub fn request_closed(&self, name: &NodeName, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(name) else {
            return;
        };
        peer.open = peer.open.saturating_sub(1);
        if peer.open > 0 {
            peer.silent_since.get_or_insert(now);
        }
    }

    /// The way to `name` is known to be mute: no need to wait for more evidence.
    pub fn mark_silent(&self, name: &NodeName, now: Instant, silence: Duration) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(name) {
            peer.silent_since = now.checked_sub(silence).or(peer.silent_since);
        }
    }

    /// How long `name` has left requests without a word.
    pub fn silence(&self, name: &NodeName, now: Instant) -> Duration {
        let peers = self.peers.borrow();
        let since = peers.get(name).and_then(|peer| peer.silent_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether `name` has been silent for `silence`; once per `probe_interval` it gets
    /// another chance.
    pub fn is_silent(
        &self,
        name: &NodeName,
        now: Instant,
        silence: Duration,
        probe_interval: Duration,
    ) -> bool {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(name) else {
            return false;
        };
        let Some(since) = peer.silent_since else {
            return false;
        };
        if now.saturating_duration_since(since) < silence {
            return false;
        }
        let due =
            peer.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= probe_interval);
        if due {
            peer.probed_at = Some(now);
        }
        !due
    }

    /// `name` says that requests wait this long there.
    pub fn record_wait(&self, name: &NodeName, wait: Duration) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name.clone()).or_default();
        peer.wait_us += WAIT_WEIGHT * (wait.as_micros() as f64 - peer.wait_us);
    }

    /// How long requests wait at `name`, as far as is known.
    pub fn wait(&self, name: &NodeName) -> Option<Duration> {
        let peers = self.peers.borrow();
        peers.get(name).map(|peer| Duration::from_micros(peer.wait_us.max(0.0) as u64))
    }

    /// Forgets peers that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&NodeName) -> bool) {
        self.peers.borrow_mut().retain(|name, peer| peer.open > 0 || keep(name));
    }
}
