//! Requests sent over a connection pool.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use kumquatnotch_core::{Clock, Error, Result, target::MIN_CALL_TIME};

use crate::{
    client_connection::{Cancel, Job, JobError},
    message::{DEADLINE_HEADER, Reply, Request},
    pool::{Lane, Pool},
};

/// Maximum number of attempts that find their connection closed before anything is sent.
const MAX_ATTEMPTS: usize = 8;

/// Minimum timeout of the first attempt of an idempotent request.
const MIN_FIRST_ATTEMPT: Duration = Duration::from_millis(150);

/// A request, and how it is sent.
pub(crate) struct OutboundRequest {
    /// The request.
    pub(crate) request: Request,
    /// Whether the time left is sent along with it, in [`DEADLINE_HEADER`].
    pub(crate) carry_deadline: bool,
    /// Cancels the request at the other side.
    pub(crate) cancel: Option<Cancel>,
    /// The minimum idle time of a connection for which it is checked first, and the request
    /// sent to check it.
    pub(crate) check: Option<(Duration, Request)>,
    /// Time without any response after which a connection to a node counts as lost.
    pub(crate) silence_timeout: Option<Duration>,
}

impl OutboundRequest {
    /// Creates a request without any of the options.
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

/// A request that was passed to a connection.
///
/// Dropping it abandons the request. The request is then cancelled if
/// [`OutboundRequest::cancel`] is set; otherwise its connection is closed.
pub(crate) struct PendingRequest {
    reply: oneshot::Receiver<Result<Reply, JobError>>,
    challenge: Option<oneshot::Sender<()>>,
    /// Time at which the request was passed to the connection.
    pub(crate) start: Instant,
}

impl PendingRequest {
    /// Waits for the reply; returns `None` if there is none by `until`.
    pub(crate) async fn wait(
        &mut self,
        clock: &dyn Clock,
        until: Instant,
    ) -> Option<Result<Reply, JobError>> {
        match select(&mut self.reply, clock.sleep_until(until)).await {
            // A job that was dropped without a result was not sent.
            Either::Left((result, _)) => Some(result.unwrap_or(Err(JobError::NotSent))),
            Either::Right(_) => None,
        }
    }

    /// Challenges the connection: cancels the request and waits for any reply to it.
    pub(crate) fn challenge(&mut self) {
        if let Some(challenge) = self.challenge.take() {
            let _ = challenge.send(());
        }
    }
}

impl Pool {
    /// Passes a request to a connection. On an error, nothing was sent.
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
            let (challenge, challenged) = oneshot::channel();
            let job = Job {
                request,
                request_id: self.next_request_id(),
                reply,
                challenge: challenged,
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
                Some(Err(JobError::Failed(error))) => return Err(error),
                Some(Err(JobError::NotSent)) => {}
                None => return Err(Error::TimedOut),
            }
        }
        Err(Error::ConnectFailed)
    }

    /// Sends an idempotent request, and sends it again on a new connection if the first attempt
    /// gets no reply.
    ///
    /// Without the retry, one silent connection would make a healthy target or node look dead
    /// to its prober. The timeout of the first attempt grows with the usual latency, since a
    /// retry makes the other side accept another connection.
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
            // Nothing was sent, and there is time left until the deadline.
            Err(Error::ExpiredInQueue) => self.call(lane, outbound, deadline).await,
            other => other,
        };
        if result.is_ok() {
            self.latency.record(now, self.clock.now());
        }
        result
    }
}
