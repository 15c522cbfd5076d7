//! The stage of a node's life, which its services share.

use std::{cell::Cell, rc::Rc};

/// The stage of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has no configuration in force yet and serves nobody.
    Starting,
    /// It serves.
    Serving,
    /// It is advised to nobody, and serves until the advice given out has lapsed.
    Leaving,
    /// It takes nothing new and ends what it runs.
    Closing,
}

/// The stage, shared between services; it only moves on.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    stage: Rc<Cell<Stage>>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { stage: Rc::new(Cell::new(Stage::Starting)) }
    }
}

impl Lifecycle {
    /// The stage now.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Moves on to `stage`; an earlier one changes nothing.
    pub fn advance(&self, stage: Stage) {
        if stage > self.stage.get() {
            self.stage.set(stage);
        }
    }
}
