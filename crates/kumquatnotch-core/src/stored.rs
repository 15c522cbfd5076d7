//! The stored form of the document: a head, a manifest, and parts by digest.
//!
//! A document of 9,400 targets takes over half a megabyte. If each of 1,100
//! changes a day sent the whole document, every node would exceed its budget
//! for control traffic. The targets are therefore partitioned by the hash of
//! their names into a fixed number of parts. Each part is immutable and stored
//! under its digest, and a manifest lists the digests. A change writes the
//! modified parts, the manifest, and finally the head by compare-and-swap. Only
//! that last write puts the change in force, and a node fetches only the parts
//! that it lacks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result, codec,
    document::{Document, Rules, TargetSpec},
    ids::{ConfigVersion, Digest, TargetName, stable_hash},
    peer::StoredValue,
};

/// The key of the head in the platform's store.
pub const HEAD_KEY: &str = "kumquatnotch/head";

/// Key prefix of stored values; the digest follows.
pub const VALUE_PREFIX: &str = "kumquatnotch/value/";

/// Number of parts that the targets are partitioned into.
pub const PART_COUNT: usize = 64;

/// Number of earlier versions that the head lists for rollback.
pub const HISTORY_LENGTH: usize = 32;

/// Returns the key of the stored value with this digest.
pub fn value_key(digest: Digest) -> String {
    format!("{VALUE_PREFIX}{digest}")
}

/// The only mutable value, which names the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: ConfigVersion,
    /// Random number of the write, by which the writer recognises it if the reply was lost.
    pub write: u64,
    /// The author of the change.
    pub author: String,
    /// The reason for the change.
    pub note: String,
    /// The digest of its manifest.
    pub manifest: Digest,
    /// The earlier versions, the newest first.
    pub history: Vec<PastVersion>,
}

/// An earlier version that is available for rollback.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The version.
    pub version: ConfigVersion,
    /// Random number of its write.
    pub write: u64,
    /// The digest of its manifest.
    pub manifest: Digest,
}

/// The digests of the parts of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The part with the rules.
    pub rules: Digest,
    /// The parts with the targets.
    pub parts: Vec<Digest>,
}

impl Manifest {
    /// Returns the digests of all parts.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.rules).chain(self.parts.iter().copied())
    }
}

/// A document in its stored form.
#[derive(Clone, Debug)]
pub struct StoredDocument {
    /// The digest of the manifest.
    pub manifest: Digest,
    /// The manifest and every part.
    pub values: Vec<StoredValue>,
}

/// Splits a document into its stored values.
pub fn split(document: &Document) -> Result<StoredDocument> {
    let mut parts: Vec<BTreeMap<&TargetName, &TargetSpec>> = vec![BTreeMap::new(); PART_COUNT];
    for (name, spec) in &document.targets {
        parts[part_index(name)].insert(name, spec);
    }
    let mut values = vec![stored_value(&document.rules)?];
    for part in &parts {
        values.push(stored_value(part)?);
    }
    let mut digests = values.iter().map(|value| value.digest);
    let manifest = Manifest {
        rules: digests.next().ok_or_else(|| Error::internal("document has no parts"))?,
        parts: digests.collect(),
    };
    let manifest = stored_value(&manifest)?;
    let digest = manifest.digest;
    values.push(manifest);
    // Empty parts are identical and stored once.
    values.sort_by_key(|value| value.digest);
    values.dedup_by_key(|value| value.digest);
    Ok(StoredDocument { manifest: digest, values })
}

/// Assembles a document from its parts, which `value` looks up by digest.
pub fn join<'a>(
    version: ConfigVersion,
    manifest: &Manifest,
    value: impl Fn(Digest) -> Option<&'a [u8]>,
) -> Result<Document> {
    let rules: Rules = read_value(manifest.rules, &value)?;
    let mut targets = BTreeMap::new();
    for digest in &manifest.parts {
        let part: BTreeMap<TargetName, TargetSpec> = read_value(*digest, &value)?;
        targets.extend(part);
    }
    Ok(Document { version, targets, rules })
}

/// Checks that `value` matches its digest.
pub fn check_value(value: &StoredValue) -> Result<()> {
    if Digest::of(&value.value) != value.digest {
        return Err(Error::DigestMismatch);
    }
    Ok(())
}

fn part_index(name: &TargetName) -> usize {
    (stable_hash(&[name.as_bytes()]) % PART_COUNT as u64) as usize
}

fn stored_value<T: Serialize>(value: &T) -> Result<StoredValue> {
    let value = codec::encode(value)?;
    Ok(StoredValue { digest: Digest::of(&value), value })
}

fn read_value<'a, T: serde::de::DeserializeOwned>(
    digest: Digest,
    value: &impl Fn(Digest) -> Option<&'a [u8]>,
) -> Result<T> {
    match value(digest) {
        Some(bytes) => codec::decode(bytes),
        None => Err(Error::internal(format!("value {digest} is missing"))),
    }
}
