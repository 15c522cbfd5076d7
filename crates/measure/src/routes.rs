//! A benchmark of the CPU time that a node spends on a routed search, in total and per part.
//!
//! The replicas run on a separate thread, so that the CPU time of the node's thread covers just
//! the node and one caller.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use bytes::Bytes;
use hdrhistogram::Histogram;
use kumquatnotch::core::{
    Clock, Error, Result,
    clock::RuntimeClock,
    ids::{DataCentre, NodeName, Region},
    lifecycle::Lifecycle,
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_net::{Server, server::ServerOptions};
use kumquatnotch_policy::{budget::BudgetOptions, mechanisms::Mechanisms};
use kumquatnotch_route::{
    front::RouteFront,
    headers::HeaderNames,
    names::{ReplicaId, RouteName, ServiceName},
    replica::ReplicaSpec,
    route::{Destination, Limits, Route, RouteConfig, RouteKind, RouteTable, Service, ShardSet},
    router::{LocalNode, Router, RouterOptions},
};
use standins::{http::Client, scripted};

/// Number of records in a part.
const RECORDS: usize = 12;

/// Measure the CPU time that a node spends on routed searches.
#[derive(FromArgs)]
#[argh(subcommand, name = "routes")]
pub struct Args {
    /// number of shards of the search
    #[argh(option, default = "20")]
    shards: usize,

    /// number of searches, which are sent one after the other
    #[argh(option, default = "2000")]
    searches: usize,
}

/// Runs the benchmark and prints a row.
pub fn run(args: &Args) -> Result<()> {
    let (sender, receiver) = mpsc::channel();
    let shards = args.shards;
    std::thread::spawn(move || standins::block_on(serve(shards, sender)));
    let addresses = receiver.recv().map_err(Error::internal)?;
    standins::block_on(search(args, addresses))
}

/// Serves a replica of each shard until the process exits.
async fn serve(shards: usize, addresses: mpsc::Sender<Vec<SocketAddr>>) {
    let replicas: Vec<scripted::Scripted> = (0..shards).filter_map(replica).collect();
    let _ = addresses.send(replicas.iter().map(|replica| replica.address).collect());
    std::future::pending::<()>().await;
}

fn replica(index: usize) -> Option<scripted::Scripted> {
    let body = vec![index as u8; RECORDS * 16];
    scripted::Scripted::start(move |request| {
        let identity = request.header::<String>("x-request-id").unwrap_or_default();
        let headers = [("x-request-id", identity.as_str()), ("x-proof", "3e1b.07.5a2.600.0.c9f2")];
        vec![scripted::answer(200, &headers, &body)]
    })
    .ok()
}

async fn search(args: &Args, addresses: Vec<SocketAddr>) -> Result<()> {
    let (router, server) = node(&addresses)?;
    let client = Client::new(server.address(), Duration::from_secs(5));
    let mut took = Histogram::<u64>::new(3).map_err(Error::internal)?;
    let mut missing = 0;
    // The first pass is a warm-up, which opens the connections.
    for is_warm_up in [true, false] {
        let before = processor_time()?;
        let count = if is_warm_up { 20 } else { args.searches };
        for index in 0..count {
            let identity = format!("{index:016x}");
            let headers = [("host", "rooms.example"), ("x-request-id", identity.as_str())];
            let start = Instant::now();
            let answer = client.send("GET", "/a/b", &headers, Bytes::new()).await;
            let answer = answer.map_err(Error::internal)?;
            if answer.headers.get("x-missing").is_none_or(|value| value != "0") {
                missing += 1;
            }
            took.saturating_record(start.elapsed().as_micros() as u64);
        }
        if is_warm_up {
            took.reset();
            continue;
        }
        let spent = processor_time()? - before;
        let by_search = spent.as_secs_f64() * 1e6 / count as f64;
        println!(
            "shards {}  searches {count}  missing {missing}  cpu_us/search {by_search:.0}  \
             cpu_us/part {:.1}  p50_us {}  p99_us {}  probes of {}",
            args.shards,
            by_search / args.shards as f64,
            took.value_at_quantile(0.5),
            took.value_at_quantile(0.99),
            router.directory.len(),
        );
    }
    Ok(())
}

fn node(addresses: &[SocketAddr]) -> Result<(Rc<Router>, Server)> {
    let registry = Registry::default();
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock);
    registry.register::<Rc<dyn Clock>>(services::CLOCK, clock.clone());
    registry.register(services::RANDOM, Random::with_seed(1));
    registry.register(services::LIFECYCLE, Lifecycle::default());
    let node = NodeName::from("node");
    let local_node = LocalNode {
        name: node,
        centre: DataCentre::from("c"),
        region: Region::from("r"),
        capacity: 1.0,
    };
    let budget = BudgetOptions { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let options = RouterOptions {
        names: HeaderNames::default(),
        budget,
        first_start: true,
        local_node,
        mechanisms: Mechanisms::default(),
    };
    let router = Router::try_new(options, &registry)?;
    router.install_table(RouteTable::new(config(addresses.len())));
    for (index, address) in addresses.iter().enumerate() {
        let spec = ReplicaSpec {
            service: name(index),
            address: *address,
            centre: DataCentre::from("c"),
            slots: 2,
            draining: false,
            born: None,
            sequence: 0,
        };
        let id = ReplicaId::from(&*format!("r{index}"));
        router.directory.put(&id, spec, clock.now());
    }
    router.set_synced();
    let front = Rc::new(RouteFront::new(router.clone()));
    let server = Server::try_new(ServerOptions::default(), clock, front)?;
    Ok((router, server))
}

fn name(index: usize) -> ServiceName {
    ServiceName::from(&*format!("s{index}"))
}

fn config(shards: usize) -> RouteConfig {
    let set = ShardSet { shards: (0..shards).map(name).collect(), top: 10, min_coverage: 0.9 };
    let route = Route {
        name: RouteName::from("search"),
        host: "rooms.example".to_owned(),
        prefix: "/a/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        destination: Destination::Shards(set),
    };
    let services = (0..shards).map(|index| Service {
        name: name(index),
        probe_path: "/probe".to_owned(),
        connections: 26,
    });
    let limits = Limits { body: 1_000 };
    RouteConfig { version: 1, routes: vec![route], services: services.collect(), limits }
}

/// Returns the CPU time of this thread.
fn processor_time() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").map_err(Error::internal)?;
    let nanos = text.split_whitespace().next().and_then(|figure| figure.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| Error::internal("unexpected format of schedstat"))
}
