//! Tests of publishing documents with concurrent writers and lost replies.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use kumquatnotch_config::document_store::{
    Authorship, Current, DocumentStore, copy_drains, set_drain,
};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, Store,
    clock::PausedClock,
    document::{Document, TargetSpec},
    ids::{ConfigVersion, TargetName},
    random::Random,
    store::{StoreChanges, StoreItem, StoreLease, StorePut, StoreScan, StoreWrite},
    stored::HEAD_KEY,
};

const BY: Authorship<'_> = Authorship { author: "huda", note: "test" };

/// An in-memory store that can lose writes, or replies to writes of the head.
#[derive(Default)]
struct FakeStore {
    items: RefCell<BTreeMap<String, StoreItem>>,
    revision: Cell<u64>,
    lost_replies: Cell<usize>,
    lost_writes: Cell<usize>,
    restored_at: Cell<u64>,
    /// Restores the store after the next scan.
    restores: Cell<bool>,
}

impl FakeStore {
    fn apply(&self, write: &StoreWrite) -> Result<u64> {
        let mut items = self.items.borrow_mut();
        let found = |key: &String| items.get(key).map_or(0, |item| item.revision);
        if write.expect.iter().any(|(key, revision)| found(key) != *revision) {
            return Err(Error::CompareFailed);
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for StorePut { key, value, .. } in write.puts.iter().cloned() {
            items.insert(key.clone(), StoreItem { key, value, revision });
        }
        write.deletes.iter().for_each(|key| drop(items.remove(key)));
        Ok(revision)
    }
}

impl Store for FakeStore {
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<StoreItem>>> {
        Box::pin(async move { Ok(self.items.borrow().get(key).cloned()) })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreScan>> {
        Box::pin(async move {
            let items = self.items.borrow();
            let items = items.values().filter(|item| item.key.starts_with(prefix)).cloned();
            let revision = self.revision.get();
            if self.restores.take() {
                self.restored_at.set(revision + 1);
                self.revision.set(revision + 1);
            }
            Ok(StoreScan { items: items.collect(), revision })
        })
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalFuture<'a, Result<StoreChanges>> {
        Box::pin(async { Err(Error::internal("unexpected watch")) })
    }

    fn write<'a>(&'a self, write: &'a StoreWrite) -> LocalFuture<'a, Result<u64>> {
        Box::pin(async move {
            if !write.puts.is_empty() && self.lost_writes.get() > 0 {
                self.lost_writes.set(self.lost_writes.get() - 1);
                return Err(Error::WriteUnknown);
            }
            let result = self.apply(write);
            let is_head = write.puts.iter().any(|put| put.key == HEAD_KEY);
            if is_head && self.lost_replies.get() > 0 {
                self.lost_replies.set(self.lost_replies.get() - 1);
                return Err(Error::WriteUnknown);
            }
            result
        })
    }

    fn restored_at(&self) -> u64 {
        self.restored_at.get()
    }

    fn grant(&self, _: Duration) -> LocalFuture<'_, Result<StoreLease>> {
        Box::pin(async { Err(Error::internal("unexpected grant of a lease")) })
    }

    fn renew(&self, _: StoreLease) -> LocalFuture<'_, Result<()>> {
        Box::pin(async { Err(Error::internal("unexpected renewal of a lease")) })
    }
}

struct Fixture {
    platform: Rc<FakeStore>,
    clock: PausedClock,
    store: DocumentStore,
}

impl Fixture {
    fn new() -> Fixture {
        let platform = Rc::new(FakeStore::default());
        let clock = PausedClock::default();
        let shared: Rc<dyn Clock> = Rc::new(clock.clone());
        let store = DocumentStore::new(platform.clone(), shared, Random::with_seed(7));
        Fixture { platform, clock, store }
    }

    fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let mut runtime =
            monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
        runtime.block_on(self.clock.drive(work))
    }

    fn current(&self) -> Current {
        self.run(self.store.current()).unwrap()
    }

    fn publish(&self, base: &Current, document: &Document) -> Result<ConfigVersion> {
        self.run(self.store.publish(base, document, BY))
    }
}

fn document(targets: usize) -> Document {
    let target = |index: usize| TargetSpec {
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        centre: "amman".into(),
        shard: format!("s{index}").into(),
        labels: BTreeMap::new(),
        drain: false,
    };
    let named = |index| (TargetName::from(format!("t{index}")), target(index));
    Document { targets: (0..targets).map(named).collect(), ..Document::default() }
}

#[test]
fn a_published_document_is_read_back() {
    let fixture = Fixture::new();

    let version = fixture.publish(&fixture.current(), &document(300)).unwrap();

    let now = fixture.current();
    assert_eq!(version, ConfigVersion(1));
    assert_eq!(now.document, Document { version, ..document(300) });
}

/// Two operators read version 1, and each publishes a change of it. The second
/// publication must not silently undo the first: it fails with a conflict that
/// lists the intervening change.
#[test]
fn racing_publish_reports_a_conflict() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(1)).unwrap();
    let base = fixture.current();

    let first = fixture.publish(&base, &document(2));
    let second = fixture.publish(&base, &document(3));

    assert_eq!(first, Ok(ConfigVersion(2)));
    let Err(Error::Conflict { version, detail }) = second else {
        panic!("{second:?}");
    };
    assert_eq!(version, 2);
    assert!(detail.contains("+ targets.t1"), "{detail}");
    assert_eq!(fixture.current().document.targets.len(), 2);
}

/// The head is written and the reply lost, so that the repeated write finds
/// another revision. If this were treated as a conflict, the operator would see
/// a change by another operator that does not exist, and apply the change twice.
#[test]
fn lost_reply_of_a_head_write_is_resolved() {
    let fixture = Fixture::new();
    let base = fixture.current();
    fixture.platform.lost_replies.set(1);

    let version = fixture.publish(&base, &document(1));

    assert_eq!(version, Ok(ConfigVersion(1)));
    assert_eq!(fixture.current().head.unwrap().version, ConfigVersion(1));
}

/// The head is written and the reply lost, and another operator publishes on top
/// of it before the next attempt. The first write took effect. If it were reported
/// as a conflict, the operator would apply the change again.
#[test]
fn lost_reply_is_resolved_after_a_concurrent_publish() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(1)).unwrap();
    let base = fixture.current();
    fixture.platform.lost_replies.set(1);
    let rival = DocumentStore::new(
        fixture.platform.clone(),
        Rc::new(fixture.clock.clone()),
        Random::with_seed(8),
    );

    let (two, three) = (document(2), document(3));

    let (ours, theirs) = fixture.run(async {
        let ours = fixture.store.publish(&base, &two, BY);
        let theirs = async {
            while fixture.platform.lost_replies.get() > 0 {
                kumquatnotch_core::clock::yield_now().await;
            }
            let base = rival.current().await?;
            rival.publish(&base, &three, BY).await
        };
        futures_util::future::join(ours, theirs).await
    });

    assert_eq!(ours, Ok(ConfigVersion(2)));
    assert_eq!(theirs, Ok(ConfigVersion(3)));
}

#[test]
fn undelivered_write_is_reported_as_unknown() {
    let fixture = Fixture::new();
    let base = fixture.current();
    fixture.platform.lost_writes.set(1_000);

    let result = fixture.publish(&base, &document(1));

    assert_eq!(result, Err(Error::WriteUnknown));
}

#[test]
fn a_small_change_writes_few_values() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(1_000)).unwrap();
    let base = fixture.current();
    let before = fixture.platform.items.borrow().len();

    fixture.publish(&base, &document(1_001)).unwrap();

    let after = fixture.platform.items.borrow().len();
    assert_eq!(after - before, 2, "one part and the manifest");
}

#[test]
fn rollback_publishes_a_new_version() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(1)).unwrap();
    fixture.publish(&fixture.current(), &document(2)).unwrap();

    let base = fixture.current();
    let version = fixture.run(fixture.store.roll_back(&base, ConfigVersion(1), BY));

    assert_eq!(version, Ok(ConfigVersion(3)));
    assert_eq!(fixture.current().document.targets.len(), 1);
}

#[test]
fn rollback_to_an_unknown_version_is_refused() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(1)).unwrap();

    let base = fixture.current();
    let result = fixture.run(fixture.store.roll_back(&base, ConfigVersion(9), BY));

    assert_eq!(result, Err(Error::VersionUnknown { version: 9 }));
}

/// An operator drains a target by command, and another then applies files that
/// do not mention the drain. If it were not carried over, the target would
/// take new work again while it is being decommissioned.
#[test]
fn drain_by_command_survives_the_next_apply() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(2)).unwrap();
    let drained = TargetName::from("t1");
    fixture.run(fixture.store.amend(|document| set_drain(document, &drained, true), BY)).unwrap();

    let base = fixture.current();
    let mut files = document(3);
    copy_drains(&mut files, &base.document);
    fixture.publish(&base, &files).unwrap();

    let now = fixture.current().document;
    assert!(now.targets["t1"].drain);
    assert_eq!(now.targets.len(), 3);
}

#[test]
fn values_of_dropped_versions_are_collected() {
    let fixture = Fixture::new();
    for targets in 1..=40 {
        fixture.publish(&fixture.current(), &document(targets)).unwrap();
    }

    let count = fixture.run(fixture.store.collect(Duration::from_secs(60))).unwrap();

    assert!(count > 0);
    assert_eq!(fixture.current().document.targets.len(), 40);
    let base = fixture.current();
    let oldest = base.head.as_ref().unwrap().history.last().unwrap().version;
    fixture.run(fixture.store.roll_back(&base, oldest, BY)).unwrap();
}

/// Guards against the deletion of values of the version in force. The store is restored after they
/// were listed, and its head is an earlier one until the nodes write the lost one again.
#[test]
fn collection_during_a_restore_deletes_nothing() {
    let fixture = Fixture::new();
    fixture.publish(&fixture.current(), &document(5)).unwrap();
    let before = fixture.platform.items.borrow().len();
    fixture.platform.items.borrow_mut().remove(HEAD_KEY);
    fixture.platform.restores.set(true);

    let result = fixture.run(fixture.store.collect(Duration::from_secs(60)));

    assert_eq!(result, Err(Error::CompareFailed));
    assert_eq!(fixture.platform.items.borrow().len(), before - 1);
}
