//! Non-idempotent requests, run at most once under a ticket.
//!
//! A ticket belongs to one incarnation of the node that issued it. Only that
//! incarnation runs the request, and it keeps the outcome for as long as the ticket is
//! valid for a run. This requires no consensus between nodes and no write to the
//! platform: a second copy of the request finds the entry of the first, and when the
//! issuer dies, its tickets can no longer run anything. Every other node forwards a
//! request to the issuer and never runs it.
//!
//! A caller receives one of the following:
//!
//! * the outcome, the same on each retry;
//! * [`Error::StillRunning`]: retry later;
//! * [`Error::IssuerUnreachable`]: the issuer is or may be alive but did not answer;
//!   retry with the same ticket;
//! * [`Error::OutcomeUnknown`]: the request may have run, and its outcome cannot be
//!   determined. Either the incarnation of the issuer has ended, or the request was
//!   sent to a target and no conclusive reply was received. The request does not run
//!   again;
//! * an error that says "not run", which only the issuer returns. The issuer then never
//!   runs the request under that ticket.

use std::{
    cell::Cell,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result,
    clock::timeout_at,
    document::{Document, Documents},
    front::{ExclusiveBody, TicketGrant},
    ids::{TenantName, stable_hash},
    lifecycle::{Lifecycle, Stage},
    member::{Members, NodeState},
    peer::{PeerHandler, PeerMessage, PeerReply},
    random::Random,
    registry::Registry,
    services,
    ticket::{ExclusiveRequest, Outcome, Ticket},
};

use crate::{
    TicketOptions, meters,
    outcomes::{Lookup, Outcomes, RunGuard},
    router::{ROUTER, Router},
    runner::Runner,
};

/// Name under which the [`TicketService`] is registered, as an `Rc<TicketService>`.
pub const TICKETS: &str = "tickets";

/// Deadline if neither the caller nor a known selector specifies one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(1);

/// Issues tickets and runs the requests made under them.
pub struct TicketService {
    this: Weak<TicketService>,
    options: TicketOptions,
    clock: Rc<dyn Clock>,
    members: Rc<dyn Members>,
    documents: Rc<dyn Documents>,
    lifecycle: Lifecycle,
    router: Rc<Router>,
    runner: Runner,
    outcomes: Outcomes,
    serial: Cell<u64>,
    secret: [u64; 2],
    started: Instant,
}

impl TicketService {
    /// Creates a ticket service that uses the services in `registry`.
    pub fn try_new(options: TicketOptions, registry: &Registry) -> Result<Rc<TicketService>> {
        let clock: Rc<dyn Clock> = registry.find(services::CLOCK)?;
        let random: Random = registry.find(services::RANDOM)?;
        let members: Rc<dyn Members> = registry.find(services::MEMBERS)?;
        let documents: Rc<dyn Documents> = registry.find(services::DOCUMENTS)?;
        let lifecycle: Lifecycle = registry.find(services::LIFECYCLE)?;
        let router: Rc<Router> = registry.find(ROUTER)?;
        if members.local().name.contains(':') {
            let detail = "node name must not contain a colon".to_owned();
            return Err(Error::BadSettings { detail });
        }
        // Outcomes are kept for twice the validity of a ticket, so that a caller that
        // sends its request at the last moment can still query the outcome.
        let outcomes = Outcomes::new(options.valid * 2, options.max_outcomes);
        let runner = Runner::new(&options, clock.clone(), random.clone(), router.clone());
        Ok(Rc::new_cyclic(|this| TicketService {
            this: this.clone(),
            started: clock.now(),
            secret: [random.number(), random.number()],
            serial: Cell::new(0),
            options,
            clock,
            members,
            documents,
            lifecycle,
            router,
            runner,
            outcomes,
        }))
    }

    /// Issues a ticket to `tenant`.
    pub fn issue(&self, tenant: &TenantName) -> Result<TicketGrant> {
        // Without a ticket nothing can have run, so refusing a request for lack of
        // capacity is safe only here.
        let (running, stored) = self.outcomes.counts();
        if running >= self.options.max_runs || stored >= self.options.max_outcomes {
            return Err(Error::overloaded(self.options.grace));
        }
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        let local = self.members.local();
        let issued_ms = self.age_ms();
        let ticket = Ticket {
            seal: self.seal(tenant, serial, issued_ms),
            issuer: local.name,
            incarnation: local.incarnation,
            serial,
            issued_ms,
        };
        let valid = match self.lifecycle.stage() {
            // Outcomes are lost with this process, which is about to exit.
            Stage::Leaving | Stage::Closing | Stage::Ending => {
                self.options.leaving_valid.min(self.options.valid)
            }
            _ => self.options.valid,
        };
        Ok(TicketGrant { ticket: ticket.to_string(), valid_ms: valid.as_millis() as u64 })
    }

    /// Returns the age of this service, which does not depend on the wall clock.
    fn age_ms(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.started).as_millis() as u64
    }

    /// Computes a keyed hash by which this process recognises its own tickets and their
    /// tenant.
    ///
    /// It prevents tenants from querying each other's outcomes. It is not
    /// cryptographically strong and need not be: callers are authenticated by keys, and
    /// peers are trusted.
    fn seal(&self, tenant: &TenantName, serial: u64, issued_ms: u64) -> u64 {
        let [first, second] = self.secret.map(u64::to_be_bytes);
        let (serial, issued) = (serial.to_be_bytes(), issued_ms.to_be_bytes());
        stable_hash(&[&first, tenant.as_bytes(), &serial, &issued, &second])
    }

    /// Runs a request of `tenant` or returns its outcome, here or at the issuer.
    pub async fn exclusive(
        &self,
        document: &Document,
        tenant: &TenantName,
        body: ExclusiveBody,
    ) -> Result<Outcome> {
        let start = self.clock.now();
        let ticket: Ticket = body.ticket.parse()?;
        let bound = document.rules.selectors.get(&body.selector).map(|spec| spec.deadline());
        let requested = body.deadline_ms.map(Duration::from_millis);
        let max_deadline = bound.unwrap_or(DEFAULT_DEADLINE);
        let deadline = requested.unwrap_or(max_deadline).min(max_deadline);
        let margin = self.options.margin.min(deadline / 10);
        let request = ExclusiveRequest {
            ticket: body.ticket,
            tenant: tenant.clone(),
            selector: body.selector,
            key: body.key,
            body: body.request.to_string(),
            deadline_ms: (deadline - margin).as_millis() as u64,
        };
        let outcome = if ticket.issuer == self.members.local().name {
            self.run_or_wait(&ticket, request).await
        } else {
            self.forward(&ticket, request, start + deadline).await
        };
        meters::exclusive(tenant, self.clock.now().saturating_duration_since(start));
        Ok(outcome)
    }

    /// Forwards a request to the issuer of its ticket, the only node that may run it.
    async fn forward(
        &self,
        ticket: &Ticket,
        request: ExclusiveRequest,
        deadline: Instant,
    ) -> Outcome {
        let issuer = match self.members.find(&ticket.issuer) {
            Some(record) if record.state != NodeState::Gone => record,
            _ => return Outcome::Failed(self.unknown_issuer()),
        };
        // The record may be older than the current incarnation of the issuer, or newer
        // than the one of the ticket. The node itself knows its incarnation, so the
        // request is sent to it.
        let message = PeerMessage::Exclusive(Box::new(request));
        match self.router.send(&issuer, &message, deadline).await {
            Ok(PeerReply::Exclusive(outcome)) => outcome,
            // Even if this copy was certainly not delivered, another one may have been.
            // The error must therefore never mean "not run".
            Ok(_) | Err(_) => {
                tracing::warn!("ticket: issuer {} did not answer", issuer.name);
                Outcome::Failed(Error::IssuerUnreachable)
            }
        }
    }

    /// Returns the error for an issuer that is not a member.
    fn unknown_issuer(&self) -> Error {
        // A node that has just started may not know all members yet.
        let age = Duration::from_millis(self.age_ms());
        if age < self.options.settle_time {
            return Error::IssuerUnreachable;
        }
        Error::OutcomeUnknown
    }

    /// Runs a request under a ticket of this node, waits for its run, or returns its
    /// outcome.
    async fn run_or_wait(&self, ticket: &Ticket, request: ExclusiveRequest) -> Outcome {
        let deadline = self.clock.now() + Duration::from_millis(request.deadline_ms);
        match self.find_or_start(ticket, request, deadline) {
            Lookup::Ended(outcome) => outcome,
            Lookup::Running(outcome) => match timeout_at(&*self.clock, deadline, outcome).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) | Err(_) => Outcome::Failed(Error::StillRunning),
            },
            Lookup::Absent | Lookup::OtherRequest => Outcome::Failed(Error::BadTicket),
        }
    }

    /// Returns the entry of a ticket, or creates it and starts the run.
    ///
    /// This function never awaits, so no other copy can interleave between the lookup
    /// and the insertion.
    fn find_or_start(
        &self,
        ticket: &Ticket,
        request: ExclusiveRequest,
        deadline: Instant,
    ) -> Lookup {
        let local = self.members.local();
        if ticket.issuer != local.name {
            // Never forwarded again: two nodes with different views could forward it in
            // a loop.
            return failed(Error::IssuerUnreachable);
        }
        if ticket.incarnation != local.incarnation {
            // An earlier incarnation of this node issued the ticket. It is unknown
            // whether that one ran the request, so this one must not run it.
            return failed(Error::OutcomeUnknown);
        }
        if ticket.seal != self.seal(&request.tenant, ticket.serial, ticket.issued_ms) {
            return failed(Error::BadTicket);
        }
        let now = self.clock.now();
        let hash = request_hash(&request);
        match self.outcomes.find(now, ticket.serial, hash) {
            Lookup::Absent => {}
            found => return found,
        }
        let valid_ms = self.options.valid.as_millis() as u64;
        if self.age_ms() > ticket.issued_ms + valid_ms {
            return failed(Error::TicketExpired);
        }
        if !self.outcomes.begin(now, ticket.serial, hash) {
            // The refusal is not stored, so it must not mean "not run".
            return failed(Error::IssuerUnreachable);
        }
        self.start(ticket.serial, request, deadline);
        self.outcomes.find(now, ticket.serial, hash)
    }

    /// Starts the run, or stores an error at once if the request cannot run.
    fn start(&self, serial: u64, request: ExclusiveRequest, deadline: Instant) {
        let document = match self.check(&request) {
            Ok(document) => document,
            Err(error) => return self.outcomes.end(serial, Outcome::Failed(error)),
        };
        let Some(this) = self.this.upgrade() else {
            return self.outcomes.end(serial, Outcome::Failed(Error::Leaving));
        };
        // The run is a separate task: if the caller disconnects, the run continues, so
        // that its outcome can be queried later.
        monoio::spawn(async move {
            let guard = RunGuard { outcomes: &this.outcomes, serial };
            let outcome = this.runner.run(&document, &request, deadline).await;
            if outcome == Outcome::Failed(Error::OutcomeUnknown) {
                tracing::warn!("ticket: outcome of serial {serial} is unknown");
            }
            this.outcomes.end(serial, outcome);
            drop(guard);
            this.update_gauges();
        });
        self.update_gauges();
    }

    /// Returns the document under which the request runs, if it may run now.
    fn check(&self, request: &ExclusiveRequest) -> Result<Rc<Document>> {
        if self.lifecycle.stage() >= Stage::Closing {
            return Err(Error::Leaving);
        }
        if self.outcomes.counts().0 > self.options.max_runs {
            return Err(Error::overloaded(self.options.grace));
        }
        if request.body.len() > self.options.body_limit {
            return Err(Error::BodyTooLarge { limit: self.options.body_limit as u64 });
        }
        let document = self.documents.current().ok_or(Error::NotReady)?;
        crate::access::permitted(&document, &request.selector, &request.tenant, true)?;
        Ok(document)
    }

    fn update_gauges(&self) {
        let (running, stored) = self.outcomes.counts();
        meters::tickets(running, stored);
    }

    /// Returns the number of requests running under tickets of this node.
    pub fn running(&self) -> usize {
        self.outcomes.counts().0
    }

    /// Returns the state of the tickets as text for the status page.
    pub fn status_text(&self) -> String {
        let (running, stored) = self.outcomes.counts();
        let issued = self.serial.get();
        format!("tickets: {issued} issued, {running} running, {stored} outcomes kept\n")
    }
}

impl PeerHandler for TicketService {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            let PeerMessage::Exclusive(request) = message else {
                return Err(Error::protocol("unexpected message for the ticket service"));
            };
            let outcome = match request.ticket.parse() {
                Ok(ticket) => self.run_or_wait(&ticket, *request).await,
                Err(error) => Outcome::Failed(error),
            };
            Ok(PeerReply::Exclusive(outcome))
        })
    }
}

fn failed(error: Error) -> Lookup {
    Lookup::Ended(Outcome::Failed(error))
}

/// Hash that identifies the request under a ticket; excludes the deadline.
fn request_hash(request: &ExclusiveRequest) -> u64 {
    let ExclusiveRequest { tenant, selector, key, body, .. } = request;
    stable_hash(&[tenant.as_bytes(), selector.as_bytes(), key.as_bytes(), body.as_bytes()])
}
