//! The interface to the platform's store, which keeps durable state.
//!
//! The store is a key-value service with a global revision counter, leases and
//! watches. It may be unavailable or slow, refuse calls, or apply a write whose
//! reply is lost. It loses acknowledged writes only when it is restored from an
//! older copy; leases granted since that copy are lost as well.
//!
//! Revisions are ordered across restores: each one that is read after a restore
//! is above all revisions read before it, although the store itself counts again
//! from the copy. State with a lower revision is therefore always the older one,
//! wherever it comes from. A restore ends the history: a watch from a revision
//! before it fails like one from a compacted revision.

use std::{collections::BTreeMap, time::Duration};

use crate::{LocalFuture, Result};

/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change, or a later one if the store was restored since.
    pub revision: u64,
}

/// The keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreScan {
    /// The items, by key.
    pub items: Vec<StoreItem>,
    /// The revision after which a watch returns all changes that the scan does not include.
    pub revision: u64,
}

impl StoreScan {
    /// Applies changes after the revision of the scan, skipping those that it already includes.
    pub fn apply(&mut self, changes: StoreChanges) {
        let items = std::mem::take(&mut self.items);
        let mut items: BTreeMap<String, StoreItem> =
            items.into_iter().map(|item| (item.key.clone(), item)).collect();
        for event in changes.events {
            let known = items.get(event.key()).map_or(0, |item| item.revision);
            if event.revision() <= known {
                continue;
            }
            match event {
                StoreEvent::Written(item) => items.insert(item.key.clone(), item),
                StoreEvent::Deleted { key, .. } => items.remove(&key),
            };
        }
        self.items = items.into_values().collect();
        self.revision = self.revision.max(changes.revision);
    }
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreItem),
    /// The key was deleted or its lease expired.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

impl StoreEvent {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            StoreEvent::Written(item) => &item.key,
            StoreEvent::Deleted { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Written(item) => item.revision,
            StoreEvent::Deleted { revision, .. } => *revision,
        }
    }
}

/// The changes that a watch returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The changes in order; empty if there were none in time.
    pub events: Vec<StoreEvent>,
    /// The revision to watch from next.
    pub revision: u64,
}

/// An atomic write of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreWrite {
    /// Required revisions of keys; zero if the key must not exist.
    pub expect: Vec<(String, u64)>,
    /// The values to put.
    pub puts: Vec<StorePut>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

impl StoreWrite {
    /// Creates a compare-and-swap write of one key without a lease.
    ///
    /// The key must have the revision `expect`; zero if it must not exist.
    pub fn put(key: &str, value: &[u8], expect: u64) -> StoreWrite {
        let put = StorePut { key: key.to_owned(), value: value.to_owned(), lease: None };
        StoreWrite { expect: vec![(key.to_owned(), expect)], puts: vec![put], deletes: Vec::new() }
    }

    /// Creates a write that deletes one key at any revision.
    pub fn delete(key: &str) -> StoreWrite {
        StoreWrite { deletes: vec![key.to_owned()], ..Default::default() }
    }
}

/// A value to put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorePut {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key is attached to, if any; the key is deleted when it expires.
    pub lease: Option<StoreLease>,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// The id of the lease, which may be given out again after a restore of the store.
    pub id: u64,
    /// Number of restores of the store before the grant.
    pub era: u64,
    /// Time until the lease expires without renewal.
    pub ttl: Duration,
}

/// The platform's store.
///
/// Calls fail with [`Error::PlatformUnavailable`] if nothing is known about the
/// call, with [`Error::PlatformBusy`] if the store refused it, with
/// [`Error::WriteUnknown`] if a write may have taken effect or may still do so,
/// and with the errors documented for each method.
///
/// [`Error::PlatformUnavailable`]: crate::Error::PlatformUnavailable
/// [`Error::PlatformBusy`]: crate::Error::PlatformBusy
/// [`Error::WriteUnknown`]: crate::Error::WriteUnknown
pub trait Store {
    /// Returns the item under `key`, if there is one.
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoreItem>>>;

    /// Returns all items under `prefix`.
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>>;

    /// Returns all items under `prefix` from a snapshot that may be several seconds old.
    ///
    /// A snapshot loads the store a fraction as much as a scan. A watch from its revision
    /// returns all later changes, so that both together give the current state.
    fn snapshot<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>> {
        self.scan(prefix)
    }

    /// Returns the changes under `prefix` after a revision, or none once `wait` has elapsed.
    ///
    /// Fails with [`Error::VersionUnknown`](crate::Error::VersionUnknown) if the
    /// store has compacted that history, or was restored from an older copy since.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<StoreChanges>>;

    /// Applies `write` and returns its revision.
    ///
    /// Fails with [`Error::CompareFailed`](crate::Error::CompareFailed) if a key does
    /// not have its required revision, and with
    /// [`Error::LeaseGone`](crate::Error::LeaseGone) if a lease has expired. A restore of the
    /// store during the call ends all leases and makes the outcome of a comparison unknown.
    fn write<'a>(&'a self, write: &'a StoreWrite) -> LocalFuture<'a, Result<u64>>;

    /// Grants a lease with the given time to live.
    fn grant(&self, ttl: Duration) -> LocalFuture<'_, Result<StoreLease>>;

    /// Renews a lease.
    ///
    /// Fails with [`Error::LeaseGone`](crate::Error::LeaseGone) if it has expired, or if the
    /// store was restored from an older copy since the grant.
    fn renew(&self, lease: StoreLease) -> LocalFuture<'_, Result<()>>;

    /// Returns the revision below which all state is from before the latest restore that the
    /// answers so far have shown; zero if they have shown none.
    fn restored_at(&self) -> u64 {
        0
    }
}
