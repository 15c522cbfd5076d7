//! Process-level support for the daemons of the project: start-up and exit codes,
//! metrics, signals, watched settings files, and non-blocking logs.

#![forbid(unsafe_code)]

pub mod logs;
pub mod process;
pub mod prometheus;
pub mod signals;
pub mod watched_file;
