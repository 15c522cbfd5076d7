//! How a node leaves without refusing a caller that was advised to use it.
//!
//! Time goes in ticks. Callers are advised by the leaving node and by another,
//! which hears of the leaving after up to [`MAX_PROPAGATION`] ticks. An address may be
//! kept for [`ADVICE_VALIDITY`] ticks; a request takes up to [`MAX_REQUEST_TICKS`] ticks. The node
//! refuses new requests from some ticks after it began to leave, and exits once
//! those in flight have ended.
//!
//! Promised: no caller with valid advice is refused, and no request is cut.

use crate::Model;

/// The most ticks until every node has heard of a leaving one.
pub const MAX_PROPAGATION: u8 = 2;
/// The ticks for which advice may be kept.
pub const ADVICE_VALIDITY: u8 = 3;
/// The most ticks that a request takes.
pub const MAX_REQUEST_TICKS: u8 = 2;
/// The end of the clock.
const CLOCK_END: u8 = 10;

/// A safeguard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is taken away.
    None,
    /// New requests are refused once the node's own advice has lapsed.
    IgnorePropagation,
    /// New requests are refused at once.
    RefuseAtOnce,
    /// The node exits as soon as it refuses new requests.
    ExitBeforeDone,
    /// The node goes on advising itself while it leaves.
    AdviseSelf,
}

/// The specification, with one safeguard taken away or none.
#[derive(Clone, Copy, Debug)]
pub struct LeavingModel {
    /// What is taken away.
    pub mutation: Mutation,
}

/// A moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Ticks since the node began to leave; `None` before.
    leaving_ticks: Option<u8>,
    clock: u8,
    /// Whether the other node has heard of it.
    peer_informed: bool,
    /// Ticks for which the caller may still use the address.
    advice_left: u8,
    /// Ticks that the running request still takes; zero for none.
    request_left: u8,
    exited: bool,
    refused: bool,
    cut: bool,
}

impl Model for LeavingModel {
    type State = State;

    fn initial(&self) -> State {
        State {
            leaving_ticks: None,
            clock: 0,
            peer_informed: false,
            advice_left: 0,
            request_left: 0,
            exited: false,
            refused: false,
            cut: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.clock < CLOCK_END {
            next.extend(self.tick(state));
        }
        if state.leaving_ticks.is_none() {
            next.push(State { leaving_ticks: Some(0), ..state.clone() });
        }
        if state.leaving_ticks.is_some() && !state.peer_informed {
            next.push(State { peer_informed: true, ..state.clone() });
        }
        self.caller_steps(state, &mut next);
        if self.refuses(state)
            && !state.exited
            && (state.request_left == 0 || self.mutation == Mutation::ExitBeforeDone)
        {
            next.push(State { exited: true, cut: state.request_left > 0, ..state.clone() });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.refused {
            return Some("a caller with valid advice was refused");
        }
        if state.cut {
            return Some("a request was cut");
        }
        None
    }
}

impl LeavingModel {
    /// A tick; none while the other node is due to have heard and has not.
    fn tick(&self, state: &State) -> Option<State> {
        if state.leaving_ticks.is_some_and(|ticks| ticks >= MAX_PROPAGATION) && !state.peer_informed
        {
            return None;
        }
        Some(State {
            leaving_ticks: state.leaving_ticks.map(|ticks| ticks + 1),
            clock: state.clock + 1,
            advice_left: state.advice_left.saturating_sub(1),
            request_left: state.request_left.saturating_sub(1),
            ..state.clone()
        })
    }

    fn caller_steps(&self, state: &State, next: &mut Vec<State>) {
        let advised_here = state.leaving_ticks.is_none() || self.mutation == Mutation::AdviseSelf;
        let advised_there = !state.peer_informed;
        if (advised_here && !state.exited) || advised_there {
            next.push(State { advice_left: ADVICE_VALIDITY, ..state.clone() });
        }
        if state.advice_left == 0 {
            return;
        }
        if state.exited || self.refuses(state) {
            next.push(State { refused: true, ..state.clone() });
        } else if state.request_left == 0 {
            next.push(State { request_left: MAX_REQUEST_TICKS, ..state.clone() });
        }
    }

    /// Whether new requests are refused.
    fn refuses(&self, state: &State) -> bool {
        let wait = match self.mutation {
            Mutation::RefuseAtOnce => 0,
            Mutation::IgnorePropagation => ADVICE_VALIDITY,
            _ => MAX_PROPAGATION + ADVICE_VALIDITY,
        };
        state.leaving_ticks.is_some_and(|ticks| ticks >= wait)
    }
}
