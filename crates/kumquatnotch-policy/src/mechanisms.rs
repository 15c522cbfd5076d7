//! Mechanisms that can be switched off, to measure the effect of each.
//!
//! Each is replaced by a simple form: none, a fixed value, or equal treatment. This is for
//! experiments only. The guarantees to callers and replicas hold without a mechanism unless its
//! description says otherwise.

use std::{fmt, str::FromStr};

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mechanism {
    /// Hedges of late requests; off: none.
    Copies,
    /// Hedges sent as late as they can still help; off: when the reply is late.
    CopyTime,
    /// Losing attempts keep their connections; off: they are dropped at once.
    KeptConnections,
    /// Searches that overloaded replicas cannot answer are refused; off: all are admitted.
    Refusals,
    /// A safety margin that grows with the share of late searches; off: the minimum margin.
    Strain,
    /// Late retries wait for capacity; off: they are admitted like other searches.
    WaitingCallers,
    /// Retry delays depend on the load of the replicas; off: a fixed delay.
    RetryTimes,
    /// Nodes close to the replicas gather their parts; off: each node queries all of them itself.
    Relays,
    /// Another region costs more than its round trip; off: only the round trip.
    FarCost,
    /// The load reported by replicas; off: only the load caused by this node.
    ToldLoad,
    /// The machine slowdown reported by replicas; off: ignored.
    ToldBurden,
    /// The slowness of a replica relative to others; off: all are equal.
    Slowness,
    /// The expected cost of failures of a replica; off: none.
    FailureCost,
    /// Replicas that are silent or broke connections are probed; off: they are used.
    Suspicion,
    /// The measured round trip to callers; off: a fixed one.
    CallerTrips,
    /// The measured lag of answers; off: a fixed one.
    Lags,
    /// A node that has just started takes a small share of common limits; off: its share among the
    /// nodes that it knows.
    SettleTime,
    /// Connections are divided among nodes; off: each opens the maximum.
    ConnectionShares,
    /// Callers are advised to use nodes close to the replicas; off: all nodes.
    Placement,
    /// A few nodes watch the store and the others follow; off: all watch it.
    Followers,
    /// Small nodes next to larger ones announce themselves only when needed; off: all do.
    Standby,
    /// Entries that disappear during an outage are kept for a while; off: they are dropped at once.
    LapseCaution,
    /// A node that starts during an outage learns from others; off: it waits for the store.
    Visitors,
    /// Requests that crash replicas are refused; off: they run, which breaks a guarantee.
    Containment,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 24] = [
        Mechanism::Copies,
        Mechanism::CopyTime,
        Mechanism::KeptConnections,
        Mechanism::Refusals,
        Mechanism::Strain,
        Mechanism::WaitingCallers,
        Mechanism::RetryTimes,
        Mechanism::Relays,
        Mechanism::FarCost,
        Mechanism::ToldLoad,
        Mechanism::ToldBurden,
        Mechanism::Slowness,
        Mechanism::FailureCost,
        Mechanism::Suspicion,
        Mechanism::CallerTrips,
        Mechanism::Lags,
        Mechanism::SettleTime,
        Mechanism::ConnectionShares,
        Mechanism::Placement,
        Mechanism::Followers,
        Mechanism::Standby,
        Mechanism::LapseCaution,
        Mechanism::Visitors,
        Mechanism::Containment,
    ];
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // `CopyTime` is written `copy-time`.
        for (index, letter) in format!("{self:?}").char_indices() {
            if index > 0 && letter.is_ascii_uppercase() {
                f.write_str("-")?;
            }
            write!(f, "{}", letter.to_ascii_lowercase())?;
        }
        Ok(())
    }
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(name: &str) -> Result<Mechanism, String> {
        let known = Mechanism::ALL.into_iter().find(|mechanism| mechanism.to_string() == name);
        known.ok_or_else(|| {
            let names: Vec<String> = Mechanism::ALL.iter().map(Mechanism::to_string).collect();
            format!("unknown mechanism {name:?}; known are {}", names.join(", "))
        })
    }
}

/// The mechanisms in use: all except those that were switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: u32,
}

impl Mechanisms {
    /// All mechanisms except these.
    pub fn without(off: &[Mechanism]) -> Mechanisms {
        Mechanisms { off: off.iter().fold(0, |bits, mechanism| bits | bit(*mechanism)) }
    }

    /// Whether a mechanism is in use.
    pub fn uses(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// Whether all mechanisms are in use.
    pub fn all_enabled(self) -> bool {
        self.off == 0
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << (mechanism as u8)
}
