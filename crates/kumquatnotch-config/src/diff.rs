//! Human-readable differences between two documents.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use kumquatnotch_core::{document::Document, ids::TargetName};
use serde::Serialize;

/// An entry that was added, removed or changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The path of the entry, such as `targets.t1`.
    pub path: String,
    /// The old value as JSON; `None` if the entry was added.
    pub before: Option<String>,
    /// The new value as JSON; `None` if the entry was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {} = {after}", self.path),
            (Some(before), None) => write!(f, "- {} = {before}", self.path),
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the changes from `before` to `after`, grouped by table.
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let (old, new) = (&before.rules, &after.rules);
    diff_table("regions", &old.regions, &new.regions, &mut changes);
    diff_table("selectors", &old.selectors, &new.selectors, &mut changes);
    diff_table("tenants", &old.tenants, &new.tenants, &mut changes);
    diff_table("targets", &before.targets, &after.targets, &mut changes);
    let drains = |set: &BTreeSet<TargetName>| -> BTreeMap<TargetName, bool> {
        set.iter().map(|name| (name.clone(), true)).collect()
    };
    diff_table("drained", &drains(&old.drained), &drains(&new.drained), &mut changes);
    changes
}

/// Formats the changes as text, one per line.
pub fn to_text(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(Change::to_string).collect();
    lines.join("\n")
}

fn diff_table<K: Ord + fmt::Display, V: PartialEq + Serialize>(
    table: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    changes: &mut Vec<Change>,
) {
    for (name, old) in before {
        let new = after.get(name);
        if new == Some(old) {
            continue;
        }
        changes.push(Change {
            path: format!("{table}.{name}"),
            before: Some(to_json(old)),
            after: new.map(to_json),
        });
    }
    for (name, new) in after.iter().filter(|(name, _)| !before.contains_key(*name)) {
        let path = format!("{table}.{name}");
        changes.push(Change { path, before: None, after: Some(to_json(new)) });
    }
}

fn to_json<V: Serialize>(value: &V) -> String {
    serde_json::to_string(value).unwrap_or_else(|error| error.to_string())
}
