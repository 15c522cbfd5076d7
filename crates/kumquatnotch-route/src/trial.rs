//! Trials of requests that seem to crash replicas.
//!
//! One replica runs the request, once. A search is sent to the other shards only after that
//! replica has replied, so that a trial costs one replica and not one of each shard. A trial goes
//! on if its caller leaves: few may be started, and its outcome is what the next callers wait for.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use http::HeaderValue;
use kumquatnotch_core::{clock, ids::Fingerprint, lifecycle::Stage};
use kumquatnotch_net::message::{Reply, Request};
use kumquatnotch_policy::observed::Fitness;

use crate::{
    attempt::Call,
    call::{self, CallError, CallStats},
    crash_check,
    crash_records::Claim,
    gather::FirstPart,
    leaving,
    names::ServiceName,
    request_log::RequestContext,
    route::{Route, ShardSet},
    router::Router,
};

/// Reason of a refusal because of crashes.
const REASON: &str = "the request has crashed replicas";

/// Maximum number of shards that are asked until one runs the trial of a search.
///
/// A node that was only warned does not know which replicas are lost.
const MAX_SHARDS: usize = 4;

/// `Retry-After` if no replica can run the trial.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A trial of a request.
pub(crate) struct Trial {
    router: Rc<Router>,
    /// The route, with a single attempt.
    route: Route,
    request: Request,
    fingerprint: Fingerprint,
    identity: HeaderValue,
    due: Instant,
    deadline: Instant,
}

/// Returns the refusal of a request that has crashed replicas.
pub(crate) fn refusal(retry_after: Duration) -> CallError {
    metrics::counter!("kumquatnotch_crash_refusals_total").increment(1);
    CallError::NotRun { retry_after, reason: REASON }
}

impl Trial {
    /// Creates the trial of a request.
    pub(crate) fn new(
        router: &Rc<Router>,
        context: &RequestContext,
        request: &Request,
        fingerprint: Fingerprint,
    ) -> Trial {
        Trial {
            router: router.clone(),
            route: Route { attempts: 1, ..(*context.route).clone() },
            request: request.clone(),
            fingerprint,
            identity: context.identity.clone(),
            due: context.due,
            deadline: context.deadline,
        }
    }

    /// Runs the trial of a request to one service, which is the request itself.
    pub(crate) async fn run_single(self, service: &ServiceName) -> Result<Reply, CallError> {
        let services = match has_replica(&self.router, service) {
            true => vec![service.clone()],
            false => Vec::new(),
        };
        monoio::spawn(self.run(services)).await.map(|(_, reply)| reply)
    }

    /// Runs the trial of a search at one of its shards; returns that part.
    pub(crate) async fn run_search(self, set: &ShardSet) -> Result<FirstPart, CallError> {
        let shards = self.trial_shards(set);
        let services = shards.iter().map(|index| set.shards[*index].clone()).collect();
        let (position, reply) = monoio::spawn(self.run(services)).await?;
        Ok(FirstPart { shard: shards[position], reply })
    }

    /// Returns the shards with replicas, those first that have lost another one.
    ///
    /// Only a reply of such a shard shows that its data is not the reason. If all of them are lost
    /// for good, the search must not be refused for ever, so any shard will do.
    fn trial_shards(&self, set: &ShardSet) -> Vec<usize> {
        let record = self.router.crashes.record(self.fingerprint).unwrap_or_default();
        let has_crashed = |shard: &ServiceName| {
            let service = crash_check::service_hash(shard);
            record.crashes.iter().any(|crash| crash.service == service)
        };
        let shards = 0..set.shards.len();
        let usable = shards.filter(|index| has_replica(&self.router, &set.shards[*index]));
        let (mut struck, others): (Vec<usize>, Vec<usize>) =
            usable.partition(|index| has_crashed(&set.shards[*index]));
        struck.extend(others);
        struck.truncate(MAX_SHARDS);
        struck
    }

    /// Runs the request on one replica of the first of `services` that has one for it.
    ///
    /// Returns the position of that service and the reply.
    async fn run(self, services: Vec<ServiceName>) -> Result<(usize, Reply), CallError> {
        if services.is_empty() {
            return Err(no_replica());
        }
        self.claim().await?;
        let crashes = self.router.crashes.confirmed(self.fingerprint);
        let mut result = Err(no_replica());
        for (position, service) in services.iter().enumerate() {
            result = self.run_at(service).await.map(|reply| (position, reply));
            if !matches!(result, Err(CallError::NotRun { .. })) {
                break;
            }
        }
        match &result {
            Ok((_, reply)) | Err(CallError::Failed(reply)) => {
                // A reply of a service without crashes has not acquitted it yet.
                if crash_check::is_proven(&self.router, reply)
                    && self.router.crashes.record(self.fingerprint).is_some()
                {
                    crash_check::acquit(&self.router, self.fingerprint);
                }
            }
            Err(CallError::NotRun { .. } | CallError::TimedOut) => self.release().await,
            // The reply does not wait for the store, as the process exits.
            Err(CallError::Ended) => {
                monoio::spawn(async move { self.release().await });
            }
            Err(CallError::Unknown) => {
                monoio::spawn(self.release_unless_crashed(crashes));
            }
        }
        result
    }

    async fn claim(&self) -> Result<(), CallError> {
        let claim = match self.router.crash_records() {
            Some(records) => {
                let claim = pin!(records.claim(self.fingerprint));
                let ended = pin!(self.router.lifecycle.reached(Stage::Ending));
                match select(claim, ended).await {
                    Either::Left((claim, _)) => claim,
                    Either::Right(_) => {
                        return Err(CallError::NotRun {
                            retry_after: NO_REPLICA_RETRY_AFTER,
                            reason: leaving::REASON,
                        });
                    }
                }
            }
            None => {
                self.router.crashes.note_trial(self.fingerprint, self.router.clock.now());
                Claim::Granted
            }
        };
        match claim {
            Claim::Granted | Claim::Acquitted => Ok(()),
            Claim::Refused(retry_after) => Err(refusal(retry_after)),
        }
    }

    /// Sends the request to one replica of a service, once.
    async fn run_at(&self, service: &ServiceName) -> Result<Reply, CallError> {
        let call = Call {
            route: &self.route,
            service,
            request: &self.request,
            identity: &self.identity,
            due: self.due,
            deadline: self.deadline,
            allowed: Vec::new(),
            is_retry: false,
            losses: None,
            is_answered: Cell::new(false),
        };
        call::call(&self.router, &call, &CallStats::default()).await
    }

    /// Takes the trial back if the replica that lost its reply has not crashed.
    ///
    /// Otherwise a harmless request whose replies are lost could be refused for a day.
    async fn release_unless_crashed(self, crashes: u64) {
        clock::sleep(&*self.router.clock, crash_check::MAX_DURATION).await;
        if self.router.crashes.confirmed(self.fingerprint) == crashes {
            self.release().await;
        }
    }

    /// Takes the trial back, as it has shown nothing.
    async fn release(&self) {
        match self.router.crash_records() {
            Some(records) => records.release(self.fingerprint).await,
            None => self.router.crashes.undo_trial(self.fingerprint),
        }
    }
}

fn has_replica(router: &Router, service: &ServiceName) -> bool {
    let replicas = router.directory.of(service);
    let mut fit = replicas.iter().filter(|replica| replica.observed.fitness() == Fitness::Fit);
    fit.any(|replica| replica.takes_requests())
}

fn no_replica() -> CallError {
    CallError::NotRun { retry_after: NO_REPLICA_RETRY_AFTER, reason: "no replica" }
}
