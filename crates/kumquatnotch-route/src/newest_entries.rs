//! The newest entries in a full state of the store.
//!
//! A store that was restored from an older copy holds earlier entries than this node knows, until
//! their owners write the later ones again: a configuration of an earlier version, or a replica
//! that does not drain yet. This node continues to serve by the later ones, and so must nodes that
//! get its state.

use kumquatnotch_core::store::{StoreItem, StoreScan};

use crate::{
    journal::Journal,
    schema::{Entry, EntryKey, Schema},
};

/// Returns a full state of the store with the entries that the journal has in a later form;
/// `None` if there are none.
pub(crate) fn insert(
    scan: &StoreScan,
    journal: &Journal,
    schema: &dyn Schema,
) -> Option<StoreScan> {
    let is_config = |key: &str| schema.read_key(key) == Some(EntryKey::Config);
    let later = scan.items.iter().enumerate().filter_map(|(index, item)| {
        let known = journal.item(&item.key)?;
        (known.value != item.value && supersedes(&known, item, schema)).then_some((index, known))
    });
    let later: Vec<(usize, StoreItem)> = later.collect();
    let has_config = scan.items.iter().any(|item| is_config(&item.key));
    let config = if has_config { None } else { journal.find(is_config) };
    if later.is_empty() && config.is_none() {
        return None;
    }
    let mut scan = scan.clone();
    for (index, known) in later {
        tracing::info!(key = known.key, "mirror: the store has an earlier entry");
        scan.items[index] = known;
    }
    if let Some(config) = config {
        tracing::info!(key = config.key, "mirror: the store has no configuration");
        scan.items.push(config);
    }
    Some(scan)
}

/// Whether a known entry was written after the one that the store has.
fn supersedes(known: &StoreItem, held: &StoreItem, schema: &dyn Schema) -> bool {
    match (schema.read(known), schema.read(held)) {
        (Ok(Some(Entry::Config(known))), Ok(Some(Entry::Config(held)))) => {
            known.version > held.version
        }
        (Ok(Some(Entry::Replica(_, known))), Ok(Some(Entry::Replica(_, held)))) => {
            known.born == held.born && known.sequence > held.sequence && held.sequence > 0
        }
        // An unreadable entry is logged when it is applied.
        _ => false,
    }
}
