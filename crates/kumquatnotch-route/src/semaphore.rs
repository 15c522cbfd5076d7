//! A bound on how many requests are with a replica at once.
//!
//! Whoever finds the bound reached waits, the more urgent first and in order of
//! arrival among equals.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_channel::oneshot;

/// A bound with those that wait for it.
#[derive(Debug, Default)]
pub struct PrioritySemaphore {
    in_use: Cell<u32>,
    limit: Cell<u32>,
    waiting: RefCell<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    priority: u32,
    sender: oneshot::Sender<Permit>,
}

/// The right to use the replica, until it is dropped.
#[derive(Debug)]
pub struct Permit(Rc<PrioritySemaphore>);

impl PrioritySemaphore {
    /// Sets the bound.
    pub fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
    }

    /// How many permits are out.
    pub fn in_use(&self) -> u32 {
        self.in_use.get()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// The bound.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Waits for a permit.
    pub async fn acquire(self: &Rc<PrioritySemaphore>, priority: u32) -> Permit {
        if self.in_use.get() < self.limit.get() {
            return self.issue_permit();
        }
        loop {
            let (sender, receiver) = oneshot::channel();
            {
                let mut waiting = self.waiting.borrow_mut();
                waiting.retain(|waiter| !waiter.sender.is_canceled());
                let at = waiting.partition_point(|waiter| waiter.priority <= priority);
                waiting.insert(at, Waiter { priority, sender });
            }
            if let Ok(permit) = receiver.await {
                return permit;
            }
        }
    }

    fn issue_permit(self: &Rc<PrioritySemaphore>) -> Permit {
        self.in_use.set(self.in_use.get() + 1);
        Permit(self.clone())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let semaphore = &self.0;
        semaphore.in_use.set(semaphore.in_use.get() - 1);
        while semaphore.in_use.get() < semaphore.limit.get() {
            let next = {
                let mut waiting = semaphore.waiting.borrow_mut();
                if waiting.is_empty() { None } else { Some(waiting.remove(0)) }
            };
            let Some(waiter) = next else { return };
            if waiter.sender.is_canceled() {
                continue;
            }
            // A waiter that goes away in this moment drops the permit, which
            // brings it back here.
            let _ = waiter.sender.send(semaphore.issue_permit());
        }
    }
}
