//! A request on its way over a pool of connections.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use kumquatnotch_core::{Clock, Error, Result, target::MIN_CALL_TIME};

use crate::{
    client_connection::{Cancel, Job, JobFault},
    message::{DEADLINE_HEADER, Reply, Request},
    pool::{Lane, Pool},
};

/// How many connections are tried that turn out to have ended before anything was sent.
const MAX_ATTEMPTS: usize = 8;

/// How long the first try of an idempotent request may take at least.
const MIN_FIRST_ATTEMPT: Duration = Duration::from_millis(150);

/// A request and how it is to be sent.
pub(crate) struct OutboundRequest {
    /// The request.
    pub(crate) request: Request,
    /// Whether it carries the time left.
    pub(crate) carry_deadline: bool,
    /// Cancels it at the other side.
    pub(crate) cancel: Option<Cancel>,
    /// A request that shows whether a connection lives, and the idle time from
    /// which on it is sent first.
    pub(crate) check: Option<(Duration, Request)>,
    /// The silence after which a connection to a node is lost.
    pub(crate) silence_timeout: Option<Duration>,
}

impl OutboundRequest {
    /// A request without any of the rest.
    pub(crate) fn plain(request: Request) -> OutboundRequest {
        OutboundRequest {
            request,
            carry_deadline: false,
            cancel: None,
            check: None,
            silence_timeout: None,
        }
    }
}

/// A request that was handed to a connection.
///
/// Dropping it abandons the request: it is cancelled if `cancel` is set, and
/// else its connection is closed.
pub(crate) struct PendingRequest {
    reply: oneshot::Receiver<Result<Reply, JobFault>>,
    challenge: Option<oneshot::Sender<()>>,
    /// When it was handed over.
    pub(crate) start: Instant,
}

impl PendingRequest {
    /// Waits for the reply until `until`.
    pub(crate) async fn wait(
        &mut self,
        clock: &dyn Clock,
        until: Instant,
    ) -> Option<Result<Reply, JobFault>> {
        match select(&mut self.reply, clock.sleep_until(until)).await {
            // A job that was dropped without a result was not sent.
            Either::Left((result, _)) => Some(result.unwrap_or(Err(JobFault::NotSent))),
            Either::Right(_) => None,
        }
    }

    /// Asks for a proof that the connection lives, at the cost of the request.
    pub(crate) fn challenge(&mut self) {
        if let Some(challenge) = self.challenge.take() {
            let _ = challenge.send(());
        }
    }
}

impl Pool {
    /// Hands a request to a connection; nothing was sent if this fails.
    pub(crate) async fn start(
        self: &Rc<Pool>,
        lane: Lane,
        outbound: &OutboundRequest,
        deadline: Instant,
    ) -> Result<PendingRequest> {
        for _ in 0..MAX_ATTEMPTS {
            let lease = self.acquire(lane, deadline).await?;
            let start = self.clock.now();
            let left = deadline.saturating_duration_since(start);
            if left < MIN_CALL_TIME {
                return Err(Error::ExpiredInQueue);
            }
            let mut request = outbound.request.clone();
            if outbound.carry_deadline {
                request = request.with(DEADLINE_HEADER, left.as_millis());
            }
            let idle = lease.idle_for();
            let check = outbound.check.as_ref().filter(|(age, _)| idle >= *age);
            let (reply, receiver) = oneshot::channel();
            let (challenge, asked) = oneshot::channel();
            let job = Job {
                request,
                request_id: self.next_request_id(),
                reply,
                challenge: asked,
                cancel: outbound.cancel.clone(),
                check: check.map(|(_, request)| request.clone()),
                silence_timeout: outbound.silence_timeout,
            };
            if lease.run(job) {
                return Ok(PendingRequest { reply: receiver, challenge: Some(challenge), start });
            }
        }
        Err(Error::ConnectFailed)
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn call(
        self: &Rc<Pool>,
        lane: Lane,
        outbound: &OutboundRequest,
        deadline: Instant,
    ) -> Result<Reply> {
        for _ in 0..MAX_ATTEMPTS {
            let mut pending = self.start(lane, outbound, deadline).await?;
            match pending.wait(&*self.clock, deadline).await {
                Some(Ok(reply)) => return Ok(reply),
                Some(Err(JobFault::Failed(error))) => return Err(error),
                Some(Err(JobFault::NotSent)) => {}
                None => return Err(Error::TimedOut),
            }
        }
        Err(Error::ConnectFailed)
    }

    /// Sends a request that may run twice: if the first try brings nothing, it
    /// is sent again on a new connection.
    ///
    /// Otherwise one silent connection would make a living target or node look
    /// dead to whoever probes it. The first try lasts longer where replies are
    /// usually slow, since a second try costs the other side a connection.
    pub(crate) async fn call_with_retry(
        self: &Rc<Pool>,
        lane: Lane,
        outbound: &OutboundRequest,
        deadline: Instant,
    ) -> Result<Reply> {
        let now = self.clock.now();
        let half = deadline.saturating_duration_since(now) / 2;
        let first = half.min(self.latency.late_threshold().max(MIN_FIRST_ATTEMPT));
        let result = match self.call(lane, outbound, now + first).await {
            Err(Error::TimedOut | Error::ConnectionLost | Error::ConnectionSilent) => {
                self.purge(lane);
                metrics::counter!("kumquatnotch_control_retries_total").increment(1);
                self.call(lane, outbound, deadline).await
            }
            // The whole time was not used yet, and nothing was sent.
            Err(Error::ExpiredInQueue) => self.call(lane, outbound, deadline).await,
            other => other,
        };
        if result.is_ok() {
            self.latency.note(now, self.clock.now());
        }
        result
    }
}
