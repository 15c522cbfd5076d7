//! Noticing that a file has changed, by reading it now and then.

use std::{fs, path::PathBuf, time::Duration};

/// How often the file is read.
///
/// Settings are some kilobytes; reading them takes a few microseconds of
/// processor time, and an operator waits for a change to be taken over.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A file that is looked at for changes.
pub struct WatchedFile {
    path: PathBuf,
    /// The text last acted on; `None` if it couldn't be read.
    known: Option<String>,
}

impl WatchedFile {
    /// Watches `path` for changes from its present text.
    pub fn new(path: PathBuf) -> WatchedFile {
        let known = read(&path);
        WatchedFile { path, known }
    }

    /// Takes the present text as known.
    pub fn refresh(&mut self) {
        self.known = read(&self.path);
    }

    /// Waits until the file has another text than the known one.
    ///
    /// A writer may be at work on the file, and a part of it may even be valid: nodes
    /// would then run with half of their settings for a moment. So a text counts only
    /// once it was read twice, a period apart.
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

/// What can't be read is told by whoever loads the settings next.
fn read(path: &std::path::Path) -> Option<String> {
    fs::read_to_string(path).ok()
}
