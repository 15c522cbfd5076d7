//! The idle connections to one replica.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Clock, Result};
use kumquatnotch_net::OpaqueLink;

/// The largest reply of a replica, in bytes.
///
/// A node has some hundred megabytes, and holds a part of each shard of a few
/// dozen searches.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// How long opening a connection may take.
///
/// It is a lost opening packet and its repetition after a second that it must
/// not wait for: another replica is sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// An idle connection.
struct IdleConnection {
    link: OpaqueLink,
    since: Instant,
    until: Instant,
}

/// The idle connections to one replica.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    closed: Cell<bool>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new(address: SocketAddr) -> ConnectionPool {
        ConnectionPool { address, idle: RefCell::default(), closed: Cell::new(false) }
    }

    /// The connection that was used last and may still be used, if there is one.
    ///
    /// `max_idle` bounds how long it may have been idle.
    pub fn take(&self, now: Instant, max_idle: Duration) -> Option<OpaqueLink> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { mut link, since, until }) = idle.pop() {
            let fresh = now < until && now.saturating_duration_since(since) <= max_idle;
            if fresh && link.is_quiet() {
                return Some(link);
            }
        }
        None
    }

    /// Opens a connection.
    pub async fn open(&self, clock: &dyn Clock, deadline: Instant) -> Result<OpaqueLink> {
        let deadline = deadline.min(clock.now() + CONNECT_TIMEOUT);
        OpaqueLink::connect(self.address, MAX_REPLY_BYTES, clock, deadline).await
    }

    /// Keeps a connection for later, for at most `keep`.
    pub fn put(&self, link: OpaqueLink, now: Instant, keep: Duration) {
        if self.closed.get() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection { link, since: now, until: now + keep });
    }

    /// Closes the idle connections and keeps no more.
    pub fn close(&self) {
        self.closed.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections, which may have gone silent.
    pub fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
