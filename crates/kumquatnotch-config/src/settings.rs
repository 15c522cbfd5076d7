//! The settings of a node.
//!
//! A node learns its addresses and data centre from this file. Everything that
//! operators change while nodes run stands in the document instead.

use std::{net::SocketAddr, path::Path, time::Duration};

use garde::Validate;
use kumquatnotch_core::{Error, Result};
use serde::{Deserialize, Serialize};

use crate::{
    fault::{Fault, bad_settings},
    reader::Source,
};

/// The settings of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    #[garde(dive)]
    pub node: NodeSettings,
    /// Where it listens.
    #[garde(skip)]
    pub listen: ListenSettings,
    /// Where others reach it, if that differs from where it listens.
    #[garde(skip)]
    pub advertise: AdvertiseSettings,
    /// The platform's service.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// How it finds the other nodes.
    #[garde(skip)]
    pub join: JoinSettings,
    /// Bounds.
    #[garde(dive)]
    pub limits: LimitSettings,
    /// How groups of shards are held.
    #[garde(dive)]
    pub groups: GroupSettings,
    /// Entry advice.
    #[garde(dive)]
    pub advice: AdviceSettings,
    /// Budgets and safeguards.
    #[garde(dive)]
    pub decisions: DecisionSettings,
    /// Logs.
    #[garde(skip)]
    pub log: LogSettings,
    /// The seed of the generator; drawn at the start if absent.
    #[garde(skip)]
    pub seed: Option<u64>,
}

/// Who the node is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name, unlike that of every other node.
    #[garde(custom(valid_name))]
    pub name: String,
    /// Its data centre.
    #[garde(custom(valid_name))]
    pub centre: String,
    /// Its region.
    #[garde(custom(valid_name))]
    pub region: String,
}

/// Where the node listens; port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers and operators.
    pub entry: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> ListenSettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        ListenSettings { entry: any, peer: any }
    }
}

/// Where others reach the node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// For callers.
    pub entry: Option<SocketAddr>,
    /// For other nodes.
    pub peer: Option<SocketAddr>,
}

/// The platform's service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    #[garde(custom(has_port))]
    pub address: SocketAddr,
    /// How long one call may take.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        PlatformSettings { address, timeout: Duration::from_secs(2) }
    }
}

/// How the node finds the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JoinSettings {
    /// Peer addresses to try besides the platform's list of VMs.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body taken from a caller, in bytes.
    #[garde(range(min = 1_024, max = 16 << 20))]
    pub body: u64,
    /// The most connections open to one target.
    #[garde(range(min = 1, max = 1_000))]
    pub connections: usize,
    /// The most connections taken from callers.
    #[garde(range(min = 1, max = 15_000))]
    pub callers: usize,
    /// The most requests in work at once.
    #[garde(range(min = 1, max = 100_000))]
    pub requests: usize,
    /// The longest time a graceful shutdown waits for requests to end.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub shutdown: Duration,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            body: 1 << 20,
            connections: 3,
            callers: 4_000,
            requests: 4_000,
            shutdown: Duration::from_secs(30),
        }
    }
}

/// How groups of shards are held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// How many nodes of a region hold each group.
    #[garde(range(min = 1, max = 64))]
    pub holders: usize,
    /// How many shards make up a group.
    #[garde(range(min = 1, max = 1_000))]
    pub shards: usize,
}

impl Default for GroupSettings {
    fn default() -> GroupSettings {
        GroupSettings { holders: 1, shards: 8 }
    }
}

/// Entry advice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct AdviceSettings {
    /// How long callers may keep the addresses they were given.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub valid: Duration,
    /// How long the news that a node leaves may take to reach every other node.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub spread: Duration,
}

impl Default for AdviceSettings {
    fn default() -> AdviceSettings {
        AdviceSettings { valid: Duration::from_secs(10), spread: Duration::from_secs(2) }
    }
}

/// Budgets and safeguards of the decisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Second copies of late calls allowed for each call to a target.
    #[garde(range(min = 0.0, max = 0.5))]
    pub hedges: f64,
    /// Repeated attempts allowed for each call to a target.
    #[garde(range(min = 0.0, max = 1.0))]
    pub retries: f64,
    /// Second copies allowed for each request to a holder.
    #[garde(range(min = 0.0, max = 0.5))]
    pub group_hedges: f64,
    /// Whether a request that was not seen before goes to one shard first.
    #[garde(skip)]
    pub canary: bool,
    /// Whether requests are refused early when demand is over capacity.
    #[garde(skip)]
    pub admission: bool,
}

impl Default for DecisionSettings {
    fn default() -> DecisionSettings {
        DecisionSettings {
            hedges: 0.025,
            retries: 0.1,
            group_hedges: 0.002,
            canary: true,
            admission: true,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format.
    pub format: LogFormat,
    /// The lowest level, or a filter such as `info,kumquatnotch_member=debug`.
    pub filter: Option<String>,
}

/// The format of logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::BadSettings { detail: format!("{file}: {error}") })?;
        Settings::parse(&file, &text).map_err(|faults| bad_settings(&faults))
    }

    /// Reads and checks settings; every fault is reported.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
        let source = Source::parse(file, text)?;
        let (settings, mut faults) = source.read::<Settings>();
        let settings = settings.unwrap_or_default();
        if let Err(report) = settings.validate() {
            for (path, error) in report.iter() {
                let path = path.to_string();
                // A value that can't be read stands at its default here.
                if faults.iter().any(|fault| fault.path == path) {
                    continue;
                }
                let names: Vec<&str> = path.split('.').collect();
                faults.push(source.fault(&names, error.message()));
            }
        }
        faults.sort();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// The address that callers are given.
    pub fn entry_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.entry.unwrap_or(bound)
    }

    /// The address that peers are given.
    pub fn peer_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.peer.unwrap_or(bound)
    }
}

/// The longest time a setting may name.
const MAX_DURATION: Duration = Duration::from_secs(600);

fn valid_name(name: &str, (): &()) -> garde::Result {
    let plain = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() {
        return Err(garde::Error::new("is missing"));
    }
    if !name.chars().all(plain) {
        return Err(garde::Error::new("only letters, digits, and -_. are allowed"));
    }
    Ok(())
}

fn has_port(address: &SocketAddr, (): &()) -> garde::Result {
    if address.port() == 0 {
        return Err(garde::Error::new("an address with a port is needed"));
    }
    Ok(())
}

fn bounded_duration(duration: &Duration, (): &()) -> garde::Result {
    if duration.is_zero() || *duration > MAX_DURATION {
        return Err(garde::Error::new("must be above 0 s and at most 10 min"));
    }
    Ok(())
}
