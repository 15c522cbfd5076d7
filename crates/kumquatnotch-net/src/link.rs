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
    exchange::{Ends, Exchanged},
    message::{Reply, Request},
    pool::{Lane, Pool},
    silence::{self, CancelProof},
};

/// A request for one connection.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Its number.
    pub(crate) number: u64,
    /// Where the reply goes; [`JobFault::NotSent`] tells that another connection can be tried.
    pub(crate) reply: oneshot::Sender<Result<Reply, JobFault>>,
    /// Asks, when sent, whether the connection is silent.
    pub(crate) challenge: oneshot::Receiver<()>,
    /// Cancels the request at the other side, over another connection.
    pub(crate) cancel: Option<Cancel>,
    /// A request to send before this one, to see whether the connection lives.
    pub(crate) check: Option<Request>,
    /// The silence in which a node of the tier would have sent something.
    pub(crate) mute: Option<Duration>,
}

/// Cancels a request at the other side and tells what that proved.
pub(crate) type Cancel = Rc<dyn Fn() -> LocalFuture<'static, CancelProof>>;

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
    Reply(Result<Exchanged>),
    /// Nothing came in the time that a living connection would have needed.
    Mute(CancelProof),
}

/// What a job leaves of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// It can be used again.
    Keep,
    /// It must be closed.
    Close,
    /// The other side has closed it.
    Lost,
}

/// Runs a connection to its end.
pub(crate) async fn run(mut ends: Ends, pool: Weak<Pool>, lane: Lane, address: SocketAddr) {
    let mut useful = false;
    let mut after = After::Lost;
    while let Some(job) = next_job(&mut ends, &pool, lane).await {
        let Some(pool) = pool.upgrade() else {
            return;
        };
        after = run_job(&mut ends, job, &pool, lane, address).await;
        if after != After::Keep {
            break;
        }
        useful = true;
        pool.note_success();
    }
    if let Some(pool) = pool.upgrade() {
        // A target that takes connections only to drop them is as good as one
        // that refuses them.
        pool.closed(lane, after == After::Lost && !useful);
    }
}

/// Offers the connection to its pool and waits for a job; `None` if it has ended.
async fn next_job(ends: &mut Ends, pool: &Weak<Pool>, lane: Lane) -> Option<Job> {
    let (sender, receiver) = oneshot::channel();
    let mut idle = {
        let pool = pool.upgrade()?;
        let idle = clock::sleep(&*pool.clock, pool.options.idle);
        pool.offer(lane, sender);
        idle.fuse()
    };
    let mut receiver = receiver.fuse();
    let mut ended = pin!(ends.ended().fuse());
    // The end is looked at first: a job that is dropped here was not sent, and
    // its caller takes another connection.
    select_biased! {
        _ = ended => None,
        job = receiver => job.ok(),
        () = idle => None,
    }
}

/// Runs one job.
async fn run_job(ends: &mut Ends, job: Job, pool: &Pool, lane: Lane, address: SocketAddr) -> After {
    let Job { request, number, mut reply, challenge, cancel, check, mute } = job;
    let clock = &*pool.clock;
    if let Some(check) = check
        && !answers(ends, check, pool, address).await
    {
        let _ = reply.send(Err(JobFault::NotSent));
        return After::Close;
    }
    // Whoever gave up during the check must not have the request run later.
    if reply.is_canceled() {
        return After::Keep;
    }
    let mut work = pin!(ends.exchange(request, number, mute, clock).fuse());
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
        return After::Close;
    };
    let mute = pin!(async {
        let proof = cancel().await;
        clock::sleep(clock, silence::HASTY_DRAIN_TIME).await;
        // A new connection costs less than callers that wait behind this one.
        if !abandoned || !pool.is_wanted(lane) {
            clock::sleep(clock, silence::DRAIN_TIME - silence::HASTY_DRAIN_TIME).await;
        }
        proof
    });
    let drained = select_biased! {
        result = work => Drained::Reply(result),
        proof = mute.fuse() => Drained::Mute(proof),
    };
    match drained {
        Drained::Reply(result) => finish(result, reply, address),
        // Nobody suspected this connection; its target may be slow to cancel.
        Drained::Mute(_) if reply.is_canceled() => {
            metrics::counter!("kumquatnotch_undrained_connections_total").increment(1);
            After::Close
        }
        Drained::Mute(CancelProof::Answered) => {
            silence::report(address, "a cancelled request was never answered");
            let _ = reply.send(Err(JobFault::Failed(Error::ConnectionSilent)));
            After::Close
        }
        // The whole target is quiet, which says nothing about this connection.
        Drained::Mute(CancelProof::Nothing) => {
            let _ = reply.send(Err(JobFault::Failed(Error::TimedOut)));
            After::Close
        }
    }
}

/// Whether the other side answers on this connection at all.
async fn answers(ends: &mut Ends, check: Request, pool: &Pool, address: SocketAddr) -> bool {
    let clock = &*pool.clock;
    let deadline = clock.now() + silence::CHECK_TIME;
    let number = pool.number();
    match clock::timeout_at(clock, deadline, ends.exchange(check, number, None, clock)).await {
        Ok(Ok(exchanged)) => exchanged.keep,
        Ok(Err(_)) => false,
        Err(_) => {
            silence::report(address, "it did not answer a check before its next use");
            false
        }
    }
}

/// Hands a result to the caller.
fn finish(
    result: Result<Exchanged>,
    reply: oneshot::Sender<Result<Reply, JobFault>>,
    address: SocketAddr,
) -> After {
    match result {
        Ok(exchanged) => {
            // A caller that has gone away no longer wants it.
            let _ = reply.send(Ok(exchanged.reply));
            if exchanged.keep { After::Keep } else { After::Close }
        }
        Err(error) => {
            if error == Error::ConnectionSilent {
                silence::report(address, "a working node would have sent something");
            }
            let after = if error == Error::ConnectionLost { After::Lost } else { After::Close };
            let _ = reply.send(Err(JobFault::Failed(error)));
            after
        }
    }
}
