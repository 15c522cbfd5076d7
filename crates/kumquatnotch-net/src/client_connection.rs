//! One connection of a client: its task, and the jobs it is given.
//!
//! The task owns the connection. While idle it offers itself to its pool and
//! watches for the end of the connection. A job whose caller went away is
//! cancelled at the other side, and its reply is still read for a while: if it
//! comes, the connection is in step and used again; if not, it is closed, never
//! pooled half-read.

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

/// A request for one connection.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Its number.
    pub(crate) request_id: u64,
    /// Where the reply goes; [`JobFault::NotSent`] tells that another connection can be tried.
    pub(crate) reply: oneshot::Sender<Result<Reply, JobFault>>,
    /// Asks, when sent, whether the connection is silent.
    pub(crate) challenge: oneshot::Receiver<()>,
    /// Cancels the request at the other side, over another connection.
    pub(crate) cancel: Option<Cancel>,
    /// A request to send before this one, to see whether the connection lives.
    pub(crate) check: Option<Request>,
    /// The silence in which a node of the tier would have sent something.
    pub(crate) silence_timeout: Option<Duration>,
}

/// Cancels a request at the other side and tells what that proved.
pub(crate) type Cancel = Rc<dyn Fn() -> LocalFuture<'static, CancelOutcome>>;

/// Why a job failed.
#[derive(Debug)]
pub(crate) enum JobFault {
    /// Nothing of the request was sent.
    NotSent,
    /// It may have been delivered.
    Failed(Error),
}

/// What is known about a connection whose request was abandoned or questioned.
enum Drained {
    /// The reply came.
    Reply(Result<ExchangeResult>),
    /// Nothing came in the time that a living connection would have needed.
    NoReply(CancelOutcome),
}

/// What a job leaves of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    /// It can be used again.
    Keep,
    /// It must be closed.
    Close,
    /// The other side has closed it.
    Lost,
}

/// Runs a connection to its end.
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
        pool.note_success();
    }
    if let Some(pool) = pool.upgrade() {
        // A target that takes connections only to drop them is as good as one
        // that refuses them.
        pool.closed(lane, disposition == Disposition::Lost && !served);
    }
}

/// Offers the connection to its pool and waits for a job; `None` if it has ended.
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
    // The end is looked at first: a job that is dropped here was not sent, and
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
        let _ = reply.send(Err(JobFault::NotSent));
        return Disposition::Close;
    }
    // Whoever gave up during the check must not have the request run later.
    if reply.is_canceled() {
        return Disposition::Keep;
    }
    let mut work = pin!(stream.exchange(request, request_id, silence_timeout, clock).fuse());
    let mut challenge = pin!(
        async {
            // A sender that was dropped asks nothing.
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
    // Without a way to cancel, closing the connection is what tells the other side.
    let Some(cancel) = cancel else {
        let _ = reply.send(Err(JobFault::Failed(Error::TimedOut)));
        return Disposition::Close;
    };
    let drain = pin!(async {
        let outcome = cancel().await;
        clock::sleep(clock, silence::SHORT_DRAIN_TIMEOUT).await;
        // A new connection costs less than callers that wait behind this one.
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
        // Nobody suspected this connection; its target may be slow to cancel.
        Drained::NoReply(_) if reply.is_canceled() => {
            metrics::counter!("kumquatnotch_undrained_connections_total").increment(1);
            Disposition::Close
        }
        Drained::NoReply(CancelOutcome::Answered) => {
            silence::report(address, "a cancelled request was never answered");
            let _ = reply.send(Err(JobFault::Failed(Error::ConnectionSilent)));
            Disposition::Close
        }
        // The whole target is quiet, which says nothing about this connection.
        Drained::NoReply(CancelOutcome::Unanswered) => {
            let _ = reply.send(Err(JobFault::Failed(Error::TimedOut)));
            Disposition::Close
        }
    }
}

/// Whether the other side answers on this connection at all.
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
            silence::report(address, "it did not answer a check before its next use");
            false
        }
    }
}

/// Hands a result to the caller.
fn finish(
    result: Result<ExchangeResult>,
    reply: oneshot::Sender<Result<Reply, JobFault>>,
    address: SocketAddr,
) -> Disposition {
    match result {
        Ok(exchanged) => {
            // A caller that has gone away no longer wants it.
            let _ = reply.send(Ok(exchanged.reply));
            if exchanged.keep_alive { Disposition::Keep } else { Disposition::Close }
        }
        Err(error) => {
            if error == Error::ConnectionSilent {
                silence::report(address, "a working node would have sent something");
            }
            let disposition =
                if error == Error::ConnectionLost { Disposition::Lost } else { Disposition::Close };
            let _ = reply.send(Err(JobFault::Failed(error)));
            disposition
        }
    }
}
