//! The newest configuration in a full state of the store.
//!
//! A store that was restored from an older copy may hold an earlier version, until the operators
//! write the later one again. This node continues to serve by the later one, and so must nodes that
//! load their state from it.

use kumquatnotch_core::store::{StoreItem, StoreScan};

use crate::{
    journal::Journal,
    schema::{Entry, EntryKey, Schema},
};

/// Returns a full state of the store with the configuration in the journal in place of its own, if
/// that one is older; otherwise `None`.
pub(crate) fn insert(
    scan: &StoreScan,
    journal: &Journal,
    schema: &dyn Schema,
) -> Option<StoreScan> {
    let is_config = |key: &str| schema.read_key(key) == Some(EntryKey::Config);
    let known = journal.find(is_config)?;
    let held = scan.items.iter().position(|item| is_config(&item.key));
    let held_version = held.and_then(|index| version(&scan.items[index], schema));
    let known_version = version(&known, schema);
    if known_version <= held_version {
        return None;
    }
    tracing::info!(known_version, held_version, "mirror: the store has an earlier configuration");
    let mut scan = scan.clone();
    match held {
        Some(index) => scan.items[index] = known,
        None => scan.items.push(known),
    }
    Some(scan)
}

fn version(item: &StoreItem, schema: &dyn Schema) -> Option<u64> {
    match schema.read(item) {
        Ok(Some(Entry::Config(config))) => Some(config.version),
        // An unreadable entry is logged when it is applied.
        _ => None,
    }
}
