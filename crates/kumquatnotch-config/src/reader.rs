//! Deserializes TOML and reports every fault at once.
//!
//! `serde` stops at the first fault. The reader therefore removes the faulty
//! value and deserializes the rest again, until no fault is left or the limit
//! on reported faults is reached. A table with a missing field is removed as a
//! whole.

use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use toml::{
    Spanned, Value,
    de::{DeTable, DeValue},
};

use crate::fault::Fault;

/// Maximum number of faults reported per file.
const FAULT_LIMIT: usize = 100;

/// A parsed file, which maps the paths of its values to line numbers.
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
    tree: Spanned<DeTable<'a>>,
}

impl<'a> Source<'a> {
    /// Parses `text`; `file` is the name reported in faults.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Source<'a>, Vec<Fault>> {
        let (tree, errors) = DeTable::parse_recoverable(text);
        if errors.is_empty() {
            return Ok(Source { file, text, tree });
        }
        let fault = |error: &toml::de::Error| Fault {
            file: file.to_owned(),
            line: error.span().map(|span| line_at(text, span.start)),
            path: String::new(),
            reason: error.message().to_owned(),
        };
        Err(errors.iter().take(FAULT_LIMIT).map(fault).collect())
    }

    /// Deserializes the file into `T` and returns every fault.
    ///
    /// The value is `None` if deserialization fails even without the faulty
    /// values.
    pub fn read<T: DeserializeOwned>(&self) -> (Option<T>, Vec<Fault>) {
        let mut faults = Vec::new();
        let mut rest: Value = match toml::from_str(self.text) {
            Ok(value) => value,
            Err(error) => return (None, vec![self.fault(&[], error.message())]),
        };
        while faults.len() < FAULT_LIMIT {
            let error = match serde_path_to_error::deserialize(rest.clone()) {
                Ok(value) => return (Some(value), faults),
                Err(error) => error,
            };
            let reason = error.inner().message().to_owned();
            let path = path_of(error.path(), &reason);
            if !self.is_reported(&faults, &path, &reason) {
                faults.push(self.fault(&path, &reason));
            }
            if !remove(&mut rest, &path) {
                break;
            }
        }
        (None, faults)
    }

    /// Returns whether `reason` is a missing field whose faulty value was removed before.
    fn is_reported(&self, faults: &[Fault], path: &[&str], reason: &str) -> bool {
        let Some(field) = quoted_after("missing field `", reason) else {
            return false;
        };
        let path = [path, &[field]].concat().join(".");
        faults.iter().any(|fault| fault.path == path)
    }

    /// Creates a fault for the value at `path`.
    pub fn fault(&self, path: &[&str], reason: &str) -> Fault {
        Fault {
            file: self.file.to_owned(),
            line: self.line(path),
            path: path.join("."),
            reason: reason.to_owned(),
        }
    }

    /// Returns the line of the value at `path`, or of its closest existing ancestor.
    fn line(&self, path: &[&str]) -> Option<usize> {
        let mut table = self.tree.get_ref();
        let mut line = None;
        for name in path {
            let Some((key, value)) = table.iter().find(|(key, _)| key.get_ref() == *name) else {
                break;
            };
            line = Some(line_at(self.text, key.span().start));
            match value.get_ref() {
                DeValue::Table(inner) => table = inner,
                _ => break,
            }
        }
        line
    }
}

/// Returns the path of the faulty value.
fn path_of<'p>(path: &'p serde_path_to_error::Path, reason: &'p str) -> Vec<&'p str> {
    let mut names: Vec<&str> = path
        .iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(key.as_str()),
            _ => None,
        })
        .collect();
    // The path of an unknown field ends at its table; only the reason names the field.
    if let Some(field) = quoted_after("unknown field `", reason)
        && names.last() != Some(&field)
    {
        names.push(field);
    }
    names
}

/// Returns the text between `prefix`, which ends with a backquote, and the next backquote.
fn quoted_after<'r>(prefix: &str, reason: &'r str) -> Option<&'r str> {
    reason.strip_prefix(prefix)?.split('`').next()
}

/// Removes the value at `path` from `value`; returns false if it does not exist.
fn remove(value: &mut Value, path: &[&str]) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let mut table = value.as_table_mut();
    for name in parents {
        table = table.and_then(|table| table.get_mut(*name)).and_then(Value::as_table_mut);
    }
    table.is_some_and(|table| table.remove(*last).is_some())
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count()
}
