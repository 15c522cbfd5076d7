//! What every daemon of the project needs from its process: metrics, signals,
//! and logs that never hold it up.

#![forbid(unsafe_code)]

pub mod logs;
pub mod meters;
pub mod signals;
