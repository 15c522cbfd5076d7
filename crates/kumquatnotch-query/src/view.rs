//! Index versions that the shards have, as reported by holders.
//!
//! Each declared shard has one report, which the next one replaces. A report lists what
//! the replicas declared for that shard hold, version by version. After a
//! repartitioning this may be another shard than the declared one, so the layout of a
//! version is derived from the reports and never from the document. Every group answer
//! contains reports, so a busy node requests few of them separately.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    answer::ShardVersions, collections::HashMap, ids::ShardName, target::HeldVersion,
};

/// Time after the last non-empty report during which an empty one is ignored.
const EMPTY_GRACE: Duration = Duration::from_secs(10);

/// Versions that shards have.
#[derive(Default)]
pub struct VersionView {
    reports: RefCell<HashMap<ShardName, Report>>,
    changes: Cell<u64>,
}

/// Last report of a declared shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Versions that its replicas hold.
    pub versions: Vec<HeldVersion>,
    /// All collections in which it was ever reported, kept when its replicas are lost.
    pub collections: BTreeSet<String>,
    received: Option<Instant>,
    /// When a version was last reported.
    last_nonempty: Option<Instant>,
    requested: Option<Instant>,
}

impl Report {
    /// Returns whether an empty report is ignored for now.
    ///
    /// A holder that has just taken over a group has no versions for a moment. If its
    /// report counted, the next plan would lack these shards. If the replicas really
    /// are lost, requests to the shard fail, and it is listed with the reason.
    fn ignores_empty(&self, now: Instant, shard: &ShardVersions) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EMPTY_GRACE;
        shard.versions.is_empty() && self.last_nonempty.is_some_and(is_recent)
    }
}

impl VersionView {
    /// Applies the reports of a holder.
    pub fn update(&self, now: Instant, held: &[ShardVersions]) {
        let mut reports = self.reports.borrow_mut();
        for shard in held {
            let report = reports.entry(shard.shard.clone()).or_default();
            let first = report.received.replace(now).is_none();
            if !shard.versions.is_empty() {
                report.last_nonempty = Some(now);
            }
            if (report.versions == shard.versions && !first) || report.ignores_empty(now, shard) {
                continue;
            }
            self.changes.set(self.changes.get() + 1);
            report.versions.clone_from(&shard.versions);
            for version in &shard.versions {
                if !report.collections.contains(&version.collection) {
                    report.collections.insert(version.collection.clone());
                }
            }
        }
    }

    /// Returns a counter that increases whenever a report changes.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Returns whether no version is known of any of `shards`.
    pub(crate) fn has_no_versions(&self, shards: &[ShardName]) -> bool {
        let reports = self.reports.borrow();
        let has = |shard| reports.get(shard).is_some_and(|report| !report.versions.is_empty());
        !shards.iter().any(has)
    }

    /// Returns those of `shards` that were neither reported nor requested within `age`.
    pub(crate) fn stale(
        &self,
        now: Instant,
        shards: &[ShardName],
        age: Duration,
    ) -> Vec<ShardName> {
        let reports = self.reports.borrow();
        let recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < age);
        let is_stale = |shard: &&ShardName| {
            reports
                .get(*shard)
                .is_none_or(|report| !recent(report.received) && !recent(report.requested))
        };
        shards.iter().filter(is_stale).cloned().collect()
    }

    /// Records that the versions of `shards` are being requested.
    pub(crate) fn mark_requested(&self, now: Instant, shards: &[ShardName]) {
        let mut reports = self.reports.borrow_mut();
        for shard in shards {
            reports.entry(shard.clone()).or_default().requested = Some(now);
        }
    }

    /// Calls `visit` with the report of each of `shards`; `None` if there is none.
    pub(crate) fn visit(
        &self,
        shards: &[ShardName],
        mut visit: impl FnMut(&ShardName, Option<&Report>),
    ) {
        let reports = self.reports.borrow();
        for shard in shards {
            visit(shard, reports.get(shard));
        }
    }

    /// Removes shards for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&ShardName) -> bool) {
        self.reports.borrow_mut().retain(|shard, _| keep(shard));
    }

    /// Returns the number of shards with an entry.
    pub fn len(&self) -> usize {
        self.reports.borrow().len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
