//! Test doubles for the systems around the query tier.
//!
//! There are three: servers with scripted responses ([`scripted`]), vendor targets
//! ([`targets`]), and a TCP relay that injects faults into links between processes
//! ([`relay`]). Each runs on the monoio runtime of the test; the targets and the relay also
//! have binaries that run them as processes, whose faults are set by `POST /standin/faults`.
//! This crate is for tests only and is not shipped.

#![forbid(unsafe_code)]

pub mod data;
pub mod faults;
pub mod http;
pub mod malformed;
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
use socket2::{Domain, Protocol, Socket, Type};

/// Listens on `port` of the loopback address; zero selects a free port.
///
/// Port reuse, monoio's default, is off: two stand-ins started on the same port would
/// silently share the incoming connections.
pub fn listen(port: u16) -> io::Result<TcpListener> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// Receive buffer and maximum segment size of [`listen_with_small_window`], in bytes.
///
/// With the segments of 64 KB of a loopback connection, the sender's kernel would buffer megabytes.
const SMALL_WINDOW: (usize, u32) = (4_096, 1_460);

/// Listens on a free port of the loopback address, with a receive window so small that a long
/// message blocks its sender until it is read.
pub fn listen_with_small_window(port: u16) -> io::Result<TcpListener> {
    let (window, segment) = SMALL_WINDOW;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.set_mss(segment)?;
    socket.set_recv_buffer_size(window)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Microseconds since the Unix epoch, comparable between processes of one machine.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Runs `main` on a monoio runtime with the legacy driver, without io_uring.
pub fn block_on<F: Future>(main: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("failed to build the runtime")
        .block_on(main)
}
