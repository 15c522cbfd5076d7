//! Tests of publishing documents under races and lost replies.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use kumquatnotch_config::document_store::{
    Authorship, Current, DocumentStore, keep_drains, set_drain,
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

/// A store in memory that can lose replies of writes.
#[derive(Default)]
struct FakeStore {
    items: RefCell<BTreeMap<String, StoreItem>>,
    revision: Cell<u64>,
    lost_replies: Cell<usize>,
    lost_writes: Cell<usize>,
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
            Ok(StoreScan { items: items.collect(), revision: self.revision.get() })
        })
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalFuture<'a, Result<StoreChanges>> {
        Box::pin(async { Err(Error::internal("operators watch nothing")) })
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

    fn grant(&self, _: Duration) -> LocalFuture<'_, Result<StoreLease>> {
        Box::pin(async { Err(Error::internal("operators ask for no lease")) })
    }

    fn renew(&self, _: u64) -> LocalFuture<'_, Result<()>> {
        Box::pin(async { Err(Error::internal("operators renew no lease")) })
    }
}

struct Bench {
    platform: Rc<FakeStore>,
    clock: PausedClock,
    store: DocumentStore,
}

impl Bench {
    fn new() -> Bench {
        let platform = Rc::new(FakeStore::default());
        let clock = PausedClock::default();
        let shared: Rc<dyn Clock> = Rc::new(clock.clone());
        let store = DocumentStore::new(platform.clone(), shared, Random::with_seed(7));
        Bench { platform, clock, store }
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
    let bench = Bench::new();

    let version = bench.publish(&bench.current(), &document(300)).unwrap();

    let now = bench.current();
    assert_eq!(version, ConfigVersion(1));
    assert_eq!(now.document, Document { version, ..document(300) });
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    // Two operators read version 1. One adds a target, then the other does.
    // The second must not undo the first unseen: it gets a conflict that says
    // what was changed in between.
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(1)).unwrap();
    let base = bench.current();

    let first = bench.publish(&base, &document(2));
    let second = bench.publish(&base, &document(3));

    assert_eq!(first, Ok(ConfigVersion(2)));
    let Err(Error::Conflict { version, detail }) = second else {
        panic!("{second:?}");
    };
    assert_eq!(version, 2);
    assert!(detail.contains("+ targets.t1"), "{detail}");
    assert_eq!(bench.current().document.targets.len(), 2);
}

#[test]
fn a_write_whose_reply_was_lost_is_resolved() {
    // The head is written, its reply is lost, and the same write tried again
    // finds another revision. Taken as a conflict, an operator would be told of
    // a rival that does not exist and write the change twice.
    let bench = Bench::new();
    let base = bench.current();
    bench.platform.lost_replies.set(1);

    let version = bench.publish(&base, &document(1));

    assert_eq!(version, Ok(ConfigVersion(1)));
    assert_eq!(bench.current().head.unwrap().version, ConfigVersion(1));
}

#[test]
fn a_lost_reply_is_resolved_though_a_rival_wrote_over_it() {
    // Our head is written and its reply lost; before our next try, a rival
    // publishes on top of it. Our write did take effect, so it must not be
    // reported as a conflict, or the operator would apply it again.
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(1)).unwrap();
    let base = bench.current();
    bench.platform.lost_replies.set(1);
    let rival = DocumentStore::new(
        bench.platform.clone(),
        Rc::new(bench.clock.clone()),
        Random::with_seed(8),
    );

    let (two, three) = (document(2), document(3));

    let (ours, theirs) = bench.run(async {
        let ours = bench.store.publish(&base, &two, BY);
        let theirs = async {
            while bench.platform.lost_replies.get() > 0 {
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
fn a_write_that_never_arrives_is_reported_as_unknown() {
    let bench = Bench::new();
    let base = bench.current();
    bench.platform.lost_writes.set(1_000);

    let result = bench.publish(&base, &document(1));

    assert_eq!(result, Err(Error::WriteUnknown));
}

#[test]
fn a_small_change_writes_few_values() {
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(1_000)).unwrap();
    let base = bench.current();
    let before = bench.platform.items.borrow().len();

    bench.publish(&base, &document(1_001)).unwrap();

    let after = bench.platform.items.borrow().len();
    assert_eq!(after - before, 2, "one part and the manifest");
}

#[test]
fn an_earlier_version_returns_as_a_new_one() {
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(1)).unwrap();
    bench.publish(&bench.current(), &document(2)).unwrap();

    let base = bench.current();
    let version = bench.run(bench.store.roll_back(&base, ConfigVersion(1), BY));

    assert_eq!(version, Ok(ConfigVersion(3)));
    assert_eq!(bench.current().document.targets.len(), 1);
}

#[test]
fn an_unknown_version_is_refused() {
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(1)).unwrap();

    let base = bench.current();
    let result = bench.run(bench.store.roll_back(&base, ConfigVersion(9), BY));

    assert_eq!(result, Err(Error::VersionUnknown { version: 9 }));
}

#[test]
fn a_drain_by_command_outlasts_the_next_files() {
    // An operator drains a target by command. Another then applies files that
    // never mentioned it. Without the carried drain the target would take new
    // work again while it is being taken apart.
    let bench = Bench::new();
    bench.publish(&bench.current(), &document(2)).unwrap();
    let drained = TargetName::from("t1");
    bench.run(bench.store.amend(|document| set_drain(document, &drained, true), BY)).unwrap();

    let base = bench.current();
    let mut files = document(3);
    keep_drains(&mut files, &base.document);
    bench.publish(&base, &files).unwrap();

    let now = bench.current().document;
    assert!(now.targets["t1"].drain);
    assert_eq!(now.targets.len(), 3);
}

#[test]
fn values_of_forgotten_versions_are_collected() {
    let bench = Bench::new();
    for targets in 1..=40 {
        bench.publish(&bench.current(), &document(targets)).unwrap();
    }

    let count = bench.run(bench.store.collect(Duration::from_secs(60))).unwrap();

    assert!(count > 0);
    assert_eq!(bench.current().document.targets.len(), 40);
    let base = bench.current();
    let oldest = base.head.as_ref().unwrap().history.last().unwrap().version;
    bench.run(bench.store.roll_back(&base, oldest, BY)).unwrap();
}
