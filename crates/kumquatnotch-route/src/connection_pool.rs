//! Pool of idle connections to one replica.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use kumquatnotch_core::{Clock, Result};
use kumquatnotch_net::OpaqueLink;

/// Maximum size of a reply of a replica, in bytes.
///
/// A node has a few hundred megabytes of memory and holds one part for each shard of a few
/// dozen searches.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Timeout for opening a connection.
///
/// A lost SYN is retransmitted only after a second; trying another replica is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// An idle connection in the pool.
struct IdleConnection {
    link: OpaqueLink,
    since: Instant,
    until: Instant,
}

/// A pool of idle connections to one replica.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    closed: Cell<bool>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> ConnectionPool {
        ConnectionPool { address, idle: RefCell::default(), closed: Cell::new(false) }
    }

    /// Takes the most recently used connection that is still usable, if any.
    ///
    /// Connections that were idle for longer than `max_idle` are dropped.
    pub fn take(&self, now: Instant, max_idle: Duration) -> Option<OpaqueLink> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { mut link, since, until }) = idle.pop() {
            let fresh = now < until && now.saturating_duration_since(since) <= max_idle;
            if fresh && link.is_reusable() {
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

    /// Returns a connection to the pool, where it is usable for at most `max_idle`.
    pub fn put(&self, link: OpaqueLink, now: Instant, max_idle: Duration) {
        if self.closed.get() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection { link, since: now, until: now + max_idle });
    }

    /// Closes the idle connections and accepts no more.
    pub fn close(&self) {
        self.closed.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections, which may be broken without notice.
    pub fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
