//! Options of the services, with defaults that fit 9 and 1,900 nodes.
//!
//! The periods follow from the budget of 7 KB/s a node for all control. A probe
//! and its reply are about 0.6 KB with the headers of HTTP, so one a second
//! costs 1.2 KB/s sent and received together; the allowance for changes adds at
//! most 2.5 KB/s in each direction, and the exchange of hashes every 30 s 0.1.

use std::{net::SocketAddr, time::Duration};

use kumquatnotch_core::{
    Error, Result,
    ids::{DataCentre, Incarnation, NodeName, Region},
};

/// Options of the membership service.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The name of this node.
    pub name: NodeName,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where it listens for callers.
    pub entry: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Addresses of peers to try first.
    pub seeds: Vec<SocketAddr>,
    /// The life of this process; `None` to draw it from the wall clock.
    pub incarnation: Option<Incarnation>,
    /// The time between two probes.
    pub probe_period: Duration,
    /// The time a probed node has to answer.
    pub probe_timeout: Duration,
    /// The share of probes that stay in the own data centre.
    pub local_share: f64,
    /// How many nodes are asked to probe in this node's place.
    pub helpers: usize,
    /// Whether a node is suspected only if a helper answered in the same round.
    ///
    /// Off only in tests that show what happens without.
    pub require_helper: bool,
    /// Whether the word of others that a node is gone is checked by a probe first.
    ///
    /// Off only in tests that show what happens without.
    pub check_gone: bool,
    /// A suspicion lasts this many probe periods, times log10 of the nodes.
    pub suspicion_factor: f64,
    /// The shortest time that a suspicion lasts.
    pub suspicion_min: Duration,
    /// A change is sent this many times, times ln of the nodes.
    pub retransmit_factor: f64,
    /// The bytes of changes in one message.
    pub delta_limit: usize,
    /// The bytes of changes that may be sent a second.
    pub delta_rate: f64,
    /// The bytes of changes that may be sent at once.
    pub delta_burst: f64,
    /// The time between two pushes of fresh changes.
    pub push_period: Duration,
    /// How many nodes fresh changes are pushed to at once.
    pub push_fanout: usize,
    /// The time between two exchanges of everything, by hash, if none finds a difference.
    pub exchange_period: Duration,
    /// The time to the next exchange after one that found a difference.
    pub exchange_min: Duration,
    /// The time between two attempts to reach nodes that are gone or unknown.
    pub reconnect_period: Duration,
    /// How long a node that is gone is remembered and tried.
    pub forget_after: Duration,
    /// How long the node waits for a document before it announces itself.
    pub announce_wait: Duration,
    /// A clock that jumps by more than this means that the process was frozen.
    pub freeze_limit: Duration,
    /// How many marks are kept.
    pub mark_limit: usize,
    /// The longest time that a mark may have left.
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
    /// Checks what has no default and what would stop the service.
    pub(crate) fn check(&self) -> Result<()> {
        if self.name.is_empty() {
            return Err(bad_settings("a node needs a name"));
        }
        if self.peer.port() == 0 {
            return Err(bad_settings("a node needs an address for peers"));
        }
        if self.probe_period.is_zero() || self.push_period.is_zero() {
            return Err(bad_settings("periods of membership must be above zero"));
        }
        Ok(())
    }
}

/// Options of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigOptions {
    /// How many nodes read the platform's head.
    pub readers: usize,
    /// The time between two readings by one reader.
    pub read_period: Duration,
    /// Without a confirmation for this long, any node may read, by chance.
    pub fallback_after: Duration,
    /// The longest time between two attempts while the platform fails.
    pub backoff_limit: Duration,
    /// How many peers get the news of a higher version at once.
    pub push_fanout: usize,
    /// How many peers a node asks at birth and after a freeze.
    pub queried_peers: usize,
    /// An answer of a peer counts without the platform if its confirmation is this young.
    pub fresh_age: Duration,
    /// The time that a node asks peers and the platform before it serves again after a freeze.
    pub recheck_timeout: Duration,
    /// A clock that jumps by more than this means that the process was frozen.
    pub freeze_limit: Duration,
    /// The bytes of stored values in one reply.
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
            fresh_age: Duration::from_secs(10),
            recheck_timeout: Duration::from_secs(2),
            freeze_limit: Duration::from_secs(2),
            reply_limit: 256 * 1024,
        }
    }
}

fn bad_settings(detail: &str) -> Error {
    Error::BadSettings { detail: detail.to_owned() }
}
