//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use kumquatnotch::core::{Error, Result, ids::ConfigVersion};

/// Inspects and changes the configuration of a kumquatnotch query tier.
#[derive(FromArgs)]
#[argh(
    note = "The configuration is stored in the platform's store (--platform); a node (--node) \
            reports the version in force on every node.",
    example = "Publish files based on version 41, and wait until they are in force everywhere:\n\
               {command_name} --platform 10.0.0.9:2379 --node 10.0.0.1:7000 \
               apply config/ --base 41 --note 'add targets of Aqaba' --wait 19",
    error_code(1, "The command failed; docs/ERRORS.md lists the number in the message."),
    error_code(3, "Another operator has changed the configuration in the meantime."),
    error_code(4, "The configuration is not known to be in force on every node.")
)]
pub struct Options {
    /// address of the platform's store
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// address of any node, as used by callers
    #[argh(option)]
    pub node: Option<SocketAddr>,

    /// author of the change; the user's name by default
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
    Suspects(SuspectsArgs),
    Story(StoryArgs),
    Explain(ExplainArgs),
    KeyDigest(KeyDigestArgs),
    Entry(EntryArgs),
    Search(SearchArgs),
    Exclusive(ExclusiveArgs),
}

/// Print the log lines of a request in order, from the logs of several processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "story")]
pub struct StoryArgs {
    /// identity of the request
    #[argh(positional)]
    pub request: String,

    /// number of earlier lines on the state of each process to print
    #[argh(option, default = "5")]
    pub beliefs: usize,

    /// log files, one per process or merged
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Report which answers were lost, by route, cause and time, from the logs of all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// length of the compared time windows, in seconds
    #[argh(option, default = "2.0")]
    pub window: f64,

    /// number of windows with the largest losses to print
    #[argh(option, default = "8")]
    pub top: usize,

    /// count only requests of this route; may be repeated
    #[argh(option)]
    pub route: Vec<String>,

    /// log files, one per process or merged
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Validate a document and report every fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,
}

/// Show the changes that applying files would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,
}

/// Publish files as the new configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// a file, or a folder of .toml files
    #[argh(positional)]
    pub files: PathBuf,

    /// version that the files are based on (0 for none, or `current` if version
    /// control already serialises changes)
    #[argh(option)]
    pub base: Base,

    /// reason for the change
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// maximum time to wait until it is in force everywhere, in seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// The version that files are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The current version, whichever it is.
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
                Err(_) => Err(Error::bad_request("expected a version number or `current`")),
            },
        }
    }
}

/// Print the current or an earlier document as TOML.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// version to print; the current one by default
    #[argh(positional)]
    pub version: Option<u64>,
}

/// List the current version and those that are available for rollback.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Publish an earlier version again, as a new version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// version to return to
    #[argh(positional)]
    pub version: u64,

    /// reason for the change
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// maximum time to wait until it is in force everywhere, in seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Drain a target, so that it takes no new work; the drain persists over later `apply` commands.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// name of the target
    #[argh(positional)]
    pub target: String,

    /// end the drain
    #[argh(switch)]
    pub undo: bool,

    /// reason for the change
    #[argh(option, default = "String::new()")]
    pub note: String,

    /// maximum time to wait until it is in force everywhere, in seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Delete stored values that no retained version refers to.
#[derive(FromArgs)]
#[argh(subcommand, name = "collect")]
pub struct CollectArgs {
    /// time to wait for writers that have not finished, in seconds
    #[argh(option, default = "60")]
    pub grace: u64,
}

/// Report whether the newest configuration is in force on every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// version to check; the newest by default
    #[argh(option)]
    pub version: Option<u64>,

    /// maximum time to wait until it is in force everywhere, in seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// List the requests that are refused because they crash replicas, or lift a refusal.
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
pub struct SuspectsArgs {
    /// request to let in again, by its id in the list
    #[argh(option)]
    pub lift: Option<String>,
}

/// Read a caller's key from standard input and print its digest for use in a document.
#[derive(FromArgs)]
#[argh(subcommand, name = "key-digest")]
pub struct KeyDigestArgs {}

/// Print the addresses that a node advises callers to use.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// the caller's data centre
    #[argh(option)]
    pub near: Option<String>,
}

/// Send a search and print the answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "search")]
pub struct SearchArgs {
    /// name of the selector
    #[argh(positional)]
    pub selector: String,

    /// query, as JSON
    #[argh(positional)]
    pub query: String,

    /// file with the caller's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// maximum number of hits to return
    #[argh(option, default = "10")]
    pub limit: u32,

    /// deadline of the request, in milliseconds
    #[argh(option, default = "1000")]
    pub deadline_ms: u64,
}

/// Send a non-idempotent request, or query its outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "exclusive")]
pub struct ExclusiveArgs {
    /// name of the selector
    #[argh(positional)]
    pub selector: String,

    /// key that determines the shard, such as a room or a van
    #[argh(positional)]
    pub key: String,

    /// request, as JSON
    #[argh(positional)]
    pub request: String,

    /// file with the caller's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// ticket of an earlier request, to query its outcome
    #[argh(option)]
    pub ticket: Option<String>,

    /// deadline of the request, in milliseconds
    #[argh(option, default = "1000")]
    pub deadline_ms: u64,
}
