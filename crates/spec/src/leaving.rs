//! Model of how a node leaves without refusing a caller that was advised to use it.
//!
//! Time advances in ticks. Callers get advice from the leaving node and from a peer,
//! which learns after up to [`MAX_PROPAGATION`] ticks that the node is leaving. Advice is
//! valid for [`ADVICE_VALIDITY`] ticks; a request takes up to [`MAX_REQUEST_TICKS`] ticks.
//! The node refuses new requests a number of ticks after it began to leave, and exits
//! once the requests in flight have ended.
//!
//! Invariants: no caller with valid advice is refused, and no request is interrupted.

use crate::Model;

/// Maximum number of ticks until every node knows that a node is leaving.
pub const MAX_PROPAGATION: u8 = 2;
/// Number of ticks for which advice is valid.
pub const ADVICE_VALIDITY: u8 = 3;
/// Maximum duration of a request, in ticks.
pub const MAX_REQUEST_TICKS: u8 = 2;
/// Number of ticks that the model covers.
const CLOCK_END: u8 = 10;

/// A safeguard that is removed from the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// All safeguards are in place.
    None,
    /// New requests are refused once the node's own advice has expired, although peers may still
    /// have advised its address later.
    IgnorePropagation,
    /// New requests are refused as soon as the node begins to leave.
    RefuseAtOnce,
    /// The node exits while requests are in flight, as soon as it refuses new ones.
    ExitBeforeDone,
    /// The node continues to advise its own address while it leaves.
    AdviseSelf,
}

/// The model, with at most one safeguard removed.
#[derive(Clone, Copy, Debug)]
pub struct LeavingModel {
    /// The removed safeguard.
    pub mutation: Mutation,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Ticks since the node began to leave; `None` before.
    leaving_ticks: Option<u8>,
    clock: u8,
    /// Whether the peer knows that the node is leaving.
    peer_informed: bool,
    /// Ticks for which the caller's advice is still valid.
    advice_left: u8,
    /// Remaining ticks of the running request; zero for none.
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
    /// Advances the clock by one tick. Returns `None` if the propagation limit has been reached and
    /// the peer is not informed yet, as the peer must be informed first.
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

    /// Whether the node refuses new requests.
    fn refuses(&self, state: &State) -> bool {
        let wait = match self.mutation {
            Mutation::RefuseAtOnce => 0,
            Mutation::IgnorePropagation => ADVICE_VALIDITY,
            _ => MAX_PROPAGATION + ADVICE_VALIDITY,
        };
        state.leaving_ticks.is_some_and(|ticks| ticks >= wait)
    }
}
