//! Sockets with the options that the tier needs.
//!
//! `TCP_USER_TIMEOUT` and keepalive are the first evidence of a silent
//! connection: the kernel of a living machine acknowledges bytes however slow
//! its process is, so bytes that stay unacknowledged mean that the path is dead
//! and never that the target is slow. The kernel finds this without any work of
//! the target's process.

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

/// How long bytes that this side sent on its own connections may stay unacknowledged.
///
/// Round trips are at most 40 ms between regions and the least retransmission
/// timer is 200 ms, so a living path loses two segments before this passes.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_millis(600);

/// The same for accepted connections.
///
/// It is longer because the kernel also counts the time in which the other
/// side's window is closed: a caller that reads a long answer slowly must not
/// be cut off.
const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// The silence after which the kernel asks the other one, and between its tries.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// How many connections may wait to be accepted.
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
    // Accepted connections inherit the options.
    set_options(&listener, SERVER_USER_TIMEOUT)?;
    sockopt::set_tcp_nodelay(&listener, true)?;
    // The standard library's backlog of 128 is too short for the reconnects
    // after a restart of many nodes.
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
