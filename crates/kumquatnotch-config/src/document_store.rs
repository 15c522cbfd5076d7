//! Publishes documents through the platform's store.
//!
//! The head is the only mutable value and is updated by compare-and-swap. Each
//! write of the head carries a random number drawn by its writer. If the reply
//! to a write is lost, the writer repeats the same write and reads the head, so
//! that the outcome is always determined and never guessed.

use std::{collections::hash_map::Entry, rc::Rc, time::Duration};

use kumquatnotch_core::{
    Clock, Error, Result, Store,
    clock::sleep,
    codec,
    collections::HashMap,
    document::Document,
    ids::{ConfigVersion, Digest, TargetName},
    peer::StoredValue,
    random::Random,
    store::{StoreItem, StoreWrite},
    stored::{
        self, HEAD_KEY, HISTORY_LENGTH, Head, Manifest, PastVersion, StoredDocument, check_value,
        value_key,
    },
};

use crate::diff::{diff, to_text};

/// Maximum number of attempts per call to the store.
const ATTEMPT_LIMIT: usize = 8;

/// Backoff after the first failed attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Reads and publishes documents in the platform's store on behalf of operators.
pub struct DocumentStore {
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    random: Random,
}

/// A document together with the head that it was read from.
#[derive(Clone, Debug)]
pub struct Current {
    /// The head; `None` if no document was published yet.
    pub head: Option<Head>,
    /// The store revision of the head; zero if there is none.
    pub revision: u64,
    /// The document; empty if none was published yet.
    pub document: Document,
}

/// The author of a change and the reason for it.
#[derive(Clone, Copy, Debug)]
pub struct Authorship<'a> {
    /// The name of the author.
    pub author: &'a str,
    /// The reason for the change.
    pub note: &'a str,
}

impl DocumentStore {
    /// Creates a document store on top of `store`.
    pub fn new(store: Rc<dyn Store>, clock: Rc<dyn Clock>, random: Random) -> DocumentStore {
        DocumentStore { store, clock, random }
    }

    /// Reads the head and the document that it refers to.
    pub async fn current(&self) -> Result<Current> {
        let Some((head, revision)) = self.head().await? else {
            return Ok(Current { head: None, revision: 0, document: Document::default() });
        };
        let document = self.load(head.version, head.manifest).await?;
        Ok(Current { head: Some(head), revision, document })
    }

    /// Publishes `document` as the successor of `base` and returns its version.
    ///
    /// Fails with [`Error::Conflict`], which lists the intervening changes, if
    /// another operator has published a document since `base` was read.
    pub async fn publish(
        &self,
        base: &Current,
        document: &Document,
        by: Authorship<'_>,
    ) -> Result<ConfigVersion> {
        let stored = stored::split(document)?;
        let new = new_values(base, &stored)?;
        for value in &new {
            self.put_value(value).await?;
        }
        let version = self.put_head(base, stored.manifest, by).await?;
        // A value that already existed but was unreferenced may have been garbage
        // collected before the head referred to it, and nodes could then never put
        // the version in force. Storing the values again restores such a value. As
        // the head now refers to them, no collector deletes them any more.
        for value in &new {
            self.put_value(value).await?;
        }
        Ok(version)
    }

    /// Publishes the document of an earlier version again, as a new version.
    pub async fn roll_back(
        &self,
        base: &Current,
        version: ConfigVersion,
        by: Authorship<'_>,
    ) -> Result<ConfigVersion> {
        let past = base.head.iter().flat_map(|head| &head.history);
        let Some(past) = past.into_iter().find(|past| past.version == version) else {
            return Err(Error::VersionUnknown { version: version.0 });
        };
        // The values must still exist before the head refers to them again.
        self.load(version, past.manifest).await?;
        self.put_head(base, past.manifest, by).await
    }

    /// Applies `change` to the current document and publishes the result.
    ///
    /// On a conflict, `change` is applied again to the newer document. It must
    /// therefore be valid on any version of the document, such as a drain.
    pub async fn amend(
        &self,
        change: impl Fn(&mut Document) -> Result<()>,
        by: Authorship<'_>,
    ) -> Result<ConfigVersion> {
        let mut result = Err(Error::CompareFailed);
        for _ in 0..ATTEMPT_LIMIT {
            let base = self.current().await?;
            let mut document = base.document.clone();
            change(&mut document)?;
            result = self.publish(&base, &document, by).await;
            if !matches!(result, Err(Error::Conflict { .. })) {
                break;
            }
        }
        result
    }

    /// Deletes stored values that no retained version refers to, and returns their number.
    ///
    /// A writer stores its values before the head that refers to them. The
    /// collector therefore waits for `grace` after listing the values and only
    /// then reads the head. Without this wait it would delete the values of a
    /// publication in progress.
    pub async fn collect(&self, grace: Duration) -> Result<usize> {
        // The store cannot list keys without their values. The cost is acceptable,
        // because operators run the collection rarely.
        let stored = self.store.scan(stored::VALUE_PREFIX).await?;
        sleep(&*self.clock, grace).await;
        let used = self.used_keys().await?;
        // The head may have been restored from an older copy than the listed values, and its
        // successors, which are in force, are written again.
        if stored.revision < self.store.restored_at() {
            return Err(Error::CompareFailed);
        }
        let mut count = 0;
        for item in stored.items.iter().filter(|item| !used.contains_key(&item.key)) {
            self.store.write(&StoreWrite::delete(&item.key)).await?;
            count += 1;
        }
        Ok(count)
    }

    /// Reads the document that `manifest` describes.
    pub async fn load(&self, version: ConfigVersion, manifest: Digest) -> Result<Document> {
        let manifest: Manifest = codec::decode(&self.value(manifest).await?)?;
        let mut values: HashMap<Digest, Vec<u8>> = HashMap::default();
        for digest in manifest.digests() {
            if let Entry::Vacant(vacant) = values.entry(digest) {
                vacant.insert(self.value(digest).await?);
            }
        }
        stored::join(version, &manifest, |digest| values.get(&digest).map(Vec::as_slice))
    }

    /// Reads the head and its store revision.
    pub async fn head(&self) -> Result<Option<(Head, u64)>> {
        match self.get(HEAD_KEY).await? {
            Some(entry) => Ok(Some((codec::decode(&entry.value)?, entry.revision))),
            None => Ok(None),
        }
    }

    async fn used_keys(&self) -> Result<HashMap<String, ()>> {
        let mut used = HashMap::default();
        let Some((head, _)) = self.head().await? else {
            return Ok(used);
        };
        let manifests = head.history.iter().map(|past| past.manifest);
        for digest in std::iter::once(head.manifest).chain(manifests) {
            used.insert(value_key(digest), ());
            let manifest: Manifest = codec::decode(&self.value(digest).await?)?;
            used.extend(manifest.digests().map(|digest| (value_key(digest), ())));
        }
        Ok(used)
    }

    async fn value(&self, digest: Digest) -> Result<Vec<u8>> {
        let Some(entry) = self.get(&value_key(digest)).await? else {
            return Err(Error::internal(format!("value {digest} is missing")));
        };
        let value = StoredValue { digest, value: entry.value };
        check_value(&value)?;
        Ok(value.value)
    }

    async fn get(&self, key: &str) -> Result<Option<StoreItem>> {
        let mut backoff = INITIAL_BACKOFF;
        for _ in 1..ATTEMPT_LIMIT {
            match self.store.read(key).await {
                Err(Error::PlatformUnavailable | Error::PlatformBusy) => {}
                result => return result,
            }
            sleep(&*self.clock, self.random.jitter(backoff)).await;
            backoff *= 2;
        }
        self.store.read(key).await
    }

    /// Stores a value under its digest; this is idempotent.
    async fn put_value(&self, value: &StoredValue) -> Result<()> {
        let key = value_key(value.digest);
        match self.put(&key, &value.value, 0).await {
            // The value exists already, from an earlier version or an earlier attempt.
            Ok(_) | Err(Error::CompareFailed) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn put_head(
        &self,
        base: &Current,
        manifest: Digest,
        by: Authorship<'_>,
    ) -> Result<ConfigVersion> {
        let head = self.next_head(base, manifest, by);
        match self.put(HEAD_KEY, &codec::encode(&head)?, base.revision).await {
            Ok(_) => Ok(head.version),
            // Either another operator was first, or an earlier attempt took effect
            // and its reply was lost. The write number in the head distinguishes them.
            Err(Error::CompareFailed) => self.resolve_head_write(base, &head).await,
            Err(error) => Err(error),
        }
    }

    async fn resolve_head_write(&self, base: &Current, written: &Head) -> Result<ConfigVersion> {
        let now = self.current().await?;
        let Some(head) = &now.head else {
            return Err(Error::CompareFailed);
        };
        if contains_write(head, written) {
            return Ok(written.version);
        }
        let detail = format!(
            "by {} ({}):\n{}",
            head.author,
            head.note,
            to_text(&diff(&base.document, &now.document)),
        );
        Err(Error::Conflict { version: head.version.0, detail })
    }

    fn next_head(&self, base: &Current, manifest: Digest, by: Authorship<'_>) -> Head {
        let mut history = Vec::new();
        if let Some(head) = &base.head {
            let Head { version, write, manifest, .. } = *head;
            history.push(PastVersion { version, write, manifest });
            history.extend(head.history.iter().take(HISTORY_LENGTH - 1).cloned());
        }
        let last = base.head.as_ref().map_or(ConfigVersion(0), |head| head.version);
        Head {
            version: ConfigVersion(last.0 + 1),
            write: self.random.number(),
            author: by.author.to_owned(),
            note: by.note.to_owned(),
            manifest,
            history,
        }
    }

    /// Writes a key, repeating the same write while the outcome is unknown.
    ///
    /// A write whose reply was lost may still take effect later. Repeating it with
    /// the same expected revision is safe: only one of the two takes effect, and
    /// the other one fails the comparison.
    async fn put(&self, key: &str, value: &[u8], expect: u64) -> Result<u64> {
        let write = StoreWrite::put(key, value, expect);
        let mut backoff = INITIAL_BACKOFF;
        let mut unknown = false;
        for _ in 0..ATTEMPT_LIMIT {
            match self.store.write(&write).await {
                Err(Error::WriteUnknown) => unknown = true,
                Err(Error::PlatformUnavailable | Error::PlatformBusy) => {}
                result => return result,
            }
            sleep(&*self.clock, self.random.jitter(backoff)).await;
            backoff *= 2;
        }
        Err(if unknown { Error::WriteUnknown } else { Error::PlatformUnavailable })
    }
}

/// Returns the values of `stored` that the document of `base` does not contain.
fn new_values<'a>(base: &Current, stored: &'a StoredDocument) -> Result<Vec<&'a StoredValue>> {
    if base.head.is_none() {
        return Ok(stored.values.iter().collect());
    }
    let used = stored::split(&base.document)?;
    let is_used = |digest| used.values.iter().any(|value| value.digest == digest);
    Ok(stored.values.iter().filter(|value| !is_used(value.digest)).collect())
}

/// Returns whether the write of `written` took effect: `now` or its history contains it.
fn contains_write(now: &Head, written: &Head) -> bool {
    now.write == written.write || now.history.iter().any(|past| past.write == written.write)
}

/// Starts or ends the drain of a target; a draining target takes no new work.
pub fn set_drain(document: &mut Document, name: &TargetName, drain: bool) -> Result<()> {
    let Some(target) = document.targets.get_mut(name) else {
        let detail = format!("unknown target {name}");
        return Err(Error::BadDocument { detail });
    };
    target.drain = drain;
    if drain {
        document.rules.drained.insert(name.clone());
    } else {
        document.rules.drained.remove(name);
    }
    Ok(())
}

/// Copies the drains set by command from `current` to a document read from files.
pub fn copy_drains(document: &mut Document, current: &Document) {
    for name in &current.rules.drained {
        if let Some(target) = document.targets.get_mut(name) {
            target.drain = true;
            document.rules.drained.insert(name.clone());
        }
    }
}
