//! Options of the services, with defaults for 9 to 1,900 nodes.
//!
//! The periods follow from a budget of 7 KB/s per node for all control traffic. A probe and
//! its reply take about 0.6 KB including HTTP headers, so one per second costs 1.2 KB/s,
//! sent and received together. The byte budget for changes adds at most 2.5 KB/s in each
//! direction, and the exchange of hashes every 30 s adds 0.1 KB/s.

use std::{net::SocketAddr, time::Duration};

use kumquatnotch_core::{
    Error, Result,
    ids::{DataCentre, Incarnation, NodeName, Region},
};

/// Options of the membership service.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Name of this node.
    pub name: NodeName,
    /// Address on which it listens for peers.
    pub peer: SocketAddr,
    /// Address on which it listens for callers.
    pub entry: SocketAddr,
    /// Data centre of this node.
    pub centre: DataCentre,
    /// Region of this node.
    pub region: Region,
    /// Addresses of peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Incarnation of this process; `None` to draw it from the wall clock.
    pub incarnation: Option<Incarnation>,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time within which a probed node has to answer.
    pub probe_timeout: Duration,
    /// Fraction of probes sent to nodes of the same data centre.
    pub local_share: f64,
    /// Number of helpers that probe a node that did not answer this one.
    pub helpers: usize,
    /// Whether a node is suspected only if a helper answered in the same round.
    ///
    /// Disabled only in tests that show the failure that this prevents.
    pub require_helper: bool,
    /// Whether a peer's report that a node is gone is verified by a probe first.
    ///
    /// Disabled only in tests that show the failure that this prevents.
    pub check_gone: bool,
    /// Duration of a suspicion, in probe periods per log10 of the number of nodes.
    pub suspicion_factor: f64,
    /// Minimum duration of a suspicion.
    pub suspicion_min: Duration,
    /// Number of times that a change is sent, per ln of the number of nodes.
    pub retransmit_factor: f64,
    /// Maximum size of the changes in one message, in bytes.
    pub delta_limit: usize,
    /// Rate at which changes may be sent, in bytes per second.
    pub delta_rate: f64,
    /// Maximum size of a burst of changes, in bytes.
    pub delta_burst: f64,
    /// Time between two pushes of recent changes.
    pub push_period: Duration,
    /// Number of nodes to which recent changes are pushed at once.
    pub push_fanout: usize,
    /// Time between two anti-entropy exchanges while they find no difference.
    pub exchange_period: Duration,
    /// Time to the next exchange after one that found a difference.
    pub exchange_min: Duration,
    /// Time between two attempts to contact nodes that are gone or unknown.
    pub reconnect_period: Duration,
    /// Time for which a gone node is remembered and contacted.
    pub forget_after: Duration,
    /// Maximum time that the node waits for a document before it announces itself.
    pub announce_wait: Duration,
    /// Delay of a timer above which the process counts as frozen.
    pub freeze_limit: Duration,
    /// Maximum number of marks.
    pub mark_limit: usize,
    /// Maximum remaining time to live of a mark.
    pub mark_ttl: Duration,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        MembershipOptions {
            name: NodeName::from(""),
            peer: unspecified,
            entry: unspecified,
            centre: DataCentre::from(""),
            region: Region::from(""),
            seeds: Vec::new(),
            incarnation: None,
            probe_period: Duration::from_secs(1),
            probe_timeout: kumquatnotch_core::peer::CONTROL_TIMEOUT,
            local_share: 0.75,
            helpers: 3,
            require_helper: true,
            check_gone: true,
            suspicion_factor: 3.0,
            suspicion_min: Duration::from_secs(4),
            retransmit_factor: 3.0,
            delta_limit: 1_000,
            delta_rate: 2_500.0,
            delta_burst: 20_000.0,
            push_period: Duration::from_millis(200),
            push_fanout: 2,
            exchange_period: Duration::from_secs(30),
            exchange_min: Duration::from_secs(2),
            reconnect_period: Duration::from_secs(10),
            forget_after: Duration::from_secs(3_600),
            announce_wait: Duration::from_secs(5),
            freeze_limit: Duration::from_secs(1),
            mark_limit: 4_096,
            mark_ttl: Duration::from_secs(3_600),
        }
    }
}

impl MembershipOptions {
    /// Checks the options that have no default or would stop the service.
    pub(crate) fn check(&self) -> Result<()> {
        if self.name.is_empty() {
            return Err(bad_settings("the node name is empty"));
        }
        if self.peer.port() == 0 {
            return Err(bad_settings("the peer address has no port"));
        }
        if self.probe_period.is_zero() || self.push_period.is_zero() {
            return Err(bad_settings("the probe period and the push period must be above zero"));
        }
        Ok(())
    }
}

/// Options of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigOptions {
    /// Number of nodes that read the platform's head.
    pub readers: usize,
    /// Time between two reads by one reader.
    pub read_period: Duration,
    /// Age of the last confirmation above which any node may read, with a low probability.
    pub fallback_after: Duration,
    /// Maximum time between two attempts while the platform fails.
    pub backoff_limit: Duration,
    /// Number of peers notified of a newer version at once.
    pub push_fanout: usize,
    /// Number of peers queried at startup and after a freeze.
    pub queried_peers: usize,
    /// Maximum age of a confirmation that is accepted from peers without reading the platform.
    pub max_confirmation_age: Duration,
    /// Maximum time after a freeze that a node queries peers and the platform before it serves
    /// again.
    pub recheck_timeout: Duration,
    /// Delay of a timer above which the process counts as frozen.
    pub freeze_limit: Duration,
    /// Maximum size of the stored values in one reply, in bytes.
    pub reply_limit: usize,
}

impl Default for ConfigOptions {
    fn default() -> ConfigOptions {
        ConfigOptions {
            readers: 5,
            read_period: Duration::from_secs(1),
            fallback_after: Duration::from_secs(8),
            backoff_limit: Duration::from_secs(8),
            push_fanout: 4,
            queried_peers: 3,
            max_confirmation_age: Duration::from_secs(10),
            recheck_timeout: Duration::from_secs(2),
            freeze_limit: Duration::from_secs(2),
            reply_limit: 256 * 1024,
        }
    }
}

fn bad_settings(detail: &str) -> Error {
    Error::BadSettings { detail: detail.to_owned() }
}
