//! A client of nodes, as callers and operators are.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch_core::{Clock, Result, random::Random};

use crate::{
    flight::Plan,
    message::{Reply, Request},
    pool::{Lane, Pool, PoolOptions},
};

/// How long a connection is kept without use.
const IDLE: Duration = Duration::from_secs(30);

/// The largest reply, in bytes.
const BODY: usize = 64 << 20;

/// A client of one node.
pub struct CallerClient {
    pool: Rc<Pool>,
}

impl CallerClient {
    /// A client that opens at most `connections` connections.
    pub fn new(
        address: SocketAddr,
        connections: usize,
        clock: Rc<dyn Clock>,
        random: Random,
    ) -> CallerClient {
        let options = PoolOptions { control: 0, work: connections, idle: IDLE, body: BODY };
        CallerClient { pool: Pool::new(address, options, clock, random) }
    }

    /// Sends `request` and waits for its reply, for at most `time`.
    ///
    /// Dropping the future closes the connection, by which the node knows that
    /// its caller has gone away.
    pub async fn call(&self, request: Request, time: Duration) -> Result<Reply> {
        let deadline = self.pool.clock.now() + time;
        self.pool.call(Lane::Work, &Plan::plain(request), deadline).await
    }
}
