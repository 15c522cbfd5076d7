//! Identifiers.
//!
//! Names from the configuration are reference-counted strings, since they are
//! cloned into many maps. Generated identifiers are random 64-bit numbers.

use std::{borrow::Borrow, fmt, ops::Deref, rc::Rc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Rc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> $name {
                $name(Rc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> $name {
                $name(Rc::from(name))
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// A route, which maps a host and path prefix to the services that requests may reach.
    RouteName,
    /// A service: one shard of an index, or a service without shards.
    ServiceName,
    /// One incarnation of a replica process, from start to exit.
    ReplicaId,
    /// A node of the tier, by the name in its settings.
    NodeName,
    /// A target: one replica process of a vendor.
    TargetName,
    /// A shard of the index.
    ShardName,
    /// A tenant: one organisation whose data is isolated from that of its competitors.
    TenantName,
    /// A data centre.
    DataCentre,
    /// A region: a set of data centres that are near each other.
    Region,
    /// A selector, by the name that callers use.
    SelectorName,
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

number_types! {
    /// The incarnation of a node's process, drawn at random at its start.
    Incarnation,
    /// A version of the operators' document, counted from one; zero means none.
    ConfigVersion,
    /// A version of the index that targets serve.
    IndexVersion,
    /// A query, unique with the incarnation of the node that runs it.
    QueryId,
}

/// A hash of the content of a request, which identifies repetitions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of a stored value.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(xxh3_128(bytes).to_be_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Computes a hash that is the same on every machine.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    // Each part is hashed separately, so that ("ab", "c") and ("a", "bc") differ.
    parts.iter().fold(0, |hash: u64, part| {
        let mut pair = [0; 16];
        pair[..8].copy_from_slice(&hash.to_be_bytes());
        pair[8..].copy_from_slice(&xxh3_64(part).to_be_bytes());
        xxh3_64(&pair)
    })
}

/// Orders `candidates` for `key` by rendezvous hashing, the highest rank first.
///
/// Adding or removing a candidate does not change the relative order of the others.
pub fn rendezvous<'a>(key: &[u8], candidates: &[&'a str]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .iter()
        .map(|candidate| (rendezvous_weight(key, candidate), *candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns the weight of `candidate` for `key`; the highest weight ranks first.
pub fn rendezvous_weight(key: &[u8], candidate: &str) -> u64 {
    stable_hash(&[key, candidate.as_bytes()])
}
