//! The choice of one snapshot for a whole answer.
//!
//! The layout of a version - the collections, how many shards each has, and
//! which were seen - decides how many shards an answer must be asked for. So a
//! shard that nobody has seen at that version still counts, and is listed as
//! missing, and a repartitioned collection is neither counted twice nor thinned.

use std::collections::{BTreeMap, BTreeSet};

use kumquatnotch_core::{
    Error, Result,
    answer::Missing,
    collections::HashSet,
    ids::{IndexVersion, ShardName},
};

use crate::view::VersionView;

/// What an answer is taken from and which shards are asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The snapshot.
    pub version: IndexVersion,
    /// The shards that can be asked.
    pub shards: Vec<PlannedShard>,
    /// The shards that belong to the snapshot but can't be asked.
    pub absent: Vec<Missing>,
}

/// A shard that can be asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedShard {
    /// The shard, by its name at the snapshot.
    pub shard: ShardName,
    /// The declared shard whose replicas hold it, which decides its group.
    pub declared: ShardName,
}

impl Plan {
    /// How many shards the answer must be asked for.
    pub fn asked(&self) -> u32 {
        (self.shards.len() + self.absent.len()) as u32
    }

    /// This plan with what is in `gone` listed as missing.
    pub(crate) fn without(&self, gone: &GoneShards) -> Plan {
        let error = Error::VersionGone { version: self.version.0 };
        let lost = |e: &&PlannedShard| gone.contains(&(self.version, e.shard.clone()));
        let (lost, left): (Vec<&PlannedShard>, Vec<&PlannedShard>) =
            self.shards.iter().partition(lost);
        let mut absent = self.absent.clone();
        absent.extend(lost.into_iter().map(|e| Missing::new(e.shard.clone(), &error)));
        Plan { version: self.version, shards: left.into_iter().cloned().collect(), absent }
    }

    /// Whether this plan reaches a larger share of its shards than `other`.
    pub fn is_better(&self, other: &Plan) -> bool {
        let (own, others) = (self.shards.len() as u64, other.shards.len() as u64);
        own * u64::from(other.asked()) > others * u64::from(self.asked())
    }
}

/// Shards that turned out not to have a version while a query ran.
pub(crate) type GoneShards = BTreeSet<(IndexVersion, ShardName)>;

/// Plans an answer over the declared `shards`.
///
/// The newest version that every shard has is taken, else the one with the best
/// coverage, the newest first.
pub fn plan(view: &VersionView, shards: &[ShardName]) -> Result<Plan> {
    plan_without(view, shards, &GoneShards::new())
}

/// As [`plan`], not counting on what is in `gone`.
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

/// The layouts of all versions that were seen.
#[derive(Default)]
struct Layouts {
    versions: BTreeSet<IndexVersion>,
    collections: BTreeMap<String, BTreeMap<IndexVersion, Layout>>,
    unknown: Vec<UnknownShard>,
}

/// One collection at one version.
#[derive(Clone, Default)]
struct Layout {
    total: u32,
    /// The shards that were seen, with the declared shard that holds each.
    shards: BTreeMap<ShardName, ShardName>,
    /// The shards that are there by their reports but not in truth.
    gone: BTreeSet<ShardName>,
}

impl Layout {
    /// Whether the shards that were seen stand under their declared names.
    fn is_declared(&self) -> bool {
        self.shards.iter().all(|(shard, declared)| shard == declared)
    }

    /// The shard is held by replicas declared for `declared`; its own come first.
    fn add(&mut self, shard: &ShardName, declared: &ShardName) {
        let known = self.shards.entry(shard.clone()).or_insert_with(|| declared.clone());
        if shard == declared {
            known.clone_from(declared);
        }
    }
}

/// A declared shard whose replicas hold nothing, as far as is known.
struct UnknownShard {
    shard: ShardName,
    /// The collections it was seen in before.
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

    /// Drops declared shards that replicas of another one hold by now.
    ///
    /// They are in a layout already. Listed as unknown as well, such a shard would
    /// take the place of one that nobody has seen, and the plan would be thin.
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
            // What is left of the collection can't be asked. The slots get the
            // names of shards that are known to belong to it, as far as they go.
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
        // Collections that share the name of a shard share the shard.
        let mut names: HashSet<ShardName> =
            plan.shards.iter().map(|planned| planned.shard.clone()).collect();
        plan.absent.retain(|missing| names.insert(missing.shard.clone()));
        plan
    }
}

/// The layout at `version`, else the nearest one before, else after it.
fn nearest(versions: &BTreeMap<IndexVersion, Layout>, version: IndexVersion) -> (&Layout, bool) {
    if let Some(layout) = versions.get(&version) {
        return (layout, true);
    }
    let before = versions.range(..version).next_back();
    let nearest = before.or_else(|| versions.range(version..).next());
    // A collection is in the map because one version of it was seen.
    let (_, layout) = nearest.expect("a collection has a version");
    (layout, false)
}

/// Names for shards that belong to a snapshot but were not seen at it.
struct MissingNames<'a> {
    unknown: Vec<&'a UnknownShard>,
    known: BTreeSet<String>,
}

impl<'a> MissingNames<'a> {
    fn new(unknown: &'a [UnknownShard]) -> MissingNames<'a> {
        MissingNames { unknown: unknown.iter().collect(), known: BTreeSet::new() }
    }

    /// Lists `unassigned` shards of `collection` as missing, under the names of declared
    /// shards if the layout is `named` by them.
    ///
    /// After a repartitioning it is not, and a declared name would be that of a
    /// shard which is not part of the snapshot.
    fn fill(
        &mut self,
        collection: &str,
        (unassigned, named): (usize, bool),
        absent: &mut Vec<Missing>,
    ) {
        self.known.insert(collection.to_owned());
        for number in 0..unassigned {
            // First a shard that was seen in this collection, then one that was
            // never seen anywhere and may belong to it.
            let seen = self.unknown.iter().position(|u| u.collections.contains(collection));
            let place = seen.or_else(|| self.unknown.iter().position(|u| u.collections.is_empty()));
            let unknown = place.map(|place| self.unknown.remove(place).shard.clone());
            let shard = unknown
                .filter(|_| named)
                .unwrap_or_else(|| ShardName::from(format!("{collection}/unseen-{number}")));
            absent.push(Missing::new(shard, &Error::NoTarget));
        }
    }

    /// Lists what is left and not accounted for by a collection that is known.
    ///
    /// A shard never heard of may belong to a collection that is down as a
    /// whole: leaving it out would make a thin answer look whole.
    fn add_remaining(self, absent: &mut Vec<Missing>) {
        for unknown in self.unknown {
            if unknown.collections.is_disjoint(&self.known) {
                absent.push(Missing::new(unknown.shard.clone(), &Error::NoTarget));
            }
        }
    }
}
