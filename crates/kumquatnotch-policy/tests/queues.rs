//! Tests of the queue for the slots of a shard.

use std::time::{Duration, Instant};

use kumquatnotch_core::{Error, document::Class, ids::TenantName};
use kumquatnotch_policy::{
    fair::FairQueue,
    queue::{FifoQueue, ServiceRate, WaitQueue, Waiter},
};

const RATE: ServiceRate = ServiceRate { slots: 4, service: Duration::from_millis(6) };

fn waiter(id: u64, class: Class, tenant: &str, now: Instant) -> Waiter {
    Waiter {
        id,
        class,
        tenant: TenantName::from(tenant),
        weight: 1,
        since: now,
        deadline: now + Duration::from_secs(1),
    }
}

fn take(queue: &mut dyn WaitQueue, now: Instant) -> Option<Waiter> {
    queue.take(now, &mut |_, _| true)
}

/// Position at which a desk call is served when it arrives after a hundred audits.
fn place_of_desk(queue: &mut dyn WaitQueue) -> usize {
    let now = Instant::now();
    (0..100).for_each(|id| queue.push(waiter(id, Class::Audit, "siam", now)));
    queue.push(waiter(100, Class::Desk, "siam", now));
    (0..101).position(|_| take(queue, now).unwrap().id == 100).unwrap()
}

#[test]
fn desk_goes_before_audits() {
    assert_eq!(place_of_desk(&mut FairQueue::default()), 0);
    assert_eq!(place_of_desk(&mut FifoQueue::default()), 100);
}

// The desk sends requests continuously, and one audit waits. By priority alone the audit would
// never run; its guaranteed share lets it finish.
#[test]
fn continuous_desk_load_does_not_starve_audits() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(waiter(0, Class::Audit, "siam", now));
    queue.push(waiter(1, Class::Desk, "siam", now));

    let served = (2..1_000u64).find(|id| {
        queue.push(waiter(*id, Class::Desk, "siam", now));
        take(&mut queue, now).unwrap().class == Class::Audit
    });

    assert!(served.is_some());
}

// A burst at the desk must not be delayed by a batch that was served all the time.
#[test]
fn burst_of_the_desk_is_not_interrupted() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    (0..200).for_each(|id| queue.push(waiter(id, Class::Batch, "siam", now)));
    (0..50).for_each(|_| drop(take(&mut queue, now)));
    (200..250).for_each(|id| queue.push(waiter(id, Class::Desk, "siam", now)));

    let served: Vec<Class> = (0..50).map(|_| take(&mut queue, now).unwrap().class).collect();

    assert!(served.iter().all(|class| *class == Class::Desk));
}

/// How many of the first twenty served requests belong to the tenant that sent few.
fn served_of_other(queue: &mut dyn WaitQueue) -> usize {
    let now = Instant::now();
    (0..1_000).for_each(|id| queue.push(waiter(id, Class::Desk, "flood", now)));
    (1_000..1_010).for_each(|id| queue.push(waiter(id, Class::Desk, "rival", now)));
    let served = (0..20).map(|_| take(queue, now).unwrap());
    served.filter(|waiter| &*waiter.tenant == "rival").count()
}

#[test]
fn flood_of_one_tenant_does_not_starve_another() {
    assert_eq!(served_of_other(&mut FairQueue::default()), 10);
    assert_eq!(served_of_other(&mut FifoQueue::default()), 0);
}

#[test]
fn heavier_tenant_gets_its_share() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    (0..100).for_each(|id| {
        queue.push(Waiter { weight: 3, ..waiter(id, Class::Desk, "large", now) });
        queue.push(waiter(100 + id, Class::Desk, "small", now));
    });

    let served: Vec<Waiter> = (0..40).map(|_| take(&mut queue, now).unwrap()).collect();

    let large = served.iter().filter(|waiter| &*waiter.tenant == "large").count();
    assert!((29..=31).contains(&large), "{large} of 40");
}

#[test]
fn earliest_deadline_goes_first() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(waiter(1, Class::Desk, "siam", now));
    let soon =
        Waiter { deadline: now + Duration::from_millis(50), ..waiter(2, Class::Desk, "siam", now) };
    queue.push(soon);

    assert_eq!(take(&mut queue, now).unwrap().id, 2);
}

// Demand is far beyond the slots. A request that could only be answered too late must be refused at
// once with a retry delay, not when its deadline passes.
#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let now = Instant::now();
    let fill = |queue: &mut dyn WaitQueue| {
        (0..1_000).for_each(|id| queue.push(waiter(id, Class::Desk, "siam", now)));
        queue.admit(&waiter(1_000, Class::Desk, "siam", now), RATE, now)
    };

    let refused = fill(&mut FairQueue::default());
    let naive = fill(&mut FifoQueue::default());

    let Err(Error::Overloaded { retry_ms }) = refused else { panic!("not refused") };
    assert!((900..=1_100).contains(&retry_ms), "{retry_ms} ms");
    assert!(naive.is_ok());
}

#[test]
fn tenant_is_not_refused_during_the_flood_of_another() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    (0..1_000).for_each(|id| queue.push(waiter(id, Class::Desk, "flood", now)));

    let result = queue.admit(&waiter(1_000, Class::Desk, "rival", now), RATE, now);

    assert_eq!(result, Ok(()));
}

#[test]
fn expired_waiters_leave_at_once() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(waiter(1, Class::Desk, "siam", now));
    queue.push(waiter(2, Class::Audit, "siam", now + Duration::from_secs(5)));

    let expired = queue.expire(now + Duration::from_secs(2));

    assert_eq!(expired.iter().map(|waiter| waiter.id).collect::<Vec<_>>(), [1]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn waiter_that_fits_nowhere_does_not_block_the_next() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(waiter(1, Class::Desk, "siam", now));
    queue.push(waiter(2, Class::Batch, "siam", now));

    let taken = queue.take(now, &mut |waiter, _| waiter.id == 2);

    assert_eq!(taken.map(|waiter| waiter.id), Some(2));
}
