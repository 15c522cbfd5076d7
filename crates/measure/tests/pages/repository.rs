//! What pages may name: the files of the repository, its packages and programs, and the words of
//! its sources.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

/// Paths that hold no sources, and the test that names what isn't there.
const SKIPPED_PATHS: [&str; 4] = ["target", ".git", "journal", "crates/measure/tests/pages.rs"];

/// Extensions of files whose words are known; files without an extension are scripts.
const SOURCE_EXTENSIONS: [&str; 3] = ["rs", "toml", "sh"];

/// The contents of the repository.
#[derive(Default)]
pub struct Repository {
    /// Paths of all files and directories, from the root.
    pub paths: BTreeSet<String>,
    /// All identifiers in sources.
    pub words: BTreeSet<String>,
    /// All functions, each with its file.
    pub functions: BTreeSet<(String, String)>,
    /// Directories of the packages, by name.
    pub packages: Vec<(String, String)>,
}

impl Repository {
    /// Reads the repository below `root`.
    pub fn read(root: &Path) -> io::Result<Repository> {
        let mut repository = Repository::default();
        repository.read_dir(root, root)?;
        Ok(repository)
    }

    fn read_dir(&mut self, root: &Path, dir: &Path) -> io::Result<()> {
        for entry in fs::read_dir(dir)? {
            let path = entry?.path();
            let name = path.strip_prefix(root).unwrap_or(&path).to_string_lossy().into_owned();
            self.paths.insert(name.clone());
            if SKIPPED_PATHS.contains(&name.as_str()) {
                continue;
            }
            if path.is_dir() {
                self.read_dir(root, &path)?;
            } else {
                self.read_file(&name, &path)?;
            }
        }
        Ok(())
    }

    fn read_file(&mut self, name: &str, path: &PathBuf) -> io::Result<()> {
        let extension = path.extension().map(|extension| extension.to_string_lossy());
        if extension.is_none_or(|extension| SOURCE_EXTENSIONS.contains(&&*extension)) {
            let content = fs::read(path)?;
            self.add_source(name, &String::from_utf8_lossy(&content));
        }
        Ok(())
    }

    /// Adds a source file.
    pub fn add_source(&mut self, name: &str, text: &str) {
        self.paths.insert(name.to_owned());
        let mut previous = "";
        for word in text.split(|char: char| !char.is_alphanumeric() && char != '_') {
            if previous == "fn" {
                self.functions.insert((word.to_owned(), name.to_owned()));
            }
            self.words.insert(word.to_owned());
            previous = word;
        }
        if let Some(dir) = name.strip_suffix("/Cargo.toml")
            && let Ok(manifest) = text.parse::<toml::Table>()
            && let Some(package) = manifest.get("package").and_then(|package| package.get("name"))
        {
            let package = package.as_str().unwrap_or_default();
            self.packages.push((package.to_owned(), dir.to_owned()));
        }
    }

    /// Whether a function is in a file whose path begins with `dir`.
    pub fn has_function(&self, name: &str, dir: &str) -> bool {
        self.functions.iter().any(|(function, file)| function == name && file.starts_with(dir))
    }

    /// Whether a word is in a source; a name that begins with `_` is the end of a word.
    pub fn has_word(&self, name: &str) -> bool {
        let ends = |word: &String| name.starts_with('_') && word.ends_with(name);
        self.words.contains(name) || self.words.iter().any(ends)
    }

    /// Returns the directory of a package.
    pub fn package_dir(&self, name: &str) -> Option<&str> {
        self.packages.iter().find(|(package, _)| package == name).map(|(_, dir)| dir.as_str())
    }

    /// Returns the directory of the package that has a program.
    pub fn program_dir(&self, name: &str) -> Option<&str> {
        let is_program = |dir: &str, package: &str| {
            let has = |path: &str| self.paths.contains(&format!("{dir}/{path}"));
            has(&format!("src/bin/{name}.rs"))
                || has(&format!("src/bin/{name}/main.rs"))
                || (package == name && has("src/main.rs"))
        };
        let mut packages = self.packages.iter();
        packages.find(|(package, dir)| is_program(dir, package)).map(|(_, dir)| dir.as_str())
    }

    /// Whether a file or directory is there, named by its path or by the end of it; directories
    /// within the path may be left out, and the common start of the names of packages as well.
    pub fn has_path(&self, name: &str) -> bool {
        let wanted: Vec<&str> = name.trim_end_matches('/').split('/').collect();
        self.paths.iter().any(|path| {
            let mut parts = path.split('/').rev();
            let Some((last, dirs)) = wanted.split_last() else { return false };
            parts.next() == Some(*last)
                && dirs.iter().rev().all(|dir| parts.any(|part| is_named(part, dir)))
        })
    }
}

fn is_named(part: &str, name: &str) -> bool {
    part == name || part.strip_prefix("kumquatnotch-") == Some(name)
}
