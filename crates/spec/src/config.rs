//! Model of how a configuration is accepted, propagates, and stays in force.
//!
//! Two operators write the head by compare-and-swap; a write may arrive late, and
//! its reply may be lost. Nodes read the head from the platform or receive it from
//! each other, in any order and any number of times. A node may crash, start, freeze
//! and wake. An operator may ask whether a version is in force everywhere: every node
//! in the membership list must confirm it, but a frozen node may have been dropped
//! from the list.
//!
//! Invariants: a change is accepted at most once and its outcome is reported
//! correctly; a node puts only accepted versions in force; between a start and a
//! crash, a node never goes back to an older version; and once an operator has been
//! told "in force everywhere", no node serves with an older version, not even one
//! that starts or wakes later.

use crate::Model;

/// Number of nodes.
const NODE_COUNT: usize = 3;
/// Number of operators, each with one change.
const OPERATOR_COUNT: usize = 2;
/// Maximum total number of crashes, freezes and outages.
const MAX_FAULTS: u8 = 2;
/// Maximum number of versions in transit to nodes.
const MAX_IN_TRANSIT: usize = 2;

/// A safeguard that is removed from the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// All safeguards are in place.
    None,
    /// A node accepts any version it receives, also an older one.
    AcceptOlder,
    /// A node that has started serves before it has a version.
    ServeWithoutVersion,
    /// A node that wakes serves before it has synchronised again.
    ServeAfterWake,
    /// The platform accepts a write without comparing the revision.
    UnconditionalWrite,
    /// An operator treats a lost reply as a refusal of the write.
    LostReplyIsRefusal,
    /// A node that has started accepts the answer of any peer, also of one that is not serving.
    AcceptEmptyAnswer,
}

/// The model, with at most one safeguard removed.
#[derive(Clone, Copy, Debug)]
pub struct ConfigModel {
    /// The removed safeguard.
    pub mutation: Mutation,
}

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Node {
    phase: NodePhase,
    /// Version in force; zero for none.
    version: u8,
    /// Highest version in force since the start of the node.
    highest: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum NodePhase {
    Down,
    /// Started or woken, and not yet synchronised: the node does not serve.
    Syncing,
    Serving,
    Frozen,
}

/// State of an operator with one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Operator {
    /// The operator has not begun its change.
    Idle,
    /// The operator has read this version and sent its write.
    Sent(u8),
    /// The reply timed out; the operator will repeat the write with the same expected version.
    Retrying(u8),
    /// The change was reported as accepted with this version.
    Accepted(u8),
    /// The change was reported as refused: it is not in force and never will be.
    Refused,
}

/// A write in transit to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Write {
    operator: u8,
    base: u8,
    /// Whether the operator still waits for the reply.
    awaited: bool,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The operator that wrote each version, starting with version 1.
    accepted: Vec<u8>,
    writes: Vec<Write>,
    operators: [Operator; OPERATOR_COUNT],
    nodes: [Node; NODE_COUNT],
    /// Versions in transit to nodes.
    in_transit: Vec<u8>,
    outage: bool,
    faults: u8,
    /// The version that was reported to an operator as in force everywhere.
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
                    return Some("reported as accepted, but the version is of another operator");
                }
                Operator::Refused if count > 0 => return Some("reported as refused, but accepted"),
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
                    // The reply times out; the write may still be in transit.
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
                    // At most two copies of a write are in transit, to limit the state space.
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
            // The operator finds its own write also in the history below a later head.
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
        // The node receives any version in transit, also an old one. Versions stay in
        // transit, which covers duplicates, and may never be received, which covers losses.
        for version in &state.in_transit {
            next.push(with_node(self.receive(node, *version)));
        }
        // The node sends its version to its peers.
        if node.version > 0 && !state.in_transit.contains(&node.version) {
            let mut state = state.clone();
            if state.in_transit.len() == MAX_IN_TRANSIT {
                state.in_transit.remove(0);
            }
            state.in_transit.push(node.version);
            next.push(state);
        }
        // The node reads the head from the platform and serves from then on.
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

    /// The node asks a serving peer, and then serves with the higher of both versions.
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

    /// An operator asks every node in the membership list for its version. Nodes that do not serve
    /// may be missing from the list.
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
