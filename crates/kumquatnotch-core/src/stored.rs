//! The stored form of the document: a head, a manifest, and parts by digest.
//!
//! A document of 9,400 targets is over half a megabyte (docs/MEASURES.md), and
//! 1,100 changes a day would cost each node more than its control budget if
//! every change sent the whole. So the targets are spread over a fixed number of
//! parts by the hash of their names, each part is stored under its digest and
//! never changes, and a manifest lists the digests. A change writes the parts
//! it touches, the manifest, and then the head, by compare-and-swap: only that
//! last write puts it in force, and a node fetches only parts it lacks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result, codec,
    document::{Document, Rules, TargetSpec},
    ids::{ConfigVersion, Digest, TargetName, stable_hash},
    peer::StoredValue,
};

/// The key of the head in the platform's service.
pub const HEAD_KEY: &str = "kumquatnotch/head";

/// The prefix of the keys of stored values, which their digests complete.
pub const VALUE_PREFIX: &str = "kumquatnotch/value/";

/// How many parts the targets are spread over.
pub const PART_COUNT: usize = 64;

/// How many earlier versions the head remembers, for rolling back.
pub const HISTORY_LENGTH: usize = 32;

/// The key of the stored value with this digest.
pub fn value_key(digest: Digest) -> String {
    format!("{VALUE_PREFIX}{digest}")
}

/// The one mutable value: which version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: ConfigVersion,
    /// Drawn by the writer, so that a write whose reply was lost can be recognised.
    pub write: u64,
    /// Who wrote it.
    pub author: String,
    /// Why.
    pub note: String,
    /// The digest of its manifest.
    pub manifest: Digest,
    /// Earlier versions, the newest first.
    pub history: Vec<PastVersion>,
}

/// An earlier version that can be returned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The version.
    pub version: ConfigVersion,
    /// The number that its writer drew.
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
    /// The digests of every part.
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
        rules: digests.next().ok_or_else(|| Error::internal("no parts"))?,
        parts: digests.collect(),
    };
    let manifest = stored_value(&manifest)?;
    let digest = manifest.digest;
    values.push(manifest);
    // Empty parts are alike and stored once.
    values.sort_by_key(|value| value.digest);
    values.dedup_by_key(|value| value.digest);
    Ok(StoredDocument { manifest: digest, values })
}

/// Puts a document together from its parts, which `value` looks up.
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

/// Checks that `value` has its digest.
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
        None => Err(Error::internal(format!("part {digest} is missing"))),
    }
}
