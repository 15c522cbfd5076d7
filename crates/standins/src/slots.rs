//! The slots of a target: limits the running requests and queues others in FIFO order.

use std::{
    cell::RefCell,
    collections::{BTreeSet, VecDeque},
    rc::Rc,
};

use futures_channel::oneshot;

/// The slots of one incarnation of a target.
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

/// An occupied slot, freed on drop.
#[derive(Debug)]
pub struct Slot {
    /// The number of the slot.
    pub number: usize,
    slots: Slots,
}

/// The error when all slots are occupied and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Slots {
    /// Creates `count` slots with a queue of at most `queue_limit` requests.
    pub fn new(count: usize, queue_limit: usize) -> Slots {
        let state =
            State { free: (0..count).collect(), waiting: VecDeque::new(), queue_limit, running: 0 };
        Slots { state: Rc::new(RefCell::new(state)) }
    }

    /// Joins the queue; the receiver yields the slot once it is granted.
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

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// Number of queued and running requests.
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
            // If the receiver is gone, the slot is dropped here, and its drop handler grants
            // it to the next waiter.
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
