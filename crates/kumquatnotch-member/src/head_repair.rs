//! Writes the head again that a restore of the store has lost.
//!
//! The store may be restored from a copy that lacks versions which are confirmed and in force. The
//! nodes that read the head keep the newest one, and the values that it refers to. If the store has
//! an earlier version, or none, they write both again. If another version was published on top of
//! an earlier one meanwhile, that one is the latest confirmed change; it is published again with a
//! version above the lost one, as nodes put only higher versions in force.

use kumquatnotch_core::{
    Error, Result, codec,
    ids::{ConfigVersion, Digest},
    store::StoreWrite,
    stored::{self, HEAD_KEY, HISTORY_LENGTH, Head, Manifest, PastVersion},
};
use tracing::{info, warn};

use crate::config_service::ConfigService;

/// A head as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct ReadHead {
    pub(crate) head: Head,
    /// Its revision in the store.
    pub(crate) revision: u64,
}

impl ConfigService {
    /// Notes the head that the store has now; writes the known one again if a restore has lost it.
    pub(crate) async fn note_head(&self, read: Option<&ReadHead>) {
        let known = self.known_head.borrow().clone();
        let restored_at = self.store.restored_at();
        let lost = known.filter(|known| known.revision < restored_at && !succeeds(read, known));
        let Some(lost) = lost else {
            if let Some(read) = read {
                *self.known_head.borrow_mut() = Some(read.clone());
            }
            return;
        };
        // Retried with the next read, as the known head stays the same.
        if let Err(error) = self.repair_head(&lost.head, read).await {
            let version = lost.head.version;
            warn!("config: version {version} lost in a restore was not written again: {error}");
        }
    }

    async fn repair_head(&self, lost: &Head, read: Option<&ReadHead>) -> Result<()> {
        let (head, manifest) = match read {
            Some(read) if is_other_change(&read.head, lost) => {
                (republished(&read.head, lost.version, self.random.number()), None)
            }
            _ => (lost.clone(), Some(lost.manifest)),
        };
        self.write_values(manifest).await?;
        let revision = read.map_or(0, |read| read.revision);
        let write = StoreWrite::put(HEAD_KEY, &codec::encode(&head)?, revision);
        match self.store.write(&write).await {
            Ok(_) => {}
            // Another node or an operator has written it; the next read shows that.
            Err(Error::CompareFailed) => return Ok(()),
            Err(error) => return Err(error),
        }
        // A collection of unused values may have run before the head referred to these.
        self.write_values(manifest).await?;
        info!("config: version {} written after a restore of the store", head.version);
        Ok(())
    }

    /// Writes the values of a version, as far as the store lacks them.
    async fn write_values(&self, manifest: Option<Digest>) -> Result<()> {
        let Some(digest) = manifest else {
            return Ok(());
        };
        let parts: Manifest = codec::decode(&self.value(digest)?.value)?;
        for digest in parts.digests().chain([digest]) {
            let value = self.value(digest)?;
            let write = StoreWrite::put(&stored::value_key(digest), &value.value, 0);
            match self.store.write(&write).await {
                Ok(_) | Err(Error::CompareFailed) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Whether the head that was read is the known one, or comes into force after it.
fn succeeds(read: Option<&ReadHead>, known: &ReadHead) -> bool {
    read.is_some_and(|ReadHead { head, .. }| {
        head.version > known.head.version || head.write == known.head.write
    })
}

/// Whether `read` was not published before `lost`, so that it is another change.
fn is_other_change(read: &Head, lost: &Head) -> bool {
    // The history is bounded; what is older than all of it was published before.
    let is_older = lost.history.last().is_some_and(|oldest| read.version < oldest.version);
    !is_older && !contains(lost, read.write)
}

fn contains(head: &Head, write: u64) -> bool {
    head.write == write || head.history.iter().any(|past| past.write == write)
}

/// Returns a head with the document of `head`, and a version above it and `lost`.
fn republished(head: &Head, lost: ConfigVersion, write: u64) -> Head {
    let past = PastVersion { version: head.version, write: head.write, manifest: head.manifest };
    let earlier = head.history.iter().take(HISTORY_LENGTH - 1).cloned();
    Head {
        version: ConfigVersion(head.version.0.max(lost.0) + 1),
        write,
        history: std::iter::once(past).chain(earlier).collect(),
        ..head.clone()
    }
}
