//! The slots of a target: a fixed number of requests run, some wait in order.

use std::{
    cell::RefCell,
    collections::{BTreeSet, VecDeque},
    rc::Rc,
};

use futures_channel::oneshot;

/// The slots of one life of a target.
#[derive(Clone, Debug)]
pub struct Slots {
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    free: BTreeSet<usize>,
    waiting: VecDeque<oneshot::Sender<Slot>>,
    queue_limit: usize,
    running: usize,
}

/// A slot that is taken until this is dropped.
#[derive(Debug)]
pub struct Slot {
    /// Its number.
    pub number: usize,
    slots: Slots,
}

/// Why there is no place, not even to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Slots {
    /// `count` slots for which up to `queue_limit` requests wait.
    pub fn new(count: usize, queue_limit: usize) -> Slots {
        let state =
            State { free: (0..count).collect(), waiting: VecDeque::new(), queue_limit, running: 0 };
        Slots { state: Rc::new(RefCell::new(state)) }
    }

    /// A place in the queue, which gives the slot when its turn has come.
    pub fn acquire(&self) -> Result<oneshot::Receiver<Slot>, Full> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.waiting.retain(|waiting| !waiting.is_canceled());
        if state.free.is_empty() && state.waiting.len() >= state.queue_limit {
            return Err(Full);
        }
        state.waiting.push_back(sender);
        drop(state);
        self.grant();
        Ok(receiver)
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// How many requests wait or run.
    pub fn load(&self) -> usize {
        let state = self.state.borrow();
        state.running + state.waiting.iter().filter(|waiting| !waiting.is_canceled()).count()
    }

    fn grant(&self) {
        loop {
            let mut state = self.state.borrow_mut();
            if state.free.is_empty() || state.waiting.is_empty() {
                return;
            }
            let (number, next) = (state.free.pop_first(), state.waiting.pop_front());
            let (Some(number), Some(next)) = (number, next) else {
                return;
            };
            state.running += 1;
            drop(state);
            // A waiter that has gone gives the slot back by dropping it, which
            // comes here again for the next one.
            let _ = next.send(Slot { number, slots: self.clone() });
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut state = self.slots.state.borrow_mut();
            state.free.insert(self.number);
            state.running -= 1;
        }
        self.slots.grant();
    }
}
