//! A request that is with a replica, and what becomes of it if nobody waits any more.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use kumquatnotch_core::clock;
use kumquatnotch_net::{OpaqueLink, message::Reply, opaque_link::OpaqueReply};
use kumquatnotch_policy::{copies, lateness, mechanisms::Mechanism};

use crate::{attempt::Call, probe, replica::Replica, router::Router, semaphore::Permit};

/// A request that a replica has, until its reply is in.
pub(crate) struct InFlight<'a> {
    pub(crate) router: &'a Rc<Router>,
    pub(crate) replica: &'a Rc<Replica>,
    pub(crate) call: &'a Call<'a>,
    /// The connection that it was sent on, and the permit for it.
    pub(crate) held: Option<(OpaqueLink, Permit)>,
    pub(crate) usual: Duration,
    /// When it was sent.
    pub(crate) at: Instant,
}

impl InFlight<'_> {
    /// Notes that a reply has come, whatever it says; gives how long it took.
    pub(crate) fn record_reply(&mut self) -> (Option<OpaqueLink>, Duration) {
        let now = self.router.clock.now();
        self.replica.observed.note_end(self.at, Some(now));
        let link = self.held.take().map(|(link, _)| link);
        (link, now.saturating_duration_since(self.at))
    }

    /// Notes that the connection broke.
    pub(crate) fn record_broken(&mut self) {
        self.held = None;
        self.replica.observed.note_end(self.at, None);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let Some((link, permit)) = self.held.take() else {
            return;
        };
        // Another replica was sooner, or the time was over. If this one has
        // answered nothing meanwhile, the next requests would wait for it too.
        let observed = &self.replica.observed;
        let now = self.router.clock.now();
        if lateness::is_silent(observed, self.usual, now) {
            probe::suspect(self.router, self.replica, "no reply");
        }
        let took = now.saturating_duration_since(self.at);
        let late = lateness::lateness(observed, self.usual, now);
        if took > late {
            let round_trip = observed.known_trip().unwrap_or_default();
            observed.note_unanswered(took.saturating_sub(round_trip), self.usual, now);
        }
        let may_drain = self.router.uses(Mechanism::KeptConnections)
            && self.call.is_answered.get()
            && link.is_untouched();
        if may_drain && copies::is_soon_done(observed, self.usual, took, now) {
            let drain = ReplyDrain {
                router: self.router.clone(),
                replica: self.replica.clone(),
                identity: self.call.identity.clone(),
                at: self.at,
                until: self.at + late,
            };
            monoio::spawn(drain.run(link, permit));
            return;
        }
        observed.note_end(self.at, None);
        // Dropping the connection tells the replica that nobody waits any more.
    }
}

/// A request whose reply nobody needs any more.
struct ReplyDrain {
    router: Rc<Router>,
    replica: Rc<Replica>,
    identity: HeaderValue,
    at: Instant,
    until: Instant,
}

impl ReplyDrain {
    /// Waits for the reply for as long as it isn't late, to keep the connection.
    async fn run(self, mut link: OpaqueLink, _permit: Permit) {
        let clock = &*self.router.clock;
        let is_reply_to = |reply: &Reply| is_reply_to(&self.router, &self.identity, reply);
        let reply = clock::timeout_at(clock, self.until, link.receive(&is_reply_to)).await;
        let now = clock.now();
        let record_reply = matches!(reply, Ok(Ok(_))).then_some(now);
        self.replica.observed.note_end(self.at, record_reply);
        if let Ok(Ok(OpaqueReply { keep: Some(keep), .. })) = reply {
            self.replica.pool.put(link, now, keep);
        }
    }
}

/// Whether a reply is the one to a request of this identity.
///
/// A replica repeats the identity of the request. One without it is believed, as
/// an earlier request on this connection has been answered by then.
pub(crate) fn is_reply_to(router: &Router, identity: &HeaderValue, reply: &Reply) -> bool {
    reply.headers.get(&router.names.request).is_none_or(|told| told == identity)
}
