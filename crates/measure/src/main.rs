//! The measurements of the query tier.

#![forbid(unsafe_code)]

mod bench;
mod decisions;
mod fake;
mod fakes;
mod nodes;
mod virtual_time;

use argh::FromArgs;

/// Measure the query tier with small stand-ins.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Decisions(decisions::Args),
}

fn main() {
    let args: Args = argh::from_env();
    match args.command {
        Command::Decisions(args) => decisions::run(&args),
    }
}
