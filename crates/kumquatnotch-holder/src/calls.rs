//! Calls to targets: sending, hedging and retrying.

use std::{pin::Pin, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use kumquatnotch_core::{
    Error, Result,
    clock::{sleep, timeout_at},
    ids::TargetName,
    marks::MarkKind,
    target::{TargetCall, TargetReply},
};
use kumquatnotch_policy::{containment::Verdict, retry::Attempt};

use crate::{
    core::Core,
    slots::{Slot, Work},
};

/// Time to live of the draining mark of a target.
///
/// Probes renew the mark while the target drains, so a target that has returned is used again
/// soon after.
pub const DRAINING_TTL: Duration = Duration::from_secs(10);

/// Share of its time left for which a request that lost its target waits for an idle replica.
///
/// The root withholds a request from the other shards while it waits for its canary shard, for at
/// most half of the time until partial answers are due. If the holder does not answer before then,
/// the root fans out a request that may crash every target.
const ALONE_WAIT_SHARE: f64 = 0.2;

/// Number of hedge delays after which a hedged call bypasses the queue.
///
/// Otherwise a call on a silent connection would not be hedged while there is a queue, although it
/// has waited longer than any call in the queue.
const QUEUE_BYPASS_DELAYS: u32 = 3;

impl Core {
    /// Runs `work` on a replica of its shard and retries it on another if that is safe.
    pub async fn run(self: &Rc<Self>, work: &Rc<Work>) -> Result<TargetReply> {
        self.retry.borrow_mut().on_call();
        let mut tried = Vec::new();
        let mut tries = 0;
        // Error of the last attempt that may have run. It takes precedence over the refusal of a
        // later attempt: a request that crashed the last replica would otherwise fail with "no
        // target", and the root would treat the shard as lost and send the request elsewhere.
        let mut last_run_error: Option<Error> = None;
        loop {
            let alone = match self.verdict(work.fingerprint) {
                Verdict::Free => false,
                Verdict::Alone => true,
                Verdict::Refused(left) => return Err(last_run_error.unwrap_or(contained(left))),
            };
            let slot = match &last_run_error {
                Some(error) if alone => {
                    let acquired = self.acquire_alone(work, &tried).await;
                    acquired.map_err(|_| error.clone())?
                }
                Some(error) => {
                    let acquired = self.acquire(work, &tried, alone).await;
                    acquired.map_err(|_| error.clone())?
                }
                None => self.acquire(work, &tried, alone).await?,
            };
            tries += 1;
            let error = match self.attempt(work, slot, alone, &mut tried).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            // The request has run, so it must not be refused as "not run".
            if matches!(self.verdict(work.fingerprint), Verdict::Refused(_)) {
                return Err(error);
            }
            let Some(wait) = self.retry_delay(work, &error, tries, &tried) else {
                return Err(error);
            };
            if !error.is_not_run() {
                last_run_error = Some(error);
            }
            self.meters.retries.increment(1);
            if !wait.is_zero() {
                sleep(&*self.clock, wait).await;
                tried.clear();
            }
        }
    }

    /// Waits for an idle replica, for [`ALONE_WAIT_SHARE`] of the time left.
    async fn acquire_alone(self: &Rc<Self>, work: &Rc<Work>, tried: &[TargetName]) -> Result<Slot> {
        let now = self.now();
        let until = now + work.deadline.saturating_duration_since(now).mul_f64(ALONE_WAIT_SHARE);
        timeout_at(&*self.clock, until, self.acquire(work, tried, true)).await?
    }

    /// Returns how the request of this fingerprint may run.
    pub fn verdict(&self, fingerprint: kumquatnotch_core::ids::Fingerprint) -> Verdict {
        match self.marks.left_ms(&MarkKind::Contained(fingerprint)) {
            Some(left) => Verdict::Refused(Duration::from_millis(left)),
            None => self.containment.borrow().verdict(fingerprint, self.now()),
        }
    }

    fn retry_delay(
        &self,
        work: &Work,
        error: &Error,
        tries: u32,
        tried: &[TargetName],
    ) -> Option<Duration> {
        let attempt = Attempt {
            error,
            tries,
            exclusive: work.is_exclusive(),
            other: self.has_untried(work, tried),
            deadline: work.deadline,
        };
        self.retry.borrow_mut().next(&attempt, self.now())
    }

    fn has_untried(&self, work: &Work, tried: &[TargetName]) -> bool {
        let table = self.table.borrow();
        let names = table.index.get(&work.shard).map(Vec::as_slice).unwrap_or_default();
        names.iter().any(|name| work.eligible.contains(name) && !tried.contains(name))
    }

    /// Makes one attempt, hedged on another replica if it is late.
    async fn attempt(
        self: &Rc<Self>,
        work: &Rc<Work>,
        slot: Slot,
        alone: bool,
        tried: &mut Vec<TargetName>,
    ) -> Result<TargetReply> {
        tried.push(slot.target.clone());
        self.hedge.borrow_mut().on_call();
        let first = self.call(work, slot);
        let delay = self.hedge.borrow().delay();
        let Some(delay) = delay.filter(|_| work.hedgeable && !alone) else {
            return first.await;
        };
        let mut first = Box::pin(first);
        let mut hedge_delays = 0;
        let slot = loop {
            first = match select(first, sleep(&*self.clock, delay)).await {
                Either::Left((result, _)) => return result,
                Either::Right(((), first)) => first,
            };
            hedge_delays += 1;
            if let Some(slot) = self.hedge_slot(work, tried, hedge_delays >= QUEUE_BYPASS_DELAYS) {
                break slot;
            }
        };
        tried.push(slot.target.clone());
        first_success(first, Box::pin(self.call(work, slot))).await
    }

    /// Takes a slot for a hedged call if one is free and the hedge budget allows it.
    fn hedge_slot(
        self: &Rc<Self>,
        work: &Work,
        tried: &[TargetName],
        bypass_queue: bool,
    ) -> Option<Slot> {
        // The request itself may have crashed the target whose connection was lost. Until the
        // crash check ends, the request is not a suspect yet, and a hedged call could crash a
        // second replica without identifying the request as the cause.
        if self.has_crash_check(tried) {
            return None;
        }
        let slot = self.spare_slot(work, tried, bypass_queue)?;
        if !self.hedge.borrow_mut().spend() {
            // The slot was never used, so its release must not count as an abandoned call.
            let mut slot = slot;
            slot.completed = true;
            return None;
        }
        self.meters.hedges.increment(1);
        Some(slot)
    }

    /// Returns whether a crash check of one of `tried` is in progress.
    fn has_crash_check(&self, tried: &[TargetName]) -> bool {
        let table = self.table.borrow();
        let mut entries = tried.iter().filter_map(|name| table.entries.get(name));
        entries.any(|entry| entry.crash_waiters.is_some())
    }

    /// Sends `work` to the replica of `slot` and records the outcome.
    async fn call(self: &Rc<Self>, work: &Rc<Work>, mut slot: Slot) -> Result<TargetReply> {
        let call = TargetCall {
            id: self.random.number(),
            shard: work.shard.clone(),
            version: work.version,
            tenant: work.tenant.clone(),
            class: work.class,
            body: work.body.clone(),
            limit: work.limit,
            exclusive: work.is_exclusive(),
        };
        work.sent.set(true);
        self.meters.calls.increment(1);
        let spec = slot.spec.clone();
        let result = self.targets.call(&slot.target, &spec, &call, work.deadline).await;
        match result {
            Ok(reply) if work.version.is_some_and(|version| version != reply.version) => {
                slot.completed = true;
                // Hits of another version would mix two snapshots in one answer.
                Err(Error::protocol("reply is from another index version"))
            }
            Ok(reply) => {
                self.on_reply(work, &mut slot, &reply);
                Ok(reply)
            }
            Err(error) => {
                self.on_error(work, &mut slot, &error).await;
                Err(redact(error))
            }
        }
    }

    fn on_reply(&self, work: &Work, slot: &mut Slot, reply: &TargetReply) {
        slot.completed = true;
        let now = self.now();
        let latency = now.saturating_duration_since(slot.started);
        let mut table = self.table.borrow_mut();
        if let Some(entry) = table.entries.get_mut(&slot.target) {
            entry.replica.on_answer(latency, reply.load, now);
            // The limit would interpret the latencies of cold caches as a loss of capacity, and
            // would be lowered while the target has to catch up.
            if entry.replica.is_settled() {
                entry.limit.on_answer(slot.level, latency, now);
            }
            entry.abandoned_calls = 0;
        }
        if let Some(shard) = table.shards.get_mut(&work.shard) {
            shard.update_service_time(latency);
        }
        drop(table);
        self.hedge.borrow_mut().on_latency(latency);
        self.containment.borrow_mut().on_answer(work.fingerprint, &work.shard);
        self.meters.record_service(&work.tenant, work.class, latency);
    }

    async fn on_error(self: &Rc<Self>, work: &Work, slot: &mut Slot, error: &Error) {
        let now = self.now();
        let target = &slot.target;
        // The text of an error may contain data of another tenant, so only its code is logged.
        tracing::debug!(%target, code = error.code(), "holder: call failed");
        match error {
            Error::ConnectionLost => {
                self.check_crash(target).await;
                slot.completed = true;
                return;
            }
            // The elapsed time is recorded as for an abandoned call when the slot is released.
            Error::TimedOut => return,
            Error::ConnectionSilent => {
                self.meters.silent_connections.increment(1);
                return;
            }
            _ => slot.completed = true,
        }
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return;
        };
        match error {
            Error::Shed { .. } => {
                let retry = error.retry_after().unwrap_or_default();
                entry.replica.on_shed(retry, now);
                entry.limit.on_shed(slot.level, now);
                self.meters.sheds.increment(1);
            }
            Error::Draining => {
                entry.replica.on_draining();
                drop(table);
                self.set_mark(MarkKind::Draining(target.clone()), DRAINING_TTL);
                tracing::info!(%target, "holder: target is draining");
            }
            Error::VersionGone { version } => {
                let version = kumquatnotch_core::ids::IndexVersion(*version);
                entry.replica.on_version_gone(&work.shard, version);
            }
            Error::ConnectFailed | Error::ConnectRefused => {
                entry.replica.on_unreachable(now, &self.random);
                let at = entry.replica.down_until().unwrap_or(now);
                table.schedule_probe(target, at);
            }
            _ => {}
        }
    }
}

/// Returns the refusal of a contained request.
pub fn contained(left: Duration) -> Error {
    Error::Contained { retry_ms: left.as_millis() as u64 }
}

/// Removes the text of the target from `error`, as it may contain private data of a tenant.
fn redact(error: Error) -> Error {
    match error {
        Error::TargetFailed { .. } => Error::TargetFailed { detail: "details withheld".to_owned() },
        Error::Protocol { .. } => Error::protocol("invalid reply from the target"),
        error => error,
    }
}

/// Returns the first success of two calls, or the last error if both fail.
async fn first_success<T>(
    first: Pin<Box<impl Future<Output = Result<T>>>>,
    second: Pin<Box<impl Future<Output = Result<T>>>>,
) -> Result<T> {
    match select(first, second).await {
        Either::Left((Ok(value), _)) | Either::Right((Ok(value), _)) => Ok(value),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}
