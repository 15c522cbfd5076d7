//! Runs stand-in targets as a process and prints their addresses as one line of JSON.

use argh::FromArgs;
use standins::{block_on, plan::Plan, targets::Fleet};

/// Run stand-in targets, for tests.
#[derive(FromArgs)]
struct Options {
    /// a TOML file with the configuration of the targets
    #[argh(option)]
    plan: Option<std::path::PathBuf>,
    /// the port of the first target; any free ports if omitted
    #[argh(option, default = "0")]
    first_port: u16,
    /// number of targets, without a plan
    #[argh(option, default = "1")]
    count: u16,
    /// number of shards that the targets serve, without a plan
    #[argh(option, default = "1")]
    shards: u16,
    /// the control port for faults and records; any free port if omitted
    #[argh(option)]
    control: Option<u16>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options: Options = argh::from_env();
    let mut plan = match &options.plan {
        Some(path) => toml::from_str(&std::fs::read_to_string(path)?)?,
        None => Plan::uniform(options.first_port, options.count, options.shards),
    };
    plan.control = options.control.unwrap_or(plan.control);
    block_on(async {
        let fleet = Fleet::start(&plan)?;
        println!("{}", serde_json::to_string(&fleet.ports)?);
        std::future::pending().await
    })
}
