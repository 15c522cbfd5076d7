//! Crash checks: whether a target crashed when a connection to it was lost.
//!
//! After a crash, the requests in flight to the target are reported to the containment policy.

use std::{rc::Rc, time::Duration};

use futures_channel::oneshot;
use kumquatnotch_core::{
    Result, clock::sleep, document::TargetSpec, ids::TargetName, marks::MarkKind,
    target::TargetStatus,
};
use kumquatnotch_policy::containment::{Contained, Running};

use crate::{core::Core, table::Entry};

/// Time after which a target that seems healthy is probed a second time.
///
/// A crashing target loses its connections one by one and may still answer a probe on one of them.
/// The request that crashed it would then not become a suspect and would be retried on one replica
/// after another. A target that answers after this time has not crashed.
const RECHECK_DELAY: Duration = Duration::from_millis(5);

/// A crash check in progress; dropping it before its end counts as a crash.
struct CrashCheck {
    core: Rc<Core>,
    target: TargetName,
    in_flight: Vec<Running>,
    alone: bool,
    crashed: bool,
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        self.core.end_check(self);
    }
}

/// Role of a call in the crash check of its target.
enum CheckStart {
    First { incarnation: Option<u64>, spec: Rc<TargetSpec>, in_flight: Vec<Running>, alone: bool },
    Joined(oneshot::Receiver<()>),
    Removed,
}

impl CrashCheck {
    async fn run(mut self, spec: Rc<TargetSpec>, incarnation: Option<u64>) {
        let core = self.core.clone();
        let mut status = core.query_status(&self.target, &spec).await;
        if is_same_incarnation(&status, incarnation) {
            sleep(&*core.clock, RECHECK_DELAY).await;
            status = core.query_status(&self.target, &spec).await;
        }
        self.crashed = !is_same_incarnation(&status, incarnation);
        core.record_status(&self.target, status.ok());
    }
}

impl Core {
    /// Checks whether `target` crashed after the connection of a call to it was lost.
    ///
    /// A crash cuts off all calls in flight at once. The first one probes the target and the others
    /// wait for the result, so that the crash is counted only once.
    pub async fn check_crash(self: &Rc<Self>, target: &TargetName) {
        let (incarnation, spec, in_flight, alone) = match self.begin_check(target) {
            CheckStart::First { incarnation, spec, in_flight, alone } => {
                (incarnation, spec, in_flight, alone)
            }
            CheckStart::Joined(receiver) => {
                let _ = receiver.await;
                return;
            }
            CheckStart::Removed => return,
        };
        // The request must become a suspect even if its caller gives up during the check.
        // `crashed` is therefore true until a probe shows otherwise.
        let (core, target) = (self.clone(), target.clone());
        let check = CrashCheck { core, target, in_flight, alone, crashed: true };
        // The check runs in its own task, so that the caller's deadline cannot cut it short. If
        // this holder is slow, the deadline passes first, and a request that crashed nothing would
        // be contained.
        monoio::spawn(check.run(spec, incarnation)).await;
    }

    fn begin_check(&self, target: &TargetName) -> CheckStart {
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return CheckStart::Removed;
        };
        if let Some(waiters) = &mut entry.crash_waiters {
            let (sender, receiver) = oneshot::channel();
            waiters.push(sender);
            return CheckStart::Joined(receiver);
        }
        entry.crash_waiters = Some(Vec::new());
        let incarnation = entry.replica.incarnation();
        let alone = entry.suspect_slot.is_some();
        CheckStart::First {
            incarnation,
            spec: entry.spec.clone(),
            in_flight: distinct_running(entry),
            alone,
        }
    }

    fn record_status(&self, target: &TargetName, status: Option<TargetStatus>) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(entry) = table.entries.get_mut(target) else {
            return;
        };
        match status {
            Some(status) => {
                entry.replica.on_probe(&status, now);
            }
            None => {
                entry.replica.on_unreachable(now, &self.random);
                let at = entry.replica.down_until().unwrap_or(now);
                table.schedule_probe(target, at);
            }
        }
    }

    fn end_check(&self, check: &CrashCheck) {
        let CrashCheck { target, in_flight, alone, crashed, .. } = check;
        let waiters = {
            let mut table = self.table.borrow_mut();
            let entry = table.entries.get_mut(target);
            entry.and_then(|entry| entry.crash_waiters.take()).unwrap_or_default()
        };
        if *crashed {
            self.meters.crashes.increment(1);
            tracing::warn!(%target, beside = in_flight.len(), "holder: target crashed");
            let mut containment = self.containment.borrow_mut();
            let contained = containment.on_crash(in_flight, *alone, self.now());
            drop(containment);
            if let Some(Contained { fingerprint, span }) = contained {
                self.set_mark(MarkKind::Contained(fingerprint), span);
                tracing::warn!(
                    print = %fingerprint,
                    "holder: request crashes targets and is contained"
                );
            }
        }
        for sender in waiters {
            let _ = sender.send(());
        }
    }
}

/// Returns whether a target answered and still has the given incarnation.
fn is_same_incarnation(status: &Result<TargetStatus>, incarnation: Option<u64>) -> bool {
    status.as_ref().is_ok_and(|status| incarnation == Some(status.incarnation))
}

/// Returns the distinct requests in flight to a target.
fn distinct_running(entry: &Entry) -> Vec<Running> {
    let mut in_flight: Vec<Running> = Vec::new();
    for (_, running) in &entry.running {
        if !in_flight.contains(running) {
            in_flight.push(running.clone());
        }
    }
    in_flight
}
