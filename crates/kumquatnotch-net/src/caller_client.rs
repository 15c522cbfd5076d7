//! An HTTP client for the requests of callers and operators to a node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch_core::{Clock, Result, random::Random};

use crate::{
    message::{Reply, Request},
    outbound::OutboundRequest,
    pool::{Lane, Pool, PoolOptions},
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a reply body, in bytes.
const MAX_REPLY_BODY: usize = 64 << 20;

/// A client of one node.
pub struct CallerClient {
    pool: Rc<Pool>,
}

impl CallerClient {
    /// Creates a client that opens at most `connections` connections.
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
    /// Dropping the future closes the connection, by which the node detects that its caller has
    /// disconnected.
    pub async fn call(&self, request: Request, time: Duration) -> Result<Reply> {
        let deadline = self.pool.clock.now() + time;
        self.pool.call(Lane::Work, &OutboundRequest::plain(request), deadline).await
    }
}
