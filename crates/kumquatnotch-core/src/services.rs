//! The names under which services are registered, and their types.

/// The clock, an `Rc<dyn Clock>`.
pub const CLOCK: &str = "clock";
/// The seeded generator, a `Random`.
pub const RANDOM: &str = "random";
/// The way to targets, an `Rc<dyn Targets>`.
pub const TARGETS: &str = "targets";
/// The way to other nodes, an `Rc<dyn Peers>`.
pub const PEERS: &str = "peers";
/// The platform's store, an `Rc<dyn Store>`.
pub const STORE: &str = "store";
/// The nodes of the tier, an `Rc<dyn Members>`.
pub const MEMBERS: &str = "members";
/// The shared marks, an `Rc<dyn Marks>`.
pub const MARKS: &str = "marks";
/// The document in force, an `Rc<dyn Documents>`.
pub const DOCUMENTS: &str = "documents";
/// What a node does for callers, an `Rc<dyn Front>`.
pub const FRONT: &str = "front";
/// The stage of the node's life, a `Lifecycle`.
pub const LIFECYCLE: &str = "lifecycle";
