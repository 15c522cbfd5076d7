//! Faults of targets, set while they run.

use kumquatnotch_core::{
    ids::{IndexVersion, TargetName},
    target::{HeldVersion, Phase},
};
use serde::{Deserialize, Serialize};

/// A change of faults: what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// The target; all targets of the process if left out.
    pub target: Option<TargetName>,
    /// Service times are this many times as long.
    pub factor: Option<f64>,
    /// Takes no new work, and says so.
    pub drain: Option<bool>,
    /// Is cold and slow for this time from now, in milliseconds.
    pub cold_ms: Option<u64>,
    /// Sheds everything.
    pub shed: Option<bool>,
    /// Crashes when it runs a request whose body holds this; empty for none.
    pub marker: Option<String>,
    /// Crashes now.
    pub crash: bool,
    /// How long it is down after a crash, in milliseconds.
    pub restart_ms: Option<u64>,
    /// The connections open now never answer again; new ones work.
    pub silence: bool,
    /// Reports this load, whatever it is; negative for the truth.
    pub load: Option<i64>,
    /// Reports this phase, whatever it is, until the next change of `lie`.
    pub lie: Option<Phase>,
    /// Holds one more version.
    pub publish: Option<HeldVersion>,
    /// Holds this version no more.
    pub unpublish: Option<IndexVersion>,
    /// Holds just these versions: another layout.
    pub held: Option<Vec<HeldVersion>>,
}

/// The faults in force.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Service times are this many times as long.
    pub factor: f64,
    /// Takes no new work.
    pub drain: bool,
    /// Sheds everything.
    pub shed: bool,
    /// Crashes when it runs a request whose body holds this.
    pub marker: Option<String>,
    /// How long it is down after a crash, in milliseconds.
    pub restart_ms: u64,
    /// The load it reports.
    pub load: Option<u32>,
    /// The phase it reports.
    pub lie: Option<Phase>,
}

/// How long a target is down after a crash, unless it is set, in milliseconds.
const RESTART_MS: u64 = 500;

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            factor: 1.0,
            drain: false,
            shed: false,
            marker: None,
            restart_ms: RESTART_MS,
            load: None,
            lie: None,
        }
    }
}

impl Faults {
    /// Takes over what `change` sets.
    pub fn apply(&mut self, change: &FaultChange) {
        self.factor = change.factor.unwrap_or(self.factor);
        self.drain = change.drain.unwrap_or(self.drain);
        self.shed = change.shed.unwrap_or(self.shed);
        self.restart_ms = change.restart_ms.unwrap_or(self.restart_ms);
        if let Some(marker) = &change.marker {
            self.marker = Some(marker.clone()).filter(|marker| !marker.is_empty());
        }
        if let Some(load) = change.load {
            self.load = u32::try_from(load).ok();
        }
        if change.lie.is_some() {
            self.lie = change.lie;
        }
    }
}
