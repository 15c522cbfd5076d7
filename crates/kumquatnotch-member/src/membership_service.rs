//! The membership service: its state, its tasks and its interface to other services.
//!
//! The tasks are implemented in [`crate::probe`] (failure detection), [`crate::gossip`]
//! (dissemination of changes) and [`crate::exchange`] (joining and anti-entropy).

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, LocalFuture, Peers, Result, Store, clock,
    ids::NodeName,
    lifecycle::{Lifecycle, Stage},
    marks::{Mark, MarkKind, Marks},
    member::{Confirmation, Members, NodeRecord, NodeState},
    peer::{MEMBER_SERVICE, PeerHandler, PeerMessage, PeerReply},
    random::Random,
    registry::Registry,
    services,
};
use tracing::{info, warn};

use crate::{
    deltas::{ByteBudget, DeltaQueue},
    freeze_detector::{FreezeDetector, TICK_PERIOD},
    head_state::HeadState,
    incarnation,
    mark_store::MarkStore,
    options::MembershipOptions,
    probe::Check,
    table::{Effect, Table},
    traffic,
};

/// Registry key of the membership service itself, an `Rc<MembershipService>`.
pub const MEMBERSHIP: &str = "membership";

/// Maximum health score; probe timeouts are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 4;

/// Time for which a node that disappeared without notice is listed as lost.
///
/// The node may only be partitioned and still serve an earlier document. Without the list,
/// the change that an operator waits for would be reported as in force everywhere.
/// Partitions between regions last for minutes. A node that is unreachable for longer has
/// most likely failed, and a longer list would hide the partitioned nodes among all
/// failures of the day.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// Maintains the list of nodes and spreads the state that all nodes share.
pub struct MembershipService {
    pub(crate) options: MembershipOptions,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) random: Random,
    pub(crate) peers: Rc<dyn Peers>,
    pub(crate) store: Option<Rc<dyn Store>>,
    pub(crate) head_state: HeadState,
    pub(crate) table: RefCell<Table>,
    pub(crate) deltas: RefCell<DeltaQueue>,
    pub(crate) marks: RefCell<MarkStore>,
    pub(crate) byte_budget: RefCell<ByteBudget>,
    pub(crate) checks: RefCell<VecDeque<Check>>,
    pub(crate) freeze_detector: FreezeDetector,
    /// Zero if this node's own probes work; higher if they fail and no helper answers.
    pub(crate) health_score: Cell<u32>,
    pub(crate) announced: Cell<bool>,
    superseded: Cell<bool>,
    lifecycle: Option<Lifecycle>,
    this: Weak<MembershipService>,
}

impl MembershipService {
    /// Creates the service and registers it, also under the service names of core.
    ///
    /// Requires the clock, the random generator and the peers; uses the platform and the
    /// lifecycle if they are registered.
    pub fn try_new(
        options: MembershipOptions,
        registry: &Registry,
    ) -> Result<Rc<MembershipService>> {
        options.check()?;
        let clock: Rc<dyn Clock> = registry.find(services::CLOCK)?;
        let random: Random = registry.find(services::RANDOM)?;
        let peers: Rc<dyn Peers> = registry.find(services::PEERS)?;
        let now = clock.now();
        let lifecycle: Option<Lifecycle> = registry.find(services::LIFECYCLE).ok();
        let local = local_record(&options, &random, lifecycle.is_none());
        let service = Rc::new_cyclic(|this| MembershipService {
            head_state: HeadState::new(clock.clone()),
            table: RefCell::new(Table::new(local, options.check_gone)),
            deltas: RefCell::default(),
            marks: RefCell::new(MarkStore::new(options.mark_limit, options.mark_ttl)),
            byte_budget: RefCell::new(ByteBudget::new(
                options.delta_rate,
                options.delta_burst,
                now,
            )),
            checks: RefCell::default(),
            freeze_detector: FreezeDetector::new(now, options.freeze_limit),
            health_score: Cell::new(0),
            announced: Cell::new(false),
            superseded: Cell::new(false),
            store: registry.find(services::STORE).ok(),
            lifecycle,
            clock,
            random,
            peers,
            options,
            this: this.clone(),
        });
        registry.register(MEMBERSHIP, service.clone());
        registry.register::<Rc<dyn Members>>(services::MEMBERS, service.clone());
        registry.register::<Rc<dyn Marks>>(services::MARKS, service.clone());
        registry.register::<Rc<dyn PeerHandler>>(MEMBER_SERVICE, service.clone());
        Ok(service)
    }

    /// Spawns the tasks of the service.
    pub fn start(&self) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        self.freeze_detector.tick(self.clock.now());
        monoio::spawn(this.clone().run_ticks());
        monoio::spawn(this.clone().run_join());
        monoio::spawn(this.clone().run_probes());
        monoio::spawn(this.clone().run_checks());
        monoio::spawn(this.clone().run_pushes());
        monoio::spawn(this.clone().run_exchanges());
        monoio::spawn(this.run_reconnects());
    }

    /// Announces, once, that this node has started to serve.
    ///
    /// Before that it is up, as it answers peers and may read the platform, but it would refuse
    /// callers and groups that are sent to it.
    pub(crate) fn announce_serving(&self) {
        if !self.table.borrow_mut().begin_serving() {
            return;
        }
        info!("member: serving");
        self.queue_local_record();
    }

    /// Announces that this node finishes its work and accepts no new callers.
    pub fn leave(&self) {
        if self.table.borrow().local().state != NodeState::Up {
            return;
        }
        info!("member: leaving");
        self.table.borrow_mut().update_local(Some(NodeState::Leaving));
        self.queue_local_record();
    }

    /// Announces that this process ends now.
    pub async fn announce_shutdown(&self) {
        self.leave();
        self.table.borrow_mut().update_local(Some(NodeState::Gone));
        self.queue_local_record();
        self.push_to(self.options.push_fanout * 2).await;
    }

    /// Returns whether a later process has this node's name or address.
    ///
    /// The program should then finish its work and be restarted.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Returns the number of detected freezes of this process.
    pub fn freezes(&self) -> u64 {
        self.freeze_detector.freezes()
    }

    /// Detects a freeze of this process; called before any decision that depends on timeouts.
    ///
    /// Peers that did not answer during a freeze may be healthy. All suspicions are therefore
    /// extended by the time lost, and this node refutes in advance suspicions that others may
    /// have of it.
    pub(crate) fn detect_freeze(&self) {
        let Some(lost) = self.freeze_detector.tick(self.clock.now()) else {
            return;
        };
        warn!("member: the process was frozen for {} ms", lost.as_millis());
        metrics::counter!("kumquatnotch_freezes_total").increment(1);
        let mut table = self.table.borrow_mut();
        table.extend_suspicions(lost);
        table.update_local(None);
        drop(table);
        self.queue_local_record();
    }

    /// Acts on the result of applying a report.
    pub(crate) fn apply_effect(&self, effect: Effect, report: &NodeRecord) {
        match effect {
            Effect::Stale => {}
            Effect::New => self.deltas.borrow_mut().add_node(report),
            Effect::NeedsCheck => self.queue_check(Check::of_report(report.clone())),
            Effect::Refuted { gone } => {
                metrics::counter!("kumquatnotch_refutations_total").increment(1);
                self.update_health_score(false);
                self.queue_local_record();
                if gone {
                    self.head_state.on_declared_gone();
                }
            }
            // The incarnation must not change once peers and tickets carry it.
            Effect::Superseded(other) if !self.announced.get() => {
                let number = incarnation::draw_above(other, &self.random);
                self.table.borrow_mut().set_local_incarnation(number);
            }
            Effect::Superseded(_) => {
                if !self.superseded.replace(true) {
                    warn!("member: another process has this name or address");
                }
            }
        }
    }

    /// Raises the probe timeout of this node while its probes fail and no helper answers.
    pub(crate) fn update_health_score(&self, success: bool) {
        let health_score = self.health_score.get();
        self.health_score.set(if success {
            health_score.saturating_sub(1)
        } else {
            (health_score + 1).min(MAX_HEALTH_SCORE)
        });
    }

    /// Returns when a suspicion that starts now expires.
    pub(crate) fn suspicion_deadline(&self) -> Instant {
        let span =
            self.options.probe_period.mul_f64(self.options.suspicion_factor * self.node_scale());
        self.clock.now() + span.max(self.options.suspicion_min)
    }

    /// Returns log10 of the number of nodes, at least one.
    pub(crate) fn node_scale(&self) -> f64 {
        let count = self.table.borrow().live_count() + 2;
        (count as f64).log10().max(1.0)
    }

    pub(crate) fn queue_local_record(&self) {
        if self.announced.get() {
            let local = self.table.borrow().local().clone();
            self.deltas.borrow_mut().add_node(&local);
        }
    }

    /// Runs periodic work: detects freezes, expires suspicions and marks, follows the lifecycle.
    async fn run_ticks(self: Rc<Self>) {
        loop {
            clock::sleep(&*self.clock, TICK_PERIOD).await;
            self.detect_freeze();
            let now = self.clock.now();
            self.expire_suspicions(now);
            self.marks.borrow_mut().expire(now);
            let stage = self.lifecycle.as_ref().map(Lifecycle::stage);
            match stage {
                None | Some(Stage::Starting) => {}
                Some(Stage::Serving) => self.announce_serving(),
                Some(Stage::Leaving | Stage::Closing | Stage::Ending) => self.leave(),
            }
        }
    }

    /// Declares suspects gone that did not refute in time, and removes nodes that have been gone
    /// for [`MembershipOptions::forget_after`].
    ///
    /// The expiry of a suspicion is not announced: each node that received the suspicion has its
    /// own timer for it. Shortly before the expiry, each node pings the suspect once: it may have
    /// missed the refutation, which the reply then contains.
    fn expire_suspicions(&self, now: Instant) {
        let mut table = self.table.borrow_mut();
        for name in table.take_expiring(now + self.options.suspicion_min / 4) {
            self.queue_check(Check::of_suspect(name));
        }
        for record in table.overdue(now) {
            if record.state == NodeState::Gone {
                table.forget(&record.name);
                continue;
            }
            info!("member: {} is gone", record.name);
            let gone = NodeRecord { state: NodeState::Gone, ..record };
            table.put(gone, now + self.options.forget_after);
        }
    }
}

impl Members for MembershipService {
    fn local(&self) -> NodeRecord {
        self.table.borrow().local().clone()
    }

    fn known(&self) -> Vec<NodeRecord> {
        let table = self.table.borrow();
        let mut known: Vec<NodeRecord> = table.live().cloned().collect();
        known.push(table.local().clone());
        known.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        known
    }

    fn lost(&self) -> Vec<NodeRecord> {
        let remaining = self.options.forget_after.saturating_sub(LOST_RETENTION);
        self.table.borrow().lost(self.clock.now() + remaining).cloned().collect()
    }

    fn generation(&self) -> u64 {
        self.table.borrow().generation()
    }

    fn find(&self, name: &NodeName) -> Option<NodeRecord> {
        let table = self.table.borrow();
        if table.local().name == *name {
            return Some(table.local().clone());
        }
        let record = &table.get(name)?.record;
        (record.state != NodeState::Gone).then(|| record.clone())
    }

    fn report_silent(&self, name: &NodeName) {
        self.queue_check(Check::of_unresponsive(name.clone()));
    }

    fn confirmed(&self) -> Confirmation {
        self.head_state.confirmation()
    }
}

impl Marks for MembershipService {
    fn set(&self, mark: Mark) {
        let stamp = self.random.number();
        let update = self.marks.borrow_mut().set(&mark, stamp, self.clock.now());
        if let Some(update) = update {
            self.deltas.borrow_mut().add_mark(&update);
        }
    }

    fn left_ms(&self, kind: &MarkKind) -> Option<u64> {
        let left: Duration = self.marks.borrow().left(kind, self.clock.now())?;
        Some(left.as_millis() as u64)
    }

    fn all(&self) -> Vec<Mark> {
        let updates = self.marks.borrow().all(self.clock.now());
        updates.into_iter().map(|update| update.mark).collect()
    }
}

impl PeerHandler for MembershipService {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            self.detect_freeze();
            let reply = match message {
                PeerMessage::Ping(gossip) => PeerReply::Ack(self.answer_ping(gossip)),
                PeerMessage::News(gossip) => PeerReply::Ack(self.answer_news(gossip)),
                PeerMessage::PingFor(request) => self.answer_ping_for(request).await,
                PeerMessage::Exchange(exchange) => {
                    PeerReply::Exchange(self.answer_exchange(exchange))
                }
                _ => {
                    return Err(kumquatnotch_core::Error::protocol(
                        "unexpected message for the membership service",
                    ));
                }
            };
            traffic::count_reply(&reply);
            Ok(reply)
        })
    }
}

fn local_record(options: &MembershipOptions, random: &Random, serving: bool) -> NodeRecord {
    NodeRecord {
        name: options.name.clone(),
        incarnation: options.incarnation.unwrap_or_else(|| incarnation::draw_now(random)),
        counter: 1,
        state: NodeState::Up,
        peer: options.peer,
        entry: options.entry,
        centre: options.centre.clone(),
        region: options.region.clone(),
        serving,
    }
}
