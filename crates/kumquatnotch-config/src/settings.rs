//! The settings of a node.
//!
//! The settings file defines the identity, addresses and limits of a node and is
//! read once at startup. Everything that operators change while nodes are running
//! belongs to the document instead.

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
    /// Identity of the node.
    #[garde(dive)]
    pub node: NodeSettings,
    /// Listen addresses.
    #[garde(skip)]
    pub listen: ListenSettings,
    /// Addresses given to callers and peers, if they differ from the listen addresses.
    #[garde(skip)]
    pub advertise: AdvertiseSettings,
    /// Connection to the platform's store.
    #[garde(dive)]
    pub platform: PlatformSettings,
    /// Discovery of the other nodes.
    #[garde(skip)]
    pub join: JoinSettings,
    /// Resource limits.
    #[garde(dive)]
    pub limits: LimitSettings,
    /// Groups of shards and their holders.
    #[garde(dive)]
    pub groups: GroupSettings,
    /// Entry advice given to callers.
    #[garde(dive)]
    pub advice: AdviceSettings,
    /// Budgets for hedges and retries, and safeguards against overload.
    #[garde(dive)]
    pub decisions: DecisionSettings,
    /// Logging.
    #[garde(skip)]
    pub log: LogSettings,
    /// Seed of the random number generator; drawn from the system if absent.
    #[garde(skip)]
    pub seed: Option<u64>,
}

/// The identity of the node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique among all nodes.
    #[garde(custom(valid_name))]
    pub name: String,
    /// Data centre.
    #[garde(custom(valid_name))]
    pub centre: String,
    /// Region.
    #[garde(custom(valid_name))]
    pub region: String,
}

/// The listen addresses; port 0 lets the system choose a free port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers and operators.
    pub entry: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> ListenSettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        ListenSettings { entry: any, peer: any }
    }
}

/// The addresses given to callers and peers; the listen addresses if absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// Address for callers.
    pub entry: Option<SocketAddr>,
    /// Address for other nodes.
    pub peer: Option<SocketAddr>,
}

/// The connection to the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the store.
    #[garde(custom(has_port))]
    pub address: SocketAddr,
    /// Timeout of a single call.
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

/// Discovery of the other nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JoinSettings {
    /// Peer addresses to contact in addition to the platform's list of VMs.
    pub seeds: Vec<SocketAddr>,
}

/// Resource limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body from a caller, in bytes.
    #[garde(range(min = 1_024, max = 16 << 20))]
    pub body: u64,
    /// Maximum number of connections to one target.
    #[garde(range(min = 1, max = 1_000))]
    pub connections: usize,
    /// Maximum number of connections accepted from callers.
    #[garde(range(min = 1, max = 15_000))]
    pub callers: usize,
    /// Maximum number of concurrent requests.
    #[garde(range(min = 1, max = 100_000))]
    pub requests: usize,
    /// Maximum time that a graceful shutdown waits for requests in flight.
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

/// Groups of shards and their holders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// Number of holders per group and region.
    #[garde(range(min = 1, max = 64))]
    pub holders: usize,
    /// Number of shards per group.
    #[garde(range(min = 1, max = 1_000))]
    pub shards: usize,
}

impl Default for GroupSettings {
    fn default() -> GroupSettings {
        GroupSettings { holders: 1, shards: 8 }
    }
}

/// Entry advice: the node addresses that are given to callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct AdviceSettings {
    /// Time for which callers may use the addresses that they were given.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub valid: Duration,
    /// Maximum time until every other node knows that a node is leaving.
    #[serde(with = "humantime_serde")]
    #[garde(custom(bounded_duration))]
    pub spread: Duration,
}

impl Default for AdviceSettings {
    fn default() -> AdviceSettings {
        AdviceSettings { valid: Duration::from_secs(10), spread: Duration::from_secs(2) }
    }
}

/// Budgets for hedges and retries, and safeguards against overload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Hedged calls allowed per call to a target.
    #[garde(range(min = 0.0, max = 0.5))]
    pub hedges: f64,
    /// Retries allowed per call to a target.
    #[garde(range(min = 0.0, max = 1.0))]
    pub retries: f64,
    /// Hedged requests allowed per request to a holder.
    #[garde(range(min = 0.0, max = 0.5))]
    pub group_hedges: f64,
    /// Whether a request that was not seen before is sent to a single shard first.
    #[garde(skip)]
    pub canary: bool,
    /// Whether admission control refuses requests early when demand exceeds capacity.
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

/// Logging.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Output format.
    pub format: LogFormat,
    /// Minimum level, or a filter such as `info,kumquatnotch_member=debug`.
    pub filter: Option<String>,
}

/// The output format of logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text, one line per event.
    #[default]
    Text,
    /// JSON, one object per line.
    Json,
}

impl Settings {
    /// Loads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::BadSettings { detail: format!("{file}: {error}") })?;
        Settings::parse(&file, &text).map_err(|faults| bad_settings(&faults))
    }

    /// Parses and validates settings; on failure, returns every fault.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
        let source = Source::parse(file, text)?;
        let (settings, mut faults) = source.read::<Settings>();
        let settings = settings.unwrap_or_default();
        if let Err(report) = settings.validate() {
            for (path, error) in report.iter() {
                let path = path.to_string();
                // An unreadable value was replaced by its default, which is not at fault.
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

    /// Returns the address that is given to callers, `bound` unless one is advertised.
    pub fn entry_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.entry.unwrap_or(bound)
    }

    /// Returns the address that is given to peers, `bound` unless one is advertised.
    pub fn peer_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.peer.unwrap_or(bound)
    }
}

/// Upper bound of every duration in the settings.
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
        return Err(garde::Error::new("must have a port other than 0"));
    }
    Ok(())
}

fn bounded_duration(duration: &Duration, (): &()) -> garde::Result {
    if duration.is_zero() || *duration > MAX_DURATION {
        return Err(garde::Error::new("must be above 0 s and at most 10 min"));
    }
    Ok(())
}
