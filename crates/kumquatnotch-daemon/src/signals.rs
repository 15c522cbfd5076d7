//! Signals to the daemon.

use std::os::unix::net::UnixStream as StdStream;

use kumquatnotch_core::{Error, Result};
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// Tells of each signal of some kind.
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Takes over the handling of SIGTERM and SIGINT, which tell to stop.
    pub fn termination() -> Result<Signals> {
        Signals::open(&[SIGINT, SIGTERM])
    }

    /// Takes over the handling of SIGHUP, which tells that settings have changed.
    pub fn hangup() -> Result<Signals> {
        Signals::open(&[SIGHUP])
    }

    fn open(signals: &[i32]) -> Result<Signals> {
        Signals::register(signals).map_err(|error| Error::internal(format!("signals: {error}")))
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
        // The handler writes one byte for each signal.
        let _ = self.stream.read(vec![0; 1]).await;
    }
}
