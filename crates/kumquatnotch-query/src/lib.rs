//! Root of queries: the service of a node for callers.
//!
//! Any node is the root of the queries that callers send to it. [`FrontService`] checks
//! a request, plans it over one snapshot of the index, sends each group of shards to
//! the node that holds it, and merges the partial answers. [`TicketService`] runs
//! non-idempotent requests at most once. Both reach the holders through [`Router`], and
//! [`install`] assembles the three services.

#![forbid(unsafe_code)]

mod access;
mod answers;
mod canary;
mod entry;
mod front;
mod gather;
mod groups;
mod health;
mod latency;
mod merge;
mod meters;
mod options;
mod outcomes;
mod plan;
mod planner;
mod refusal;
mod router;
mod runner;
mod search;
mod tickets;
mod view;

use std::rc::Rc;

use kumquatnotch_core::{
    Result,
    front::Front,
    peer::{PeerHandler, TICKET_SERVICE},
    registry::Registry,
    services,
};

pub use crate::{
    front::FrontService,
    groups::{GroupId, GroupTable, group_count},
    options::{FrontOptions, QueryOptions, RouterOptions, TicketOptions},
    plan::{Plan, PlannedShard, plan},
    router::{ROUTER, Router},
    tickets::{TICKETS, TicketService},
    view::VersionView,
};

/// Creates the services of the root and registers each under its name.
pub fn install(options: QueryOptions, registry: &Registry) -> Result<Rc<FrontService>> {
    let router = Router::try_new(options.router, registry)?;
    registry.register(ROUTER, router);
    let tickets = TicketService::try_new(options.tickets, registry)?;
    registry.register(TICKETS, tickets.clone());
    let handler: Rc<dyn PeerHandler> = tickets;
    registry.register(TICKET_SERVICE, handler);
    let service = FrontService::try_new(options.front, registry)?;
    let front: Rc<dyn Front> = service.clone();
    registry.register(services::FRONT, front);
    Ok(service)
}
