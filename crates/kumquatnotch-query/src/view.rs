//! Which versions of the index the shards have, as holders tell it.
//!
//! Each shard that the document declares has one report, replaced by the next.
//! A report names what the replicas declared for that shard hold, version by
//! version: after a repartitioning this may be another shard than the declared
//! one, so the layout of a version is taken from the reports and never from the
//! document. Every group answer brings reports, so a busy node asks for few.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    answer::ShardVersions, collections::HashMap, ids::ShardName, target::HeldVersion,
};

/// How long after the last version was heard of an empty report counts.
const EMPTY_GRACE: Duration = Duration::from_secs(10);

/// The versions that shards have.
#[derive(Default)]
pub struct VersionView {
    reports: RefCell<HashMap<ShardName, Report>>,
    changes: Cell<u64>,
}

/// What was last heard of a declared shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// The versions that its replicas hold.
    pub versions: Vec<HeldVersion>,
    /// The collections it was ever seen in, which outlast its replicas.
    pub collections: BTreeSet<String>,
    received: Option<Instant>,
    /// When any version was last heard of.
    last_nonempty: Option<Instant>,
    requested: Option<Instant>,
}

impl Report {
    /// Whether an empty report is not believed yet.
    ///
    /// A holder that has just taken a group over knows nothing for a moment. If
    /// that counted, the next plan would be thin. If the replicas are lost in
    /// truth, the shard is asked for in vain and listed with its reason.
    fn ignores_empty(&self, now: Instant, shard: &ShardVersions) -> bool {
        let young = |at: Instant| now.saturating_duration_since(at) < EMPTY_GRACE;
        shard.versions.is_empty() && self.last_nonempty.is_some_and(young)
    }
}

impl VersionView {
    /// Takes what a holder says of its shards.
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

    /// Grows whenever something else than before was heard.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Whether nothing was ever heard of any of `shards`.
    pub(crate) fn has_no_versions(&self, shards: &[ShardName]) -> bool {
        let reports = self.reports.borrow();
        let has = |shard| reports.get(shard).is_some_and(|report| !report.versions.is_empty());
        !shards.iter().any(has)
    }

    /// Those of `shards` that were not received of for `age` and not asked for either.
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

    /// Notes that `shards` are asked for.
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

    /// Forgets shards that `keep` does not name.
    pub(crate) fn retain(&self, keep: impl Fn(&ShardName) -> bool) {
        self.reports.borrow_mut().retain(|shard, _| keep(shard));
    }

    /// How many shards were heard of.
    pub fn len(&self) -> usize {
        self.reports.borrow().len()
    }

    /// Whether no shard was heard of.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
