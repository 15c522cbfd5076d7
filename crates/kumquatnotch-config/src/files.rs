//! Reads the operators' document from TOML files, usually kept in version control.
//!
//! A document is a single file, or a folder of files that are merged table by
//! table. An entry that is defined in two files is a fault.

use std::{collections::BTreeMap, fs, path::Path};

use kumquatnotch_core::{
    Error, Result,
    document::{Document, Rules, SelectorSpec, TargetSpec, TenantSpec},
    ids::{DataCentre, Region, SelectorName, TargetName, TenantName},
};
use serde::Deserialize;

use crate::{
    check,
    fault::{Fault, bad_document},
    reader::Source,
};

/// The tables that a file may contain.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FileBody {
    regions: BTreeMap<DataCentre, Region>,
    selectors: BTreeMap<SelectorName, SelectorSpec>,
    tenants: BTreeMap<TenantName, TenantSpec>,
    targets: BTreeMap<TargetName, TargetSpec>,
}

/// The name and contents of a file.
#[derive(Clone, Debug)]
pub struct FileText {
    /// The name, as reported in faults.
    pub name: String,
    /// The contents.
    pub text: String,
}

/// Loads and validates the document from a file or from the `.toml` files of a folder.
pub fn load(path: &Path) -> Result<Document> {
    let files = read_files(path)?;
    parse(&files).map_err(|faults| bad_document(&faults))
}

/// Parses and validates the document in `files`; on failure, returns every fault.
pub fn parse(files: &[FileText]) -> Result<Document, Vec<Fault>> {
    let mut document = Document::default();
    let mut faults = Vec::new();
    let mut sources = Vec::new();
    for file in files {
        let source = match Source::parse(&file.name, &file.text) {
            Ok(source) => source,
            Err(more) => {
                faults.extend(more);
                continue;
            }
        };
        let (body, more) = source.read::<FileBody>();
        faults.extend(more);
        merge(&mut document, body.unwrap_or_default(), &source, &mut faults);
        sources.push(source);
    }
    // Validation across entries would report spurious faults while some entries are unreadable.
    if faults.is_empty() {
        faults = check::check(&document, &sources);
    }
    faults.sort();
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

fn merge(document: &mut Document, body: FileBody, source: &Source<'_>, faults: &mut Vec<Fault>) {
    let Rules { regions, selectors, tenants, .. } = &mut document.rules;
    merge_table("regions", regions, body.regions, source, faults);
    merge_table("selectors", selectors, body.selectors, source, faults);
    merge_table("tenants", tenants, body.tenants, source, faults);
    merge_table("targets", &mut document.targets, body.targets, source, faults);
}

fn merge_table<K: Ord + AsRefStr, V>(
    table: &str,
    into: &mut BTreeMap<K, V>,
    from: BTreeMap<K, V>,
    source: &Source<'_>,
    faults: &mut Vec<Fault>,
) {
    for (name, value) in from {
        if into.contains_key(&name) {
            let path = [table, name.as_ref_str()];
            faults.push(source.fault(&path, "already defined in another file"));
            continue;
        }
        into.insert(name, value);
    }
}

/// Names that can be used as a segment of a path.
trait AsRefStr {
    fn as_ref_str(&self) -> &str;
}

impl<T: std::ops::Deref<Target = str>> AsRefStr for T {
    fn as_ref_str(&self) -> &str {
        self
    }
}

fn read_files(path: &Path) -> Result<Vec<FileText>> {
    let unreadable = |error: std::io::Error| Error::BadDocument {
        detail: format!("{}: {error}", path.display()),
    };
    if !path.is_dir() {
        let text = fs::read_to_string(path).map_err(unreadable)?;
        return Ok(vec![FileText { name: path.display().to_string(), text }]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let text = fs::read_to_string(&path).map_err(unreadable)?;
        files.push(FileText { name: path.display().to_string(), text });
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}
