//! Failure detection: each node probes one other per second, indirectly if it does not
//! answer.
//!
//! A node is suspected only if it answered neither this node nor a helper, while at least
//! one helper answered this node. If no helper answers, the fault may be local: a node that
//! is partitioned, or whose inbound packets are lost, would otherwise suspect all others,
//! and all of them would have to refute. The smaller side of a partition finds few helpers
//! that answer, and therefore detects failures slowly.

use std::{rc::Rc, time::Instant};

use kumquatnotch_core::{
    Error, clock,
    ids::NodeName,
    member::{NodeRecord, NodeState},
    peer::{PeerMessage, PeerReply, PingFor},
};

use crate::{
    membership_service::MembershipService,
    table::{Effect, supersedes},
};

/// Maximum number of queued checks.
const CHECK_LIMIT: usize = 256;

/// Number of checks per probe period.
const CHECKS_PER_PROBE: u32 = 4;

/// A node to probe ahead of the regular order.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    name: NodeName,
    /// A report that it is gone, which the probe carries.
    report: Option<NodeRecord>,
    /// Whether the probe only gives the suspect a chance to refute, so that no helpers are used.
    final_ping: bool,
}

impl Check {
    pub(crate) fn of_report(report: NodeRecord) -> Check {
        Check { name: report.name.clone(), report: Some(report), final_ping: false }
    }

    pub(crate) fn of_unresponsive(name: NodeName) -> Check {
        Check { name, report: None, final_ping: false }
    }

    /// Returns the last ping of a suspect before it is declared gone.
    pub(crate) fn of_suspect(name: NodeName) -> Check {
        Check { name, report: None, final_ping: true }
    }
}

impl MembershipService {
    /// Probes the nodes in random order, each in its own task.
    pub(crate) async fn run_probes(self: Rc<Self>) {
        let mut local_names = Vec::new();
        let mut remote_names = Vec::new();
        loop {
            clock::sleep(&*self.clock, self.random.jitter(self.options.probe_period)).await;
            if !self.announced.get() {
                continue;
            }
            let Some(subject) = self.next_subject(&mut local_names, &mut remote_names) else {
                continue;
            };
            let this = self.clone();
            monoio::spawn(async move { this.probe(subject, None).await });
        }
    }

    /// Probes the nodes in the check queue.
    pub(crate) async fn run_checks(self: Rc<Self>) {
        let interval = self.options.probe_period / CHECKS_PER_PROBE;
        loop {
            clock::sleep(&*self.clock, self.random.jitter(interval)).await;
            let Some((subject, check)) = self.next_check() else {
                continue;
            };
            let this = self.clone();
            monoio::spawn(async move {
                match check.final_ping {
                    true => drop(this.ping(&subject, None).await),
                    false => this.probe(subject, check.report).await,
                }
            });
        }
    }

    pub(crate) fn queue_check(&self, check: Check) {
        let mut checks = self.checks.borrow_mut();
        let waiting = checks.iter().any(|waiting| waiting.name == check.name);
        if !waiting && checks.len() < CHECK_LIMIT {
            checks.push_back(check);
        }
    }

    /// Pings the subject on behalf of another node.
    pub(crate) async fn answer_ping_for(&self, request: PingFor) -> PeerReply {
        self.merge_gossip(&request.gossip, None);
        let subject = &request.subject;
        match self.ping(subject, Some(subject)).await {
            PingResult::Ack => PeerReply::Ack(self.gossip(Some(&request.gossip.from), true)),
            PingResult::Refused | PingResult::NoAck => PeerReply::Nack,
        }
    }

    async fn probe(&self, subject: NodeRecord, report: Option<NodeRecord>) {
        let freezes = self.freeze_detector.freezes();
        let result = match self.ping(&subject, report.as_ref()).await {
            PingResult::Ack => ProbeResult::Alive,
            PingResult::Refused => ProbeResult::Unreachable,
            PingResult::NoAck => self.probe_via_helpers(&subject).await,
        };
        self.detect_freeze();
        // During a freeze of this process, its peers appear to be silent.
        if self.freeze_detector.freezes() != freezes {
            return;
        }
        match result {
            ProbeResult::Alive => self.update_health_score(true),
            ProbeResult::Unreachable => self.declare_failed(&subject),
            ProbeResult::Inconclusive if self.options.require_helper => {
                self.update_health_score(false)
            }
            ProbeResult::Inconclusive => self.declare_failed(&subject),
        }
    }

    /// Pings the subject directly.
    async fn ping(&self, subject: &NodeRecord, report: Option<&NodeRecord>) -> PingResult {
        let mut gossip = self.gossip(Some(&subject.name), true);
        let suspicion = report.filter(|report| report.state >= NodeState::Suspect);
        gossip.nodes.extend(suspicion.cloned());
        let wait = self.options.probe_timeout * (1 + self.health_score.get());
        let deadline = self.clock.now() + wait;
        match self.send(subject.peer, &PeerMessage::Ping(gossip), deadline).await {
            // Another process may have the address by now.
            Ok(PeerReply::Ack(gossip))
                if gossip.from == subject.name && gossip.incarnation >= subject.incarnation =>
            {
                PingResult::Ack
            }
            Err(Error::ConnectRefused) => PingResult::Refused,
            _ => PingResult::NoAck,
        }
    }

    async fn probe_via_helpers(&self, subject: &NodeRecord) -> ProbeResult {
        let helpers = self.pick_helpers(subject);
        if helpers.is_empty() {
            // With two nodes there are no helpers.
            let alone = self.table.borrow().live_count() <= 1;
            return if alone { ProbeResult::Unreachable } else { ProbeResult::Inconclusive };
        }
        // The helper waits for the subject, and its own reply takes time too.
        let wait = self.options.probe_timeout * (1 + self.health_score.get()) * 2;
        let deadline = self.clock.now() + wait;
        let probes = helpers.iter().map(|helper| self.probe_via_helper(helper, subject, deadline));
        let answers = futures_util::future::join_all(probes).await;
        answers.into_iter().max().unwrap_or(ProbeResult::Inconclusive)
    }

    async fn probe_via_helper(
        &self,
        helper: &NodeRecord,
        subject: &NodeRecord,
        deadline: Instant,
    ) -> ProbeResult {
        let request =
            PingFor { subject: subject.clone(), gossip: self.gossip(Some(&helper.name), false) };
        match self.send(helper.peer, &PeerMessage::PingFor(request), deadline).await {
            Ok(PeerReply::Ack(_)) => ProbeResult::Alive,
            Ok(PeerReply::Nack) => ProbeResult::Unreachable,
            _ => ProbeResult::Inconclusive,
        }
    }

    /// Picks a helper in the subject's data centre, one in neither centre, and one in this one.
    ///
    /// If the link from this centre to the subject's is cut, the first helper can't be reached
    /// and the last can't reach the subject, but the one elsewhere reaches both.
    fn pick_helpers(&self, subject: &NodeRecord) -> Vec<NodeRecord> {
        let own = &self.options.centre;
        let other = |record: &NodeRecord| record.name != subject.name;
        let mut helpers = self.pick_peers(1, |r| other(r) && r.centre == subject.centre);
        helpers.extend(self.pick_peers(1, |r| r.centre != subject.centre && r.centre != *own));
        helpers.extend(self.pick_peers(1, |r| other(r) && r.centre == *own));
        helpers.extend(self.pick_peers(self.options.helpers, other));
        let mut seen = Vec::new();
        helpers.retain(|helper| {
            let is_first = !seen.contains(&helper.name);
            seen.push(helper.name.clone());
            is_first
        });
        helpers.truncate(self.options.helpers);
        helpers
    }

    fn declare_failed(&self, subject: &NodeRecord) {
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.get(&subject.name) else {
            return;
        };
        // The subject has refuted or changed its state in the meantime.
        if entry.record.incarnation != subject.incarnation || entry.record.counter > subject.counter
        {
            return;
        }
        let state = match entry.record.state {
            NodeState::Up => NodeState::Suspect,
            // It stopped without announcing its shutdown.
            NodeState::Leaving => NodeState::Gone,
            NodeState::Suspect | NodeState::Gone => return,
        };
        let record = NodeRecord { state, ..entry.record.clone() };
        drop(table);
        let until = match state {
            NodeState::Gone => self.clock.now() + self.options.forget_after,
            _ => self.suspicion_deadline(),
        };
        metrics::counter!("kumquatnotch_suspicions_total").increment(1);
        table = self.table.borrow_mut();
        table.put(record.clone(), until);
        drop(table);
        self.apply_effect(Effect::New, &record);
    }

    /// Returns the next node to probe; an empty list is refilled and shuffled.
    fn next_subject(
        &self,
        local_names: &mut Vec<NodeName>,
        remote_names: &mut Vec<NodeName>,
    ) -> Option<NodeRecord> {
        let local = self.random.chance(self.options.local_share);
        let (first, second) =
            if local { (local_names, remote_names) } else { (remote_names, local_names) };
        self.next_from(first, local).or_else(|| self.next_from(second, !local))
    }

    fn next_from(&self, names: &mut Vec<NodeName>, local: bool) -> Option<NodeRecord> {
        let table = self.table.borrow();
        if names.is_empty() {
            let centre = &self.options.centre;
            let candidates = table.live().filter(|record| (record.centre == *centre) == local);
            names.extend(candidates.map(|record| record.name.clone()));
            self.random.shuffle(names);
        }
        while let Some(name) = names.pop() {
            let record = table.get(&name).map(|entry| &entry.record);
            if let Some(record) = record.filter(|record| record.state != NodeState::Gone) {
                return Some(record.clone());
            }
        }
        None
    }

    /// Returns the next node to check; skips checks that are no longer needed.
    fn next_check(&self) -> Option<(NodeRecord, Check)> {
        let table = self.table.borrow();
        let mut checks = self.checks.borrow_mut();
        while let Some(check) = checks.pop_front() {
            let Some(entry) = table.get(&check.name) else {
                continue;
            };
            let record = &entry.record;
            let open = match &check.report {
                Some(report) => supersedes(report, record),
                None if check.final_ping => record.state == NodeState::Suspect,
                None => record.state != NodeState::Gone,
            };
            if open {
                return Some((record.clone(), check));
            }
        }
        None
    }
}

/// The result of a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PingResult {
    /// The node answered.
    Ack,
    /// The connection was refused: the VM is up, but no process listens.
    ///
    /// The network path works, so no helper has to confirm this. Otherwise the last node of a
    /// small group would never detect that all others have ended, as no helper is left.
    Refused,
    /// The node did not answer in time.
    NoAck,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ProbeResult {
    /// Neither the subject nor a helper answered.
    Inconclusive,
    /// The subject refused the connection, or answered no helper while a helper answered this
    /// node.
    Unreachable,
    /// The subject answered this node or a helper.
    Alive,
}
