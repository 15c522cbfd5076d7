//! Execution of an exclusive request, from the choice of its shard to its outcome.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Error, Result,
    clock::sleep,
    document::Document,
    ids::{ShardName, rendezvous},
    member::NodeRecord,
    peer::{PeerMessage, PeerReply, RelayCall},
    random::Random,
    target::{MIN_CALL_TIME, TargetCall, TargetReply},
    ticket::{ExclusiveRequest, Outcome},
};

use crate::{TicketOptions, router::Router};

/// Delay before a refused request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Runs exclusive requests through the holders of their shards.
pub(crate) struct Runner {
    clock: Rc<dyn Clock>,
    random: Random,
    router: Rc<Router>,
    max_attempts: usize,
    grace: Duration,
    margin: Duration,
}

impl Runner {
    pub fn new(
        options: &TicketOptions,
        clock: Rc<dyn Clock>,
        random: Random,
        router: Rc<Router>,
    ) -> Runner {
        let TicketOptions { max_attempts, grace, margin, .. } = *options;
        Runner { clock, random, router, max_attempts, grace, margin }
    }

    /// Runs `request` at most once.
    ///
    /// It is sent again only after a reply that guarantees that nothing ran. If a
    /// connection breaks after sending, the outcome is unknown and the request is not
    /// sent again.
    pub async fn run(
        &self,
        document: &Document,
        request: &ExclusiveRequest,
        deadline: Instant,
    ) -> Outcome {
        let Some(shard) = shard_of(document, request) else {
            return Outcome::Failed(Error::NoTarget);
        };
        let group = self.router.group(document, &shard);
        let mut last = Error::ExpiredInQueue;
        for attempt in 0..self.max_attempts {
            if self.clock.now() + MIN_CALL_TIME > deadline {
                // The request waited here and was never sent.
                return Outcome::Failed(Error::ExpiredInQueue);
            }
            let holders = self.router.holders(group);
            if holders.is_empty() {
                return Outcome::Failed(Error::NoTarget);
            }
            let holder = &holders[attempt % holders.len()];
            match self.relay(holder, document, request, &shard, deadline).await {
                Ok(reply) => return Outcome::Done(reply.result),
                Err(error) if error.is_not_run() => last = error,
                // The request certainly ran and failed.
                Err(error @ Error::TargetFailed { .. }) => return Outcome::Failed(error),
                Err(_) => return Outcome::Failed(Error::OutcomeUnknown),
            }
            if is_final(&last) || !self.pause(&last, deadline).await {
                break;
            }
        }
        Outcome::Failed(caller_error(last))
    }

    /// Waits until the request may be sent again; false if not enough time is left.
    async fn pause(&self, error: &Error, deadline: Instant) -> bool {
        let pause = error.retry_after().unwrap_or(RETRY_DELAY);
        if self.clock.now() + pause + MIN_CALL_TIME > deadline {
            return false;
        }
        sleep(&*self.clock, pause).await;
        true
    }

    async fn relay(
        &self,
        holder: &NodeRecord,
        document: &Document,
        request: &ExclusiveRequest,
        shard: &ShardName,
        deadline: Instant,
    ) -> Result<TargetReply> {
        let spec = document.rules.selectors.get(&request.selector);
        let left = deadline.saturating_duration_since(self.clock.now());
        let call = TargetCall {
            id: self.random.number(),
            shard: shard.clone(),
            version: None,
            tenant: request.tenant.clone(),
            class: spec.map(|spec| spec.class).unwrap_or_default(),
            body: request.body.clone(),
            limit: 0,
            exclusive: true,
        };
        let deadline_ms = (left - self.margin.min(left / 10)).as_millis() as u64;
        let relay = RelayCall { selector: request.selector.clone(), call, deadline_ms };
        let message = PeerMessage::Relay(Box::new(relay));
        // The reply is awaited beyond the deadline: the caller can still query the
        // outcome, and a late reply is better than none.
        match self.router.send(holder, &message, deadline + self.grace).await? {
            PeerReply::Relay(reply) => Ok(*reply),
            _ => Err(Error::protocol("unexpected peer reply to a relayed call")),
        }
    }
}

/// Returns the shard of a request: the first in rank for its key, independent of the
/// node.
fn shard_of(document: &Document, request: &ExclusiveRequest) -> Option<ShardName> {
    let spec = document.rules.selectors.get(&request.selector)?;
    let mut shards: Vec<&str> =
        document.select(spec).map(|(_, target)| target.shard.as_str()).collect();
    shards.sort_unstable();
    shards.dedup();
    rendezvous(request.key.as_bytes(), &shards).first().map(|shard| ShardName::from(*shard))
}

/// Returns whether another holder or a later attempt would refuse the request too.
fn is_final(error: &Error) -> bool {
    matches!(error, Error::Contained { .. } | Error::ExpiredInQueue | Error::BodyTooLarge { .. })
}

/// Maps `error` to the one for the caller: a holder's problem with its own document or
/// its state is not a fault of the request.
fn caller_error(error: Error) -> Error {
    match error {
        Error::UnknownSelector { .. }
        | Error::Leaving
        | Error::NotReady
        | Error::ConnectFailed
        | Error::ConnectRefused => Error::NoTarget,
        error => error,
    }
}
