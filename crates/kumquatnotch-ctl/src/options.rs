//! The arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use kumquatnotch::core::{Error, Result, ids::ConfigVersion};

/// Reads and changes what is in force on a kumquatnotch query tier.
#[derive(FromArgs)]
#[argh(
    note = "The platform's service holds the configuration; a node tells what is in force.",
    example = "Put files in force in place of version 41, and wait until every node has them:\n\
               {command_name} --platform 10.0.0.9:2379 --node 10.0.0.1:7000 \
               apply config/ --base 41 --note 'add targets of Aqaba' --wait 19",
    error_code(1, "The command failed; the number in the message is in docs/ERRORS.md."),
    error_code(3, "Another operator changed the configuration in between."),
    error_code(4, "The configuration isn't in force everywhere.")
)]
pub struct Options {
    /// address of the platform's service
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// address of any node, as callers use it
    #[argh(option)]
    pub node: Option<SocketAddr>,

    /// who makes changes; the user's name by default
    #[argh(option, default = "default_author()")]
    pub author: String,

    #[argh(subcommand)]
    pub command: Command,
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Show(ShowArgs),
    History(HistoryArgs),
    Rollback(RollbackArgs),
    Drain(DrainArgs),
    Collect(CollectArgs),
    Status(StatusArgs),
    Story(StoryArgs),
    Explain(ExplainArgs),
    KeyDigest(KeyDigestArgs),
    Entry(EntryArgs),
    Search(SearchArgs),
    Exclusive(ExclusiveArgs),
}

/// Tell what became of a request, from the logs of several processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryArgs {
    /// the identity of the request
    #[argh(positional)]
    pub request: String,

    /// how many lines on what each process believed are told before it
    #[argh(option, default = "5")]
    pub beliefs: usize,

    /// files with logs, one for each process or of all together
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Tell where the worth of answers was lost, by kind of request, cause and time, from the
/// logs of all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the length of the windows that are compared, in seconds
    #[argh(option, default = "2.0")]
    pub window: f64,

    /// how many of the worst windows are told
    #[argh(option, default = "8")]
    pub top: usize,

    /// count the requests of this route only; may be given again for others
    #[argh(option)]
    pub route: Vec<String>,

    /// files with logs, one for each process or of all together
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Check a document, and report every fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,
}

/// Show what files would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,
}

/// Put files in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,

    /// the version that the files were made from (0 for none, or `current` where
    /// version control already puts changes in order)
    #[argh(option)]
    pub base: Base,

    /// why
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// wait at most this many seconds until it is in force everywhere
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// The version that files were made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Whatever is in force.
    Current,
    /// This version.
    Version(ConfigVersion),
}

impl std::str::FromStr for Base {
    type Err = Error;

    fn from_str(text: &str) -> Result<Base> {
        match text {
            "current" => Ok(Base::Current),
            number => match number.parse() {
                Ok(number) => Ok(Base::Version(ConfigVersion(number))),
                Err(_) => Err(Error::bad_request("a version is a number or `current`")),
            },
        }
    }
}

/// Print the document in force, or an earlier one, as TOML.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// an earlier version
    #[argh(positional)]
    pub version: Option<u64>,
}

/// List the versions that can be returned to.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Put an earlier version in force again, as a new version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// the earlier version
    #[argh(positional)]
    pub version: u64,

    /// why
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// wait at most this many seconds until it is in force everywhere
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Order a target to take no new work; this outlasts the next `apply`.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the target
    #[argh(positional)]
    pub target: String,

    /// take the order back
    #[argh(switch)]
    pub undo: bool,

    /// why
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// wait at most this many seconds until it is in force everywhere
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Delete stored values that no kept version needs.
#[derive(FromArgs)]
#[argh(subcommand, name = "collect")]
pub struct CollectArgs {
    /// seconds to wait for writers that have not finished
    #[argh(option, default = "60")]
    pub grace: u64,
}

/// Tell whether the newest configuration is in force on every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the version to ask for; the newest by default
    #[argh(option)]
    pub version: Option<u64>,

    /// wait at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Read a caller's key from standard input and print its digest for a document.
#[derive(FromArgs)]
#[argh(subcommand, name = "key-digest")]
pub struct KeyDigestArgs {}

/// Ask a node which addresses to use.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// the caller's data centre
    #[argh(option)]
    pub near: Option<String>,
}

/// Send a search, and print the answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "search")]
pub struct SearchArgs {
    /// the selector
    #[argh(positional)]
    pub selector: String,

    /// the query in JSON
    #[argh(positional)]
    pub query: String,

    /// file with the caller's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// how many hits to return
    #[argh(option, default = "10")]
    pub limit: u32,

    /// the time to wait, in milliseconds
    #[argh(option, default = "1000")]
    pub deadline_ms: u64,
}

/// Send a non-idempotent request, or ask for its outcome again.
#[derive(FromArgs)]
#[argh(subcommand, name = "exclusive")]
pub struct ExclusiveArgs {
    /// the selector
    #[argh(positional)]
    pub selector: String,

    /// the key by which the shard is chosen, such as the room or van
    #[argh(positional)]
    pub key: String,

    /// the request in JSON
    #[argh(positional)]
    pub request: String,

    /// file with the caller's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// a ticket that was used before, to ask for its outcome again
    #[argh(option)]
    pub ticket: Option<String>,

    /// the time to wait, in milliseconds
    #[argh(option, default = "1000")]
    pub deadline_ms: u64,
}
