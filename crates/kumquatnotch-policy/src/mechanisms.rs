//! The mechanisms that can be switched off, to measure what each is worth.
//!
//! Each has a plain form that takes its place: none, fixed, or all alike. They are for
//! experiments only; the promises to callers and replicas hold without them unless the
//! description of a mechanism says otherwise.

use std::{fmt, str::FromStr};

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mechanism {
    /// Second copies of late requests; off: none.
    Copies,
    /// Copies as late as they still help; off: when the reply is late.
    CopyTime,
    /// Copies that lost keep their connections; off: they are dropped at once.
    KeptConnections,
    /// Searches that crowded replicas can't answer are refused; off: all are let in.
    Refusals,
    /// Caution that grows with the share of late searches; off: the least caution.
    Strain,
    /// Late callers wait for room; off: they are let in like others.
    WaitingCallers,
    /// When callers come again follows from how crowded replicas are; off: a fixed time.
    RetryTimes,
    /// Nodes beside the replicas gather their parts; off: each node asks all itself.
    Relays,
    /// Another region costs more than its way; off: its way only.
    FarCost,
    /// The load that replicas tell; off: that of this node only.
    ToldLoad,
    /// What replicas tell of the speed of their machines; off: nothing.
    ToldBurden,
    /// How much slower than others a replica is; off: all alike.
    Slowness,
    /// What failures of a replica cost; off: nothing.
    FailureCost,
    /// Replicas that are silent or broke connections are probed; off: they are used.
    Suspicion,
    /// How far away callers are; off: a fixed way.
    CallerTrips,
    /// How late answers leave; off: a fixed lag.
    Lags,
    /// A node that has just started takes a small part; off: its part of the nodes it knows.
    SettleTime,
    /// Connections are shared out among nodes; off: each opens the most.
    ConnectionShares,
    /// Callers are advised nodes beside the replicas; off: all nodes.
    Placement,
    /// A few nodes watch the store and the others follow; off: all watch it.
    Followers,
    /// Small nodes beside larger ones announce themselves only when needed; off: all do.
    Standby,
    /// Entries that vanish in an outage are kept for a while; off: dropped at once.
    LapseCaution,
    /// A node that starts in an outage learns from others; off: it waits for the store.
    Visitors,
    /// Requests that crash replicas are kept from them; off: they run. Breaks a promise.
    Containment,
}

impl Mechanism {
    /// All of them.
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
            format!("there is no mechanism {name:?}, only {}", names.join(", "))
        })
    }
}

/// The mechanisms that are in use: all but those that were switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: u32,
}

impl Mechanisms {
    /// All but these.
    pub fn without(off: &[Mechanism]) -> Mechanisms {
        Mechanisms { off: off.iter().fold(0, |bits, mechanism| bits | bit(*mechanism)) }
    }

    /// Whether a mechanism is in use.
    pub fn uses(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// Whether all are.
    pub fn all_enabled(self) -> bool {
        self.off == 0
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << (mechanism as u8)
}
