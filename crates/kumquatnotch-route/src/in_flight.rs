//! A request that was sent to a replica, and its handling after cancellation.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::clock;
use kumquatnotch_net::opaque_link::{Exchange, KeptLink, OpaqueReply};
use kumquatnotch_policy::{hedge_timing, lateness, mechanisms::Mechanism};

use crate::{attempt::Call, probe, replica::Replica, router::Router, semaphore::Permit};

/// A request that was sent to a replica and has no reply yet.
pub(crate) struct InFlight<'a> {
    pub(crate) router: &'a Rc<Router>,
    pub(crate) replica: &'a Rc<Replica>,
    pub(crate) call: &'a Call<'a>,
    /// The request and its permit.
    pub(crate) held: Option<(Exchange, Permit)>,
    /// Usual duration of the request, without the round trip.
    pub(crate) usual: Duration,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
}

impl InFlight<'_> {
    /// Records a reply of any status; returns the elapsed time.
    pub(crate) fn record_reply(&mut self) -> Duration {
        let now = self.router.clock.now();
        self.replica.observed.note_end(self.sent_at, Some(now));
        self.held = None;
        now.saturating_duration_since(self.sent_at)
    }

    /// Records that the connection broke.
    pub(crate) fn record_broken(&mut self) {
        self.held = None;
        self.replica.observed.note_end(self.sent_at, None);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let Some((exchange, permit)) = self.held.take() else {
            return;
        };
        // Another replica replied first, the deadline passed, or the caller left. If this
        // replica has stopped responding, later requests must not wait for it as well.
        let observed = &self.replica.observed;
        let now = self.router.clock.now();
        if lateness::is_silent(observed, self.usual, now) {
            probe::suspect(self.router, self.replica, "no reply");
        }
        let took = now.saturating_duration_since(self.sent_at);
        let late = lateness::late_after(observed, self.usual, now);
        if took > late {
            let round_trip = observed.measured_round_trip().unwrap_or_default();
            observed.note_unanswered(took.saturating_sub(round_trip), self.usual, now);
        }
        let may_drain = self.router.uses(Mechanism::KeptConnections)
            && self.call.is_answered.get()
            && exchange.is_sent();
        if may_drain && hedge_timing::should_await_loser(observed, self.usual, took, now) {
            let drain = ReplyDrain {
                router: self.router.clone(),
                replica: self.replica.clone(),
                sent_at: self.sent_at,
                until: self.sent_at + late,
            };
            monoio::spawn(drain.run(exchange, permit));
            return;
        }
        observed.note_end(self.sent_at, None);
        // Dropping the connection tells the replica that the request was cancelled.
    }
}

/// Reads the reply to a request that was answered elsewhere, to keep its connection.
struct ReplyDrain {
    router: Rc<Router>,
    replica: Rc<Replica>,
    sent_at: Instant,
    until: Instant,
}

impl ReplyDrain {
    /// Waits for the reply until it is late, then returns the connection to the pool.
    async fn run(self, exchange: Exchange, _permit: Permit) {
        let clock = &*self.router.clock;
        let reply = clock::timeout_at(clock, self.until, exchange).await;
        let now = clock.now();
        let replied_at = matches!(reply, Ok(Ok(_))).then_some(now);
        self.replica.observed.note_end(self.sent_at, replied_at);
        if let Ok(Ok(OpaqueReply { kept: Some(KeptLink { link, idle_limit }), .. })) = reply {
            self.replica.pool.put(link, now, idle_limit);
        }
    }
}
