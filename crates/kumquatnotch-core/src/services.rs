//! Names and types of the services in the registry.

/// The clock, an `Rc<dyn Clock>`.
pub const CLOCK: &str = "clock";
/// The seeded random number generator, a `Random`.
pub const RANDOM: &str = "random";
/// The client for targets, an `Rc<dyn Targets>`.
pub const TARGETS: &str = "targets";
/// The client for other nodes, an `Rc<dyn Peers>`.
pub const PEERS: &str = "peers";
/// The platform's store, an `Rc<dyn Store>`.
pub const STORE: &str = "store";
/// The nodes of the tier, an `Rc<dyn Members>`.
pub const MEMBERS: &str = "members";
/// The shared marks, an `Rc<dyn Marks>`.
pub const MARKS: &str = "marks";
/// The document in force, an `Rc<dyn Documents>`.
pub const DOCUMENTS: &str = "documents";
/// The operations offered to callers, an `Rc<dyn Front>`.
pub const FRONT: &str = "front";
/// The lifecycle stage of the node, a `Lifecycle`.
pub const LIFECYCLE: &str = "lifecycle";
