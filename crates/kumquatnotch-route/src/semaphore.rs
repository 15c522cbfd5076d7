//! A semaphore with priorities, which limits concurrent requests.
//!
//! When the limit is reached, further requests wait: the most urgent first, and in order
//! of arrival among requests of the same priority.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_channel::oneshot;

/// A semaphore whose waiters are ordered by priority.
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

/// A permit of a [`PrioritySemaphore`], returned when dropped.
#[derive(Debug)]
pub struct Permit(Rc<PrioritySemaphore>);

impl PrioritySemaphore {
    /// Sets the maximum number of permits.
    pub fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.get()
    }

    /// Number of waiters.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// The maximum number of permits.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Waits for a permit; priority zero is the most urgent.
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
            // If the waiter is cancelled at this moment, the permit is dropped and
            // passed on to the next waiter.
            let _ = waiter.sender.send(semaphore.issue_permit());
        }
    }
}
