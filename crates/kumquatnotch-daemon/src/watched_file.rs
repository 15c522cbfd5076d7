//! Detection of changes to a file by polling.

use std::{fs, path::PathBuf, time::Duration};

/// Interval between reads of the file.
///
/// Settings files have a few kilobytes and take a few microseconds of processor
/// time to read, and operators wait for their changes to take effect.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A file that is polled for changes.
pub struct WatchedFile {
    path: PathBuf,
    /// The last reported content; `None` if the file could not be read.
    known: Option<String>,
}

impl WatchedFile {
    /// Watches `path` for changes from its current content.
    pub fn new(path: PathBuf) -> WatchedFile {
        let known = read(&path);
        WatchedFile { path, known }
    }

    /// Marks the current content as known, so that it is not reported as a change.
    pub fn refresh(&mut self) {
        self.known = read(&self.path);
    }

    /// Waits until the content of the file differs from the known content.
    ///
    /// A file that is being written may be valid although it is incomplete, and nodes would
    /// briefly run with half of their settings. New content is therefore reported only after
    /// two identical reads, one interval apart.
    pub async fn changed(&mut self) {
        let mut last = self.known.clone();
        loop {
            monoio::time::sleep(POLL_INTERVAL).await;
            let now = read(&self.path);
            if now == last && now != self.known {
                self.known = now;
                return;
            }
            last = now;
        }
    }
}

/// Returns the content of the file; read errors are reported when the settings are next loaded.
fn read(path: &std::path::Path) -> Option<String> {
    fs::read_to_string(path).ok()
}
