//! How a configuration is accepted, spreads, and stays in force.
//!
//! Two operators write the head by compare-and-swap; a write may arrive late,
//! and its reply may be lost. Nodes read the head or hear of it from each other,
//! in any order and any number of times. A node may crash, be born, freeze and
//! wake. An operator may ask whether a version is in force everywhere: then every
//! node that the membership lists must say so, and a frozen node may have been
//! dropped from the list.
//!
//! Promised: what was accepted is accepted once and told truly; a version that a
//! node puts in force was accepted; within its life a node never goes back; and
//! once an operator was told "in force everywhere", no node serves with an older
//! version, also not one that is born or wakes later.

use crate::Model;

/// How many nodes there are.
const NODES: usize = 3;
/// How many operators there are, each with one change.
const OPERATORS: usize = 2;
/// The most crashes and freezes together.
const FAULT_LIMIT: u8 = 2;
/// The most copies of the head that are still on the way to nodes.
const NEWS_LIMIT: usize = 2;

/// A safeguard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is taken away.
    None,
    /// A node takes any version it hears of.
    TakeLower,
    /// A node that was born serves before it has a version.
    ServeUnborn,
    /// A node that wakes serves before it has asked again.
    NoRecheck,
    /// The platform's service takes a write whatever the revision is.
    BlindWrite,
    /// An operator whose reply was lost takes the write as failed.
    LostIsFailed,
    /// A node that was born takes the first answer of any peer, also one unborn.
    ServeEmpty,
}

/// The specification, with one safeguard taken away or none.
#[derive(Clone, Copy, Debug)]
pub struct ConfigModel {
    /// What is taken away.
    pub mutation: Mutation,
}

/// A node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Node {
    life: Life,
    /// The version in force; zero for none.
    version: u8,
    /// The highest version in force in this life.
    highest: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Life {
    Down,
    /// Born, or woken and about to ask again: it does not serve.
    Asking,
    Serving,
    Frozen,
}

/// An operator with one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Operator {
    /// It has not begun.
    Idle,
    /// It has read this version and sent its write.
    Sent(u8),
    /// The reply did not come; it will write again under the same expectation.
    Unsure(u8),
    /// It was told that its change is in force as this version.
    Accepted(u8),
    /// It was told that its change is not, and never will be.
    Refused,
}

/// A write on its way to the platform's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Write {
    operator: u8,
    base: u8,
    /// Whether its operator still waits for the reply.
    awaited: bool,
}

/// A moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The operator that wrote each version, the first version first.
    accepted: Vec<u8>,
    writes: Vec<Write>,
    operators: [Operator; OPERATORS],
    nodes: [Node; NODES],
    /// Copies of the head on their way to nodes.
    news: Vec<u8>,
    outage: bool,
    faults: u8,
    /// The version that an operator was told is in force everywhere.
    confirmed: u8,
}

impl Model for ConfigModel {
    type State = State;

    fn initial(&self) -> State {
        let node = Node { life: Life::Asking, version: 0, highest: 0 };
        State {
            accepted: vec![],
            writes: vec![],
            operators: [Operator::Idle; OPERATORS],
            nodes: [node; NODES],
            news: vec![],
            outage: false,
            faults: 0,
            confirmed: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.operator_steps(state, &mut next);
        self.platform_steps(state, &mut next);
        for node in 0..NODES {
            self.node_steps(state, node, &mut next);
        }
        self.status_step(state, &mut next);
        for state in &mut next {
            state.writes.sort_unstable();
            state.news.sort_unstable();
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let head = state.accepted.len() as u8;
        for node in &state.nodes {
            if node.version > head {
                return Some("a version in force that was never accepted");
            }
            if node.version < node.highest {
                return Some("a node went back to an older version");
            }
            if node.life == Life::Serving && node.version == 0 {
                return Some("a node serves without a version");
            }
            if node.life == Life::Serving && node.version < state.confirmed {
                return Some("a node serves with an older version than was confirmed everywhere");
            }
        }
        for (index, operator) in state.operators.iter().enumerate() {
            let index = index as u8;
            let count = state.accepted.iter().filter(|writer| **writer == index).count();
            if count > 1 {
                return Some("a change was accepted twice");
            }
            match operator {
                Operator::Accepted(version)
                    if state.accepted.get(usize::from(*version) - 1) != Some(&index) =>
                {
                    return Some("told accepted, but another stands there");
                }
                Operator::Refused if count > 0 => return Some("told refused, but accepted"),
                _ => {}
            }
        }
        None
    }
}

impl ConfigModel {
    fn operator_steps(&self, state: &State, next: &mut Vec<State>) {
        for (index, operator) in state.operators.iter().enumerate() {
            match *operator {
                Operator::Idle if !state.outage => {
                    next.push(send_write(state, index, state.accepted.len() as u8));
                }
                Operator::Sent(base) => {
                    // The reply does not come in time; the write may still be on its way.
                    let mut lost = state.clone();
                    lost.operators[index] = match self.mutation {
                        Mutation::LostIsFailed => Operator::Refused,
                        _ => Operator::Unsure(base),
                    };
                    for write in &mut lost.writes {
                        write.awaited &= usize::from(write.operator) != index;
                    }
                    next.push(lost);
                }
                Operator::Unsure(base) if !state.outage => {
                    // At most one older copy stays on the way, to keep this small.
                    let copies = state.writes.iter().filter(|w| usize::from(w.operator) == index);
                    if copies.count() < 2 {
                        next.push(send_write(state, index, base));
                    }
                }
                _ => {}
            }
        }
    }

    fn platform_steps(&self, state: &State, next: &mut Vec<State>) {
        let mut flipped = state.clone();
        flipped.outage = !state.outage;
        if state.faults < FAULT_LIMIT || state.outage {
            flipped.faults += u8::from(!state.outage);
            next.push(flipped);
        }
        if state.outage {
            return;
        }
        for at in 0..state.writes.len() {
            next.push(self.apply_write(state, at));
            let mut dropped = state.clone();
            dropped.writes.remove(at);
            next.push(dropped);
        }
    }

    fn apply_write(&self, state: &State, at: usize) -> State {
        let mut state = state.clone();
        let write = state.writes.remove(at);
        let operator = usize::from(write.operator);
        let matches = usize::from(write.base) == state.accepted.len();
        if matches || self.mutation == Mutation::BlindWrite {
            state.accepted.push(write.operator);
        }
        if write.awaited {
            // The writer recognises its own number, also below a later head.
            let place = state.accepted.iter().position(|writer| *writer == write.operator);
            state.operators[operator] = match place {
                Some(place) => Operator::Accepted(place as u8 + 1),
                None => Operator::Refused,
            };
        }
        state
    }

    fn node_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let node = state.nodes[index];
        let head = state.accepted.len() as u8;
        let put = |node: Node| {
            let mut state = state.clone();
            state.nodes[index] = node;
            state
        };
        match node.life {
            Life::Down => {
                next.push(put(Node { life: Life::Asking, version: 0, highest: 0 }));
                return;
            }
            Life::Frozen => {
                let life = match self.mutation {
                    Mutation::NoRecheck => Life::Serving,
                    _ => Life::Asking,
                };
                next.push(put(Node { life, ..node }));
                return;
            }
            Life::Asking | Life::Serving => {}
        }
        if state.faults < FAULT_LIMIT {
            let mut down = put(Node { life: Life::Down, version: 0, highest: 0 });
            down.faults += 1;
            next.push(down);
            if node.life == Life::Serving {
                let mut frozen = put(Node { life: Life::Frozen, ..node });
                frozen.faults += 1;
                next.push(frozen);
            }
        }
        // It hears of a version, from any copy, also an old one; copies may be
        // taken again (duplicated) or never (lost).
        for version in &state.news {
            next.push(put(self.hear(node, *version)));
        }
        // It sends a copy of what it has.
        if node.version > 0 && !state.news.contains(&node.version) {
            let mut state = state.clone();
            if state.news.len() == NEWS_LIMIT {
                state.news.remove(0);
            }
            state.news.push(node.version);
            next.push(state);
        }
        // It reads the platform's service, and serves from then on.
        if !state.outage && head > 0 {
            next.push(put(self.serve(self.hear(node, head))));
        }
        if node.life == Life::Asking {
            self.ask_peers(state, node, &mut |node| next.push(put(node)));
            if self.mutation == Mutation::ServeUnborn {
                next.push(put(Node { life: Life::Serving, ..node }));
            }
        }
    }

    /// The node asks a peer that serves, and serves with the higher version.
    fn ask_peers(&self, state: &State, node: Node, push: &mut dyn FnMut(Node)) {
        for peer in state.nodes {
            let answers = match self.mutation {
                Mutation::ServeEmpty => peer.life != Life::Down && peer.version > 0,
                _ => peer.life == Life::Serving,
            };
            if answers {
                push(self.serve(self.hear(node, peer.version)));
            }
        }
    }

    fn hear(&self, node: Node, version: u8) -> Node {
        if version <= node.version && self.mutation != Mutation::TakeLower {
            return node;
        }
        Node { version, highest: node.highest.max(version), ..node }
    }

    fn serve(&self, node: Node) -> Node {
        Node { life: Life::Serving, ..node }
    }

    /// An operator asks every node that the membership lists.
    fn status_step(&self, state: &State, next: &mut Vec<State>) {
        let listed = state.nodes.iter().filter(|node| node.life == Life::Serving);
        let Some(lowest) = listed.map(|node| node.version).min() else {
            return;
        };
        if lowest > state.confirmed {
            let mut state = state.clone();
            state.confirmed = lowest;
            next.push(state);
        }
    }
}

fn send_write(state: &State, index: usize, base: u8) -> State {
    let mut state = state.clone();
    let operator = index as u8;
    for write in &mut state.writes {
        write.awaited &= write.operator != operator;
    }
    state.writes.push(Write { operator, base, awaited: true });
    state.operators[index] = Operator::Sent(base);
    state
}
