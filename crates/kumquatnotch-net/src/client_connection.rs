//! The task of one client connection, and the jobs that it runs.
//!
//! The task owns the connection. While idle, it offers the connection to its pool and watches
//! for its end. If the caller drops a job, the job is cancelled at the other side, and its
//! reply is awaited for a limited time. If the reply arrives, the connection is in sync
//! and is reused; otherwise it is closed, so that no connection with an outstanding reply
//! returns to the pool.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::{Rc, Weak},
    time::Duration,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, select_biased};
use kumquatnotch_core::{Error, LocalFuture, Result, clock};

use crate::{
    exchange::{ClientStream, ExchangeResult},
    message::{Reply, Request},
    pool::{Lane, Pool},
    silence::{self, CancelOutcome},
};

/// A request to be sent on one connection.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// The request id, unique within its pool.
    pub(crate) request_id: u64,
    /// Receives the reply; after [`JobError::NotSent`] another connection can be tried.
    pub(crate) reply: oneshot::Sender<Result<Reply, JobError>>,
    /// Completes when the caller challenges the connection; see [`silence`].
    pub(crate) challenge: oneshot::Receiver<()>,
    /// Cancels the request at the other side, over another connection.
    pub(crate) cancel: Option<Cancel>,
    /// A request to send before this one, to check that the connection responds.
    pub(crate) check: Option<Request>,
    /// Time without any response after which a connection to a node counts as lost.
    pub(crate) silence_timeout: Option<Duration>,
}

/// Cancels a request at the other side and returns the outcome of the cancellation.
pub(crate) type Cancel = Rc<dyn Fn() -> LocalFuture<'static, CancelOutcome>>;

/// Why a job failed.
#[derive(Debug)]
pub(crate) enum JobError {
    /// No part of the request was sent.
    NotSent,
    /// The request may have been delivered.
    Failed(Error),
}

/// Result of waiting for the reply to a request that was abandoned or challenged.
enum Drained {
    /// The reply arrived.
    Reply(Result<ExchangeResult>),
    /// No reply arrived in the time that a working connection needs.
    NoReply(CancelOutcome),
}

/// What happens to a connection after a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    /// It can be reused.
    Keep,
    /// It must be closed.
    Close,
    /// The other side has closed it.
    Lost,
}

/// Runs the jobs of a connection until it is closed.
pub(crate) async fn run(
    mut stream: ClientStream,
    pool: Weak<Pool>,
    lane: Lane,
    address: SocketAddr,
) {
    let mut served = false;
    let mut disposition = Disposition::Lost;
    while let Some(job) = next_job(&mut stream, &pool, lane).await {
        let Some(pool) = pool.upgrade() else {
            return;
        };
        disposition = run_job(&mut stream, job, &pool, lane, address).await;
        if disposition != Disposition::Keep {
            break;
        }
        served = true;
        pool.record_success();
    }
    if let Some(pool) = pool.upgrade() {
        // A target that accepts connections but closes them before it serves a request is
        // treated like one that refuses connections.
        pool.closed(lane, disposition == Disposition::Lost && !served);
    }
}

/// Offers the connection to its pool and waits for a job; returns `None` once the connection
/// is closed or its idle timeout has passed.
async fn next_job(stream: &mut ClientStream, pool: &Weak<Pool>, lane: Lane) -> Option<Job> {
    let (sender, receiver) = oneshot::channel();
    let mut idle = {
        let pool = pool.upgrade()?;
        let idle = clock::sleep(&*pool.clock, pool.options.idle_timeout);
        pool.offer(lane, sender);
        idle.fuse()
    };
    let mut receiver = receiver.fuse();
    let mut closed = pin!(stream.wait_closed().fuse());
    // Checks for the end of the connection first: a job that is dropped here was not sent, and
    // its caller takes another connection.
    select_biased! {
        _ = closed => None,
        job = receiver => job.ok(),
        () = idle => None,
    }
}

/// Runs one job.
async fn run_job(
    stream: &mut ClientStream,
    job: Job,
    pool: &Pool,
    lane: Lane,
    address: SocketAddr,
) -> Disposition {
    let Job { request, request_id, mut reply, challenge, cancel, check, silence_timeout } = job;
    let clock = &*pool.clock;
    if let Some(check) = check
        && !answers(stream, check, pool, address).await
    {
        let _ = reply.send(Err(JobError::NotSent));
        return Disposition::Close;
    }
    // A caller that gave up during the check no longer waits, so the request must not run.
    if reply.is_canceled() {
        return Disposition::Keep;
    }
    let mut work = pin!(stream.exchange(request, request_id, silence_timeout, clock).fuse());
    let mut challenge = pin!(
        async {
            // A dropped sender is not a challenge.
            if challenge.await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        .fuse()
    );
    select_biased! {
        result = work => return finish(result, reply, address),
        () = reply.cancellation().fuse() => {}
        () = challenge => {}
    }
    let abandoned = reply.is_canceled();
    // Without a way to cancel, closing the connection tells the other side to stop.
    let Some(cancel) = cancel else {
        let _ = reply.send(Err(JobError::Failed(Error::TimedOut)));
        return Disposition::Close;
    };
    let drain = pin!(async {
        let outcome = cancel().await;
        clock::sleep(clock, silence::SHORT_DRAIN_TIMEOUT).await;
        // If callers wait for a connection, opening a new one is cheaper than draining this one.
        if !abandoned || !pool.has_waiters(lane) {
            clock::sleep(clock, silence::DRAIN_TIMEOUT - silence::SHORT_DRAIN_TIMEOUT).await;
        }
        outcome
    });
    let drained = select_biased! {
        result = work => Drained::Reply(result),
        outcome = drain.fuse() => Drained::NoReply(outcome),
    };
    match drained {
        Drained::Reply(result) => finish(result, reply, address),
        // The connection was not challenged; its target may just be slow to cancel.
        Drained::NoReply(_) if reply.is_canceled() => {
            metrics::counter!("kumquatnotch_undrained_connections_total").increment(1);
            Disposition::Close
        }
        Drained::NoReply(CancelOutcome::Answered) => {
            silence::report(address, "no reply to a cancelled request");
            let _ = reply.send(Err(JobError::Failed(Error::ConnectionSilent)));
            Disposition::Close
        }
        // The target does not respond at all, so this connection alone is not at fault.
        Drained::NoReply(CancelOutcome::Unanswered) => {
            let _ = reply.send(Err(JobError::Failed(Error::TimedOut)));
            Disposition::Close
        }
    }
}

/// Returns whether the other side responds on this connection.
async fn answers(
    stream: &mut ClientStream,
    check: Request,
    pool: &Pool,
    address: SocketAddr,
) -> bool {
    let clock = &*pool.clock;
    let deadline = clock.now() + silence::CHECK_TIMEOUT;
    let request_id = pool.next_request_id();
    match clock::timeout_at(clock, deadline, stream.exchange(check, request_id, None, clock)).await
    {
        Ok(Ok(exchanged)) => exchanged.keep_alive,
        Ok(Err(_)) => false,
        Err(_) => {
            silence::report(address, "no reply to the liveness check before reuse");
            false
        }
    }
}

/// Passes a result to the caller.
fn finish(
    result: Result<ExchangeResult>,
    reply: oneshot::Sender<Result<Reply, JobError>>,
    address: SocketAddr,
) -> Disposition {
    match result {
        Ok(exchanged) => {
            // Fails if the caller no longer waits, which needs no handling.
            let _ = reply.send(Ok(exchanged.reply));
            if exchanged.keep_alive { Disposition::Keep } else { Disposition::Close }
        }
        Err(error) => {
            if error == Error::ConnectionSilent {
                silence::report(address, "no interim response from the node");
            }
            let disposition =
                if error == Error::ConnectionLost { Disposition::Lost } else { Disposition::Close };
            let _ = reply.send(Err(JobError::Failed(error)));
            disposition
        }
    }
}
