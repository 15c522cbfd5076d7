//! Selection of a single snapshot for a whole answer.
//!
//! The layout of a version consists of its collections, their numbers of shards, and
//! the shards that were reported. It determines how many shards an answer must include.
//! A shard that no holder has reported at that version therefore still counts and is
//! listed as missing, and a repartitioned collection is neither counted twice nor
//! covered in part.

use std::collections::{BTreeMap, BTreeSet};

use kumquatnotch_core::{
    Error, Result,
    answer::Missing,
    collections::HashSet,
    ids::{IndexVersion, ShardName},
};

use crate::view::VersionView;

/// Snapshot of an answer and the shards that belong to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Version of the index.
    pub version: IndexVersion,
    /// Shards to which the request can be sent.
    pub shards: Vec<PlannedShard>,
    /// Shards that belong to the snapshot but cannot be reached.
    pub absent: Vec<Missing>,
}

/// Shard to which a request can be sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedShard {
    /// Name of the shard at the snapshot.
    pub shard: ShardName,
    /// Declared shard whose replicas hold it; determines its group.
    pub declared: ShardName,
}

impl Plan {
    /// Returns the number of shards that the answer must account for.
    pub fn asked(&self) -> u32 {
        (self.shards.len() + self.absent.len()) as u32
    }

    /// Returns this plan with the shards in `gone` listed as missing.
    pub(crate) fn without(&self, gone: &GoneShards) -> Plan {
        let error = Error::VersionGone { version: self.version.0 };
        let lost = |e: &&PlannedShard| gone.contains(&(self.version, e.shard.clone()));
        let (lost, left): (Vec<&PlannedShard>, Vec<&PlannedShard>) =
            self.shards.iter().partition(lost);
        let mut absent = self.absent.clone();
        absent.extend(lost.into_iter().map(|e| Missing::new(e.shard.clone(), &error)));
        Plan { version: self.version, shards: left.into_iter().cloned().collect(), absent }
    }

    /// Returns whether this plan covers a larger share of its shards than `other`.
    pub fn is_better(&self, other: &Plan) -> bool {
        let (own, others) = (self.shards.len() as u64, other.shards.len() as u64);
        own * u64::from(other.asked()) > others * u64::from(self.asked())
    }
}

/// Shards that were found to lack a version while a query was running.
pub(crate) type GoneShards = BTreeSet<(IndexVersion, ShardName)>;

/// Plans an answer over the declared `shards`.
///
/// Selects the newest version that every shard has. Without one, it selects the version
/// with the best coverage, and the newest among equals.
pub fn plan(view: &VersionView, shards: &[ShardName]) -> Result<Plan> {
    plan_without(view, shards, &GoneShards::new())
}

/// Like [`plan`], but treats the shards in `gone` as unavailable.
pub(crate) fn plan_without(
    view: &VersionView,
    shards: &[ShardName],
    gone: &GoneShards,
) -> Result<Plan> {
    let layouts = Layouts::read(view, shards, gone);
    let mut best: Option<Plan> = None;
    for version in layouts.versions.iter().rev() {
        let plan = layouts.plan(*version);
        if best.as_ref().is_none_or(|best| plan.is_better(best)) {
            best = Some(plan);
        }
    }
    best.filter(|plan| !plan.shards.is_empty()).ok_or(Error::NoSnapshot)
}

/// Layouts of all reported versions.
#[derive(Default)]
struct Layouts {
    versions: BTreeSet<IndexVersion>,
    collections: BTreeMap<String, BTreeMap<IndexVersion, Layout>>,
    unknown: Vec<UnknownShard>,
}

/// Layout of one collection at one version.
#[derive(Clone, Default)]
struct Layout {
    total: u32,
    /// Reported shards, each with the declared shard whose replicas hold it.
    shards: BTreeMap<ShardName, ShardName>,
    /// Shards that were reported but found to lack this version.
    gone: BTreeSet<ShardName>,
}

impl Layout {
    /// Returns whether all reported shards have their declared names.
    fn is_declared(&self) -> bool {
        self.shards.iter().all(|(shard, declared)| shard == declared)
    }

    /// Adds a shard held by the replicas of `declared`; a shard's own replicas take
    /// precedence.
    fn add(&mut self, shard: &ShardName, declared: &ShardName) {
        let known = self.shards.entry(shard.clone()).or_insert_with(|| declared.clone());
        if shard == declared {
            known.clone_from(declared);
        }
    }
}

/// Declared shard whose replicas are not known to hold any version.
struct UnknownShard {
    shard: ShardName,
    /// Collections in which it was previously reported.
    collections: BTreeSet<String>,
}

impl Layouts {
    fn read(view: &VersionView, shards: &[ShardName], gone: &GoneShards) -> Layouts {
        let mut layouts = Layouts::default();
        view.visit(shards, |declared, report| match report {
            Some(report) if !report.versions.is_empty() => {
                for held in &report.versions {
                    layouts.versions.insert(held.version);
                    let versions = layouts.collections.entry(held.collection.clone()).or_default();
                    let layout = versions.entry(held.version).or_default();
                    layout.total = layout.total.max(held.total);
                    let is_gone = gone.contains(&(held.version, held.shard.clone()));
                    if is_gone {
                        layout.gone.insert(held.shard.clone());
                    } else {
                        layout.add(&held.shard, declared);
                    }
                }
            }
            Some(report) => layouts.unknown.push(UnknownShard {
                shard: declared.clone(),
                collections: report.collections.clone(),
            }),
            None => layouts
                .unknown
                .push(UnknownShard { shard: declared.clone(), collections: BTreeSet::new() }),
        });
        layouts.drop_moved();
        layouts
    }

    /// Removes declared shards that are now held by the replicas of another shard.
    ///
    /// They already belong to a layout. If such a shard were also listed as unknown, it
    /// would take the slot of one that was never reported, and the plan would omit a
    /// shard.
    fn drop_moved(&mut self) {
        let unknown = std::mem::take(&mut self.unknown);
        let layouts = || self.collections.values().flat_map(BTreeMap::values);
        let is_seen = |shard: &ShardName| {
            layouts().any(|layout| layout.shards.contains_key(shard) || layout.gone.contains(shard))
        };
        let unknown = unknown.into_iter().filter(|unknown| !is_seen(&unknown.shard)).collect();
        self.unknown = unknown;
    }

    fn plan(&self, version: IndexVersion) -> Plan {
        let mut plan = Plan { version, ..Plan::default() };
        let mut names = MissingNames::new(&self.unknown);
        let gone = Error::VersionGone { version: version.0 };
        for (collection, versions) in &self.collections {
            let (layout, present) = nearest(versions, version);
            let mut unassigned =
                (layout.total as usize).max(layout.shards.len() + layout.gone.len());
            if present {
                unassigned -= layout.shards.len();
                let seen = layout.shards.iter();
                plan.shards.extend(seen.map(|(shard, declared)| PlannedShard {
                    shard: shard.clone(),
                    declared: declared.clone(),
                }));
            }
            // The remaining shards of the collection cannot be reached. Their slots get
            // the names of shards known to belong to the collection, as far as there
            // are any.
            let mut lost: BTreeSet<&ShardName> = layout.gone.iter().collect();
            for (_, other) in versions.iter().filter(|(_, other)| other.total == layout.total) {
                lost.extend(other.shards.keys());
            }
            if present {
                lost.retain(|shard| !layout.shards.contains_key(*shard));
            }
            for shard in lost.into_iter().take(unassigned) {
                plan.absent.push(Missing::new(shard.clone(), &gone));
                unassigned -= 1;
            }
            names.fill(collection, (unassigned, layout.is_declared()), &mut plan.absent);
        }
        names.add_remaining(&mut plan.absent);
        plan.shards.sort();
        plan.shards.dedup_by(|a, b| a.shard == b.shard);
        // Collections with a shard of the same name share that shard.
        let mut names: HashSet<ShardName> =
            plan.shards.iter().map(|planned| planned.shard.clone()).collect();
        plan.absent.retain(|missing| names.insert(missing.shard.clone()));
        plan
    }
}

/// Returns the layout at `version`, or else the nearest one before it, or else after
/// it.
fn nearest(versions: &BTreeMap<IndexVersion, Layout>, version: IndexVersion) -> (&Layout, bool) {
    if let Some(layout) = versions.get(&version) {
        return (layout, true);
    }
    let before = versions.range(..version).next_back();
    let nearest = before.or_else(|| versions.range(version..).next());
    // A collection is only inserted together with a version.
    let (_, layout) = nearest.expect("collection should have a version");
    (layout, false)
}

/// Names for shards that belong to a snapshot but were not reported at it.
struct MissingNames<'a> {
    unknown: Vec<&'a UnknownShard>,
    known_collections: BTreeSet<String>,
}

impl<'a> MissingNames<'a> {
    fn new(unknown: &'a [UnknownShard]) -> MissingNames<'a> {
        MissingNames { unknown: unknown.iter().collect(), known_collections: BTreeSet::new() }
    }

    /// Lists `unassigned` shards of `collection` as missing, under the names of
    /// declared shards if the layout is `named` by them.
    ///
    /// After a repartitioning the layout has other names, and a declared name would
    /// refer to a shard that is not part of the snapshot.
    fn fill(
        &mut self,
        collection: &str,
        (unassigned, named): (usize, bool),
        absent: &mut Vec<Missing>,
    ) {
        self.known_collections.insert(collection.to_owned());
        for number in 0..unassigned {
            // Prefer a shard that was reported in this collection, then one that was
            // never reported and may belong to it.
            let seen = self.unknown.iter().position(|u| u.collections.contains(collection));
            let place = seen.or_else(|| self.unknown.iter().position(|u| u.collections.is_empty()));
            let unknown = place.map(|place| self.unknown.remove(place).shard.clone());
            let shard = unknown
                .filter(|_| named)
                .unwrap_or_else(|| ShardName::from(format!("{collection}/unseen-{number}")));
            absent.push(Missing::new(shard, &Error::NoTarget));
        }
    }

    /// Lists the remaining shards that no known collection accounts for.
    ///
    /// A shard that was never reported may belong to a collection that is entirely
    /// down. If it were omitted, an incomplete answer would appear complete.
    fn add_remaining(self, absent: &mut Vec<Missing>) {
        for unknown in self.unknown {
            if unknown.collections.is_disjoint(&self.known_collections) {
                absent.push(Missing::new(unknown.shard.clone(), &Error::NoTarget));
            }
        }
    }
}
