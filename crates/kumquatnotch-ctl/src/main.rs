//! The command line for operators.
//!
//! Exit codes: 0 success, 1 failure or usage error, 3 conflict with another
//! operator's change, 4 version not in force on every node.

#![forbid(unsafe_code)]

mod caller_commands;
mod config_commands;
mod context;
mod explain_command;
mod log_lines;
mod options;
mod status_command;
mod story_command;
mod suspects_command;

use std::process::ExitCode;

use kumquatnotch::core::{Error, Result};
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{
    context::Context,
    options::{Command, Options},
};

/// Exit code of a failed command.
const FAILED: u8 = 1;
/// Exit code if another operator has published a change in the meantime.
const CONFLICT: u8 = 3;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run(options) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error {}: {error}", error.code());
            ExitCode::from(if matches!(error, Error::Conflict { .. }) { CONFLICT } else { FAILED })
        }
    }
}

fn run(options: Options) -> Result<u8> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| Error::internal(format!("failed to start the runtime: {error}")))?;
    let context = Context::new(&options);
    runtime.block_on(dispatch(&context, &options.command))
}

async fn dispatch(context: &Context, command: &Command) -> Result<u8> {
    match command {
        Command::Check(args) => config_commands::check(args),
        Command::Diff(args) => config_commands::diff(context, args).await,
        Command::Apply(args) => config_commands::apply(context, args).await,
        Command::Show(args) => config_commands::show(context, args).await,
        Command::History(_) => config_commands::history(context).await,
        Command::Rollback(args) => config_commands::roll_back(context, args).await,
        Command::Drain(args) => config_commands::drain(context, args).await,
        Command::Collect(args) => config_commands::collect(context, args).await,
        Command::Status(args) => status_command::status(context, args).await,
        Command::Suspects(args) => suspects_command::suspects(context, args).await,
        Command::Story(args) => story_command::story(args),
        Command::Explain(args) => explain_command::explain(args),
        Command::KeyDigest(_) => caller_commands::key_digest(),
        Command::Entry(args) => caller_commands::entry(context, args).await,
        Command::Search(args) => caller_commands::search(context, args).await,
        Command::Exclusive(args) => caller_commands::exclusive(context, args).await,
    }
}
