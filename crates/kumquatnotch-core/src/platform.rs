//! The border to the platform: its key-value service and its list of VMs.
//!
//! The service compares and swaps by revision. Leases exist there, but nothing
//! in the tier relies on one: a holder that was paused would still believe in
//! its lease after it lapsed.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{LocalFuture, Result, ids::DataCentre};

/// The largest value that the platform stores, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The platform's service.
///
/// Errors are [`crate::Error::PlatformUnavailable`] and
/// [`crate::Error::PlatformBusy`] (nothing was done),
/// [`crate::Error::CompareFailed`] (the key has another revision), and
/// [`crate::Error::WriteUnknown`] (a write whose reply was lost).
pub trait Platform {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>>>;

    /// Writes a key if it has the expected revision; returns the new one.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        expect: Expect,
    ) -> LocalFuture<'a, Result<u64>>;

    /// Deletes a key if it has the expected revision.
    fn delete<'a>(&'a self, key: &'a str, expect: Expect) -> LocalFuture<'a, Result<()>>;

    /// The keys that start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>>;

    /// Waits until the key's revision is above `after`; `None` after `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Option<Entry>>>;

    /// The platform's list of VMs, which lags.
    fn vms(&self) -> LocalFuture<'_, Result<Vec<Vm>>>;
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision, which grows with each write of the key.
    pub revision: u64,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Anything.
    Any,
    /// No value.
    Absent,
    /// This revision.
    Revision(u64),
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Where the node on it listens for peers.
    pub peer: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}
