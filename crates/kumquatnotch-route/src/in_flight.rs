//! A request that is with a replica, and what becomes of it if nobody waits any more.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use kumquatnotch_core::clock;
use kumquatnotch_net::{OpaqueLink, message::Reply, opaque_link::OpaqueReply};
use kumquatnotch_policy::{hedge_timing, lateness, mechanisms::Mechanism};

use crate::{attempt::Call, gate::Permit, probe, replica::Replica, router::Router};

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
    pub(crate) fn replied(&mut self) -> (Option<OpaqueLink>, Duration) {
        let now = self.router.clock.now();
        self.replica.observed.note_end(self.at, Some(now));
        let link = self.held.take().map(|(link, _)| link);
        (link, now.saturating_duration_since(self.at))
    }

    /// Notes that the connection broke.
    pub(crate) fn broke(&mut self) {
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
        let late = lateness::late_after(observed, self.usual, now);
        if took > late {
            let way = observed.measured_round_trip().unwrap_or_default();
            observed.note_unanswered(took.saturating_sub(way), self.usual, now);
        }
        let may_end = self.router.uses(Mechanism::KeptConnections)
            && self.call.is_settled.get()
            && link.awaits_first_byte();
        if may_end && hedge_timing::should_await_loser(observed, self.usual, took, now) {
            let linger = Linger {
                router: self.router.clone(),
                replica: self.replica.clone(),
                identity: self.call.identity.clone(),
                at: self.at,
                until: self.at + late,
            };
            monoio::spawn(linger.run(link, permit));
            return;
        }
        observed.note_end(self.at, None);
        // Dropping the connection tells the replica that nobody waits any more.
    }
}

/// A request whose reply nobody needs any more.
struct Linger {
    router: Rc<Router>,
    replica: Rc<Replica>,
    identity: HeaderValue,
    at: Instant,
    until: Instant,
}

impl Linger {
    /// Waits for the reply for as long as it isn't late, to keep the connection.
    async fn run(self, mut link: OpaqueLink, _permit: Permit) {
        let clock = &*self.router.clock;
        let belongs = |reply: &Reply| belongs(&self.router, &self.identity, reply);
        let reply = clock::timeout_at(clock, self.until, link.receive(&belongs)).await;
        let now = clock.now();
        let replied = matches!(reply, Ok(Ok(_))).then_some(now);
        self.replica.observed.note_end(self.at, replied);
        if let Ok(Ok(OpaqueReply { idle_limit: Some(keep), .. })) = reply {
            self.replica.links.put(link, now, keep);
        }
    }
}

/// Whether a reply is the one to a request of this identity.
///
/// A replica repeats the identity of the request. One without it is believed, as
/// an earlier request on this connection has been answered by then.
pub(crate) fn belongs(router: &Router, identity: &HeaderValue, reply: &Reply) -> bool {
    reply.headers.get(&router.names.request).is_none_or(|told| told == identity)
}
