//! The changes of the store that are kept for followers.
//!
//! They share the current values with the known state, so that only older values take memory of
//! their own. An older value may be left out: a follower that is behind the change gets the later
//! one of the same key with it, and ends at the same state.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use kumquatnotch_core::{
    collections::HashSet,
    store::{StoreEvent, StoreItem},
};

/// Number of changes that are kept for followers.
///
/// A follower is a few seconds behind at most; one that is further behind gets the full state.
const MAX_CHANGES: usize = 2_000;

/// Maximum size of all older values together, in bytes.
///
/// They are sent with the current values, and both must fit into a reply to a follower.
const MAX_OLDER_BYTES: usize = 1 << 20;

/// A value, shared between the state and the changes that led to it.
pub(crate) type Value = Rc<[u8]>;

/// A value of the known state, and the revision of its last change.
pub(crate) struct Entry {
    pub(crate) value: Value,
    pub(crate) revision: u64,
}

/// The known state by key.
pub(crate) type Entries = BTreeMap<String, Entry>;

struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was deleted.
    value: Option<Value>,
}

/// The latest changes, in order.
#[derive(Default)]
pub(crate) struct History {
    changes: VecDeque<Change>,
    /// Size of all values of the changes, in bytes.
    bytes: usize,
    /// Revision after which all changes are kept, but those in gaps.
    compacted: u64,
    /// Revisions between which only the differences are kept, from the first to the second.
    gaps: Vec<(u64, u64)>,
}

impl History {
    /// Drops all changes; those after `revision` will be added.
    pub(crate) fn restart(&mut self, revision: u64) {
        *self = History { compacted: revision, ..History::default() };
    }

    /// Notes that the next changes are the differences between the states at two revisions.
    pub(crate) fn add_gap(&mut self, start: u64, end: u64) {
        self.gaps.push((start, end));
    }

    /// Adds a change; `value` is `None` if the key was deleted.
    pub(crate) fn push(&mut self, key: &str, revision: u64, value: Option<Value>) {
        self.bytes += size(&value);
        self.changes.push_back(Change { key: key.to_owned(), revision, value });
    }

    /// Number of changes that are kept.
    pub(crate) fn len(&self) -> usize {
        self.changes.len()
    }

    /// Drops the oldest changes and the largest older values, beyond what is kept.
    pub(crate) fn trim(&mut self, entries: &Entries) {
        while self.changes.len() > MAX_CHANGES
            && let Some(first) = self.changes.pop_front()
        {
            self.bytes -= size(&first.value);
            self.compacted = first.revision;
        }
        self.gaps.retain(|(_, end)| *end > self.compacted);
        if self.bytes > MAX_OLDER_BYTES {
            self.drop_older_values(entries);
        }
    }

    /// Drops the largest older values, because the entries of replicas and nodes are small, and a
    /// follower that gets each change of them can tell how they left.
    fn drop_older_values(&mut self, entries: &Entries) {
        let older = self.changes.iter().enumerate().filter_map(|(index, change)| {
            let value = change.value.as_ref()?;
            let is_current =
                entries.get(&change.key).is_some_and(|entry| Rc::ptr_eq(&entry.value, value));
            (!is_current).then_some((value.len(), index))
        });
        let mut older: Vec<(usize, usize)> = older.collect();
        older.sort_unstable_by_key(|(size, index)| (Reverse(*size), *index));
        let mut kept_bytes: usize = older.iter().map(|(size, _)| size).sum();
        let mut dropped = HashSet::default();
        for (size, index) in older {
            if kept_bytes <= MAX_OLDER_BYTES {
                break;
            }
            kept_bytes -= size;
            self.bytes -= size;
            dropped.insert(index);
        }
        let mut index = 0;
        self.changes.retain(|_| {
            index += 1;
            !dropped.contains(&(index - 1))
        });
    }

    /// Whether the changes after a revision are kept.
    pub(crate) fn covers(&self, revision: u64) -> bool {
        let is_in_gap = |(start, end): &(u64, u64)| (start + 1..*end).contains(&revision);
        revision >= self.compacted && !self.gaps.iter().any(is_in_gap)
    }

    /// Returns the changes after a revision.
    pub(crate) fn after(&self, revision: u64) -> Vec<StoreEvent> {
        let newer = self.changes.iter().filter(|change| change.revision > revision);
        newer.map(Change::to_event).collect()
    }
}

impl Change {
    fn to_event(&self) -> StoreEvent {
        let (key, revision) = (self.key.clone(), self.revision);
        match &self.value {
            Some(value) => StoreEvent::Written(StoreItem { key, value: value.to_vec(), revision }),
            None => StoreEvent::Deleted { key, revision },
        }
    }
}

fn size(value: &Option<Value>) -> usize {
    value.as_ref().map_or(0, |value| value.len())
}
