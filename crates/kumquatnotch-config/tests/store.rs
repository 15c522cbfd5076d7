//! Tests of publishing documents under races and lost replies.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use kumquatnotch_config::store::{Authorship, Current, Store, keep_drains, set_drain};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Platform, Result,
    clock::PausedClock,
    document::{Document, TargetSpec},
    ids::{ConfigVersion, TargetName},
    platform::{Entry, Expect, Vm},
    random::Random,
    stored::HEAD_KEY,
};

const BY: Authorship<'_> = Authorship { author: "huda", note: "test" };

/// A platform in memory that can lose replies of writes.
#[derive(Default)]
struct FakePlatform {
    values: RefCell<BTreeMap<String, Entry>>,
    revision: Cell<u64>,
    lost_replies: Cell<usize>,
    lost_writes: Cell<usize>,
}

impl FakePlatform {
    fn write(&self, key: &str, value: &[u8], expect: Expect) -> Result<u64> {
        let mut values = self.values.borrow_mut();
        let now = values.get(key).map(|entry| entry.revision);
        let matches = match expect {
            Expect::Any => true,
            Expect::Absent => now.is_none(),
            Expect::Revision(revision) => now == Some(revision),
        };
        if !matches {
            return Err(Error::CompareFailed);
        }
        self.revision.set(self.revision.get() + 1);
        let revision = self.revision.get();
        values.insert(key.to_owned(), Entry { revision, value: value.to_owned() });
        Ok(revision)
    }
}

impl Platform for FakePlatform {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move { Ok(self.values.borrow().get(key).cloned()) })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        expect: Expect,
    ) -> LocalFuture<'a, Result<u64>> {
        Box::pin(async move {
            if self.lost_writes.get() > 0 {
                self.lost_writes.set(self.lost_writes.get() - 1);
                return Err(Error::WriteUnknown);
            }
            let result = self.write(key, value, expect);
            if key == HEAD_KEY && self.lost_replies.get() > 0 {
                self.lost_replies.set(self.lost_replies.get() - 1);
                return Err(Error::WriteUnknown);
            }
            result
        })
    }

    fn delete<'a>(&'a self, key: &'a str, _: Expect) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            self.values.borrow_mut().remove(key);
            Ok(())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            let values = self.values.borrow();
            Ok(values.keys().filter(|key| key.starts_with(prefix)).cloned().collect())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalFuture<'a, Result<Option<Entry>>> {
        self.get(key)
    }

    fn vms(&self) -> LocalFuture<'_, Result<Vec<Vm>>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

struct Bench {
    platform: Rc<FakePlatform>,
    clock: PausedClock,
    store: Store,
}

impl Bench {
    fn new() -> Bench {
        let platform = Rc::new(FakePlatform::default());
        let clock = PausedClock::default();
        let shared: Rc<dyn Clock> = Rc::new(clock.clone());
        let store = Store::new(platform.clone(), shared, Random::with_seed(7));
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
    let rival =
        Store::new(bench.platform.clone(), Rc::new(bench.clock.clone()), Random::with_seed(8));

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
    let before = bench.platform.values.borrow().len();

    bench.publish(&base, &document(1_001)).unwrap();

    let after = bench.platform.values.borrow().len();
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
