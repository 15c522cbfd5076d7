//! Signal handling.

use std::os::unix::net::UnixStream as StdStream;

use kumquatnotch_core::{Error, Result};
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// A stream of signals.
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Handles SIGTERM and SIGINT, which request a shutdown.
    pub fn termination() -> Result<Signals> {
        Signals::open(&[SIGINT, SIGTERM])
    }

    /// Handles SIGHUP, which requests a reload of the settings.
    pub fn hangup() -> Result<Signals> {
        Signals::open(&[SIGHUP])
    }

    fn open(signals: &[i32]) -> Result<Signals> {
        Signals::register(signals)
            .map_err(|error| Error::internal(format!("failed to install signal handlers: {error}")))
    }

    fn register(signals: &[i32]) -> std::io::Result<Signals> {
        let (read, write) = StdStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        for signal in signals {
            pipe::register(*signal, write.try_clone()?)?;
        }
        Ok(Signals { stream: UnixStream::from_std(read)? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        // The signal handler writes one byte per signal.
        let _ = self.stream.read(vec![0; 1]).await;
    }
}
