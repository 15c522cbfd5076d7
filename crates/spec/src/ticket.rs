//! Model of how a non-idempotent request runs at most once.
//!
//! A caller sends one request under one ticket to the issuer and to another node,
//! any number of times. The issuer sends the request to the target through a holder;
//! each hop may lose the message or its reply, and each process may crash or freeze.
//! TCP prevents duplicates within a connection, so only senders can cause duplicates.
//!
//! Invariants: the request runs at most once; a request reported as "not run" has not
//! run and never will; a request reported as "done" has run.

use crate::Model;

/// Maximum number of sends by the issuer; it sends again only if the request certainly did not run.
const MAX_SENDS: u8 = 2;
/// Maximum number of restarts of the issuer.
const MAX_RESTARTS: u8 = 1;

/// A safeguard that is removed from the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// All safeguards are in place.
    None,
    /// A restarted issuer accepts tickets of its earlier incarnation.
    AnyIncarnation,
    /// Another node runs the request itself if the issuer does not answer.
    RunElsewhere,
    /// The issuer sends again after its connection has broken.
    ResendAfterLoss,
    /// A timeout after sending is reported as "not run".
    TimeoutNotRun,
    /// The issuer discards an outcome while the ticket is still valid.
    ForgetEarly,
    /// The holder sends to the target again after its connection has broken.
    HolderResends,
    /// A holder whose wait has timed out replies "not run" but still sends the request.
    HolderSendsLate,
}

/// The model, with at most one safeguard removed.
#[derive(Clone, Copy, Debug)]
pub struct TicketModel {
    /// The removed safeguard.
    pub mutation: Mutation,
}

/// State of the ticket at the issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TicketState {
    Nothing,
    /// The request waits for capacity; nothing was sent.
    Queued,
    /// The request was sent this number of times, and the reply is awaited.
    Sent(u8),
    Outcome(Reply),
}

/// Reply to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reply {
    Done,
    NotRun,
    Unknown,
}

/// Progress of one send of the request from the issuer to the target and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Delivery {
    ToHolder,
    AtHolder,
    ToTarget,
    /// The target has run the request; the reply is in transit.
    Ran,
    /// The request certainly did not and will not run; that reply is in transit.
    Refused,
    /// The message or the reply was lost.
    Lost,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    restarts: u8,
    issuer_up: bool,
    issuer_frozen: bool,
    ticket: TicketState,
    /// All deliveries, the latest last; the issuer awaits only the reply of the latest.
    deliveries: Vec<Delivery>,
    awaited: bool,
    runs: u8,
    replied_done: bool,
    replied_not_run: bool,
    elsewhere: bool,
}

impl Model for TicketModel {
    type State = State;

    fn initial(&self) -> State {
        State {
            restarts: 0,
            issuer_up: true,
            issuer_frozen: false,
            ticket: TicketState::Nothing,
            deliveries: vec![],
            awaited: false,
            runs: 0,
            replied_done: false,
            replied_not_run: false,
            elsewhere: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.issuer_faults(state, &mut next);
        self.caller_steps(state, &mut next);
        if state.issuer_up && !state.issuer_frozen {
            self.issuer_steps(state, &mut next);
        }
        for at in 0..state.deliveries.len() {
            self.delivery_steps(state, at, &mut next);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("the request ran twice");
        }
        if state.replied_not_run && state.runs > 0 {
            return Some("reported as not run, but it ran");
        }
        if state.replied_done && state.runs == 0 {
            return Some("reported as done, but it did not run");
        }
        None
    }
}

impl TicketModel {
    fn issuer_faults(&self, state: &State, next: &mut Vec<State>) {
        if !state.issuer_up {
            // The issuer restarts at the same address, without its state in memory.
            let mut up = state.clone();
            up.issuer_up = true;
            up.restarts += 1;
            next.push(up);
            return;
        }
        let mut toggled = state.clone();
        toggled.issuer_frozen = !state.issuer_frozen;
        next.push(toggled);
        if state.restarts < MAX_RESTARTS {
            let mut down = state.clone();
            down.issuer_up = false;
            down.issuer_frozen = false;
            down.ticket = TicketState::Nothing;
            down.awaited = false;
            next.push(down);
        }
    }

    /// The caller sends the request to a node, for the first time or again.
    fn caller_steps(&self, state: &State, next: &mut Vec<State>) {
        let reachable = state.issuer_up && !state.issuer_frozen;
        if !reachable && self.mutation == Mutation::RunElsewhere && !state.elsewhere {
            let mut state = state.clone();
            state.elsewhere = true;
            state.deliveries.push(Delivery::ToHolder);
            next.push(state);
        }
        if !reachable {
            // The other node replies "retry", which states nothing about the outcome.
            return;
        }
        let foreign = state.restarts > 0 && self.mutation != Mutation::AnyIncarnation;
        match state.ticket {
            // A ticket of an earlier incarnation is answered with "outcome unknown" and never runs.
            TicketState::Nothing if foreign => {}
            TicketState::Nothing => {
                let mut state = state.clone();
                state.ticket = TicketState::Queued;
                next.push(state);
            }
            TicketState::Outcome(reply) => next.push(reply_to_caller(state, reply)),
            // A duplicate waits for the outcome of the first.
            TicketState::Queued | TicketState::Sent(_) => {}
        }
    }

    fn issuer_steps(&self, state: &State, next: &mut Vec<State>) {
        match state.ticket {
            TicketState::Queued => {
                next.push(send(state, 1));
                // The deadline expires in the queue, or the request is refused.
                next.push(complete(state, Reply::NotRun));
            }
            TicketState::Sent(count) => {
                let reply = match self.mutation {
                    Mutation::TimeoutNotRun => Reply::NotRun,
                    _ => Reply::Unknown,
                };
                next.push(complete(state, reply));
                self.read_reply(state, count, next);
            }
            TicketState::Outcome(_) if self.mutation == Mutation::ForgetEarly => {
                let mut state = state.clone();
                state.ticket = TicketState::Nothing;
                next.push(state);
            }
            TicketState::Outcome(_) | TicketState::Nothing => {}
        }
    }

    fn read_reply(&self, state: &State, count: u8, next: &mut Vec<State>) {
        if !state.awaited {
            return;
        }
        match state.deliveries.last() {
            Some(Delivery::Ran) => next.push(complete(state, Reply::Done)),
            // The request certainly did not run: it may be sent again or reported as "not run".
            Some(Delivery::Refused) => {
                next.push(complete(state, Reply::NotRun));
                if count < MAX_SENDS {
                    next.push(send(state, count + 1));
                }
            }
            Some(Delivery::Lost) => {
                next.push(complete(state, Reply::Unknown));
                if self.mutation == Mutation::ResendAfterLoss && count < MAX_SENDS {
                    next.push(send(state, count + 1));
                }
            }
            _ => {}
        }
    }

    /// Advances one delivery to the next hop or into a fault of that hop.
    fn delivery_steps(&self, state: &State, at: usize, next: &mut Vec<State>) {
        let mut advance = |deliveries: &[Delivery], runs: u8| {
            for delivery in deliveries {
                let mut state = state.clone();
                state.deliveries[at] = *delivery;
                state.runs += runs;
                next.push(state);
            }
        };
        match state.deliveries[at] {
            // The request arrives, the connection cannot be opened, or the connection breaks.
            Delivery::ToHolder => {
                advance(&[Delivery::AtHolder, Delivery::Refused, Delivery::Lost], 0)
            }
            // The holder forwards the request, times out while it waits, or crashes.
            Delivery::AtHolder => {
                advance(&[Delivery::ToTarget, Delivery::Refused, Delivery::Lost], 0)
            }
            Delivery::ToTarget => {
                // The request is shed or cannot be sent; the connection breaks before the
                // target reads it; or the target runs it, and the reply may be lost.
                advance(&[Delivery::Refused, Delivery::Lost], 0);
                advance(&[Delivery::Ran, Delivery::Lost], 1);
                if self.mutation == Mutation::HolderResends && state.runs < 2 {
                    advance(&[Delivery::ToTarget], 1);
                }
            }
            Delivery::Refused if self.mutation == Mutation::HolderSendsLate && state.runs < 2 => {
                advance(&[Delivery::ToTarget], 0);
            }
            Delivery::Ran | Delivery::Refused | Delivery::Lost => {}
        }
    }
}

fn send(state: &State, count: u8) -> State {
    let mut state = state.clone();
    state.ticket = TicketState::Sent(count);
    state.deliveries.push(Delivery::ToHolder);
    state.awaited = true;
    state
}

fn complete(state: &State, reply: Reply) -> State {
    let mut state = reply_to_caller(state, reply);
    state.ticket = TicketState::Outcome(reply);
    state.awaited = false;
    state
}

fn reply_to_caller(state: &State, reply: Reply) -> State {
    let mut state = state.clone();
    state.replied_done |= reply == Reply::Done;
    state.replied_not_run |= reply == Reply::NotRun;
    state
}
