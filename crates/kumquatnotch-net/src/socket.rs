//! TCP sockets with the options that the tier needs.
//!
//! `TCP_USER_TIMEOUT` and keepalive detect dead paths at no cost for the target process. The
//! kernel of a running machine acknowledges data however slow its processes are, so data that
//! stays unacknowledged means that the path is dead, never that the target is slow.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream},
    os::fd::AsFd,
    time::Duration,
};

use monoio::net::{TcpListener, TcpStream};
use rustix::{
    io::Errno,
    net::{AddressFamily, SocketFlags, SocketType, ipproto, sockopt},
};

/// `TCP_USER_TIMEOUT` of outgoing connections.
///
/// Round trips between regions take at most 40 ms, and the minimum retransmission timeout is
/// 200 ms, so a working path would have to lose two segments before this time has passed.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_millis(600);

/// `TCP_USER_TIMEOUT` of accepted connections.
///
/// It is longer because the kernel includes the time for which the receive window of the other
/// side is closed: a caller that reads a long answer slowly must not be disconnected.
const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Opens a connection to `address`.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
    set_options(&socket, CLIENT_USER_TIMEOUT)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match rustix::net::connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let socket = StdStream::from(socket);
    let duplicate = socket.try_clone()?;
    let stream = TcpStream::from_std(socket)?;
    stream.writable(false).await?;
    match duplicate.take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Listens at `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    // Accepted connections inherit these options.
    set_options(&listener, SERVER_USER_TIMEOUT)?;
    sockopt::set_tcp_nodelay(&listener, true)?;
    // The backlog of 128 set by the standard library is too short for the reconnects after a
    // restart of many nodes.
    rustix::net::listen(&listener, BACKLOG)?;
    TcpListener::from_std(listener)
}

fn set_options(socket: impl AsFd, timeout: Duration) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(&socket, timeout.as_millis() as u32)?;
    sockopt::set_socket_keepalive(&socket, true)?;
    sockopt::set_tcp_keepidle(&socket, KEEPALIVE_PERIOD)?;
    sockopt::set_tcp_keepintvl(&socket, KEEPALIVE_PERIOD)?;
    Ok(())
}
