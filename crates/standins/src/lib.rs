//! Small stand-ins for what surrounds the query tier, for tests only.
//!
//! Three of them: servers that answer by a script ([`scripted`]), targets of vendors
//! ([`targets`]), and a relay that cuts links between processes ([`relay`]). Each runs on the monoio runtime of the test, or as a process of
//! its own through the thin binaries. Faults are set while they run, by
//! `POST /standin/faults`. Nothing here is shipped.

#![forbid(unsafe_code)]

pub mod data;
pub mod faults;
pub mod http;
pub mod plan;
pub mod records;
pub mod relay;
pub mod scripted;
pub mod server;
pub mod signal;
pub mod slots;
pub mod target;
pub mod targets;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{SystemTime, UNIX_EPOCH},
};

use monoio::net::{ListenerOpts, TcpListener};

/// Listens on `port` of the loopback address; zero takes any free one.
///
/// monoio shares ports between processes by default, and a stand-in that is
/// started twice would take half of the other's connections unseen.
pub fn listen(port: u16) -> io::Result<TcpListener> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// The time in microseconds, on a scale that processes of one machine share.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Runs `main` on a monoio runtime that never uses io_uring.
pub fn block_on<F: Future>(main: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(main)
}
