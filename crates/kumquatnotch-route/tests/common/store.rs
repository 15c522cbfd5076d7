//! In-memory store, with faults that tests can inject.

#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Error, LocalFuture, Result, Store,
    store::{StoreChanges, StoreEvent, StoreItem, StoreLease, StoreScan, StoreWrite},
};

#[derive(Default)]
pub struct FakeStore {
    pub items: RefCell<BTreeMap<String, StoreItem>>,
    pub events: RefCell<Vec<StoreEvent>>,
    pub revision: Cell<u64>,
    /// Every call fails.
    pub unavailable: Cell<bool>,
    /// Watches after an older revision find no history.
    pub compacted: Cell<u64>,
    pub ended_leases: RefCell<Vec<u64>>,
    pub granted_leases: Cell<u64>,
    pub calls: Cell<u64>,
    /// Calls made while this is set are never answered.
    pub unresponsive: Cell<bool>,
    /// Calls that renew leases are lost.
    pub loses_renewals: Cell<bool>,
    /// Watches see no changes.
    pub hides_changes: Cell<bool>,
    /// State that snapshots return if they lag behind the store.
    pub stale_snapshot: RefCell<Option<StoreScan>>,
    pub scans: Cell<u64>,
    /// Revision below which all state is from before the latest restore.
    pub restored_at: Cell<u64>,
}

fn event_revision(event: &StoreEvent) -> u64 {
    match event {
        StoreEvent::Written(item) => item.revision,
        StoreEvent::Deleted { revision, .. } => *revision,
    }
}

impl FakeStore {
    pub fn put(&self, key: &str, value: &[u8]) {
        let revision = self.next_revision();
        let item = StoreItem { key: key.to_owned(), value: value.to_vec(), revision };
        self.items.borrow_mut().insert(key.to_owned(), item.clone());
        self.events.borrow_mut().push(StoreEvent::Written(item));
    }

    pub fn delete(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            let event = StoreEvent::Deleted { key: key.to_owned(), revision };
            self.events.borrow_mut().push(event);
        }
    }

    /// Drops all history so far.
    pub fn compact(&self) {
        self.compacted.set(self.revision.get());
        self.events.borrow_mut().clear();
    }

    /// Restores the store from a copy of its items, and ends the history and all leases.
    pub fn restore(&self, copy: &BTreeMap<String, StoreItem>) {
        const ERA: u64 = 1 << 48;
        self.restored_at.set(self.restored_at.get() + ERA);
        self.revision.set(self.restored_at.get() + copy.len() as u64);
        self.compact();
        *self.items.borrow_mut() = copy.clone();
        self.ended_leases.borrow_mut().extend(1..=self.granted_leases.get());
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    /// Returns everything that the store holds now.
    pub fn current_state(&self) -> StoreScan {
        let items = self.items.borrow().values().cloned().collect();
        StoreScan { items, revision: self.revision.get() }
    }

    async fn apply_faults(&self) -> Result<()> {
        self.calls.set(self.calls.get() + 1);
        if self.unresponsive.get() {
            std::future::pending::<()>().await;
        }
        if self.unavailable.get() { Err(Error::PlatformUnavailable) } else { Ok(()) }
    }
}

impl Store for FakeStore {
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoreItem>>> {
        Box::pin(async move {
            self.apply_faults().await?;
            Ok(self.items.borrow().get(key).cloned())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>> {
        Box::pin(async move {
            self.apply_faults().await?;
            self.scans.set(self.scans.get() + 1);
            let items = self.items.borrow();
            let items = items.values().filter(|item| item.key.starts_with(prefix)).cloned();
            Ok(StoreScan { items: items.collect(), revision: self.revision.get() })
        })
    }

    fn snapshot<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>> {
        Box::pin(async move {
            self.apply_faults().await?;
            let stale_snapshot = self.stale_snapshot.borrow().clone();
            let mut scan = stale_snapshot.unwrap_or_else(|| self.current_state());
            scan.items.retain(|item| item.key.starts_with(prefix));
            Ok(scan)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<StoreChanges>> {
        Box::pin(async move {
            const STEP: Duration = Duration::from_millis(10);
            let start = Instant::now();
            loop {
                self.apply_faults().await?;
                if after < self.compacted.get() {
                    return Err(Error::VersionUnknown { version: after });
                }
                let events: Vec<StoreEvent> = self
                    .events
                    .borrow()
                    .iter()
                    .filter(|event| event_revision(event) > after && !self.hides_changes.get())
                    .filter(|event| match event {
                        StoreEvent::Written(item) => item.key.starts_with(prefix),
                        StoreEvent::Deleted { key, .. } => key.starts_with(prefix),
                    })
                    .cloned()
                    .collect();
                if start.elapsed() >= wait && after < self.restored_at.get() {
                    return Err(Error::VersionUnknown { version: after });
                }
                if !events.is_empty() || start.elapsed() >= wait {
                    return Ok(StoreChanges { events, revision: self.revision.get() });
                }
                monoio::time::sleep(STEP).await;
            }
        })
    }

    fn write<'a>(&'a self, write: &'a StoreWrite) -> LocalFuture<'a, Result<u64>> {
        Box::pin(async move {
            self.apply_faults().await?;
            for (key, expected) in &write.expect {
                let items = self.items.borrow();
                if items.get(key).map_or(0, |item| item.revision) != *expected {
                    return Err(Error::CompareFailed);
                }
            }
            for put in &write.puts {
                if put.lease.is_some_and(|lease| self.ended_leases.borrow().contains(&lease.id)) {
                    return Err(Error::LeaseGone);
                }
                self.put(&put.key, &put.value);
            }
            write.deletes.iter().for_each(|key| self.delete(key));
            Ok(self.revision.get())
        })
    }

    fn restored_at(&self) -> u64 {
        self.restored_at.get()
    }

    fn grant(&self, ttl: Duration) -> LocalFuture<'_, Result<StoreLease>> {
        Box::pin(async move {
            self.apply_faults().await?;
            self.granted_leases.set(self.granted_leases.get() + 1);
            Ok(StoreLease { id: self.granted_leases.get(), era: 0, ttl })
        })
    }

    fn renew(&self, lease: StoreLease) -> LocalFuture<'_, Result<()>> {
        Box::pin(async move {
            self.apply_faults().await?;
            if self.loses_renewals.get() {
                return Err(Error::WriteUnknown);
            }
            if self.ended_leases.borrow().contains(&lease.id) {
                return Err(Error::LeaseGone);
            }
            Ok(())
        })
    }
}
