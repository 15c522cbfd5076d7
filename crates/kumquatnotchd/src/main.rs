//! The daemon: one node of a kumquatnotch query tier.
//!
//! It reads its settings, runs until it is told to stop, and writes nothing but
//! logs to its standard error.

#![forbid(unsafe_code)]

mod logs;
mod options;

use std::process::ExitCode;

use futures_util::future::{Either, select};
use kumquatnotch::{
    Node, NodeOptions, Shutdown,
    config::settings::Settings,
    core::{Error, Result},
};
use kumquatnotch_daemon::{meters, signals::Signals};
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::options::Options;

/// The exit code of a start that failed.
const FAILED: u8 = 1;
/// The exit code if requests were still in flight when the time to leave was over.
const CUT: u8 = 3;
/// The exit code after a second signal.
const HURRIED: u8 = 4;
/// The exit code if another process has this node's name or address.
const OUTLIVED: u8 = 5;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match start(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error {}: {error}", error.code());
            ExitCode::from(FAILED)
        }
    }
}

fn start(options: &Options) -> Result<ExitCode> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{} is fine", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    logs::install(options.log_format.unwrap_or(settings.log.format), &settings.log)?;
    // The epoll driver by name: the default one may choose io_uring, which the
    // machines do not allow.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| Error::internal(format!("the runtime can't start: {error}")))?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::stops()?;
    let metrics = meters::install()?;
    let node = Node::try_new(NodeOptions { settings, metrics })?;
    // The tests and scripts that let the system choose ports read this line.
    let (entry, peer) = node.servers();
    tracing::info!("node: callers at {}, peers at {}", entry.address(), peer.address());
    node.start();
    node.wait(Box::pin(signals.next())).await;
    let leave = std::pin::pin!(node.leave());
    let hurry = std::pin::pin!(signals.next());
    match select(leave, hurry).await {
        Either::Left((Shutdown::Clean, _)) => {
            tracing::info!("node: left");
            Ok(ExitCode::SUCCESS)
        }
        Either::Left((Shutdown::Cut, _)) => Ok(ExitCode::from(CUT)),
        Either::Left((Shutdown::Outlived, _)) => Ok(ExitCode::from(OUTLIVED)),
        Either::Right(_) => {
            tracing::warn!("node: told twice to stop, ending at once");
            Ok(ExitCode::from(HURRIED))
        }
    }
}
