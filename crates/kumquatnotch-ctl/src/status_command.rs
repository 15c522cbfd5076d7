//! Reports whether a configuration is in force on every node.

use std::time::Duration;

use kumquatnotch::{
    core::{
        Error, Result,
        clock::sleep,
        ids::ConfigVersion,
        report::{ConfigReport, NodeReport},
    },
    net::message::Request,
};

use crate::{context::Context, options::StatusArgs};

/// Exit code if the version is not in force on some node, or some node did not answer.
const LAGGING: u8 = 4;

/// Interval between two requests for the report.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub async fn status(context: &Context, args: &StatusArgs) -> Result<u8> {
    let version = match args.version {
        Some(version) => ConfigVersion(version),
        None => newest_version(context).await?,
    };
    wait_for_version(context, version, Duration::from_secs(args.wait)).await
}

/// Waits for up to `wait` until `version` is in force on every node, and otherwise prints
/// the nodes that lag.
pub async fn wait_for_version(
    context: &Context,
    version: ConfigVersion,
    wait: Duration,
) -> Result<u8> {
    let end = context.clock.now() + wait;
    loop {
        let report = request_report(context).await?;
        let lagging: Vec<&NodeReport> =
            report.nodes.iter().filter(|node| !node.has_version(version)).collect();
        if lagging.is_empty() && !report.nodes.is_empty() {
            println!("version {version} is in force on all {} nodes", report.nodes.len());
            return Ok(0);
        }
        if context.clock.now() >= end {
            println!("version {version} is not known to be in force everywhere:");
            lagging.iter().for_each(|node| println!("  {node}"));
            return Ok(LAGGING);
        }
        sleep(&*context.clock, POLL_INTERVAL).await;
    }
}

/// Returns the version of the head in the platform's store. If the store is unavailable,
/// returns the newest version that any node reports.
async fn newest_version(context: &Context) -> Result<ConfigVersion> {
    let head = match context.store() {
        Ok(store) => store.head().await,
        Err(_) => Err(Error::PlatformUnavailable),
    };
    match head {
        Ok(Some((head, _))) => return Ok(head.version),
        Ok(None) => return Ok(ConfigVersion(0)),
        Err(error) => println!("failed to read the newest version from the store: {error}"),
    }
    let report = request_report(context).await?;
    let versions = report.nodes.iter().filter_map(|node| node.confirmation);
    Ok(versions.map(|confirmation| confirmation.version).max().unwrap_or_default())
}

async fn request_report(context: &Context) -> Result<ConfigReport> {
    let reply = context.call(Request::get("/v1/config"), Duration::ZERO).await?;
    serde_json::from_slice(&reply.body).map_err(Error::protocol)
}
