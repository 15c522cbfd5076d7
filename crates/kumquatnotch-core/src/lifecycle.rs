//! The lifecycle stage of a node, shared between its services.

use std::{cell::Cell, rc::Rc};

/// The lifecycle stage of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Has no configuration in force yet and does not serve.
    Starting,
    /// Serves requests.
    Serving,
    /// Is no longer advertised to callers, but serves until earlier advice has expired.
    Leaving,
    /// Accepts no new requests and finishes the running ones.
    Closing,
}

/// The shared lifecycle stage, which only moves forward.
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
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Advances to `stage`; does nothing if the current stage is the same or later.
    pub fn advance(&self, stage: Stage) {
        if stage > self.stage.get() {
            self.stage.set(stage);
        }
    }
}
