//! The seeded generator.
//!
//! Every random choice of the tier is drawn here, so that a run can be repeated
//! from the seed that it printed.

use std::{cell::RefCell, rc::Rc, time::Duration};

/// A generator of random numbers that the parts of one process share.
#[derive(Clone, Debug)]
pub struct Random {
    state: Rc<RefCell<fastrand::Rng>>,
}

impl Random {
    /// A generator that repeats its draws for the same `seed`.
    pub fn with_seed(seed: u64) -> Random {
        Random { state: Rc::new(RefCell::new(fastrand::Rng::with_seed(seed))) }
    }

    /// A generator with a seed from the operating system.
    pub fn from_entropy() -> Random {
        Random { state: Rc::new(RefCell::new(fastrand::Rng::new())) }
    }

    /// Any 64-bit number.
    pub fn number(&self) -> u64 {
        self.state.borrow_mut().u64(..)
    }

    /// A number from zero up to, not including, `end`; zero if `end` is zero.
    pub fn below(&self, end: usize) -> usize {
        if end == 0 {
            return 0;
        }
        self.state.borrow_mut().usize(..end)
    }

    /// A number from zero up to, not including, one.
    pub fn fraction(&self) -> f64 {
        self.state.borrow_mut().f64()
    }

    /// True with probability `chance`.
    pub fn chance(&self, chance: f64) -> bool {
        self.fraction() < chance
    }

    /// One of `items`.
    pub fn pick<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len()))
    }

    /// Puts `items` in a random order.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        self.state.borrow_mut().shuffle(items);
    }

    /// A span between half and one and a half times `span`.
    pub fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(0.5 + self.fraction())
    }
}
