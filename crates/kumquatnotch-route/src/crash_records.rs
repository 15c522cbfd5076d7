//! The store's records of requests that crash replicas.
//!
//! A record has no lease: it must outlast the nodes that saw the crashes, as the caller may send
//! the request again hours later. It is deleted when a reply acquits the request, when an operator
//! lifts it, or after a day. Trials are counted in it by compare-and-swap, so that all nodes
//! together start no more than allowed, wherever callers ask.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use kumquatnotch_core::{
    Error, Result, Store, clock, codec, collections::HashSet, ids::Fingerprint, store::StoreWrite,
};
use kumquatnotch_policy::crashes::{CrashRecord, Verdict};

use crate::{crash_check, router::Router};

/// Maximum time for which a caller waits for the claim of a trial.
///
/// Several times that of a call to a healthy store. If it is not answered, the node decides alone:
/// a harmless request must not be refused for as long as the store is away.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of changes that wait to be written.
///
/// The loss of many replicas at once may make suspects of all requests that were running there.
const MAX_QUEUED: usize = 256;

/// Number of suspect requests from which on only those that need a trial are recorded.
///
/// It bounds what lies in the store, and what a node that starts reads.
const MAX_WEAK_RECORDS: usize = 1_024;

/// Maximum number of written records that are remembered.
const MAX_WRITTEN: usize = 1_024;

/// Maximum number of times that a write is retried because another node was faster.
const MAX_CONFLICTS: u32 = 8;

/// Delay before a record is written again after a failure, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which expired records are deleted, before jitter.
const SWEEP_PERIOD: Duration = Duration::from_secs(600);

/// Outcome of the claim of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// This node may start the trial.
    Granted,
    /// It may not; the caller may come again after this time.
    Refused(Duration),
    /// The request has been acquitted meanwhile.
    Acquitted,
}

/// A change of a record that is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Publish(Fingerprint),
    Delete(Fingerprint),
}

/// Writes the records of requests that crash replicas.
pub struct CrashRecords {
    router: Rc<Router>,
    store: Rc<dyn Store>,
    prefix: &'static str,
    changes: UnboundedSender<Change>,
    queue: RefCell<Option<UnboundedReceiver<Change>>>,
    queued: RefCell<HashSet<Change>>,
    /// Records that this node has written.
    written: RefCell<HashSet<Fingerprint>>,
}

/// Returns the key of a request's record.
pub fn record_key(prefix: &str, fingerprint: Fingerprint) -> String {
    format!("{prefix}{fingerprint}")
}

/// Parses what follows the prefix in the key of a record.
pub fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    u64::from_str_radix(text, 16).ok().map(Fingerprint)
}

/// Returns the Unix time in seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Applies a record that the store holds.
pub(crate) fn apply(
    router: &Router,
    fingerprint: Fingerprint,
    record: &CrashRecord,
    revision: u64,
) {
    tracing::info!(
        print = %fingerprint,
        target = record.target,
        crashes = record.crashes.len(),
        trials = record.trials,
        revision,
        "mirror: crash record received"
    );
    if router.crashes.was_answered(fingerprint, router.clock.now()) {
        // The node that saw the crashes has not answered the request itself.
        crash_check::acquit(router, fingerprint);
    } else if !record.is_expired(unix_seconds()) {
        router.crashes.apply(fingerprint, record, router.clock.now());
    }
}

/// Keeps the records that this node knew before it read everything anew.
///
/// The store may have been restored from a copy without them. If they were lost, the requests would
/// be let in again.
pub(crate) fn restore(
    router: &Router,
    known: Vec<(Fingerprint, CrashRecord)>,
    is_stored: impl Fn(Fingerprint) -> bool,
) {
    let now = router.clock.now();
    for (fingerprint, record) in known {
        let knows_more = router.crashes.merge(fingerprint, &record, now);
        if knows_more || !is_stored(fingerprint) {
            router.publish_crashes(fingerprint);
        }
    }
}

impl CrashRecords {
    /// Creates the writer of the records under `prefix` and registers it with the router.
    pub fn new(router: Rc<Router>, store: Rc<dyn Store>, prefix: &'static str) -> Rc<CrashRecords> {
        let (changes, queue) = unbounded();
        let records = Rc::new(CrashRecords {
            router: router.clone(),
            store,
            prefix,
            changes,
            queue: RefCell::new(Some(queue)),
            queued: RefCell::default(),
            written: RefCell::default(),
        });
        router.set_crash_records(records.clone());
        records
    }

    /// Starts to write changes and to delete expired records.
    pub fn start(self: &Rc<CrashRecords>) {
        if let Some(queue) = self.queue.borrow_mut().take() {
            monoio::spawn(self.clone().run(queue));
            monoio::spawn(self.clone().sweep());
        }
    }

    /// Publishes what this node knows of a request.
    pub fn publish(&self, fingerprint: Fingerprint) {
        self.enqueue(Change::Publish(fingerprint));
    }

    /// Forgets a request, on all nodes.
    pub fn delete(&self, fingerprint: Fingerprint) {
        self.router.crashes.remove(fingerprint);
        self.enqueue(Change::Delete(fingerprint));
    }

    fn enqueue(&self, change: Change) {
        if self.queued.borrow().len() >= MAX_QUEUED {
            tracing::warn!(?change, "crashes: too many records to write");
            return;
        }
        if self.queued.borrow_mut().insert(change) {
            // The receiver ends with the process.
            let _ = self.changes.unbounded_send(change);
        }
    }

    async fn run(self: Rc<CrashRecords>, mut queue: UnboundedReceiver<Change>) {
        let clock = &*self.router.clock;
        while let Some(change) = queue.next().await {
            self.queued.borrow_mut().remove(&change);
            while let Err(error) = self.write_change(change).await {
                tracing::info!(code = error.code(), "crashes: record not written: {error}");
                clock::sleep(clock, self.router.random.jitter(RETRY_DELAY)).await;
            }
        }
    }

    async fn write_change(&self, change: Change) -> Result<()> {
        match change {
            Change::Delete(fingerprint) => self.delete_record(fingerprint).await,
            Change::Publish(fingerprint) => self.write_record(fingerprint).await,
        }
    }

    /// Deletes the record of a request, if the store has one.
    async fn delete_record(&self, fingerprint: Fingerprint) -> Result<()> {
        let key = self.key(fingerprint);
        // Most requests are acquitted before a record is written.
        let is_written = self.written.borrow().contains(&fingerprint);
        if !is_written && self.known(&key).is_none() {
            return Ok(());
        }
        self.store.write(&StoreWrite::delete(&key)).await?;
        self.written.borrow_mut().remove(&fingerprint);
        Ok(())
    }

    /// Writes what this node knows of a request, unless the store knows as much.
    async fn write_record(&self, fingerprint: Fingerprint) -> Result<()> {
        let key = self.key(fingerprint);
        let mut stored = self.known(&key);
        for _ in 0..MAX_CONFLICTS {
            let Some(own) = self.router.crashes.record(fingerprint) else {
                return Ok(());
            };
            if !own.needs_trial() && self.router.crashes.count() > MAX_WEAK_RECORDS {
                return Ok(());
            }
            let (mut record, revision) = stored.unwrap_or_default();
            if revision == 0 {
                record = own;
            } else if !record.merge(&own) {
                return Ok(());
            }
            let write = StoreWrite::put(&key, &codec::encode(&record)?, revision);
            self.note_written(fingerprint);
            match self.store.write(&write).await {
                Err(Error::CompareFailed) => stored = self.read(&key).await?,
                result => return result.map(drop),
            }
        }
        Err(Error::CompareFailed)
    }

    /// Claims a trial of a request for this node.
    ///
    /// Without an answer of the store, the node decides by what it knows.
    pub async fn claim(&self, fingerprint: Fingerprint) -> Claim {
        let clock = &*self.router.clock;
        let deadline = clock.now() + CLAIM_TIMEOUT;
        let claim = clock::timeout_at(clock, deadline, self.try_claim(fingerprint)).await;
        let claim = claim.and_then(|claim| claim).unwrap_or_else(|error| {
            tracing::info!(
                print = %fingerprint,
                code = error.code(),
                "crashes: trial not claimed in the store, deciding alone: {error}"
            );
            self.router.crashes.note_trial(fingerprint, clock.now());
            Claim::Granted
        });
        tracing::info!(print = %fingerprint, ?claim, "crashes: trial of a suspect request");
        claim
    }

    async fn try_claim(&self, fingerprint: Fingerprint) -> Result<Claim> {
        let key = self.key(fingerprint);
        let mut stored = self.known(&key);
        for _ in 0..MAX_CONFLICTS {
            match self.router.crashes.verdict(fingerprint, self.router.clock.now()) {
                Verdict::Free => return Ok(Claim::Acquitted),
                Verdict::Refused { retry_after } => return Ok(Claim::Refused(retry_after)),
                Verdict::Trial => {}
            }
            let Some(mut record) = self.router.crashes.record(fingerprint) else {
                return Ok(Claim::Acquitted);
            };
            record.trials += 1;
            let revision = stored.as_ref().map_or(0, |(_, revision)| *revision);
            let write = StoreWrite::put(&key, &codec::encode(&record)?, revision);
            self.note_written(fingerprint);
            self.written.borrow_mut().insert(fingerprint);
            match self.store.write(&write).await {
                Ok(_) => {
                    self.router.crashes.note_trial(fingerprint, self.router.clock.now());
                    return Ok(Claim::Granted);
                }
                Err(Error::CompareFailed) => stored = self.read(&key).await?,
                Err(error) => return Err(error),
            }
            let now = self.router.clock.now();
            match &stored {
                Some((record, _)) => drop(self.router.crashes.merge(fingerprint, record, now)),
                // A copy from which the store was restored may lack the record.
                None if revision < self.store.restored_at() => {}
                // Another node has acquitted it.
                None => drop(self.router.crashes.remove(fingerprint)),
            }
        }
        Err(Error::CompareFailed)
    }

    /// Takes back a trial that has reached no replica.
    pub async fn release(&self, fingerprint: Fingerprint) {
        self.router.crashes.undo_trial(fingerprint);
        let key = self.key(fingerprint);
        let result: Result<()> = async {
            if let Some((mut record, revision)) = self.read(&key).await? {
                record.trials = record.trials.saturating_sub(1);
                let write = StoreWrite::put(&key, &codec::encode(&record)?, revision);
                self.store.write(&write).await?;
            }
            Ok(())
        }
        .await;
        if let Err(error) = result {
            // The trial then counts as one that has failed.
            tracing::info!(
                print = %fingerprint,
                code = error.code(),
                "crashes: trial not taken back: {error}"
            );
        }
    }

    /// Periodically deletes expired records.
    async fn sweep(self: Rc<CrashRecords>) {
        loop {
            clock::sleep(&*self.router.clock, self.router.random.jitter(SWEEP_PERIOD)).await;
            let now_s = unix_seconds();
            let records = self.router.crashes.records();
            let expired = records.into_iter().filter(|(_, record)| record.is_expired(now_s));
            for (fingerprint, _) in expired {
                tracing::info!(print = %fingerprint, "crashes: record has expired");
                self.delete(fingerprint);
            }
        }
    }

    fn note_written(&self, fingerprint: Fingerprint) {
        let mut written = self.written.borrow_mut();
        if written.len() >= MAX_WRITTEN {
            // Other nodes have acquitted most of them.
            written.clear();
        }
        written.insert(fingerprint);
    }

    fn key(&self, fingerprint: Fingerprint) -> String {
        record_key(self.prefix, fingerprint)
    }

    /// Returns the record under a key as this node knows it, with its revision.
    fn known(&self, key: &str) -> Option<(CrashRecord, u64)> {
        let item = self.router.journal.item(key)?;
        Some((codec::decode(&item.value).unwrap_or_default(), item.revision))
    }

    /// Reads the record under a key, with its revision.
    async fn read(&self, key: &str) -> Result<Option<(CrashRecord, u64)>> {
        let item = self.store.read(key).await?;
        Ok(item.map(|item| (codec::decode(&item.value).unwrap_or_default(), item.revision)))
    }
}
