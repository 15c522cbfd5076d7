//! Faults found in a file, with their location.

use std::fmt;

use kumquatnotch_core::Error;

/// A fault found in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The line number, starting at one; `None` if the fault has no location.
    pub line: Option<usize>,
    /// The path of the value, such as `listen.entry`.
    pub path: String,
    /// The description of the fault.
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

/// Combines the faults of a settings file into one error.
pub fn bad_settings(faults: &[Fault]) -> Error {
    Error::BadSettings { detail: join(faults) }
}

/// Combines the faults of a document into one error.
pub fn bad_document(faults: &[Fault]) -> Error {
    Error::BadDocument { detail: join(faults) }
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
