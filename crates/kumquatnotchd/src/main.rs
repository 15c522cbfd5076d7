//! The daemon: one node of a kumquatnotch query tier.
//!
//! The daemon reads its settings and runs until it receives SIGTERM or SIGINT. It
//! writes its logs to standard error.

#![forbid(unsafe_code)]

mod logs;
mod options;

use std::{process::ExitCode, rc::Rc};

use futures_util::future::{Either, select};
use kumquatnotch::{
    Node, NodeOptions, Shutdown,
    config::settings::Settings,
    core::{Result, clock::RuntimeClock},
};
use kumquatnotch_daemon::{process, prometheus, signals::Signals};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};

use crate::options::Options;

/// Exit code after a second termination signal.
const SECOND_SIGNAL: u8 = 4;
/// Exit code if another process has the name or the address of this node.
const SUPERSEDED: u8 = 5;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    process::exit_code(start(&options))
}

fn start(options: &Options) -> Result<ExitCode> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{} is valid", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    logs::install(options.log_format.unwrap_or(settings.log.format), &settings.log)?;
    process::block_on(run(settings))
}

async fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::termination()?;
    let metrics = prometheus::install()?;
    let platform = &settings.platform;
    let options = StoreOptions { address: platform.address, timeout: platform.timeout };
    let store = Rc::new(StoreClient::new(options, Rc::new(RuntimeClock)));
    let node = Node::try_new(NodeOptions { settings, store, metrics })?;
    // Tests and scripts that let the system choose the ports parse this line.
    let (entry, peer) = node.servers();
    tracing::info!("node: callers at {}, peers at {}", entry.address(), peer.address());
    node.start();
    node.wait(Box::pin(signals.next())).await;
    let leave = std::pin::pin!(node.leave());
    let second_signal = std::pin::pin!(signals.next());
    match select(leave, second_signal).await {
        Either::Left((Shutdown::Clean, _)) => {
            tracing::info!("node: left");
            Ok(ExitCode::SUCCESS)
        }
        Either::Left((Shutdown::TimedOut, _)) => Ok(ExitCode::from(process::DRAIN_TIMED_OUT)),
        Either::Left((Shutdown::Superseded, _)) => Ok(ExitCode::from(SUPERSEDED)),
        Either::Right(_) => {
            tracing::warn!("node: second termination signal, exiting at once");
            Ok(ExitCode::from(SECOND_SIGNAL))
        }
    }
}
