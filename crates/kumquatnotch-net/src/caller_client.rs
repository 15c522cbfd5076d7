//! A client of nodes, as callers and operators are.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch_core::{Clock, Result, random::Random};

use crate::{
    message::{Reply, Request},
    outbound::OutboundRequest,
    pool::{Lane, Pool, PoolOptions},
};

/// How long a connection is kept without use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest reply, in bytes.
const MAX_REPLY_BODY: usize = 64 << 20;

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
        let options = PoolOptions {
            max_control: 0,
            max_work: connections,
            idle_timeout: IDLE_TIMEOUT,
            max_body: MAX_REPLY_BODY,
        };
        CallerClient { pool: Pool::new(address, options, clock, random) }
    }

    /// Sends `request` and waits for its reply, for at most `time`.
    ///
    /// Dropping the future closes the connection, by which the node knows that
    /// its caller has gone away.
    pub async fn call(&self, request: Request, time: Duration) -> Result<Reply> {
        let deadline = self.pool.clock.now() + time;
        self.pool.call(Lane::Work, &OutboundRequest::plain(request), deadline).await
    }
}
