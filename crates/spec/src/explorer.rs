//! Visits every reachable state of a model, the nearest first.

use std::{cell::Cell, fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// A specification.
pub trait Model {
    /// Everything that matters of a moment.
    type State: Clone + Debug + Eq + Hash;

    /// Where it starts.
    fn initial(&self) -> Self::State;

    /// The states that one step leads to.
    fn steps(&self, state: &Self::State) -> Vec<Self::State>;

    /// What is wrong with a state, if anything is.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// How many states were expanded.
    pub states: usize,
    /// What was violated, if anything was.
    pub violation: Option<&'static str>,
    /// The shortest way to the violation, state by state.
    pub trace: Vec<String>,
}

/// Visits every state of `model` until one is in violation.
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
