//! Breadth-first search through all reachable states of a model.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// A model of a protocol: a state machine with invariants.
pub trait Model {
    /// State of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns the successors of a state, one for each possible step.
    fn steps(&self, state: &Self::State) -> Vec<Self::State>;

    /// Describes the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of states expanded.
    pub states: usize,
    /// Description of the violated invariant, if any.
    pub violation: Option<&'static str>,
    /// Shortest path from the initial state to the violation.
    pub trace: Vec<String>,
}

/// Visits every reachable state of `model` until one violates an invariant.
pub fn check<M: Model>(model: &M) -> Report {
    let states = Cell::new(0);
    let expand = |state: &M::State| {
        states.set(states.get() + 1);
        model.steps(state)
    };
    let path = bfs(&model.initial(), expand, |state| model.violation(state).is_some());
    let path = path.unwrap_or_default();
    Report {
        states: states.get(),
        violation: path.last().and_then(|state| model.violation(state)),
        trace: path.iter().map(|state| format!("{state:?}")).collect(),
    }
}
