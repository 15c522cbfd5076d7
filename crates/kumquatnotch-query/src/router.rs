//! Routing of requests from a root node to the holders of groups.
//!
//! A group's request goes to its first holder. The next holder in rank is tried if the
//! first is dead, refuses the request or is late. The first answer wins, and the other
//! attempts are cancelled by dropping them. Only searches are sent to several holders
//! this way; an exclusive request goes through [`Router::send`], which sends it once.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use kumquatnotch_core::{
    Clock, Error, Peers, Result,
    answer::GroupAnswer,
    clock::timeout_at,
    document::{Class, Document},
    ids::{NodeName, ShardName},
    member::{Members, NodeRecord},
    peer::{PeerHandler, PeerMessage, PeerReply},
    query::GroupRequest,
    random::Random,
    registry::Registry,
    services,
};

use crate::{
    RouterOptions,
    groups::{GroupId, Ranks},
    health::Health,
    latency::Latency,
    meters,
};

/// Name under which the [`Router`] is registered, as an `Rc<Router>`.
pub const ROUTER: &str = "router";

/// Quantile of the answer latency after which a holder counts as late.
const HEDGE_QUANTILE: f64 = 0.99;
/// Quantile of the answer latency for which a canary is awaited.
const CANARY_QUANTILE: f64 = 0.95;
/// Number of nodes ranked after the holders of a group.
///
/// They take over from dead or silent holders until the membership has detected the
/// failure. If a whole data centre of a region is lost at once, several are needed.
const SPARE_HOLDERS: usize = 8;
/// Maximum number of hedge tokens that can accumulate.
const MAX_HEDGE_TOKENS: f64 = 10.0;

/// Sends requests to the holders of groups.
pub struct Router {
    clock: Rc<dyn Clock>,
    random: Random,
    members: Rc<dyn Members>,
    peers: Rc<dyn Peers>,
    registry: Registry,
    options: RouterOptions,
    ranks: Ranks,
    health: Health,
    latencies: [Latency; 3],
    tokens: Cell<f64>,
    pruned_generation: Cell<u64>,
}

/// Deadlines of the stages of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// When holders return a partial answer.
    pub partial: Instant,
    /// When holders give up.
    pub holder: Instant,
    /// When the root gives up.
    pub root: Instant,
}

impl Router {
    /// Creates a router that uses the services in `registry`.
    pub fn try_new(options: RouterOptions, registry: &Registry) -> Result<Rc<Router>> {
        Ok(Rc::new(Router {
            clock: registry.find(services::CLOCK)?,
            random: registry.find(services::RANDOM)?,
            members: registry.find(services::MEMBERS)?,
            peers: registry.find(services::PEERS)?,
            registry: registry.clone(),
            options,
            ranks: Ranks::default(),
            health: Health::default(),
            latencies: Default::default(),
            tokens: Cell::new(MAX_HEDGE_TOKENS),
            pruned_generation: Cell::new(0),
        }))
    }

    /// Returns the group of `shard` under `document`.
    pub(crate) fn group(&self, document: &Document, shard: &ShardName) -> GroupId {
        self.ranks.table(document, self.options.group_shards).group(shard)
    }

    /// Returns the holders of `group` in the order in which they are tried.
    pub(crate) fn holders(&self, group: GroupId) -> Vec<NodeRecord> {
        self.prune();
        let length = self.options.holders + SPARE_HOLDERS;
        let mut holders = self.ranks.rank(group, length, &*self.members).to_vec();
        let holder_count = self.options.holders.clamp(1, holders.len().max(1));
        if holder_count > 1 {
            let first = self.random.below(holder_count);
            holders[..holder_count].rotate_left(first);
        }
        // Silent holders come last. Otherwise each query would wait for a hedge delay
        // until the membership has detected the failure.
        let now = self.clock.now();
        let local = self.members.local().name;
        holders.sort_by_cached_key(|node| node.name != local && self.is_silent(&node.name, now));
        holders
    }

    fn is_silent(&self, name: &NodeName, now: Instant) -> bool {
        self.health.is_silent(name, now, self.options.silence, self.options.probe_interval)
    }

    /// Removes peers that are no longer members, once per change of the membership.
    fn prune(&self) {
        let generation = self.members.generation();
        if self.pruned_generation.replace(generation) == generation {
            return;
        }
        self.health.retain(|name| self.members.find(name).is_some());
    }

    /// Returns the queueing delay at a node, if known.
    pub(crate) fn wait_at(&self, name: &NodeName) -> Option<Duration> {
        self.health.wait(name)
    }

    /// Returns how long to wait for a canary; `initial` until enough answers have been
    /// observed.
    pub(crate) fn canary_delay(&self, class: Class, initial: Duration) -> Duration {
        self.latencies[class as usize].quantile(CANARY_QUANTILE).unwrap_or(initial)
    }

    fn hedge_delay(&self, class: Class) -> Duration {
        let learned = self.latencies[class as usize].quantile(HEDGE_QUANTILE);
        learned.unwrap_or(self.options.hedge_initial).max(self.options.hedge_min)
    }

    /// Sends `message` to `node`, which may be the local one, and waits for its reply.
    pub(crate) async fn send(
        &self,
        node: &NodeRecord,
        message: &PeerMessage,
        deadline: Instant,
    ) -> Result<PeerReply> {
        let reply = if node.name == self.members.local().name {
            let handler: Rc<dyn PeerHandler> = self.registry.find(message.service())?;
            timeout_at(&*self.clock, deadline, handler.handle(message.clone())).await?
        } else {
            self.send_peer(node, message, deadline).await
        };
        match reply? {
            PeerReply::Failed(error) => Err(error),
            reply => Ok(reply),
        }
    }

    async fn send_peer(
        &self,
        node: &NodeRecord,
        message: &PeerMessage,
        deadline: Instant,
    ) -> Result<PeerReply> {
        let _in_flight = InFlight::new(self, &node.name);
        let sent = self.clock.now();
        let sending = self.peers.send(node.peer, message, deadline);
        // The transport should enforce the deadline. If it does not, the query must
        // still end.
        let reply = timeout_at(&*self.clock, deadline, sending).await.and_then(|reply| reply);
        match &reply {
            Ok(_) => self.health.reply_received(&node.name),
            Err(error) => self.report_failure(&node.name, error, sent),
        }
        reply
    }

    /// Reports a peer that did not answer to the membership; other failures are not
    /// reported.
    fn report_failure(&self, name: &NodeName, error: &Error, sent: Instant) {
        let waited = self.clock.now().saturating_duration_since(sent);
        match error {
            Error::ConnectFailed
            | Error::ConnectRefused
            | Error::ConnectionLost
            | Error::ConnectionSilent => {
                self.health.mark_silent(name, self.clock.now(), self.options.silence);
                self.members.report_silent(name);
            }
            // A timeout after a few milliseconds is no evidence of a failed peer.
            Error::TimedOut if waited >= self.options.silence => self.members.report_silent(name),
            Error::TimedOut => {}
            _ => self.health.reply_received(name),
        }
    }

    /// Sends a request to the holders of `group` and returns the first answer.
    ///
    /// Without `hedged`, a late holder is awaited unless it is silent: a request that
    /// may crash targets must not run through two holders at once.
    pub(crate) async fn query_group(
        &self,
        group: GroupId,
        request: &GroupRequest,
        deadlines: Deadlines,
        hedged: bool,
    ) -> Result<GroupAnswer> {
        let holders = self.holders(group);
        let mut remaining = holders.iter().take(self.options.max_attempts);
        let Some(first) = remaining.next() else {
            return Err(Error::NoTarget);
        };
        self.earn_token();
        let mut attempts = FuturesUnordered::new();
        attempts.push(self.attempt(first, request, deadlines, false));
        let silent_at = self.clock.now() + self.options.silence;
        let mut hedge_at = self.clock.now() + self.hedge_delay(request.class);
        loop {
            let timer = self.clock.sleep_until(hedge_at.min(deadlines.root));
            match select(attempts.next(), timer).await {
                Either::Left((Some(Ok(answer)), _)) => return Ok(answer),
                Either::Left((Some(Err(error)), _)) => {
                    // The holder is dead or cannot serve the request: try the next one
                    // at once.
                    let next = if may_try_next_holder(&error) { remaining.next() } else { None };
                    match next {
                        Some(next) => attempts.push(self.attempt(next, request, deadlines, false)),
                        None if attempts.is_empty() => return Err(error),
                        None => {}
                    }
                }
                Either::Left((None, _)) => return Err(Error::NoTarget),
                Either::Right(_) if self.clock.now() >= deadlines.root => {
                    return Err(Error::TimedOut);
                }
                Either::Right(_) => {
                    let is_silent = self.has_gone_silent(&first.name);
                    if is_silent || (hedged && self.spend_token()) {
                        let next = remaining.next();
                        attempts
                            .extend(next.map(|next| self.attempt(next, request, deadlines, true)));
                        hedge_at = deadlines.root;
                    } else {
                        hedge_at = silent_at.max(self.clock.now() + self.options.hedge_min);
                    }
                }
            }
        }
    }

    /// Returns whether a peer with requests in flight has been silent for too long.
    ///
    /// The next holder is then tried regardless of the hedge budget. A frozen holder of
    /// many groups exhausts the budget at once, and its groups would wait until their
    /// deadline.
    fn has_gone_silent(&self, name: &NodeName) -> bool {
        self.health.silence(name, self.clock.now()) >= self.options.silence
    }

    fn spend_token(&self) -> bool {
        if self.tokens.get() < 1.0 {
            return false;
        }
        self.tokens.set(self.tokens.get() - 1.0);
        meters::hedge();
        true
    }

    fn earn_token(&self) {
        self.tokens.set((self.tokens.get() + self.options.hedge_share).min(MAX_HEDGE_TOKENS));
    }

    async fn attempt(
        &self,
        node: &NodeRecord,
        request: &GroupRequest,
        deadlines: Deadlines,
        hedge: bool,
    ) -> Result<GroupAnswer> {
        let sent = self.clock.now();
        let left = |end: Instant| end.saturating_duration_since(sent).as_millis() as u64;
        let request = GroupRequest {
            patience_ms: left(deadlines.partial),
            deadline_ms: left(deadlines.holder),
            hedge,
            ..request.clone()
        };
        let (class, shards) = (request.class, request.shards.clone());
        let message = PeerMessage::Group(Box::new(request));
        let reply = self.send(node, &message, deadlines.root).await?;
        let PeerReply::Group(answer) = reply else {
            return Err(Error::protocol("unexpected peer reply to a group request"));
        };
        // An answer for shards that were not requested belongs to another request. It
        // must not reach this caller, so the attempt counts as failed.
        if !answer.covered.iter().all(|shard| shards.contains(shard)) {
            return Err(Error::protocol("peer reply is for other shards"));
        }
        let now = self.clock.now();
        self.latencies[class as usize].record(now, now.saturating_duration_since(sent));
        self.health.record_wait(&node.name, Duration::from_micros(answer.wait_us));
        Ok(*answer)
    }

    /// Returns the state of the router as text for the status page.
    pub fn status_text(&self) -> String {
        let delays =
            Class::ALL.map(|class| format!("{} {:?}", class.as_str(), self.hedge_delay(class)));
        format!("holders: hedge after {}\n", delays.join(", "))
    }
}

/// Returns whether another holder may succeed after `error`.
///
/// This is not the case for a refusal for lack of capacity: the next holder has its own
/// slots for the same replicas and would overload them. Nor is it for the refusal of a
/// request that crashes targets: the next holder may not know of the crashes yet.
fn may_try_next_holder(error: &Error) -> bool {
    !matches!(
        error,
        Error::Overloaded { .. }
            | Error::Shed { .. }
            | Error::Contained { .. }
            | Error::ExpiredInQueue
            | Error::VersionGone { .. }
    )
}

/// Counts a request to a peer as in flight until it is dropped.
struct InFlight<'a> {
    router: &'a Router,
    name: &'a NodeName,
}

impl<'a> InFlight<'a> {
    fn new(router: &'a Router, name: &'a NodeName) -> InFlight<'a> {
        router.health.request_sent(name, router.clock.now());
        InFlight { router, name }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let router = self.router;
        router.health.request_closed(self.name, router.clock.now());
    }
}
