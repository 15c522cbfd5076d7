//! Signals that tell the daemon to stop.

use std::os::unix::net::UnixStream as StdStream;

use kumquatnotch::core::{Error, Result};
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};

/// Tells of each signal to stop.
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Takes over the handling of SIGTERM and SIGINT.
    pub fn try_new() -> Result<Signals> {
        Signals::open().map_err(|error| Error::internal(format!("signals: {error}")))
    }

    fn open() -> std::io::Result<Signals> {
        let (read, write) = StdStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(Signals { stream: UnixStream::from_std(read)? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        // The handler writes one byte for each signal.
        let _ = self.stream.read(vec![0; 1]).await;
    }
}
