//! Selection of the replica that runs a call.

use std::time::Instant;

use kumquatnotch_core::{Error, Result, collections::HashMap, document::Class, ids::TargetName};
use kumquatnotch_policy::{
    choice::{CallProfile, Candidate, Pick},
    queue::SlotOffer,
    replica::Fitness,
};

use crate::{
    core::Core,
    slots::Work,
    table::{Entry, Pending, Table},
};

/// Number of slots out of which one is reserved for the desk class.
const SLOTS_PER_RESERVE: u32 = 4;

/// Result of a selection.
pub enum Selection {
    /// Start on this replica.
    Start(TargetName),
    /// Wait for a slot.
    Wait,
    /// No replica can run the call, even after a wait.
    Never(Error),
}

/// Offer to a call with no waiters before it.
pub const IMMEDIATE_OFFER: SlotOffer = SlotOffer { ahead: 0, guaranteed: false };

/// A call for which a replica is selected.
pub struct SlotRequest<'a> {
    pub work: &'a Work,
    pub tried: &'a [TargetName],
    pub alone: bool,
    pub id: u64,
    /// Whether replicas that were tried are excluded.
    pub untried_only: bool,
}

impl<'a> SlotRequest<'a> {
    pub fn of(pending: &'a Pending) -> SlotRequest<'a> {
        let Pending { waiter, work, tried, alone, .. } = pending;
        SlotRequest { work, tried, alone: *alone, id: waiter.id, untried_only: false }
    }
}

impl Core {
    /// Returns whether the remaining free slots are reserved for the desk class, so that this audit
    /// call must wait.
    ///
    /// A running call cannot be preempted, so without a reserve a desk call that finds all slots
    /// occupied would wait for an audit call to end.
    pub fn is_reserved_for_desk(
        &self,
        table: &Table,
        request: &SlotRequest<'_>,
        now: Instant,
    ) -> bool {
        if request.work.class != Class::Audit {
            return false;
        }
        let names = table.index.get(&request.work.shard).map(Vec::as_slice).unwrap_or_default();
        let usable = names
            .iter()
            .filter_map(|name| table.entries.get(name))
            .filter(|entry| entry.fitness(now) == Fitness::Ready);
        let (slots, busy) = usable.fold((0u32, 0u32), |(slots, busy), entry| {
            let allowed = entry.allowed(self.options.holders);
            (slots.saturating_add(allowed), busy + entry.replica.in_flight().min(allowed))
        });
        slots != u32::MAX && slots - busy <= slots / SLOTS_PER_RESERVE
    }

    /// Selects a replica for `request`.
    pub fn select_replica(
        &self,
        table: &mut Table,
        request: &SlotRequest<'_>,
        offer: SlotOffer,
        now: Instant,
    ) -> Selection {
        let Work { shard, fingerprint, .. } = request.work;
        let Some(names) = table.index.get(shard) else {
            return Selection::Never(Error::NoTarget);
        };
        let usable = match usable(&table.entries, names, request, now) {
            Ok(usable) => usable,
            Err(error) => return Selection::Never(error),
        };
        if request.alone {
            // Two concurrent calls of a suspect could crash two targets at once.
            if table.running_suspects.contains(fingerprint) {
                return Selection::Wait;
            }
            return select_alone(&mut table.entries, &usable, request.id);
        }
        let candidates: Vec<Candidate> =
            usable.iter().map(|name| self.candidate(&table.entries[name], now)).collect();
        let profile = CallProfile { ahead: offer.ahead, urgent: request.work.class == Class::Desk };
        match self.choice.pick(&candidates, profile, &self.random) {
            Pick::Take(index) => Selection::Start(usable[index].clone()),
            Pick::Wait => Selection::Wait,
        }
    }

    fn candidate(&self, entry: &Entry, now: Instant) -> Candidate {
        let in_flight = entry.replica.in_flight();
        // A replica that runs a suspect, or is reserved for one, takes no other calls.
        let closed = entry.suspect_slot.is_some()
            || entry.reserved_for.is_some()
            || entry.fitness(now) != Fitness::Ready;
        let slots = if closed { in_flight } else { entry.allowed(self.options.holders) };
        Candidate {
            in_flight,
            slots,
            latency: entry.replica.latency(),
            delay: entry.delay,
            reported: entry.replica.reported(),
            idle: entry.replica.idle(now),
            warming: self.warmup.is_warming(&entry.replica),
        }
    }
}

/// Returns the replicas that can run `request` now or once they have a free slot.
fn usable(
    entries: &HashMap<TargetName, Entry>,
    names: &[TargetName],
    request: &SlotRequest<'_>,
    now: Instant,
) -> Result<Vec<TargetName>> {
    let Work { shard, version, eligible, deadline, .. } = request.work;
    let mut usable = Vec::with_capacity(names.len());
    let mut error = Error::NoTarget;
    for name in names.iter().filter(|name| eligible.contains(*name)) {
        let entry = &entries[name];
        match entry.fitness(now) {
            Fitness::Ready => {}
            Fitness::Shedding(until) if until < *deadline => {}
            Fitness::Shedding(until) => {
                let retry_ms = (until - now).as_millis() as u64;
                error = Error::Shed { retry_ms };
                continue;
            }
            Fitness::Draining | Fitness::Down => continue,
        }
        let holds = match version {
            Some(version) => entry.replica.holds(shard, *version),
            None => entry.replica.serves(shard),
        };
        // Before the first probe only the declared shard is known.
        if holds.unwrap_or(entry.spec.shard == *shard) {
            usable.push(name.clone());
        } else if let Some(version) = version {
            error = Error::VersionGone { version: version.0 };
        }
    }
    if usable.is_empty() {
        return Err(error);
    }
    let untried = |name: &TargetName| !request.tried.contains(name);
    if request.untried_only || usable.iter().any(untried) {
        usable.retain(untried);
    }
    // The state of a target that a document has just added is unknown until its first probe: it
    // may have begun to drain before.
    let probed = |name: &TargetName| entries[name].last_status.is_some();
    if usable.iter().any(probed) {
        usable.retain(probed);
    }
    // Unresponsive replicas are used only if there are no others, until they answer again.
    let responsive = |name: &TargetName| !entries[name].is_unresponsive();
    if usable.iter().any(responsive) {
        usable.retain(responsive);
    }
    if usable.is_empty() { Err(Error::NoTarget) } else { Ok(usable) }
}

/// Selects an idle replica for a suspect request, or reserves one until it is idle.
fn select_alone(
    entries: &mut HashMap<TargetName, Entry>,
    usable: &[TargetName],
    id: u64,
) -> Selection {
    let open = |entry: &Entry| entry.reserved_for.is_none_or(|other| other == id);
    let idle = usable.iter().find(|name| {
        let entry = &entries[*name];
        entry.replica.in_flight() == 0 && open(entry)
    });
    if let Some(name) = idle {
        return Selection::Start(name.clone());
    }
    if usable.iter().any(|name| entries[name].reserved_for == Some(id)) {
        return Selection::Wait;
    }
    // Without a reservation a busy replica would never become idle.
    let least_busy = usable
        .iter()
        .filter(|name| open(&entries[*name]))
        .min_by_key(|name| entries[*name].replica.in_flight());
    if let Some(entry) = least_busy.and_then(|name| entries.get_mut(name)) {
        entry.reserved_for = Some(id);
    }
    Selection::Wait
}
