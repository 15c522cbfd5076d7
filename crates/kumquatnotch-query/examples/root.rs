//! Benchmarks the processor time of the root of a query and the latency that the canary
//! adds.
//!
//! The nodes are real roots with a fake network and fake holders on a paused clock.
//! Latencies are in the time of that clock and reproducible by seed; processor time is
//! that of this process, including the fakes.
//!
//! `cargo run --release -p kumquatnotch-query --example root`

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use common::*;
use kumquatnotch_core::{
    document::{Class, Document, SelectorSpec, TargetSpec},
    ids::{SelectorName, ShardName, TargetName, rendezvous},
    labels::Expression,
    random::Random,
};
use kumquatnotch_query::{FrontOptions, GroupId, GroupTable, QueryOptions};

const SEARCHES: usize = 300;
const SEEDS: u64 = 5;

fn main() {
    print_group_balance();
    print_cpu_time();
    print_canary();
}

/// Prints how evenly groups are distributed over nodes, and how many groups a query of
/// one selector uses.
fn print_group_balance() {
    println!("groups per node: shards, selectors, group size, groups, nodes: min, mean, max");
    for (shards, selectors, size, nodes) in
        [(50, 1, 8, 9), (50, 1, 4, 9), (50, 1, 2, 9), (4_800, 3, 20, 1_900), (4_800, 3, 40, 1_900)]
    {
        let table = GroupTable::new(&selected(shards, selectors), size);
        let names: Vec<String> = (0..nodes).map(|number| format!("n{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut held: BTreeMap<&str, usize> = names.iter().map(|name| (*name, 0)).collect();
        let groups: BTreeSet<GroupId> = (0..shards).map(|n| table.group(&shard(n))).collect();
        let used: BTreeSet<GroupId> =
            (0..shards).step_by(selectors).map(|n| table.group(&shard(n))).collect();
        for group in &groups {
            let first = rendezvous(&group.0.to_be_bytes(), &names)[0];
            *held.get_mut(first).unwrap() += 1;
        }
        let (min, max) = (held.values().min().unwrap(), held.values().max().unwrap());
        let mean = groups.len() as f64 / nodes as f64;
        println!(
            "  {shards:5} {selectors} {size:3} {:4} {nodes:5}: {min} {mean:.2} {max}; \
             a query of {} shards uses {} groups",
            groups.len(),
            shards / selectors,
            used.len(),
        );
    }
}

/// Returns a document of `shards` shards, distributed over `selectors` selectors in
/// turn.
fn selected(shards: usize, selectors: usize) -> Document {
    let mut document = Document::default();
    for number in 0..shards {
        let role = format!("r{}", number % selectors);
        let spec = TargetSpec {
            address: ([127, 0, 0, 1], 9).into(),
            centre: "c".into(),
            shard: shard(number),
            labels: [("role".to_owned(), role)].into(),
            drain: false,
        };
        document.targets.insert(TargetName::from(format!("t{number}")), spec);
    }
    for number in 0..selectors {
        let spec = SelectorSpec {
            targets: Expression::parse(&format!("role = r{number}")).unwrap(),
            class: Class::Desk,
            exclusive: false,
            tenants: Vec::new(),
            deadline_ms: 300,
        };
        document.rules.selectors.insert(SelectorName::from(format!("s{number}")), spec);
    }
    document
}

/// Prints the processor time of a search, including the fakes.
fn print_cpu_time() {
    println!("processor time of a search: shards, microseconds, microseconds per shard");
    for shards in [1, 10, 50, 1_600] {
        // A single node, whose own holder answers at once, so that nothing waits for
        // the clock.
        let cluster = cluster_with(1, shards, options(false));
        let searches = 200_000 / shards.max(10);
        let span = run(&cluster, async {
            cluster.search(0).await.unwrap();
            let start = Instant::now();
            for _ in 0..searches {
                cluster.search(0).await.unwrap();
            }
            start.elapsed()
        });
        let each = span.as_secs_f64() * 1e6 / searches as f64;
        println!("  {shards:5}: {each:9.1} {:7.2}", each / shards as f64);
    }
}

/// Prints the latency of searches over 50 shards, one of which is a straggler, with and
/// without a canary, by the share of repeated searches.
fn print_canary() {
    println!("canary: share of repeated searches, seed: p50 and p99 in ms without, with");
    for seen in [0.0, 0.5, 0.9] {
        for seed in 1..=SEEDS {
            let without = latencies(false, seen, seed);
            let with = latencies(true, seen, seed);
            println!("  {seen:.1} {seed}: {without:?} {with:?}");
        }
    }
}

fn options(canary: bool) -> QueryOptions {
    let front = FrontOptions { canary, admission: false, ..FrontOptions::default() };
    QueryOptions { front, ..QueryOptions::default() }
}

fn latencies(canary: bool, seen: f64, seed: u64) -> (f64, f64) {
    let cluster = cluster_with(9, 50, options(canary));
    let random = Random::with_seed(seed);
    let mut spans: Vec<u64> = run(&cluster, async {
        let mut spans = Vec::new();
        for number in 0..SEARCHES {
            set_delays(&cluster, &random);
            let repeat = random.chance(seen);
            let query = if repeat { "common".to_owned() } else { number.to_string() };
            spans.push(cluster.search_for(number % 9, KEY, &query).await.unwrap().elapsed_us);
        }
        spans
    });
    spans.sort_unstable();
    let at = |share: f64| spans[(spans.len() as f64 * share) as usize] as f64 / 1e3;
    (at(0.5), at(0.99))
}

/// Sets a delay of 2 to 8 ms for each shard, and of 10 to 40 ms for the straggler.
fn set_delays(cluster: &Cluster, random: &Random) {
    for number in 0..50 {
        let shard: ShardName = shard(number);
        let span = 2.0 + 6.0 * random.fraction();
        let span = if number == 17 { span * 5.0 } else { span };
        cluster.shards.change(&shard, |state| state.delay = ms(1).mul_f64(span));
    }
}
