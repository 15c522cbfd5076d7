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
pub struct Gate {
    taken: Cell<u32>,
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
pub struct Permit(Rc<Gate>);

impl Gate {
    /// Sets the bound.
    pub fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
    }

    /// How many permits are out.
    pub fn taken(&self) -> u32 {
        self.taken.get()
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
    pub async fn acquire(self: &Rc<Gate>, priority: u32) -> Permit {
        if self.taken.get() < self.limit.get() {
            return self.hand_out();
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

    fn hand_out(self: &Rc<Gate>) -> Permit {
        self.taken.set(self.taken.get() + 1);
        Permit(self.clone())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let gate = &self.0;
        gate.taken.set(gate.taken.get() - 1);
        while gate.taken.get() < gate.limit.get() {
            let next = {
                let mut waiting = gate.waiting.borrow_mut();
                if waiting.is_empty() { None } else { Some(waiting.remove(0)) }
            };
            let Some(waiter) = next else { return };
            if waiter.sender.is_canceled() {
                continue;
            }
            // A waiter that goes away in this moment drops the permit, which
            // brings it back here.
            let _ = waiter.sender.send(gate.hand_out());
        }
    }
}
