//! How a non-idempotent request runs at most once.
//!
//! A caller sends one request under one ticket to the issuer and to another
//! node, any number of times. The issuer sends it to the target through a
//! holder; each hop may lose the message or its reply, and each process may
//! crash or freeze. Messages of one connection are not duplicated, which TCP
//! sees to; the senders are what could send twice.
//!
//! Promised: it runs at most once; "not run" is true for good; "done" is true.

use crate::Model;

/// The most times that the issuer sends, after certain refusals.
const SEND_LIMIT: u8 = 2;
/// The most restarts of the issuer.
const RESTART_LIMIT: u8 = 1;

/// A safeguard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is taken away.
    None,
    /// A restarted issuer runs tickets of its earlier life.
    AnyIncarnation,
    /// Another node runs the request itself if the issuer does not answer.
    RunElsewhere,
    /// The issuer sends again after its connection broke.
    ResendLost,
    /// A time-out after sending is told as "not run".
    TimeoutNotRun,
    /// The issuer forgets an outcome while the ticket can still be used.
    ForgetEarly,
    /// The holder sends to the target again after its connection broke.
    HolderResends,
    /// A holder that gave up its wait tells "not run", and sends all the same.
    HolderSendsLate,
}

/// The specification, with one safeguard taken away or none.
#[derive(Clone, Copy, Debug)]
pub struct TicketModel {
    /// What is taken away.
    pub mutation: Mutation,
}

/// What the issuer knows of the ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Known {
    Nothing,
    /// It waits for capacity; nothing was sent.
    Queued,
    /// It was sent this often, and the reply is awaited.
    Sent(u8),
    Outcome(Told),
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

/// One sending of the request, as it goes from hop to hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Hop {
    ToHolder,
    AtHolder,
    ToTarget,
    /// The target ran it; the reply is on its way.
    Ran,
    /// It certainly did not and will not run; that reply is on its way.
    Refused,
    /// The message or the reply was lost.
    Lost,
}

/// A moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    restarts: u8,
    issuer_up: bool,
    issuer_frozen: bool,
    known: Known,
    /// The sendings under way, the latest last; earlier ones are not awaited.
    hops: Vec<Hop>,
    awaited: bool,
    runs: u8,
    told_done: bool,
    told_not_run: bool,
    elsewhere: bool,
}

impl Model for TicketModel {
    type State = State;

    fn initial(&self) -> State {
        State {
            restarts: 0,
            issuer_up: true,
            issuer_frozen: false,
            known: Known::Nothing,
            hops: vec![],
            awaited: false,
            runs: 0,
            told_done: false,
            told_not_run: false,
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
        for at in 0..state.hops.len() {
            self.hop_steps(state, at, &mut next);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("it ran twice");
        }
        if state.told_not_run && state.runs > 0 {
            return Some("told not run, but it ran");
        }
        if state.told_done && state.runs == 0 {
            return Some("told done, but it did not run");
        }
        None
    }
}

impl TicketModel {
    fn issuer_faults(&self, state: &State, next: &mut Vec<State>) {
        if !state.issuer_up {
            // It restarts at the same address, with nothing in its memory.
            let mut up = state.clone();
            up.issuer_up = true;
            up.restarts += 1;
            next.push(up);
            return;
        }
        let mut flipped = state.clone();
        flipped.issuer_frozen = !state.issuer_frozen;
        next.push(flipped);
        if state.restarts < RESTART_LIMIT {
            let mut down = state.clone();
            down.issuer_up = false;
            down.issuer_frozen = false;
            down.known = Known::Nothing;
            down.awaited = false;
            next.push(down);
        }
    }

    /// The request arrives at a node, for the first time or again.
    fn caller_steps(&self, state: &State, next: &mut Vec<State>) {
        let reachable = state.issuer_up && !state.issuer_frozen;
        if !reachable && self.mutation == Mutation::RunElsewhere && !state.elsewhere {
            let mut state = state.clone();
            state.elsewhere = true;
            state.hops.push(Hop::ToHolder);
            next.push(state);
        }
        if !reachable {
            // The other node tells "ask again", which promises nothing.
            return;
        }
        let foreign = state.restarts > 0 && self.mutation != Mutation::AnyIncarnation;
        match state.known {
            // A ticket of an earlier life: "outcome unknown", and it never runs.
            Known::Nothing if foreign => {}
            Known::Nothing => {
                let mut state = state.clone();
                state.known = Known::Queued;
                next.push(state);
            }
            Known::Outcome(told) => next.push(tell(state, told)),
            // A duplicate waits for the one run.
            Known::Queued | Known::Sent(_) => {}
        }
    }

    fn issuer_steps(&self, state: &State, next: &mut Vec<State>) {
        match state.known {
            Known::Queued => {
                next.push(send(state, 1));
                // The deadline passes in the queue, or the caller is refused.
                next.push(conclude(state, Told::NotRun));
            }
            Known::Sent(count) => {
                let told = match self.mutation {
                    Mutation::TimeoutNotRun => Told::NotRun,
                    _ => Told::Unknown,
                };
                next.push(conclude(state, told));
                self.read_reply(state, count, next);
            }
            Known::Outcome(_) if self.mutation == Mutation::ForgetEarly => {
                let mut state = state.clone();
                state.known = Known::Nothing;
                next.push(state);
            }
            Known::Outcome(_) | Known::Nothing => {}
        }
    }

    fn read_reply(&self, state: &State, count: u8, next: &mut Vec<State>) {
        if !state.awaited {
            return;
        }
        match state.hops.last() {
            Some(Hop::Ran) => next.push(conclude(state, Told::Done)),
            // A certain refusal: the same request may be sent again, or given up.
            Some(Hop::Refused) => {
                next.push(conclude(state, Told::NotRun));
                if count < SEND_LIMIT {
                    next.push(send(state, count + 1));
                }
            }
            Some(Hop::Lost) => {
                next.push(conclude(state, Told::Unknown));
                if self.mutation == Mutation::ResendLost && count < SEND_LIMIT {
                    next.push(send(state, count + 1));
                }
            }
            _ => {}
        }
    }

    /// One sending moves on: to the next hop, or into a fault of that hop.
    fn hop_steps(&self, state: &State, at: usize, next: &mut Vec<State>) {
        let mut put = |hops: &[Hop], runs: u8| {
            for hop in hops {
                let mut state = state.clone();
                state.hops[at] = *hop;
                state.runs += runs;
                next.push(state);
            }
        };
        match state.hops[at] {
            // It arrives, the connection can't be opened, or it breaks.
            Hop::ToHolder => put(&[Hop::AtHolder, Hop::Refused, Hop::Lost], 0),
            // The holder sends it on, gives up while it waits, or crashes.
            Hop::AtHolder => put(&[Hop::ToTarget, Hop::Refused, Hop::Lost], 0),
            Hop::ToTarget => {
                // It is shed or can't be sent; the connection breaks before the
                // target reads it; the target runs it, and the reply may be lost.
                put(&[Hop::Refused, Hop::Lost], 0);
                put(&[Hop::Ran, Hop::Lost], 1);
                if self.mutation == Mutation::HolderResends && state.runs < 2 {
                    put(&[Hop::ToTarget], 1);
                }
            }
            Hop::Refused if self.mutation == Mutation::HolderSendsLate && state.runs < 2 => {
                put(&[Hop::ToTarget], 0);
            }
            Hop::Ran | Hop::Refused | Hop::Lost => {}
        }
    }
}

fn send(state: &State, count: u8) -> State {
    let mut state = state.clone();
    state.known = Known::Sent(count);
    state.hops.push(Hop::ToHolder);
    state.awaited = true;
    state
}

fn conclude(state: &State, told: Told) -> State {
    let mut state = tell(state, told);
    state.known = Known::Outcome(told);
    state.awaited = false;
    state
}

fn tell(state: &State, told: Told) -> State {
    let mut state = state.clone();
    state.told_done |= told == Told::Done;
    state.told_not_run |= told == Told::NotRun;
    state
}
