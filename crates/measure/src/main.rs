//! Benchmarks of the query tier.

#![forbid(unsafe_code)]

mod bench;
mod capacity_command;
mod decisions;
mod fake_target;
mod fake_targets;
mod latency;
mod nodes;
mod processes;
mod processes_layout;
mod routes;
mod spread;
mod storm;
mod table;
mod today;
mod virtual_time;

use std::process::ExitCode;

use argh::FromArgs;

/// Benchmark the query tier against stand-ins of its surroundings.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity_command::Args),
    Decisions(decisions::Args),
    Latency(latency::Args),
    Routes(routes::Args),
    Spread(spread::Args),
    Storm(storm::Args),
    Table(table::Args),
    Today(today::Args),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Decisions(args) => {
            decisions::run(&args);
            Ok(())
        }
        Command::Capacity(args) => capacity_command::run(&args),
        Command::Latency(args) => latency::run(&args),
        Command::Routes(args) => routes::run(&args).map_err(std::io::Error::other),
        Command::Spread(args) => spread::run(&args),
        Command::Storm(args) => storm::run(&args),
        Command::Table(args) => table::run(&args).map_err(std::io::Error::other),
        Command::Today(args) => today::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}
