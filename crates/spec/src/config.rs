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
//! node puts in force was accepted; within its phase a node never goes back; and
//! once an operator was told "in force everywhere", no node serves with an older
//! version, also not one that is born or wakes later.

use crate::Model;

/// How many nodes there are.
const NODE_COUNT: usize = 3;
/// How many operators there are, each with one change.
const OPERATOR_COUNT: usize = 2;
/// The most crashes and freezes together.
const MAX_FAULTS: u8 = 2;
/// The most copies of the head that are still on the way to nodes.
const MAX_IN_TRANSIT: usize = 2;

/// A safeguard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is taken away.
    None,
    /// A node takes any version it hears of.
    AcceptOlder,
    /// A node that was born serves before it has a version.
    ServeWithoutVersion,
    /// A node that wakes serves before it has asked again.
    ServeAfterWake,
    /// The platform's service takes a write whatever the revision is.
    UnconditionalWrite,
    /// An operator whose reply was lost takes the write as failed.
    LostReplyIsRefusal,
    /// A node that was born takes the first answer of any peer, also one unborn.
    AcceptEmptyAnswer,
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
    phase: NodePhase,
    /// The version in force; zero for none.
    version: u8,
    /// The highest version in force in this phase.
    highest: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum NodePhase {
    Down,
    /// Born, or woken and about to ask again: it does not serve.
    Syncing,
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
    Retrying(u8),
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
    operators: [Operator; OPERATOR_COUNT],
    nodes: [Node; NODE_COUNT],
    /// Copies of the head on their way to nodes.
    in_transit: Vec<u8>,
    outage: bool,
    faults: u8,
    /// The version that an operator was told is in force everywhere.
    confirmed: u8,
}

impl Model for ConfigModel {
    type State = State;

    fn initial(&self) -> State {
        let node = Node { phase: NodePhase::Syncing, version: 0, highest: 0 };
        State {
            accepted: vec![],
            writes: vec![],
            operators: [Operator::Idle; OPERATOR_COUNT],
            nodes: [node; NODE_COUNT],
            in_transit: vec![],
            outage: false,
            faults: 0,
            confirmed: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.operator_steps(state, &mut next);
        self.platform_steps(state, &mut next);
        for node in 0..NODE_COUNT {
            self.node_steps(state, node, &mut next);
        }
        self.confirmation_step(state, &mut next);
        for state in &mut next {
            state.writes.sort_unstable();
            state.in_transit.sort_unstable();
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
            if node.phase == NodePhase::Serving && node.version == 0 {
                return Some("a node serves without a version");
            }
            if node.phase == NodePhase::Serving && node.version < state.confirmed {
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
                        Mutation::LostReplyIsRefusal => Operator::Refused,
                        _ => Operator::Retrying(base),
                    };
                    for write in &mut lost.writes {
                        write.awaited &= usize::from(write.operator) != index;
                    }
                    next.push(lost);
                }
                Operator::Retrying(base) if !state.outage => {
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
        let mut toggled = state.clone();
        toggled.outage = !state.outage;
        if state.faults < MAX_FAULTS || state.outage {
            toggled.faults += u8::from(!state.outage);
            next.push(toggled);
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
        if matches || self.mutation == Mutation::UnconditionalWrite {
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
        let with_node = |node: Node| {
            let mut state = state.clone();
            state.nodes[index] = node;
            state
        };
        match node.phase {
            NodePhase::Down => {
                next.push(with_node(Node { phase: NodePhase::Syncing, version: 0, highest: 0 }));
                return;
            }
            NodePhase::Frozen => {
                let phase = match self.mutation {
                    Mutation::ServeAfterWake => NodePhase::Serving,
                    _ => NodePhase::Syncing,
                };
                next.push(with_node(Node { phase, ..node }));
                return;
            }
            NodePhase::Syncing | NodePhase::Serving => {}
        }
        if state.faults < MAX_FAULTS {
            let mut down = with_node(Node { phase: NodePhase::Down, version: 0, highest: 0 });
            down.faults += 1;
            next.push(down);
            if node.phase == NodePhase::Serving {
                let mut frozen = with_node(Node { phase: NodePhase::Frozen, ..node });
                frozen.faults += 1;
                next.push(frozen);
            }
        }
        // It hears of a version, from any copy, also an old one; copies may be
        // taken again (duplicated) or never (lost).
        for version in &state.in_transit {
            next.push(with_node(self.receive(node, *version)));
        }
        // It sends a copy of what it has.
        if node.version > 0 && !state.in_transit.contains(&node.version) {
            let mut state = state.clone();
            if state.in_transit.len() == MAX_IN_TRANSIT {
                state.in_transit.remove(0);
            }
            state.in_transit.push(node.version);
            next.push(state);
        }
        // It reads the platform's service, and serves from then on.
        if !state.outage && head > 0 {
            next.push(with_node(self.serve(self.receive(node, head))));
        }
        if node.phase == NodePhase::Syncing {
            self.ask_peers(state, node, &mut |node| next.push(with_node(node)));
            if self.mutation == Mutation::ServeWithoutVersion {
                next.push(with_node(Node { phase: NodePhase::Serving, ..node }));
            }
        }
    }

    /// The node asks a peer that serves, and serves with the higher version.
    fn ask_peers(&self, state: &State, node: Node, push: &mut dyn FnMut(Node)) {
        for peer in state.nodes {
            let answers = match self.mutation {
                Mutation::AcceptEmptyAnswer => peer.phase != NodePhase::Down && peer.version > 0,
                _ => peer.phase == NodePhase::Serving,
            };
            if answers {
                push(self.serve(self.receive(node, peer.version)));
            }
        }
    }

    fn receive(&self, node: Node, version: u8) -> Node {
        if version <= node.version && self.mutation != Mutation::AcceptOlder {
            return node;
        }
        Node { version, highest: node.highest.max(version), ..node }
    }

    fn serve(&self, node: Node) -> Node {
        Node { phase: NodePhase::Serving, ..node }
    }

    /// An operator asks every node that the membership lists.
    fn confirmation_step(&self, state: &State, next: &mut Vec<State>) {
        let listed = state.nodes.iter().filter(|node| node.phase == NodePhase::Serving);
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
