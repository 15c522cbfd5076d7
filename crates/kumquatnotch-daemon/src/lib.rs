//! What every daemon of the project needs from its process: its start and end,
//! metrics, signals, settings that change, and logs that never hold it up.

#![forbid(unsafe_code)]

pub mod logs;
pub mod process;
pub mod prometheus;
pub mod signals;
pub mod watched_file;
