//! The way from a root to the holders of groups.
//!
//! A group's request goes to its first holder. The next one in rank gets it if
//! the first is dead, refuses it, or is late; the first answer wins and the
//! others are dropped, which cancels them. Only searches are sent twice: an
//! exclusive call goes through [`Router::send`], once.

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

/// The name under which the [`Router`] is registered, an `Rc<Router>`.
pub const ROUTER: &str = "router";

/// The quantile of answers after which a holder counts as late.
const HEDGE_QUANTILE: f64 = 0.99;
/// The quantile of answers up to which a canary is waited for.
const CANARY_QUANTILE: f64 = 0.95;
/// How many nodes are kept in rank after the holders of a group.
///
/// They take over from holders that are dead or silent, until the membership
/// has found it; a data centre of a region that is lost at once takes a few.
const SPARE_HOLDERS: usize = 8;
/// The most hedges that can be saved up.
const MAX_HEDGE_TOKENS: f64 = 10.0;

/// The way to holders.
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

/// When the parts of a query end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// When holders should answer with what they have.
    pub partial: Instant,
    /// When holders should give up.
    pub holder: Instant,
    /// When the root gives up.
    pub root: Instant,
}

impl Router {
    /// A router over the services in `registry`.
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

    /// The group of `shard` under `document`.
    pub(crate) fn group(&self, document: &Document, shard: &ShardName) -> GroupId {
        self.ranks.table(document, self.options.group_shards).group(shard)
    }

    /// The holders of `group` in the order in which they should be asked.
    pub(crate) fn holders(&self, group: GroupId) -> Vec<NodeRecord> {
        self.prune();
        let length = self.options.holders + SPARE_HOLDERS;
        let mut holders = self.ranks.rank(group, length, &*self.members).to_vec();
        let spread = self.options.holders.clamp(1, holders.len().max(1));
        if spread > 1 {
            let first = self.random.below(spread);
            holders[..spread].rotate_left(first);
        }
        // A holder that has gone silent comes last, so that queries do not wait
        // out a hedge delay each until membership has found it.
        let now = self.clock.now();
        let local = self.members.local().name;
        holders.sort_by_cached_key(|node| node.name != local && self.is_silent(&node.name, now));
        holders
    }

    fn is_silent(&self, name: &NodeName, now: Instant) -> bool {
        self.health.is_silent(name, now, self.options.silence, self.options.probe_interval)
    }

    /// Forgets peers that are gone, once for each change of the members.
    fn prune(&self) {
        let generation = self.members.generation();
        if self.pruned_generation.replace(generation) == generation {
            return;
        }
        self.health.retain(|name| self.members.find(name).is_some());
    }

    /// How long requests wait at a node, as far as is known.
    pub(crate) fn wait_at(&self, name: &NodeName) -> Option<Duration> {
        self.health.wait(name)
    }

    /// How long a canary is waited for; `start` until answers were seen.
    pub(crate) fn canary_delay(&self, class: Class, start: Duration) -> Duration {
        self.latencies[class as usize].quantile(CANARY_QUANTILE).unwrap_or(start)
    }

    fn hedge_delay(&self, class: Class) -> Duration {
        let learned = self.latencies[class as usize].quantile(HEDGE_QUANTILE);
        learned.unwrap_or(self.options.hedge_initial).max(self.options.hedge_min)
    }

    /// Sends `message` to `node`, be it this one, and waits for its reply.
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
        let _open = InFlight::new(self, &node.name);
        let sent = self.clock.now();
        let sending = self.peers.send(node.peer, message, deadline);
        // The way to peers should keep the deadline itself. If it does not, the
        // query must still end.
        let reply = timeout_at(&*self.clock, deadline, sending).await.and_then(|reply| reply);
        match &reply {
            Ok(_) => self.health.reply_received(&node.name),
            Err(error) => self.note_failure(&node.name, error, sent),
        }
        reply
    }

    /// Tells membership of a peer that did not answer, and of no other failure.
    fn note_failure(&self, name: &NodeName, error: &Error, sent: Instant) {
        let waited = self.clock.now().saturating_duration_since(sent);
        match error {
            Error::ConnectFailed
            | Error::ConnectRefused
            | Error::ConnectionLost
            | Error::ConnectionSilent => {
                self.health.mark_silent(name, self.clock.now(), self.options.silence);
                self.members.report_silent(name);
            }
            // A deadline of few milliseconds that passes is no evidence.
            Error::TimedOut if waited >= self.options.silence => self.members.report_silent(name),
            Error::TimedOut => {}
            _ => self.health.reply_received(name),
        }
    }

    /// Asks the holders of `group`; the first answer wins.
    ///
    /// Without `hedged` a late holder is waited for as long as it is not silent: a
    /// request that may crash targets must not run through two holders at once.
    pub(crate) async fn query_group(
        &self,
        group: GroupId,
        request: &GroupRequest,
        deadlines: Deadlines,
        hedged: bool,
    ) -> Result<GroupAnswer> {
        let holders = self.holders(group);
        let mut waiting = holders.iter().take(self.options.max_attempts);
        let Some(first) = waiting.next() else {
            return Err(Error::NoTarget);
        };
        self.earn_token();
        let mut open = FuturesUnordered::new();
        open.push(self.attempt(first, request, deadlines, false));
        let silent_at = self.clock.now() + self.options.silence;
        let mut hedge_at = self.clock.now() + self.hedge_delay(request.class);
        loop {
            let timer = self.clock.sleep_until(hedge_at.min(deadlines.root));
            match select(open.next(), timer).await {
                Either::Left((Some(Ok(answer)), _)) => return Ok(answer),
                Either::Left((Some(Err(error)), _)) => {
                    // A dead holder, or one that can't serve: the next one, at once.
                    let next = if may_try_next_holder(&error) { waiting.next() } else { None };
                    match next {
                        Some(next) => open.push(self.attempt(next, request, deadlines, false)),
                        None if open.is_empty() => return Err(error),
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
                        let next = waiting.next();
                        open.extend(next.map(|next| self.attempt(next, request, deadlines, true)));
                        hedge_at = deadlines.root;
                    } else {
                        hedge_at = silent_at.max(self.clock.now() + self.options.hedge_min);
                    }
                }
            }
        }
    }

    /// Whether a peer that has requests open has said nothing for too long.
    ///
    /// Then the next holder is asked whatever the budget: a frozen holder of many
    /// groups uses it up at once, and its groups would wait for their deadline.
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
            return Err(Error::protocol("not an answer for a group"));
        };
        // An answer that names other shards than asked for belongs to another
        // request. It must not reach this caller: the holder counts as failed.
        if !answer.covered.iter().all(|shard| shards.contains(shard)) {
            return Err(Error::protocol("an answer for other shards"));
        }
        let now = self.clock.now();
        self.latencies[class as usize].record(now, now.saturating_duration_since(sent));
        self.health.record_wait(&node.name, Duration::from_micros(answer.wait_us));
        Ok(*answer)
    }

    /// The state of the way to holders as text for the status page.
    pub fn status_text(&self) -> String {
        let delays =
            Class::ALL.map(|class| format!("{} {:?}", class.as_str(), self.hedge_delay(class)));
        format!("holders: hedge after {}\n", delays.join(", "))
    }
}

/// Whether `error` is the holder's own and another one may do better.
///
/// A refusal for want of capacity is not: the next holder has slots of its own
/// for the same replicas, and would overload them. Nor is the refusal of a
/// request that crashes targets: the next holder may not have heard of it yet.
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

/// Counts a request to a peer as open until it is dropped.
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
