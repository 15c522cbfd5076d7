//! The seeded random number generator.
//!
//! All random choices of the tier use this generator, so that a run can be
//! reproduced from the seed that it prints.

use std::{cell::RefCell, rc::Rc, time::Duration};

/// A random number generator that is shared within a process.
#[derive(Clone, Debug)]
pub struct Random {
    state: Rc<RefCell<fastrand::Rng>>,
}

impl Random {
    /// Creates a generator whose sequence is determined by `seed`.
    pub fn with_seed(seed: u64) -> Random {
        Random { state: Rc::new(RefCell::new(fastrand::Rng::with_seed(seed))) }
    }

    /// Creates a generator with a random seed.
    pub fn from_entropy() -> Random {
        Random { state: Rc::new(RefCell::new(fastrand::Rng::new())) }
    }

    /// Returns a random 64-bit number.
    pub fn number(&self) -> u64 {
        self.state.borrow_mut().u64(..)
    }

    /// Returns a number in `0..end`; zero if `end` is zero.
    pub fn below(&self, end: usize) -> usize {
        if end == 0 {
            return 0;
        }
        self.state.borrow_mut().usize(..end)
    }

    /// Returns a number in `0.0..1.0`.
    pub fn fraction(&self) -> f64 {
        self.state.borrow_mut().f64()
    }

    /// Returns true with probability `chance`.
    pub fn chance(&self, chance: f64) -> bool {
        self.fraction() < chance
    }

    /// Returns a random item, or `None` if there are none.
    pub fn pick<'a, T>(&self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len()))
    }

    /// Shuffles `items`.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        self.state.borrow_mut().shuffle(items);
    }

    /// Returns a duration between 0.5 and 1.5 times `span`.
    pub fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(0.5 + self.fraction())
    }
}
