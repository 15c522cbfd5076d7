//! The border to the store in which the platform keeps what must last.
//!
//! It is a key-value service with one counter of revisions, leases and watches.
//! What it has acknowledged it never loses; everything else about it may fail:
//! it may be away, slow, refuse calls, or carry out a write whose reply is lost.

use std::{collections::BTreeMap, time::Duration};

use crate::{LocalFuture, Result};

/// The largest value that the store takes, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: u64,
}

/// The keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreScan {
    /// The items, by key.
    pub items: Vec<StoreItem>,
    /// A revision from which a watch misses nothing that the scan didn't see.
    pub revision: u64,
}

impl StoreScan {
    /// Adds the changes since its revision, of which some may be in it already.
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
    /// The key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

impl StoreEvent {
    /// The key.
    pub fn key(&self) -> &str {
        match self {
            StoreEvent::Written(item) => &item.key,
            StoreEvent::Deleted { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Written(item) => item.revision,
            StoreEvent::Deleted { revision, .. } => *revision,
        }
    }
}

/// What a watch has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The changes, in their order; empty if none came in time.
    pub events: Vec<StoreEvent>,
    /// The revision to watch from next.
    pub revision: u64,
}

/// A write of several keys that takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreWrite {
    /// The revisions that keys must have; zero if a key must not exist.
    pub expect: Vec<(String, u64)>,
    /// The values to put, each under a lease if there is one.
    pub puts: Vec<StorePut>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

impl StoreWrite {
    /// A write of one key without a lease, if it has the revision `expect`; zero if
    /// it must not exist.
    pub fn put(key: &str, value: &[u8], expect: u64) -> StoreWrite {
        let put = StorePut { key: key.to_owned(), value: value.to_owned(), lease: None };
        StoreWrite { expect: vec![(key.to_owned(), expect)], puts: vec![put], deletes: Vec::new() }
    }

    /// A write that deletes one key, whatever its revision.
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
    /// The lease with which the key ends.
    pub lease: Option<u64>,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// Its number.
    pub id: u64,
    /// How long it lasts without renewal.
    pub ttl: Duration,
}

/// The platform's store.
///
/// Errors are [`Error::PlatformUnavailable`] if nothing is known of the call,
/// [`Error::PlatformBusy`] if it was refused, [`Error::WriteUnknown`] if a write
/// may have taken effect or may still do so, and those that each call names.
///
/// [`Error::PlatformUnavailable`]: crate::Error::PlatformUnavailable
/// [`Error::PlatformBusy`]: crate::Error::PlatformBusy
/// [`Error::WriteUnknown`]: crate::Error::WriteUnknown
pub trait Store {
    /// The item under `key`.
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoreItem>>>;

    /// All keys under `prefix`.
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>>;

    /// All keys under `prefix` as they were up to some seconds ago.
    ///
    /// It costs the store a fraction of a scan. A watch from its revision misses
    /// nothing, so that both together give what the store holds now.
    fn snapshot<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>> {
        self.scan(prefix)
    }

    /// The changes under `prefix` after a revision, or none when `wait` is over.
    ///
    /// [`Error::VersionUnknown`](crate::Error::VersionUnknown) if the store
    /// doesn't keep that history any more.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<StoreChanges>>;

    /// Writes; gives the revision.
    ///
    /// [`Error::CompareFailed`](crate::Error::CompareFailed) if an expectation
    /// fails, [`Error::LeaseGone`](crate::Error::LeaseGone) if a lease has ended.
    fn write<'a>(&'a self, write: &'a StoreWrite) -> LocalFuture<'a, Result<u64>>;

    /// Asks for a lease.
    fn grant(&self, ttl: Duration) -> LocalFuture<'_, Result<StoreLease>>;

    /// Renews a lease; [`Error::LeaseGone`](crate::Error::LeaseGone) if it has ended.
    fn renew(&self, lease: u64) -> LocalFuture<'_, Result<()>>;
}
