//! Health of peers as observed by this node.
//!
//! A frozen holder keeps its connections open without replying. The membership detects
//! this within seconds; until then each query would wait for a hedge delay. A peer that
//! has had requests in flight without a reply for some time is therefore tried last,
//! and probed at intervals. It is never treated as dead here.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::NodeName};

/// Weight of a new sample in the moving average of the queueing delay.
const WAIT_WEIGHT: f64 = 0.2;

/// Idle time after which earlier evidence about a peer is discarded.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Observed health of each peer.
#[derive(Default)]
pub(crate) struct Health {
    peers: RefCell<HashMap<NodeName, Peer>>,
}

#[derive(Default)]
struct Peer {
    in_flight: usize,
    sent: Option<Instant>,
    silent_since: Option<Instant>,
    probed_at: Option<Instant>,
    wait_us: f64,
}

impl Health {
    /// Records that a request to `name` was sent.
    pub fn request_sent(&self, name: &NodeName, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name.clone()).or_default();
        // An unanswered request of long ago is no evidence about the current state of
        // the peer.
        let last = peer.sent.replace(now);
        if peer.in_flight == 0 && last.is_none_or(|last| now - last > IDLE_TIMEOUT) {
            peer.silent_since = None;
        }
        peer.in_flight += 1;
        peer.silent_since.get_or_insert(now);
    }

    /// Records a reply from `name`, including an error.
    pub fn reply_received(&self, name: &NodeName) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(name) {
            peer.silent_since = None;
        }
    }

    /// Records that a request to `name` has ended.
    ///
    /// A cancelled request keeps its evidence of silence. Hedges win long before
    /// silence can be distinguished from a slow answer, and each would otherwise erase
    /// that evidence.
    pub fn request_closed(&self, name: &NodeName, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(name) else {
            return;
        };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        if peer.in_flight > 0 {
            peer.silent_since.get_or_insert(now);
        }
    }

    /// Marks `name` as silent at once, as its connection is known to have failed.
    pub fn mark_silent(&self, name: &NodeName, now: Instant, silence: Duration) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(name) {
            peer.silent_since = now.checked_sub(silence).or(peer.silent_since);
        }
    }

    /// Returns how long `name` has left requests without a reply.
    pub fn silence(&self, name: &NodeName, now: Instant) -> Duration {
        let peers = self.peers.borrow();
        let since = peers.get(name).and_then(|peer| peer.silent_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether `name` has been silent for `silence`.
    ///
    /// Returns false once per `probe_interval`, so that a request probes the peer.
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

    /// Records the queueing delay that `name` reports.
    pub fn record_wait(&self, name: &NodeName, wait: Duration) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name.clone()).or_default();
        peer.wait_us += WAIT_WEIGHT * (wait.as_micros() as f64 - peer.wait_us);
    }

    /// Returns the average queueing delay at `name`, if known.
    pub fn wait(&self, name: &NodeName) -> Option<Duration> {
        let peers = self.peers.borrow();
        peers.get(name).map(|peer| Duration::from_micros(peer.wait_us.max(0.0) as u64))
    }

    /// Removes idle peers for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&NodeName) -> bool) {
        self.peers.borrow_mut().retain(|name, peer| peer.in_flight > 0 || keep(name));
    }
}
