//! A benchmark of large route tables: memory per route, and the time to build the table and to
//! look up a route.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use argh::FromArgs;
use kumquatnotch::core::{Error, Result};
use kumquatnotch_route::{
    names::{RouteName, ServiceName},
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable},
};

use crate::processes;

/// Number of route look-ups.
const LOOKUPS: usize = 200_000;

/// Measure the time and memory of the route table of a large configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Args {
    /// number of routes of the configuration
    #[argh(option, default = "2800")]
    routes: usize,
}

/// Runs the benchmark and prints a row.
pub fn run(args: &Args) -> Result<()> {
    let before = memory()?;
    let start = Instant::now();
    let table = RouteTable::new(config(args.routes));
    let taken_in = start.elapsed();
    let held = memory()? - before;

    let paths: Vec<String> = (0..args.routes).map(|number| format!("/a{number}/x")).collect();
    let start = Instant::now();
    for path in paths.iter().cycle().step_by(7).take(LOOKUPS) {
        black_box(table.find("rooms.example", path));
    }
    let looked_up = start.elapsed();

    println!(
        "routes {}  taken_in_ms {:.2}  bytes/route {:.0}  ns/look-up {}",
        args.routes,
        taken_in.as_secs_f64() * 1e3,
        held * f64::from(1 << 20) / args.routes.max(1) as f64,
        looked_up.as_nanos() / LOOKUPS as u128,
    );
    Ok(())
}

/// Returns the resident memory of this process, in MiB.
fn memory() -> Result<f64> {
    let usage = processes::usage_of(std::process::id()).map_err(Error::internal)?;
    Ok(usage.memory)
}

fn config(routes: usize) -> RouteConfig {
    let limits = Limits { body: 1 << 20 };
    let routes = (0..routes).map(route).collect();
    RouteConfig { version: 1, routes, services: Vec::new(), limits }
}

fn route(number: usize) -> Route {
    Route {
        name: RouteName::from(format!("route-{number}")),
        host: "rooms.example".to_owned(),
        prefix: format!("/a{number}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination: Destination::Service(ServiceName::from(format!("service-{}", number % 100))),
    }
}
