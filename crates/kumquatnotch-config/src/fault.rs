//! Faults in files, with their place.

use std::fmt;

use kumquatnotch_core::Error;

/// One fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, counted from one; `None` if the fault has no place.
    pub line: Option<usize>,
    /// The path of the value, such as `listen.entry`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.reason)
    }
}

/// Faults of settings as one numbered error.
pub fn bad_settings(faults: &[Fault]) -> Error {
    Error::BadSettings { detail: join(faults) }
}

/// Faults of a document as one numbered error.
pub fn bad_document(faults: &[Fault]) -> Error {
    Error::BadDocument { detail: join(faults) }
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
